// Guards against faults in how the parts of a controller process work together. Runs three controllers over real sockets on
// loopback.
#include "daemon/controller_role.h"

#include "runtime/http_client.h"
#include "runtime/http_server.h"

#include <filesystem>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace Toucandeck;
using namespace std::chrono_literals;
using nlohmann::json;

namespace
{

// Ends a run that would otherwise hang; no assertion depends on elapsed time.
constexpr Duration kHangLimit = 60s;

struct Controller
{
    Controller(EventLoop &loop,
               Logger &nextLogger,
               const std::filesystem::path &folder,
               std::uint64_t seed,
               const std::string &address = "tcp://127.0.0.1:0")
        : random(seed)
        , events(nextLogger, loop.clock(), "test")
    {
        messages = handleError([&] { return MessageSocket::create(loop, { .address = address }, events); },
                               [](const Error &error) {
                                   ADD_FAILURE() << error.message;
                                   return std::unique_ptr<MessageSocket>();
                               });
        role = std::make_unique<ControllerRole>(
            ControllerRoleParts{ loop, *messages, random, events, metrics, folder.string(), Member{}, "secret" });
        messages->setHandler([this](const wire::Envelope &it) { role->receive(it); });
        http = handleError([&] { return HttpServer::create(loop, {}, events); },
                           [](const Error &error) {
                               ADD_FAILURE() << error.message;
                               return std::unique_ptr<HttpServer>();
                           });
        http->setHandler([this](const std::shared_ptr<HttpExchange> &it) {
            if (!role->handleHttp(it)) {
                it->respond({ 404, {}, "" });
            }
        });
        EXPECT_TRUE(role->start([](const std::string &reason) { ADD_FAILURE() << reason; }));
    }

    SeededRandom random;
    EventRing events;
    Metrics metrics;
    std::unique_ptr<MessageSocket> messages;
    std::unique_ptr<ControllerRole> role;
    std::unique_ptr<HttpServer> http;
};

class ControllerRoleTest : public testing::Test
{
protected:
    void SetUp() override
    {
        loop = handleError([&] { return EventLoop::create(clock); }, [](const Error &) { return std::unique_ptr<EventLoop>(); });
        client = std::make_unique<HttpClient>(*loop, HttpClientOptions{}, logger);
        std::string pattern = (std::filesystem::temp_directory_path() / "toucandeck-test-XXXXXX").string();
        folder = mkdtemp(pattern.data());
        for (int n = 0; n < 3; ++n) {
            startController(n);
        }
        bootstrap();
    }

    void TearDown() override
    {
        controllers.clear();
        std::filesystem::remove_all(folder);
    }

    void startController(int n, const std::string &address = "tcp://127.0.0.1:0")
    {
        const auto seed = 100 + static_cast<std::uint64_t>(n);
        controllers[n] = std::make_unique<Controller>(*loop, logger, folder / std::to_string(n), seed, address);
    }

    HttpResult call(int n, const std::string &method, const std::string &target, const std::string &body, const char *token = "secret")
    {
        HttpRequest request{ method, target, { { "Authorization", std::string("Bearer ") + token } }, body };
        std::optional<HttpResult> result;
        client->send(controllers.at(n)->http->address(), request, 5s, [&](HttpResult it) { result = std::move(it); });
        loop->runUntil([&] { return result.has_value(); }, kHangLimit);
        return result.value_or(HttpResult{});
    }

    void bootstrap()
    {
        json members = json::array();
        for (int n = 0; n < 3; ++n) {
            const auto identity = json::parse(call(n, "GET", "/v1/identity", "").response->body);
            members.push_back({ { "replica", identity["replica"] },
                                { "failure_domain", "jm-" + std::to_string(n) },
                                { "address", controllers.at(n)->messages->address() },
                                { "http_address", controllers.at(n)->http->address() } });
        }
        for (int n = 0; n < 3; ++n) {
            ASSERT_EQ(call(n, "POST", "/v1/bootstrap", json{ { "members", members } }.dump()).response->status, 200);
        }
    }

    /// Repeats the request at each controller until the leader has answered.
    std::pair<int, json> operate(const std::string &method, const std::string &target, const std::string &body = "")
    {
        const auto end = clock.now() + kHangLimit;
        while (clock.now() < end) {
            for (const auto &[n, controller] : controllers) {
                const auto result = call(n, method, target, body);
                if (result.response && result.response->status != 421 && result.response->status != 503) {
                    return { result.response->status, json::parse(result.response->body, nullptr, false) };
                }
            }
            loop->runUntil([] { return false; }, 10ms);
        }
        return { 0, json() };
    }

    static std::string weightEdit(const std::string &requestId, const std::string &weight, std::uint64_t seenRevision)
    {
        const json edit = { { "row", "clue-svc/*/*" }, { "set", { { "weight", weight } } }, { "seen_revision", seenRevision } };
        return json{ { "request_id", requestId }, { "edits", json::array({ edit }) } }.dump();
    }

    SystemClock clock;
    NullLogger logger;
    std::unique_ptr<EventLoop> loop;
    std::unique_ptr<HttpClient> client;
    std::filesystem::path folder;
    std::map<int, std::unique_ptr<Controller>> controllers;
};

} // namespace

