// Guards against misread wire fields, invalid requests that are accepted, and malformed input that crashes the decoders.
#include "platform/grant_json.h"
#include "platform/heartbeat_json.h"
#include "platform/manifest_json.h"

#include "config/json_fields.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

using namespace Toucandeck;
using namespace Toucandeck::platform;

namespace
{

constexpr const char *kManifest = R"({"version":7,"routes":{
  "r-1":{"host":"a.example","pathPrefix":"/x/","routeType":"unsafe","timeout":"1500ms","targetLatency":"500ms","priority":1,
         "service":"s1","maxAttempts":2},
  "r-2":{"host":"b.example","pathPrefix":"/y/","routeType":"safe","timeout":"1.2s","targetLatency":"400ms","priority":2,
         "weightedSplit":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"maxAttempts":3}},
 "services":{"s1":{"healthPath":"/health","maxConnections":130,"protocol":"h1","tls":false,"coldPeriod":"3s","coldPerS":17.0,
                   "sharded":true,"warm":"2s","grants":"heartbeat"},
             "s2":{"healthPath":"/health","maxConnections":130,"coldPeriod":"3s","coldPerS":17.0}},
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"},"baseVersion":5})";

constexpr const char *kHeartbeat = R"({"service":"s1","address":"10.0.0.9:80","zone":"a","version":"v1","slots":9,"state":"ready",
 "coldRemaining":"250ms","seqNum":4,"born":1777424534000,"holds":[[0,4095,7]],"freed":[[4096,8191,"5c0e"]]})";

template<class T>
bool succeeds(const std::function<Result<T>()> &read)
{
    return handleError(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(read());
            return true;
        },
        [](const Error &) { return false; });
}

bool readsManifest(const std::string &text)
{
    return succeeds<Manifest>([&]() -> Result<Manifest> {
        BOOST_LEAF_AUTO(change, ManifestJson::readPut(text));
        BOOST_LEAF_AUTO(manifest, ManifestJson().decode(change.upsert()));
        BOOST_LEAF_CHECK(checkManifest(manifest));
        return manifest;
    });
}

bool readsHeartbeat(const std::string &text)
{
    return succeeds<Heartbeat>([&] { return readHeartbeat("i-1", text); });
}

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const auto at = text.find(from);
    EXPECT_NE(at, std::string::npos) << from;
    return text.replace(at, from.size(), to);
}

} // namespace

TEST(ManifestJson, ReadsEachField)
{
    const auto change = ManifestJson::readPut(kManifest).value();
    EXPECT_EQ(change.base_version(), 5U);
    EXPECT_TRUE(change.whole());
    const auto manifest = ManifestJson().decode(change.upsert()).value();
    EXPECT_EQ(manifest.version, 7U);
    const auto &first = manifest.routes.at("r-1");
    EXPECT_EQ(first.kind, RequestKind::AtMostOnce);
    EXPECT_EQ(first.timeout, std::chrono::milliseconds(1500));
    EXPECT_EQ(first.targetLatency, std::chrono::milliseconds(500));
    EXPECT_EQ(first.rank, 1U);
    EXPECT_EQ(first.maxAttempts, 2U);
    const auto &second = manifest.routes.at("r-2");
    EXPECT_EQ(second.kind, RequestKind::Idempotent);
    EXPECT_EQ(second.targets.size(), 2U);
    EXPECT_EQ(second.targets[1].weight, 10U);
    EXPECT_TRUE(manifest.services.at("s1").keyed);
    EXPECT_FALSE(manifest.services.at("s2").keyed);
    EXPECT_DOUBLE_EQ(manifest.services.at("s1").coldRequestsPerSecond, 17);
    EXPECT_EQ(manifest.limits.idleTimeout, std::chrono::seconds(15));
}

TEST(ManifestJson, ReadsHowKeysAreGranted)
{
    const auto text = replaced(kManifest, R"("grants":"heartbeat")", R"("grants":"request")");
    const auto manifest = ManifestJson().decode(ManifestJson::readPut(text).value().upsert()).value();
    EXPECT_EQ(manifest.services.at("s1").grantWay, GrantWay::Call);
    EXPECT_EQ(manifest.services.at("s2").grantWay, GrantWay::HeartbeatAnswer);
    EXPECT_FALSE(readsManifest(replaced(kManifest, R"("grants":"heartbeat")", R"("grants":"other")")));
}

