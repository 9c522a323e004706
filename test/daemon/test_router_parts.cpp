// Guards against the use of a lost backend server, announcements that are accepted with missing or wrong fields, and headers that
// must not be forwarded between caller and backend server.
#include "daemon/backend_presence.h"
#include "daemon/forward_messages.h"

#include <functional>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

using namespace Toucandeck;
using namespace std::chrono_literals;

namespace
{

nlohmann::json announcementJson()
{
    return { { "service", "clue-svc" }, { "instance", "clue-1" }, { "address", "127.0.0.1:80" }, { "slots", 9 }, { "connections", 130 },
             { "fenced", true },        { "cold", false } };
}

std::string errorOf(const std::string &body)
{
    return handleError(
        [&body]() -> Result<std::string> {
            BOOST_LEAF_CHECK(parseAnnouncement(body));
            return std::string();
        },
        [](const Error &error) { return error.message; });
}

Announcement announcement()
{
    auto result = parseAnnouncement(announcementJson().dump());
    EXPECT_TRUE(result);
    return result.value();
}

} // namespace

TEST(Announcement, NamesTheWrongField)
{
    EXPECT_EQ(errorOf(announcementJson().dump()), "");
    for (const char *it : { "service", "instance", "address", "slots", "connections", "fenced", "cold" }) {
        auto json = announcementJson();
        json.erase(it);
        EXPECT_TRUE(errorOf(json.dump()).starts_with(it));
        json[it] = nullptr;
        EXPECT_TRUE(errorOf(json.dump()).starts_with(it));
    }
    auto json = announcementJson();
    json["instance"] = "a/b";
    EXPECT_TRUE(errorOf(json.dump()).starts_with("instance"));
    EXPECT_FALSE(errorOf("[").empty());
}

RC_GTEST_PROP(Announcement, AnyBytesAreRefusedOrParsed, (const std::string &body))
{
    errorOf(body);
}

TEST(BackendPresence, IsLostAfterThreeMissedAnnouncementsAndReturns)
{
    ManualClock clock;
    BackendPresence presence(clock);
    EXPECT_FALSE(presence.onWithdrawn());
    EXPECT_TRUE(presence.onAnnounced(announcement()));
    EXPECT_FALSE(presence.onAnnounced(announcement()));
    clock.advance(1499ms);
    EXPECT_FALSE(presence.checkAnnouncementTimeout());
    clock.advance(1ms);
    EXPECT_TRUE(presence.checkAnnouncementTimeout());
    EXPECT_EQ(presence.state(), BackendPresence::State::Absent);
    EXPECT_FALSE(presence.checkAnnouncementTimeout());
    EXPECT_TRUE(presence.onAnnounced(announcement()));
    EXPECT_TRUE(presence.markAbsent());
    EXPECT_FALSE(presence.markAbsent());
    presence.onAnnounced(announcement());
    EXPECT_TRUE(presence.onWithdrawn());
    EXPECT_EQ(presence.state(), BackendPresence::State::Leaving);
}

// Failure: an announcement of another program on the VM ended the session of the backend server there, and its partitions moved.
TEST(BackendPresence, IsReplacedOnlyOnceItIsLostOrDrained)
{
    struct Case
    {
        const char *what;
        std::function<void(ManualClock &, BackendPresence &)> before;
        bool mayBeReplaced;
    };
    const Case cases[] = {
        { "never announced", [](auto &, auto &) {}, true },
        { "present", [](auto &, auto &presence) { presence.onAnnounced(announcement()); }, false },
        { "one announcement is overdue",
          [](auto &clock, auto &presence) {
              presence.onAnnounced(announcement());
              clock.advance(1499ms);
          },
          false },
        { "three are overdue",
          [](auto &clock, auto &presence) {
              presence.onAnnounced(announcement());
              clock.advance(1500ms);
          },
          true },
        { "its address refuses connections",
          [](auto &, auto &presence) {
              presence.onAnnounced(announcement());
              presence.markAbsent();
          },
          true },
        { "leaves",
          [](auto &clock, auto &presence) {
              presence.onAnnounced(announcement());
              presence.onWithdrawn();
              clock.advance(59s);
          },
          false },
        { "is drained",
          [](auto &, auto &presence) {
              presence.onAnnounced(announcement());
              presence.onWithdrawn();
              presence.onDrained();
              EXPECT_TRUE(presence.onWithdrawn()) << "a repeated withdrawal is answered again";
          },
          true },
        { "is back after it was drained",
          [](auto &, auto &presence) {
              presence.onAnnounced(announcement());
              presence.onWithdrawn();
              presence.onDrained();
              presence.onAnnounced(announcement());
          },
          false },
        { "left a minute ago without being drained",
          [](auto &clock, auto &presence) {
              presence.onAnnounced(announcement());
              presence.onWithdrawn();
              clock.advance(60s);
          },
          true },
    };
    const auto accepts = [](const BackendPresence &presence, const Announcement &it) {
        return handleError(
            [&]() -> Result<bool> {
                BOOST_LEAF_CHECK(presence.checkSender(it));
                return true;
            },
            [](const Error &error) { return error.code != ErrorCode::Conflict; });
    };
    for (const auto &it : cases) {
        ManualClock clock;
        BackendPresence presence(clock);
        it.before(clock, presence);
        EXPECT_TRUE(accepts(presence, announcement())) << it.what;
        for (const auto field : { &Announcement::service, &Announcement::instance, &Announcement::address }) {
            auto other = announcement();
            other.*field = "other";
            EXPECT_EQ(accepts(presence, other), it.mayBeReplaced) << it.what;
        }
        auto changed = announcement();
        changed.slots = 1;
        changed.cold = true;
        EXPECT_TRUE(accepts(presence, changed)) << it.what;
    }
    ManualClock clock;
    const BackendPresence ofAnotherService(clock, "judge-svc");
    EXPECT_FALSE(accepts(ofAnotherService, announcement()));
    const BackendPresence ofItsService(clock, "clue-svc");
    EXPECT_TRUE(accepts(ofItsService, announcement()));
}

TEST(ForwardMessages, GrantHeadersOfCallersNeverReachTheBackendServer)
{
    wire::ForwardRequest request;
    internal::copyHeaders({ { "toucandeck-epoch", "99" },
                            { "Toucandeck-Grant-Until", "9" },
                            { "Toucandeck-Partition", "1" },
                            { "Connection", "close" },
                            { "Idempotency-Key", "k" } },
                          *request.mutable_headers());
    ASSERT_EQ(request.headers_size(), 1);
    EXPECT_EQ(request.headers(0).name(), "Idempotency-Key");
}

TEST(ForwardMessages, EveryAnswerStatesItsVerdictAndRefusalsWhenToRetry)
{
    const auto response = internal::toResponse(internal::refusal(Verdict::NotRun, 503, "full", 1001ms));
    EXPECT_EQ(response.header("Toucandeck-Verdict"), "not-run");
    EXPECT_EQ(response.header("Retry-After"), "2");
    EXPECT_EQ(internal::toResponse(internal::refusal(Verdict::NotRun, 429, "full")).header("Retry-After"), "1");
    EXPECT_EQ(internal::toResponse(internal::refusal(Verdict::MayHaveRun, 504, "late")).header("Toucandeck-Verdict"), "may-have-run");
    EXPECT_EQ(internal::fromWire(static_cast<wire::WireVerdict>(77)), Verdict::MayHaveRun);
}
