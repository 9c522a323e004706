// A crowd of clients sends requests that are legal in size but made of very many short header fields. Ordinary requests at the same machine
// are to be answered by the timeout of their route.

#include "scenario.h"

using namespace Review;

namespace
{

constexpr Milliseconds kRouteTimeout{ 1500 };
constexpr Milliseconds kLateAfter{ 2000 }; ///< The timeout of the route and half a second.
constexpr Milliseconds kPatience{ 30'000 };
constexpr int kConnections = 100;
constexpr int kRequestsOnEach = 4; ///< Sent ahead.
constexpr int kOrdinary = 100;
constexpr Milliseconds kOrdinaryInterval{ 100 };
constexpr int kReadyQuestions = 6;
constexpr Milliseconds kReadyTimeout{ 1000 };
constexpr Milliseconds kReadyInterval{ 1000 };
constexpr int kShortFields = 2000;
constexpr int kConnectionOptions = 3500;
constexpr const char *kService = "pages";

std::string crowdRequest(const std::string &requestId, bool manyFields)
{
    auto headers = clientHeaders(kService, requestId, kRouteTimeout);
    std::string options = "b";
    for (int i = 1; manyFields && i < kConnectionOptions; ++i) {
        options += ",b";
    }
    headers.push_back({ "Connection", options });
    for (int i = 0; manyFields && i < kShortFields; ++i) {
        headers.push_back({ "a", "" });
    }
    return requestText("GET", "/safe/page", headers, {});
}

struct Outcome
{
    Milliseconds took{};
    int status = 0;
};

Outcome sendOrdinary(const GatewayVm &vm, const std::string &requestId)
{
    const auto start = std::chrono::steady_clock::now();
    const auto answer
        = call(vm.outbound, requestText("GET", "/safe/page", clientHeaders(kService, requestId, kRouteTimeout), {}), kPatience);
    return { std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - start), answer ? answer->status() : 0 };
}

/// Asks once a second whether the machine is ready, as the platform does.
void askReady(const GatewayVm &vm, Recorder &recorder)
{
    for (int i = 0; i < kReadyQuestions; ++i) {
        const auto answer = call(vm.ready, requestText("GET", "/toucandeck/ready", { { "Host", "ready" } }, {}), kReadyTimeout);
        recorder.write("ready: " + outcomeText(answer));
        std::this_thread::sleep_for(kReadyInterval);
    }
}

Verdict play(const Scenario &scenario)
{
    auto &recorder = scenario.recorder;
    Deployment deployment(recorder, { { kService, "zone-0" }, { kService, "zone-1" }, { "front", "zone-2" } });
    std::vector<std::unique_ptr<Instance>> instances;
    for (const auto &it : deployment.gateways()) {
        instances.push_back(std::make_unique<Instance>(it, recorder, Milliseconds(5)));
    }
    if (!bringUp(deployment, instances, { { kService, kRouteTimeout }, { "front", kRouteTimeout } })) {
        return Verdict::NotRun;
    }
    const auto &vm = deployment.gateways().back();
    std::vector<std::unique_ptr<Connection>> crowd;
    for (int i = 0; i < kConnections; ++i) {
        crowd.push_back(Connection::open(vm.outbound, kRouteTimeout));
        if (!crowd.back()) {
            return Verdict::NotRun;
        }
    }
    for (int i = 0; i < kConnections; ++i) {
        std::string text;
        for (int j = 0; j < kRequestsOnEach; ++j) {
            text += crowdRequest("crowd-" + std::to_string(i * kRequestsOnEach + j), scenario.trouble);
        }
        if (i == 0) {
            recorder.write("the crowd sends " + std::to_string(kConnections * kRequestsOnEach) + " requests of about "
                           + std::to_string(text.size() / kRequestsOnEach) + " bytes");
        }
        crowd[static_cast<std::size_t>(i)]->send(text);
    }
    std::vector<Outcome> outcomes(kOrdinary);
    std::vector<std::thread> clients;
    clients.emplace_back([&] { askReady(vm, recorder); });
    for (int i = 0; i < kOrdinary; ++i) {
        clients.emplace_back([&, i] { outcomes[static_cast<std::size_t>(i)] = sendOrdinary(vm, "ordinary-" + std::to_string(i)); });
        std::this_thread::sleep_for(kOrdinaryInterval);
    }
    for (auto &it : clients) {
        it.join();
    }
    int unanswered = 0;
    int late = 0;
    for (std::size_t i = 0; i < outcomes.size(); ++i) {
        const auto &it = outcomes[i];
        recorder.write("ordinary-" + std::to_string(i) + ": " + std::to_string(it.status) + " after " + std::to_string(it.took.count())
                       + " ms");
        unanswered += it.took > kRouteTimeout ? 1 : 0;
        late += it.took > kLateAfter ? 1 : 0;
    }
    recorder.write(std::to_string(unanswered) + " of " + std::to_string(kOrdinary)
                   + " ordinary requests had no answer at the timeout of their " + "route, " + std::to_string(late)
                   + " of these none half a second later");
    return late * 2 > unanswered ? Verdict::Broken : Verdict::Held;
}

} // namespace

int main(int argc, char **argv)
{
    return runScenario(argc, argv, play);
}