TEST(GrantJson, WritesCallsAboutKeys)
{
    const GrantJson codec;
    const auto grant = codec.grantRequest({ { 4096, 8191 }, 12, std::chrono::seconds(4), "5c0e" });
    EXPECT_EQ(grant.method, "POST");
    EXPECT_EQ(grant.target, "/toucandeck/grant");
    EXPECT_EQ(nlohmann::json::parse(grant.body),
              nlohmann::json::parse(R"({"from":4096,"targetVersion":8191,"fence":12,"hold_time":"4000ms","handover":"5c0e"})"));
    const auto release = codec.releaseRequest({ { 4096, 8191 }, 12 });
    EXPECT_EQ(release.target, "/toucandeck/release");
    EXPECT_EQ(nlohmann::json::parse(release.body), nlohmann::json::parse(R"({"from":4096,"targetVersion":8191,"fence":12})"));
    HttpResponse response;
    EXPECT_EQ(codec.handover(response), "");
    response.headers.push_back({ "X-Toucandeck-Handover", "7a21" });
    EXPECT_EQ(codec.handover(response), "7a21");
}

// A notice needs no body. One that cannot be read, or does not name the start of the process, is from another writer, and an instance that
// is in use must not leave because of it.
TEST(HeartbeatJson, ReadsANoticeOfDeparture)
{
    const auto notice
        = readDepartureNotice("i-1", R"({"born":1777424534000,"service":"s1","address":"10.0.0.9:80","state":"draining"})").value();
    EXPECT_EQ(notice.instance, "i-1");
    EXPECT_EQ(notice.startUnixMs, 1'777'424'534'000);
    EXPECT_EQ(notice.service, "s1");
    EXPECT_EQ(notice.address, "10.0.0.9:80");
    EXPECT_EQ(readDepartureNotice("i-1", R"({"born":1777424534000})").value().startUnixMs, 1'777'424'534'000);
    for (const char *it : { "", "{}" }) {
        EXPECT_EQ(readDepartureNotice("i-1", it).value().startUnixMs, std::nullopt) << it;
    }
    for (const char *it : { "x",
                            "[]",
                            "null",
                            "{\"born\":1777424534000",
                            "{\"id\":\"\xff\xfe\"}",
                            R"({"service":"s1"})",
                            R"({"born":"1"})",
                            R"({"born":-1})",
                            R"({"born":1e300})",
                            R"({"born":18446744073709551615})",
                            R"({"born":1777424534000,"service":7})",
                            R"({"born":1777424534000,"address":null})",
                            R"({"born":1777424534000,"state":"asleep"})",
                            R"({"born":1777424534000,"slots":"9"})",
                            R"({"born":1777424534000,"seqNum":-1})",
                            R"({"born":1777424534000,"zone":7})",
                            R"({"born":1777424534000,"coldRemaining":5})",
                            R"({"born":1777424534000,"holds":null})",
                            R"({"born":1777424534000,"freed":[[1,2]]})" }) {
        EXPECT_FALSE(succeeds<DepartureNotice>([it] { return readDepartureNotice("i-1", it); })) << it;
    }
}

// Failure: a weight that is a multiple of 2^32 was accepted and taken for 0.
TEST(ManifestJson, RefusesAWeightThatIsTooLarge)
{
    EXPECT_TRUE(readsManifest(replaced(kManifest, "\"weight\":90", "\"weight\":4294967295")));
    EXPECT_FALSE(readsManifest(replaced(kManifest, "\"weight\":90", "\"weight\":4294967296")));
}

TEST(ManifestJson, WritesWhatWasSent)
{
    const auto change = ManifestJson::readPut(kManifest).value();
    auto sent = nlohmann::json::parse(kManifest);
    sent.erase("baseVersion");
    EXPECT_EQ(nlohmann::json::parse(ManifestJson::write(change.upsert())), sent);
}

TEST(ManifestJson, KnowsAResentOrder)
{
    const auto first = ManifestJson::readPut(kManifest).value();
    const auto again = ManifestJson::readPut(kManifest).value();
    const auto other = ManifestJson::readPut(replaced(kManifest, "\"version\":7", "\"version\":8")).value();
    EXPECT_EQ(first.order(), again.order());
    EXPECT_NE(first.order(), other.order());
}

