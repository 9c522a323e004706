// A client offers another protocol with its request, as `curl --http2` does, and sends a body. The body holds the text of a request.

#include "scenario.h"

#include <set>

using namespace Review;

namespace
{

constexpr Milliseconds kTimeout{ 2000 };
constexpr const char *kService = "notes";
constexpr const char *kForgedId = "forged-in-a-body";

std::vector<HeaderField> headersOf(const std::string &requestId, bool upgrade)
{
    auto headers = clientHeaders(kService, requestId, kTimeout);
    headers.push_back({ "Content-Type", "text/plain" });
    if (upgrade) {
        headers.push_back({ "Connection", "Upgrade, HTTP2-Settings" });
        headers.push_back({ "Upgrade", "h2c" });
        headers.push_back({ "HTTP2-Settings", "AAMAAABkAAQAoAAAAAIAAAAA" });
    }
    return headers;
}

Verdict play(const Scenario &scenario)
{
    auto &recorder = scenario.recorder;
    Deployment deployment(recorder, { { kService, "zone-0" }, { "front", "zone-1" }, { "front", "zone-2" } });
    std::vector<std::unique_ptr<Instance>> instances;
    for (const auto &it : deployment.gateways()) {
        instances.push_back(std::make_unique<Instance>(it, recorder, Milliseconds(20)));
    }
    if (!bringUp(deployment, instances, { { kService, kTimeout }, { "front", kTimeout } })) {
        return Verdict::NotRun;
    }
    const auto body = requestText("POST", "/unsafe/pay", clientHeaders(kService, kForgedId, kTimeout), {});
    const std::string next = "note-2";
    const auto connection = Connection::open(deployment.gateways()[1].outbound, kTimeout);
    if (!connection) {
        return Verdict::NotRun;
    }
    recorder.write("sent note-1: POST /unsafe/note with a body of " + std::to_string(body.size()) + " bytes"
                   + (scenario.trouble ? ", Connection: Upgrade" : ""));
    connection->send(requestText("POST", "/unsafe/note", headersOf("note-1", scenario.trouble), body));
    const auto first = connection->read(kTimeout);
    recorder.write("answer to note-1: " + outcomeText(first));
    recorder.write("sent note-2 on the same connection: GET /safe/note");
    connection->send(requestText("GET", "/safe/note", clientHeaders(kService, next, kTimeout), {}));
    const auto second = connection->read(kTimeout);
    const auto named = second ? second->header("X-Toucandeck-Request-Id") : std::string();
    recorder.write("answer to note-2: " + outcomeText(second) + ", names " + named);
    std::this_thread::sleep_for(Milliseconds(500));

    bool broken = false;
    const auto violation = [&](const std::string &text) {
        recorder.write(text);
        broken = true;
    };
    const std::set<std::string> sent{ "note-1", next };
    for (const auto &it : instances.front()->runs()) {
        if (!sent.contains(it.requestId)) {
            violation("UNASKED: " + it.requestId + " ran, which was no request but part of the body of note-1");
        } else if (it.requestId == "note-1" && it.body != body) {
            violation("UNASKED: note-1 ran with a body of " + std::to_string(it.bodyBytes) + " bytes");
        }
    }
    if (second && second->status() == 200 && named != next) {
        violation("MIXED: the answer to note-2 belongs to " + named);
    }
    if (!first || (!scenario.trouble && !second)) {
        return Verdict::NotRun;
    }
    return broken ? Verdict::Broken : Verdict::Held;
}

} // namespace

int main(int argc, char **argv)
{
    return runScenario(argc, argv, play);
}
