// Guards against nodes that start with misread settings, and errors that do not name the invalid field.
#include "node/node_settings.h"

#include <gtest/gtest.h>

using namespace Toucandeck;

namespace
{

constexpr const char *kGateway = R"({"process":"p","role":"gateway","ip":"10.0.0.1","failureDomain":"a","peerPort":7180,
 "seeds":["10.0.0.5:80"],"service":"s","backend":"10.0.0.1:81","outbound":"10.0.0.1:82","ready":"10.0.0.1:83",
 "control":"10.0.0.1:84","shutdownLimit":"6s","something":"new"})";

std::string errorOf(const std::string &text)
{
    return handleError(
        [&]() -> Result<std::string> {
            BOOST_LEAF_CHECK(NodeSettings::parse(text));
            return std::string();
        },
        [](const Error &error) { return error.message; });
}

std::string without(const std::string &text, const std::string &part)
{
    auto copy = text;
    return copy.erase(copy.find(part), part.size());
}

} // namespace

TEST(NodeSettings, ReadsAGatewayAndIgnoresUnknownFields)
{
    const auto it = NodeSettings::parse(kGateway).value();
    EXPECT_EQ(it.role, NodeRole::Gateway);
    EXPECT_EQ(it.backend.port, 81);
    EXPECT_EQ(it.seedIps(), std::vector<std::string>({ "10.0.0.5" }));
    EXPECT_EQ(it.shutdownLimit, std::chrono::seconds(6));
    EXPECT_EQ(it.heartbeatInterval, std::chrono::milliseconds(870));
}

TEST(NodeSettings, ReadsTheIntervalOfHeartbeats)
{
    auto text = std::string(kGateway);
    text.insert(1, R"("heartbeatInterval":"1500ms",)");
    EXPECT_EQ(NodeSettings::parse(text).value().heartbeatInterval, std::chrono::milliseconds(1500));
    text.replace(text.find("1500ms"), 6, "0ms");
    EXPECT_NE(errorOf(text).find("\"heartbeatInterval\" must be positive"), std::string::npos);
}

TEST(NodeSettings, ReadsTheTreatmentOfNestedCalls)
{
    EXPECT_EQ(NodeSettings::parse(kGateway).value().nestedCalls, NestedCalls::Independent);
    auto text = std::string(kGateway);
    text.insert(1, R"("nestedCalls":"protected",)");
    EXPECT_EQ(NodeSettings::parse(text).value().nestedCalls, NestedCalls::Protected);
    text.replace(text.find("protected"), 9, "sheltered");
    EXPECT_NE(errorOf(text).find("nestedCalls \"sheltered\""), std::string::npos);
}

// Guards against deployments that get another admission policy without their operator's choice.
TEST(NodeSettings, ReadsTheAdmissionPolicy)
{
    auto text = std::string(kGateway);
    EXPECT_EQ(NodeSettings::parse(text).value().admission, AdmissionPolicy::RefuseLate);
    text.insert(1, R"("admission":"serve-late",)");
    EXPECT_EQ(NodeSettings::parse(text).value().admission, AdmissionPolicy::ServeLate);
    text.replace(text.find("serve-late"), 10, "serve");
    EXPECT_NE(errorOf(text).find("neither refuse-late nor serve-late"), std::string::npos);
}

TEST(NodeSettings, BalancesByLeastTimeUnlessToldOtherwise)
{
    auto text = std::string(kGateway);
    EXPECT_EQ(NodeSettings::parse(text).value().balancing, Balancing::LeastTime);
    text.insert(1, R"("balancing":"capacity",)");
    EXPECT_EQ(NodeSettings::parse(text).value().balancing, Balancing::Capacity);
    text.replace(text.find("capacity"), 8, "least-time");
    EXPECT_EQ(NodeSettings::parse(text).value().balancing, Balancing::LeastTime);
    text.replace(text.find("least-time"), 10, "fastest");
    EXPECT_NE(errorOf(text).find("balancing \"fastest\" is neither"), std::string::npos);
}

TEST(NodeSettings, NamesTheFieldThatIsWrong)
{
    EXPECT_NE(errorOf(without(kGateway, "\"backend\":\"10.0.0.1:81\",")).find("\"backend\" is missing"), std::string::npos);
    EXPECT_NE(errorOf(R"({"process":5})").find("\"process\" must be a string"), std::string::npos);
    EXPECT_NE(errorOf("{").find("not valid JSON"), std::string::npos);
    auto port = std::string(kGateway);
    port.replace(port.find("7180"), 4, "718000");
    EXPECT_NE(errorOf(port).find("\"peerPort\" must be a port"), std::string::npos);
    auto role = std::string(kGateway);
    role.replace(role.find("\"gateway\""), 9, "\"other\"");
    EXPECT_NE(errorOf(role).find("neither gateway nor controller"), std::string::npos);
}

TEST(NodeSettings, AControllerNeedsADataFolder)
{
    const std::string text = R"({"process":"p","role":"controller","ip":"10.0.0.1","failureDomain":"a","peerPort":7180,"seeds":[],
        "control":"10.0.0.1:84"})";
    EXPECT_NE(errorOf(text).find("\"dataFolder\" is missing"), std::string::npos);
}

TEST(NodeSettings, ReadsTheLimitOnMemory)
{
    EXPECT_EQ(NodeSettings::parse(kGateway).value().memoryLimit, 0U);
    auto text = std::string(kGateway);
    text.insert(1, R"("memoryLimit":160000000,)");
    EXPECT_EQ(NodeSettings::parse(text).value().memoryLimit, 160'000'000U);
    text.replace(text.find("160000000"), 9, "\"much\"");
    EXPECT_NE(errorOf(text).find("\"memoryLimit\""), std::string::npos);
}