TEST(ManifestJson, RefusesInvalidManifests)
{
    ASSERT_TRUE(readsManifest(kManifest));
    const std::string text = kManifest;
    EXPECT_FALSE(readsManifest(text.substr(0, text.size() / 2)));
    EXPECT_FALSE(readsManifest(replaced(text, "\"service\":\"s1\",\"maxAttempts\"", "\"service\":\"s9\",\"maxAttempts\"")));
    EXPECT_FALSE(readsManifest(replaced(text, "a.example", "")));
    EXPECT_FALSE(readsManifest(replaced(text, "\"unsafe\"", "\"odd\"")));
    EXPECT_FALSE(readsManifest(replaced(text, "\"targetLatency\":\"500ms\"", "\"targetLatency\":\"61500ms\"")));
    EXPECT_FALSE(readsManifest(replaced(text, "\"1500ms\"", "\"soon\"")));
    EXPECT_FALSE(readsManifest("[]"));
}

TEST(ManifestJson, ReadsAChangeOfItems)
{
    const auto change = ManifestJson::readPatch(R"({"version":9,"upsert":{"routes":{"r":{"host":"h"}}},"remove":{"routes":["old"]},
        "baseVersion":7})")
                            .value();
    EXPECT_FALSE(change.whole());
    EXPECT_EQ(change.upsert().routes().count("r"), 1U);
    EXPECT_EQ(change.removed_routes(0), "old");
    EXPECT_FALSE(succeeds<wire::ChangeManifest>([] { return ManifestJson::readPatch(R"({"version":9,"remove":{"routes":"old"}})"); }));
}

TEST(HeartbeatJson, ReadsEachField)
{
    const auto it = readHeartbeat("i-1", kHeartbeat).value();
    EXPECT_EQ(it.instance, "i-1");
    EXPECT_EQ(it.startUnixMs, 1777424534000);
    EXPECT_EQ(it.sequence, 4U);
    EXPECT_EQ(it.coldRemaining, std::chrono::milliseconds(250));
    EXPECT_FALSE(it.draining);
    ASSERT_EQ(it.holds.size(), 1U);
    EXPECT_EQ(it.holds[0].fencingToken, 7U);
    ASSERT_EQ(it.released.size(), 1U);
    EXPECT_EQ(it.released[0].handover, "5c0e");
}

TEST(HeartbeatJson, RefusesWhatNamesNoBackendServer)
{
    const std::string text = kHeartbeat;
    EXPECT_FALSE(readsHeartbeat("nonsense"));
    EXPECT_FALSE(readsHeartbeat(replaced(text, "\"slots\":9", "\"slots\":\"9\"")));
    EXPECT_FALSE(readsHeartbeat(replaced(text, "\"ready\"", "\"asleep\"")));
    EXPECT_FALSE(readsHeartbeat(replaced(text, "[[0,4095,7]]", "[[9,4,7]]")));
    EXPECT_FALSE(readsHeartbeat(replaced(text, "[[0,4095,7]]", "[[0,65536,7]]")));
    EXPECT_FALSE(readsHeartbeat(replaced(text, "[[0,4095,7]]", "\"all\"")));
    EXPECT_FALSE(readsHeartbeat(replaced(text, "\"250ms\"", "250")));
}

// Failure: a heartbeat of another writer, without the start of its process or with a null in place of its keys, is taken for the backend
// server's.
TEST(HeartbeatJson, RefusesAMissingFieldAndOneOfAnotherType)
{
    const auto complete = nlohmann::json::parse(kHeartbeat);
    const std::vector<nlohmann::json> others{ nullptr, true, 7.5, "7x", nlohmann::json::array({ 7 }), { { "a", 1 } } };
    for (const auto &[name, value] : complete.items()) {
        const bool isList = value.is_array();
        auto it = complete;
        it.erase(name);
        EXPECT_EQ(readsHeartbeat(it.dump()), isList) << name;
        if (isList) {
            EXPECT_FALSE(readHeartbeat("i-1", it.dump()).value().listsKeys) << name;
        }
        for (const auto &other : others) {
            const bool isText = other.is_string() && value.is_string() && name != "state" && name != "coldRemaining";
            it[name] = other;
            EXPECT_EQ(readsHeartbeat(it.dump()), isText) << name << " " << other;
        }
    }
    EXPECT_TRUE(readHeartbeat("i-1", kHeartbeat).value().listsKeys);
    for (const auto *it : { "", "null", "[]", "7", "\"x\"", "{\"service\":\"s1\"", "\xff\xfe" }) {
        EXPECT_FALSE(readsHeartbeat(it)) << it;
    }
}

