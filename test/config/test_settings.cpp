// Guards against a daemon that starts with settings it does not understand, and against messages that do not name the field.
#include "config/settings.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

using namespace Toucandeck;
using nlohmann::json;

namespace
{

json valid()
{
    return json::parse(R"({
        "process": "node-1", "failure_domain": "jm-a", "roles": ["router"],
        "message_address": "tcp://10.0.0.1:7101", "http_address": "10.0.0.1:7100",
        "controllers": [{"message_address": "tcp://10.0.0.2:7101", "http_address": "10.0.0.2:7100"}]
    })");
}

/// Message of the failure; empty if the settings are valid.
std::string errorOf(const std::string &text)
{
    return handleError(
        [&text]() -> Result<std::string> {
            BOOST_LEAF_CHECK(parseSettings(text));
            return std::string();
        },
        [](const Error &error) { return error.message; });
}

Settings parsed(const json &document)
{
    auto result = parseSettings(document.dump());
    EXPECT_TRUE(result);
    return result.value();
}

} // namespace

TEST(Settings, ReadsAllFieldsAndDefaults)
{
    auto document = valid();
    EXPECT_EQ(parsed(document).messageBind, "tcp://10.0.0.1:7101");
    EXPECT_EQ(parsed(document).limits, LimitSettings());
    document["roles"] = { "controller", "router" };
    document["data_dir"] = "/data";
    document["message_bind"] = "tcp://127.0.0.1:1";
    document["limits"] = { { "default_deadline_ms", 1500 }, { "max_body_bytes", 1000 } };
    document["curve"] = { { "secret_key_file", "a" }, { "allowed_keys_dir", "b" } };
    document["log_level"] = "warning";
    const auto settings = parsed(document);
    EXPECT_TRUE(settings.router && settings.controller);
    EXPECT_EQ(settings.messageBind, "tcp://127.0.0.1:1");
    EXPECT_EQ(settings.limits.defaultDeadline, std::chrono::milliseconds(1500));
    EXPECT_EQ(settings.limits.maxBodyBytes, 1000U);
    EXPECT_EQ(settings.curve->allowedKeysDir, "b");
    EXPECT_EQ(settings.logLevel, LogLevel::Warning);
    EXPECT_EQ(settings.controllers.at(0).httpAddress, "10.0.0.2:7100");
}

TEST(Settings, NamesWrongMissingAndUnknownFieldsByPath)
{
    const std::vector<std::pair<const char *, const char *>> cases{
        { R"({"process": 5})", "process: expected a name of 1 to 64" },
        { R"({"process": null})", "process: missing; expected a name" },
        { R"({"roles": []})", "roles: expected a list of" },
        { R"({"roles": ["cook"]})", "roles[0]: expected \"router\" or \"controller\"" },
        { R"({"colour": "red"})", "colour: unknown field" },
        { R"({"limits": {"max_body": 1}})", "limits.max_body: unknown field" },
        { R"({"limits": {"max_body_bytes": -1}})", "limits.max_body_bytes: expected an integer from 1" },
        { R"({"limits": {"shutdown_ms": "1s"}})", "limits.shutdown_ms: expected an integer" },
        { R"({"limits": {"default_deadline_ms": 90000}})", "limits.default_deadline_ms: expected at most" },
        { R"({"controllers": [{"http_address": "1.2.3.4:5"}]})", "controllers[0].message_address: missing; expected \"tcp://IP:PORT\"" },
        { R"({"controllers": [{"http_address": "1.2.3.4", "message_address": "tcp://1.2.3.4:5"}]})",
          "controllers[0].http_address: expected" },
        { R"({"curve": {"secret_key_file": "x"}})", "curve.allowed_keys_dir: missing" },
        { R"({"http_address": "10.0.0.300:1"})", "http_address: expected an IPv4 address" },
        { R"({"message_address": "tcp://10.0.0.1:70000"})", "message_address: expected a port" },
        { R"({"roles": ["controller"]})", "data_dir: missing" },
        { R"({"log_level": "loud"})", "log_level: expected \"debug\"" },
    };
    for (const auto &[patch, expected] : cases) {
        auto document = valid();
        document.merge_patch(json::parse(patch));
        const auto message = errorOf(document.dump());
        EXPECT_TRUE(message.starts_with(expected)) << patch << " gave: " << message;
        EXPECT_EQ(message.find('\n'), std::string::npos) << message;
    }
}

TEST(Settings, ReportsEveryViolation)
{
    auto document = valid();
    document.erase("process");
    document["a"] = 1;
    document["limits"]["b"] = 2;
    const auto message = errorOf(document.dump());
    for (const char *it : { "process: missing", "a: unknown field", "limits.b: unknown field" }) {
        EXPECT_NE(message.find(it), std::string::npos) << message;
    }
}

TEST(Settings, RefusesTextThatIsNotAnObject)
{
    EXPECT_TRUE(errorOf("{").starts_with("not JSON"));
    EXPECT_EQ(errorOf("[]"), "settings: expected an object");
}

TEST(Settings, SamplesAreValid)
{
    for (const char *it : { "etc/router.json", "etc/controller.json", "etc/both.json" }) {
        EXPECT_TRUE(loadSettings(it)) << it;
    }
}

RC_GTEST_PROP(Settings, AnyMutationIsRefusedOrParsed, (std::size_t at, char c))
{
    auto text = valid().dump();
    text[at % text.size()] = c;
    errorOf(text);
}
