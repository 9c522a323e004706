// Guards against another writer's heartbeat or notice that is taken for one of the backend server on the VM (review/11, OWNER), and against
// a backend server, its restart or its successor that is not recognised.
#include "gateway/instance_check.h"

#include <gtest/gtest.h>
#include <map>

using namespace Toucandeck;
using std::chrono::milliseconds;

namespace
{

constexpr const char *kAddress = "10.0.0.1:80";

/// What the gateway knows when the message arrives. The settings name the service "own".
enum class Moment {
    JustStarted, ///< No heartbeat was accepted yet.
    StartedLongAgo, ///< As before, but for longer than any lease lasts.
    Calm, ///< Process i@100 of "own" sent heartbeat 5 just now.
    Silent, ///< Its last heartbeat came longer ago than any lease lasts.
    Terminated, ///< Its address has refused connections.
    OfDroppedService, ///< Process i@100 of "dropped", which the manifest named before.
};

enum class ServicesKnown {
    None, ///< There is no manifest.
    All, ///< The manifest names "own" and "other", and "keyed", which is divided by key.
    WithoutOwn, ///< The manifest names "other" alone.
};

InstanceCheck::LatestProcess processAt(Moment moment)
{
    InstanceCheck::LatestProcess process{ "i", 100, 5, "own", true, moment == Moment::Terminated };
    if (moment == Moment::OfDroppedService) {
        process.service = "dropped";
    }
    return process;
}

Duration silenceAt(Moment moment)
{
    const bool isLong = moment == Moment::StartedLongAgo || moment == Moment::Silent;
    return isLong ? Duration(InstanceCheck::kServiceChangeSilence) : Duration(InstanceCheck::kServiceChangeSilence) - milliseconds(1);
}

template<class Message>
InstanceVerdict verdictOf(const Message &it, Moment moment, ServicesKnown known)
{
    std::map<std::string, ServiceSpec> services;
    if (known == ServicesKnown::All) {
        services["own"] = {};
        services["keyed"].keyed = true;
    }
    if (known != ServicesKnown::None) {
        services["other"] = {};
    }
    InstanceCheck check({ kAddress, "own" });
    check.setServiceLookup([&services](const std::string &name) {
        const auto found = services.find(name);
        return found == services.end() ? nullptr : &found->second;
    });
    const bool isKnown = moment != Moment::JustStarted && moment != Moment::StartedLongAgo;
    return check.check(it, { isKnown ? std::optional(processAt(moment)) : std::nullopt, silenceAt(moment) });
}

struct HeartbeatCase
{
    const char *what;
    Moment moment;
    ServicesKnown known;
    const char *instance;
    std::int64_t start;
    std::uint64_t sequence;
    const char *service;
    InstanceVerdict expected;
};

using enum InstanceVerdict;

constexpr HeartbeatCase kHeartbeats[] = {
    { "first process", Moment::JustStarted, ServicesKnown::All, "i", 100, 1, "own", Accepted },
    { "first process, before the first manifest", Moment::JustStarted, ServicesKnown::None, "i", 100, 1, "own", Accepted },
    { "first process of a service that no manifest names yet",
      Moment::JustStarted,
      ServicesKnown::WithoutOwn,
      "i",
      100,
      1,
      "own",
      Accepted },
    { "unknown service after a restart", Moment::JustStarted, ServicesKnown::All, "w", 900, 1, "odd", UnknownService },
    { "the same with the id of the process", Moment::JustStarted, ServicesKnown::All, "i", 100, 6, "odd", UnknownService },
    { "unknown service before the first manifest", Moment::JustStarted, ServicesKnown::None, "w", 900, 1, "odd", UnknownService },
    { "unknown service long after the start", Moment::StartedLongAgo, ServicesKnown::None, "w", 900, 1, "odd", UnknownService },
    { "another service after a restart", Moment::JustStarted, ServicesKnown::All, "w", 900, 1, "other", OtherService },
    { "another service, and its own never came", Moment::StartedLongAgo, ServicesKnown::All, "w", 900, 1, "other", Accepted },
    { "next heartbeat", Moment::Calm, ServicesKnown::All, "i", 100, 6, "own", Accepted },
    { "next heartbeat without the service in the manifest", Moment::Calm, ServicesKnown::WithoutOwn, "i", 100, 6, "own", Accepted },
    { "repeated heartbeat", Moment::Calm, ServicesKnown::All, "i", 100, 5, "own", Stale },
    { "earlier process", Moment::Calm, ServicesKnown::All, "i", 99, 9, "own", Stale },
    { "earlier process with another id", Moment::Calm, ServicesKnown::All, "h", 99, 9, "own", Stale },
    { "restart under the same id", Moment::Calm, ServicesKnown::All, "i", 101, 1, "own", Accepted },
    { "successor", Moment::Calm, ServicesKnown::All, "j", 101, 1, "own", Accepted },
    { "successor without a manifest", Moment::Calm, ServicesKnown::None, "j", 101, 1, "own", Accepted },
    { "unknown service in calm", Moment::Calm, ServicesKnown::All, "w", 900, 1, "odd", UnknownService },
    { "unknown service of the same process", Moment::Calm, ServicesKnown::All, "i", 100, 6, "odd", UnknownService },
    { "unknown service, earlier start", Moment::Calm, ServicesKnown::All, "w", 1, 1, "odd", UnknownService },
    { "empty service", Moment::Calm, ServicesKnown::All, "i", 100, 6, "", UnknownService },
    { "another service beside a process that is there", Moment::Calm, ServicesKnown::All, "w", 900, 1, "other", OtherService },
    { "another service of the same process", Moment::Calm, ServicesKnown::All, "i", 100, 6, "other", OtherService },
    { "another service after a long silence", Moment::Silent, ServicesKnown::All, "w", 900, 1, "other", Accepted },
    { "another service after a long silence, earlier start", Moment::Silent, ServicesKnown::All, "w", 1, 1, "other", Stale },
    { "unknown service after a long silence", Moment::Silent, ServicesKnown::All, "w", 900, 1, "odd", UnknownService },
    { "another service after the end of the process", Moment::Terminated, ServicesKnown::All, "w", 900, 1, "other", Accepted },
    { "unknown service after the end of the process", Moment::Terminated, ServicesKnown::All, "w", 900, 1, "odd", UnknownService },
    { "process of a service that was dropped", Moment::OfDroppedService, ServicesKnown::All, "i", 100, 6, "dropped", Accepted },
    { "successor of the service of the settings", Moment::OfDroppedService, ServicesKnown::All, "j", 101, 1, "own", Accepted },
    { "unknown service beside it", Moment::OfDroppedService, ServicesKnown::All, "w", 900, 1, "odd", UnknownService },
};

} // namespace