// Failure: an entry of another writer with a number out of range displaces the backend server, whose own heartbeats are then out of date.
TEST(HeartbeatJson, RefusesNumbersOutOfRange)
{
    const std::string text = kHeartbeat;
    const std::string born = "\"born\":1777424534000";
    ASSERT_NE(text.find(born), std::string::npos);
    for (const auto *it :
         { "18446744073709551615", "9223372036854775808", "253402300800000", "1e400", "1.5", "-1", "\"1777424534000\"", "null" }) {
        EXPECT_FALSE(readsHeartbeat(replaced(text, born, fmt::format("\"born\":{}", it)))) << it;
    }
    for (const auto *it : { "-4", "4.0", "1e400", "18446744073709551616", "[4]" }) {
        EXPECT_FALSE(readsHeartbeat(replaced(text, "\"seqNum\":4", fmt::format("\"seqNum\":{}", it)))) << it;
    }
    for (const auto *it : { "0", "-1", "100001", "1e9", "9.0" }) {
        EXPECT_FALSE(readsHeartbeat(replaced(text, "\"slots\":9", fmt::format("\"slots\":{}", it)))) << it;
    }
    EXPECT_FALSE(readsHeartbeat(replaced(text, "[[0,4095,7]]", "[[0,4095,18446744073709551616]]")));
    EXPECT_FALSE(readsHeartbeat(replaced(text, "\"250ms\"", "\"1e300s\"")));
}

// Guards against a process that ends because a body without valid UTF-8 is quoted in the JSON of its own answer.
TEST(Codecs, DescribeABodyThatIsNotUtf8InValidJson)
{
    const auto message = handleError(
        []() -> Result<std::string> {
            BOOST_LEAF_CHECK(parseJson("{\"service\":\xff\xfe}"));
            return std::string();
        },
        [](const Error &error) { return error.message; });
    EXPECT_NE(message, "");
    EXPECT_NO_THROW(nlohmann::json(message).dump());
}

// Guards against a process that ends because the values of a deeply nested body exhaust its stack.
TEST(Codecs, RefuseADeeplyNestedBody)
{
    constexpr std::size_t kDepth = 1'000'000;
    const auto nested = std::string(kDepth, '[') + std::string(kDepth, ']');
    EXPECT_FALSE(readsHeartbeat("{\"born\":" + nested + "}"));
    const auto isOrderRead = handleError(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(ManifestJson::readPut("{\"version\":1,\"routes\":{\"r\":" + nested + "}}"));
            return true;
        },
        [](const Error &) { return false; });
    EXPECT_FALSE(isOrderRead);
    EXPECT_TRUE(parseJson("[\"" + nested + "\"]")) << "brackets in a string do not nest";
}

TEST(HeartbeatJson, WritesHoldsOnlyWhenThereIsALease)
{
    EXPECT_EQ(writeHeartbeatAnswer(std::nullopt), "{}");
    HeartbeatAnswer answer;
    answer.rows = { { { 0, 9 }, "i-1@1", "ip", 12, "5c0e" } };
    answer.holdTime = std::chrono::milliseconds(4000);
    EXPECT_EQ(writeHeartbeatAnswer(answer), R"({"hold_time":"4000ms","holds":[[0,9,12,"5c0e"]]})");
}

RC_GTEST_PROP(Codecs, SurviveMutatedInput, ())
{
    std::string text = *rc::gen::element<std::string>(kManifest, kHeartbeat);
    const auto n = *rc::gen::inRange(1, 6);
    for (int i = 0; i < n; ++i) {
        const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
        text[at] = *rc::gen::character<char>();
    }
    readsManifest(text);
    readsHeartbeat(text);
    succeeds<wire::ChangeManifest>([&] { return ManifestJson::readPatch(text); });
}

TEST(Times, NeedAUnit)
{
    EXPECT_EQ(parseTime("2.5s").value(), std::chrono::milliseconds(2500));
    EXPECT_EQ(parseTime("0ms").value(), Duration::zero());
    EXPECT_FALSE(succeeds<Duration>([] { return parseTime("5"); }));
    EXPECT_FALSE(succeeds<Duration>([] { return parseTime("-5ms"); }));
    EXPECT_FALSE(succeeds<Duration>([] { return parseTime("1e300s"); }));
}