TEST_F(ControllerRoleTest, RefusesOperatorsWithoutTheToken)
{
    EXPECT_EQ(call(0, "GET", "/v1/table", "", "wrong").response->status, 401);
    EXPECT_EQ(call(0, "GET", "/v1/identity", "", "wrong").response->status, 401);
}

TEST_F(ControllerRoleTest, SecondEditWithTheSameRevisionGetsAConflictWithBothValues)
{
    const auto [first, answer] = operate("POST", "/v1/table/edit", weightEdit("a", "50", 0));
    ASSERT_EQ(first, 200);
    const auto [second, conflict] = operate("POST", "/v1/table/edit", weightEdit("b", "70", 0));
    EXPECT_EQ(second, 409);
    const auto message = conflict["message"].get<std::string>();
    EXPECT_NE(message.find("50"), std::string::npos) << message;
    EXPECT_NE(message.find("70"), std::string::npos) << message;
}

TEST_F(ControllerRoleTest, ResentEditGetsItsFirstAnswerAfterTheLeaderIsGone)
{
    const auto [status, answer] = operate("POST", "/v1/table/edit", weightEdit("a", "50", 0));
    ASSERT_EQ(status, 200);
    for (const auto &[n, controller] : controllers) {
        if (call(n, "GET", "/v1/controllers", "").response->status == 200) {
            controllers.erase(n);
            break;
        }
    }
    ASSERT_EQ(controllers.size(), 2U);
    const auto [again, repeated] = operate("POST", "/v1/table/edit", weightEdit("a", "50", 0));
    EXPECT_EQ(again, 200);
    EXPECT_EQ(repeated["revision"], answer["revision"]);
}

TEST_F(ControllerRoleTest, AcceptedEditSurvivesARestartOfAllControllers)
{
    const auto [status, answer] = operate("POST", "/v1/table/edit", weightEdit("a", "50", 0));
    ASSERT_EQ(status, 200);
    std::map<int, std::string> addresses;
    for (const auto &[n, controller] : controllers) {
        addresses[n] = controller->messages->address();
    }
    controllers.clear();
    for (const auto &[n, address] : addresses) {
        startController(n, address);
    }
    const auto [read, table] = operate("GET", "/v1/table");
    ASSERT_EQ(read, 200);
    ASSERT_EQ(table["rows"].size(), 1U);
    EXPECT_EQ(table["rows"][0]["weight"], "50");
    EXPECT_EQ(table["rows"][0]["revision"], answer["revision"]);
}

TEST_F(ControllerRoleTest, MalformedEditIsRefusedWithTheField)
{
    const auto [status, answer] = operate("POST", "/v1/table/edit", R"({"request_id": "a", "edits": [{"row": 5}]})");
    EXPECT_EQ(status, 400);
    EXPECT_NE(answer["message"].get<std::string>().find("edits[0].row"), std::string::npos);
    const auto [column, second] = operate("POST", "/v1/table/edit", weightEdit("b", "heavy", 0));
    EXPECT_EQ(column, 400);
}

// Guards against a controller that ends because it cannot quote such bytes in the JSON of its answer.
TEST_F(ControllerRoleTest, QuotesBytesThatAreNotUtf8InValidJson)
{
    EXPECT_EQ(call(0, "GET", "/v1/\xff", "", "wrong").response->status, 401);
    EXPECT_EQ(call(0, "GET", "/v1/\xff", "").response->status, 404);
    EXPECT_EQ(operate("POST", "/v1/controllers/remove?replica=%ff").first, 400);
    EXPECT_EQ(operate("POST", "/v1/table/import?request_id=a", "serv\xff,\xff\nx,y\n").first, 400);
    const auto events = call(0, "GET", "/v1/events", "");
    EXPECT_EQ(events.response->status, 200);
    EXPECT_TRUE(json::accept(events.response->body));
}

// Guards against an edit that is never acknowledged because its request id is not UTF-8.
TEST_F(ControllerRoleTest, AcceptsAnEditWhoseRequestIdIsNotUtf8)
{
    const std::string table = "service,failure_domain,instance,weight,revision\nclue-svc,*,*,50,0\n";
    const auto [status, answer] = operate("GET", "/v1/table");
    ASSERT_EQ(status, 200);
    std::vector<json> revisions;
    for (int n = 0; n < 2; ++n) {
        for (const auto &[slot, controller] : controllers) {
            const auto result = call(slot, "POST", "/v1/table/import?request_id=%ff", table);
            if (result.response && result.response->status != 421) {
                EXPECT_EQ(result.response->status, 200) << result.response->body;
                revisions.push_back(json::parse(result.response->body, nullptr, false)["revision"]);
            }
        }
    }
    ASSERT_EQ(revisions.size(), 2U);
    EXPECT_EQ(revisions[0], revisions[1]);
}

// Guards against a controller that ends because the values of a deeply nested body exhaust its stack.
TEST_F(ControllerRoleTest, RefusesADeeplyNestedEdit)
{
    constexpr std::size_t kDepth = 200'000;
    const auto nested = std::string(kDepth, '[') + std::string(kDepth, ']');
    const auto edit = R"({"request_id":"a","edits":[{"row":"clue-svc/*/*","set":{"weight":"50"},"seen_revision":)" + nested + "}]}";
    EXPECT_EQ(operate("POST", "/v1/table/edit", edit).first, 400);
}
