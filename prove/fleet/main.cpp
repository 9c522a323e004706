// prove_fleet: real gateways and controllers as separate processes on loopback, under load and faults from outside, checked by what
// callers, operators and backend servers see.
#include "callers.h"
#include "faults.h"

#include <CLI/CLI.hpp>
#include <filesystem>
#include <fmt/format.h>

using namespace Toucandeck;
using namespace Toucandeck::Prove;

namespace
{

using namespace std::chrono_literals;

constexpr Duration kStartLimit = 30s;
constexpr Duration kRecoveryLimit = 15s; ///< Service must be restored within this time (`recover` of the platform's terms).
constexpr Duration kCalmPeriod = 3s; ///< Period after the recovery over which the served share is measured.
constexpr double kServedWhenCalm = 0.95;

struct SoakOptions
{
    std::uint64_t seed = 1;
    std::int64_t seconds = 60;
    double rate = 120;
    FleetOptions fleet;
};

std::string countText(const std::map<std::string, std::uint64_t> &counts)
{
    std::string text;
    for (const auto &[name, count] : counts) {
        text += fmt::format(" {}={}", name, count);
    }
    return text;
}

void checkManifest(Fleet &fleet, std::uint64_t acknowledged)
{
    std::string read;
    const int status = fleet.sendOperatorRequest("GET", "/toucandeck/config/get", {}, &read);
    const auto manifest = nlohmann::json::parse(read, nullptr, false);
    const auto version = manifest.is_object() ? manifest.value("version", 0ULL) : 0ULL;
    if (status != 200 || version < acknowledged) {
        fleet.audit().violation(
            fmt::format("manifest {} was acknowledged, read back: status {}, version {}", acknowledged, status, version));
    }
}

void checkCalmService(EventLoop &loop, Fleet &fleet, Callers &callers)
{
    if (!fleet.awaitService(kRecoveryLimit)) {
        fleet.audit().violation("some keys have no holder, or a gateway is not ready, 15 s after the last fault");
    }
    loop.runUntil([] { return false; }, 1s);
    callers.takeServedShare();
    loop.runUntil([] { return false; }, kCalmPeriod);
    const double share = callers.takeServedShare();
    if (share < kServedWhenCalm) {
        fleet.audit().violation(fmt::format("only {:.3f} of the requests were served after the faults", share));
    }
}

Result<int> run(const SoakOptions &options)
{
    BootClock clock;
    SeededRandom random(options.seed);
    BOOST_LEAF_AUTO(loop, EventLoop::create(clock));
    Fleet fleet(*loop, options.fleet);
    BOOST_LEAF_CHECK(fleet.start());
    if (!fleet.awaitService(kStartLimit)) {
        return fail(ErrorCode::Unavailable, "the fleet did not begin to serve");
    }
    Callers callers(*loop, fleet, random, options.rate);
    Faults faults(*loop, fleet, random);
    const auto end = clock.now() + std::chrono::seconds(options.seconds);
    while (clock.now() < end) {
        faults.step();
    }
    faults.settle();
    checkCalmService(*loop, fleet, callers);
    faults.loseTwoDisksAfterChange();
    checkManifest(fleet, faults.acknowledgedVersion());
    checkCalmService(*loop, fleet, callers);
    loop->runUntil([] { return false; }, 2500ms); // Lets the last requests complete or time out.
    callers.check();
    const auto &violations = fleet.audit().violations();
    std::map<std::string, std::uint64_t> answers;
    for (const auto &[status, count] : callers.statusCounts()) {
        answers[std::to_string(status)] = count;
    }
    fmt::print("prove_fleet seed={} requests={} served={} to_stopping={} answers:{} faults:{} violations={}\n",
               options.seed,
               callers.sentCount(),
               callers.servedCount(),
               callers.sentToStoppingCount(),
               countText(answers),
               countText(faults.counts()),
               violations.size());
    for (std::size_t i = 0; i < std::min<std::size_t>(violations.size(), 10); ++i) {
        fmt::print("violation: {}\n", violations[i]);
    }
    return violations.empty() ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app{ "Runs real gateways and controllers on loopback under load and faults and checks what callers and backend servers see." };
    SoakOptions options;
    options.fleet.program = (std::filesystem::path(argv[0]).parent_path().parent_path() / "platform/toucandeck-platformd").string();
    options.fleet.folder = (std::filesystem::temp_directory_path() / fmt::format("toucandeck-fleet-{}", ::getpid())).string();
    app.add_option("--seed", options.seed, "Seed of the load and the faults")->capture_default_str();
    app.add_option("--seconds", options.seconds, "Length of the run")->capture_default_str();
    app.add_option("--rate", options.rate, "Requests per second")->capture_default_str();
    app.add_option("--gateways", options.fleet.gateways, "Gateways, each with a backend server")->capture_default_str();
    CLI11_PARSE(app, argc, argv);
    const auto status = handleError([&] { return run(options); },
                                    [](const Error &error) {
                                        fmt::print(stderr, "prove_fleet: {}\n", error.message);
                                        return 1;
                                    });
    if (status == 0) {
        std::filesystem::remove_all(options.fleet.folder);
    } else {
        fmt::print(stderr, "logs are in {}\n", options.fleet.folder);
    }
    return status;
}
