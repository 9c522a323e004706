// toucandeck-backend: stand-in for the backend servers that toucandeck routes to.
#include "backend_server.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <fmt/format.h>

using namespace Toucandeck;

namespace
{

Result<int> serve(const Standin::BackendServerOptions &options, std::uint64_t seed)
{
    SystemClock clock;
    SeededRandom random(seed);
    StderrLogger logger(clock, options.instance, LogLevel::Warning);
    BOOST_LEAF_AUTO(loop, EventLoop::create(clock));
    BOOST_LEAF_AUTO(server, Standin::BackendServer::create(*loop, options, random, logger));
    fmt::print("{}\n", server->address());
    const auto terminate = loop->onSignal(SIGTERM, [&] { server->stop([&] { loop->stop(); }); });
    loop->run();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app{ "Stand-in backend server: slots, cold start, shedding, fenced grants, stragglers and a journal of executions." };
    Standin::BackendServerOptions options;
    std::int64_t serviceMs = 3;
    std::int64_t warmUpMs = 2000;
    std::int64_t lagMs = 0;
    std::uint64_t seed = 1;
    bool unfenced = false;
    app.add_option("--service", options.service, "Name of the service")->required();
    app.add_option("--instance", options.instance, "Name of this instance")->required();
    app.add_option("--port", options.port, "HTTP port on 127.0.0.1; 0 takes a free one")->capture_default_str();
    app.add_option("--router", options.router, "HTTP address of the router beside it, IP:PORT")->required();
    app.add_option("--slots", options.model.slots, "Requests served at a time")->capture_default_str();
    app.add_option("--connections", options.connections, "Connections accepted")->capture_default_str();
    app.add_option("--service-ms", serviceMs, "Mean service time in ms")->capture_default_str();
    app.add_option("--warm-up-ms", warmUpMs, "Time from cold to all slots in ms")->capture_default_str();
    app.add_option("--calls", options.calls, "Service that it looks things up in");
    app.add_option("--journal", options.journal, "File for the journal of executions");
    app.add_option("--report-lag-ms", lagMs, "Age of the figures in load reports in ms")->capture_default_str();
    app.add_option("--seed", seed, "Seed of the service times")->capture_default_str();
    app.add_flag("--misleading", options.misleadingReports, "Report the opposite of the load");
    app.add_flag("--unfenced", unfenced, "Do not check grants");
    app.add_flag("--cold", options.model.startsCold, "Start cold");
    CLI11_PARSE(app, argc, argv);
    options.model.fenced = !unfenced;
    options.model.meanServiceTime = std::chrono::milliseconds(serviceMs);
    options.model.warmUp = std::chrono::milliseconds(warmUpMs);
    options.reportLag = std::chrono::milliseconds(lagMs);

    return handleError([&] { return serve(options, seed); },
                       [](const Error &error) {
                           fmt::print(stderr, "toucandeck-backend: {}\n", error.message);
                           return 1;
                       });
}