TEST(InstanceCheck, TellsTheBackendServerFromOtherSenders)
{
    for (const auto &it : kHeartbeats) {
        Heartbeat beat;
        beat.instance = it.instance;
        beat.startUnixMs = it.start;
        beat.sequence = it.sequence;
        beat.service = it.service;
        beat.address = kAddress;
        EXPECT_EQ(toString(verdictOf(beat, it.moment, it.known)), std::string(toString(it.expected))) << it.what;
        for (const auto *address : { "10.0.0.2:80", "10.0.0.1:81", "" }) {
            beat.address = address;
            EXPECT_EQ(verdictOf(beat, it.moment, it.known), OtherAddress) << it.what;
        }
    }
}

TEST(InstanceCheck, AHeartbeatOfAServiceDividedByKeyListsItsKeys)
{
    struct Case
    {
        const char *service;
        std::int64_t start;
        Moment moment;
        ServicesKnown known;
        InstanceVerdict expected;
    };
    // Process 100 listed its keys.
    constexpr Case kCases[] = {
        { "own", 100, Moment::JustStarted, ServicesKnown::All, Accepted },
        { "own", 100, Moment::JustStarted, ServicesKnown::None, Unverified },
        { "own", 100, Moment::JustStarted, ServicesKnown::WithoutOwn, Unverified },
        { "own", 101, Moment::Calm, ServicesKnown::All, Accepted },
        { "own", 101, Moment::Calm, ServicesKnown::None, Unverified },
        { "own", 100, Moment::Calm, ServicesKnown::None, NoKeyLists },
        { "keyed", 101, Moment::Terminated, ServicesKnown::All, NoKeyLists },
    };
    for (const auto &it : kCases) {
        Heartbeat beat;
        beat.instance = "i";
        beat.startUnixMs = it.start;
        beat.sequence = 6;
        beat.service = it.service;
        beat.address = kAddress;
        EXPECT_EQ(verdictOf(beat, it.moment, it.known), Accepted);
        beat.listsKeys = false;
        EXPECT_EQ(toString(verdictOf(beat, it.moment, it.known)), std::string(toString(it.expected))) << it.service << it.start;
    }
}

TEST(InstanceCheck, ANoticeCountsUnlessItNamesAnotherServiceOrAddress)
{
    for (const auto moment : { Moment::JustStarted, Moment::Calm, Moment::Silent, Moment::Terminated }) {
        DepartureNotice notice{ "i", {}, {}, {} };
        EXPECT_EQ(verdictOf(notice, moment, ServicesKnown::All), Accepted);
        notice.startUnixMs = 1;
        EXPECT_EQ(verdictOf(notice, moment, ServicesKnown::All), Accepted) << "of an earlier process";
        notice.service = "own";
        notice.address = kAddress;
        EXPECT_EQ(verdictOf(notice, moment, ServicesKnown::None), Accepted);
        notice.service = "odd";
        EXPECT_EQ(verdictOf(notice, moment, ServicesKnown::All), UnknownService);
        notice.service = "own";
        notice.address = "10.0.0.2:80";
        EXPECT_EQ(verdictOf(notice, moment, ServicesKnown::All), OtherAddress);
    }
}
