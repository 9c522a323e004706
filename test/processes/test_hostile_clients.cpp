// Guards against clients that make a gateway or controller run out of memory or descriptors: bodies that stop just short of their end, very
// many short fields, requests without reading the responses. Each load is several times the memory of the VM.
#include "hostile_crowd.h"
#include "process_fleet.h"

#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <gtest/gtest.h>

using namespace Toucandeck;

namespace
{

constexpr std::size_t kMib = 1U << 20U;
constexpr std::size_t kMaxDescriptors = 2000;
constexpr int kOrdinaryRequests = 20;

/// Largest resident memory since the start of the process, in bytes.
std::size_t peakMemory(pid_t pid)
{
    constexpr std::string_view kName = "VmHWM:";
    constexpr std::size_t kKib = 1024;
    std::ifstream in(fmt::format("/proc/{}/status", pid));
    std::string line;
    while (std::getline(in, line)) {
        if (line.starts_with(kName)) {
            return std::stoul(line.substr(kName.size())) * kKib;
        }
    }
    return 0;
}

std::size_t openDescriptors(pid_t pid)
{
    const std::filesystem::directory_iterator all(fmt::format("/proc/{}/fd", pid));
    return static_cast<std::size_t>(std::distance(begin(all), end(all)));
}

std::shared_ptr<const std::string> filler(std::size_t bytes)
{
    return std::make_shared<const std::string>(bytes, 'x');
}

class HostileClientsTest : public testing::TestWithParam<std::string>
{
protected:
    HostileClientsTest()
        : m_fleet(testing::internal::GetArgvs().back())
        , m_crowd(m_fleet.loop())
        , m_entry(m_fleet.entry(GetParam()))
    {
    }

    std::string requestLine(const std::string &method) const
    {
        return fmt::format("{} {} HTTP/1.1\r\nHost: a.example\r\n", method, m_entry.path);
    }

    void expectHealth()
    {
        auto &process = m_fleet.processOf(GetParam());
        ASSERT_TRUE(process.isRunning()) << m_fleet.logOf(GetParam());
        // Several requests, so that the process has read what the crowd sent before its memory is checked.
        for (int i = 0; i < kOrdinaryRequests; ++i) {
            ASSERT_TRUE(m_fleet.servesAnOrdinaryRequest());
        }
        ASSERT_TRUE(process.isRunning()) << m_fleet.logOf(GetParam());
        EXPECT_LE(peakMemory(process.pid()), ProcessFleet::memoryOf(GetParam()));
        EXPECT_LE(openDescriptors(process.pid()), kMaxDescriptors);
    }

    ProcessFleet m_fleet;
    HostileCrowd m_crowd;
    ProcessFleet::Entry m_entry;
};

} // namespace

TEST_P(HostileClientsTest, BodiesThatStopJustShortOfTheirEnd)
{
    constexpr std::size_t kClients = 40;
    constexpr std::size_t kBodyMib = 16;
    ASSERT_TRUE(m_fleet.start());
    const auto unit = filler(kMib);
    for (std::size_t i = 0; i < kClients; ++i) {
        const auto length = fmt::format("Content-Length: {}\r\n\r\n", kBodyMib * kMib + 1);
        m_crowd.add(m_entry.address, requestLine("POST") + length, unit, kBodyMib);
    }
    m_crowd.send();
    expectHealth();
}

TEST_P(HostileClientsTest, ChunkedBodiesThatStopJustShortOfTheirEnd)
{
    constexpr std::size_t kClients = 40;
    constexpr std::size_t kBodyMib = 16;
    constexpr std::size_t kChunkBytes = 64;
    ASSERT_TRUE(m_fleet.start());
    const auto chunk = fmt::format("{:x}\r\n{}\r\n", kChunkBytes, std::string(kChunkBytes, 'x'));
    std::string text;
    for (std::size_t i = 0; i < kMib / kChunkBytes; ++i) {
        text += chunk;
    }
    const auto unit = std::make_shared<const std::string>(std::move(text));
    for (std::size_t i = 0; i < kClients; ++i) {
        m_crowd.add(m_entry.address, requestLine("POST") + "Transfer-Encoding: chunked\r\n\r\n", unit, kBodyMib);
    }
    m_crowd.send();
    expectHealth();
}

TEST_P(HostileClientsTest, VeryManyShortFields)
{
    constexpr std::size_t kClients = 400;
    constexpr std::size_t kFields = 16'000; // One byte of name each: within the limit on header bytes.
    ASSERT_TRUE(m_fleet.start());
    std::string fields;
    for (std::size_t i = 0; i < kFields; ++i) {
        fields += "a:\r\n";
    }
    fields += "Content-Length: 10\r\n\r\n12345";
    for (std::size_t i = 0; i < kClients; ++i) {
        m_crowd.add(m_entry.address, requestLine("POST") + fields, filler(1), 0);
    }
    m_crowd.send();
    expectHealth();
}

TEST_P(HostileClientsTest, CompleteRequestsOfVeryManyShortFields)
{
    constexpr std::size_t kClients = 400;
    constexpr std::size_t kFields = 16'000;
    ASSERT_TRUE(m_fleet.start());
    std::string fields;
    for (std::size_t i = 0; i < kFields; ++i) {
        fields += "a:\r\n";
    }
    const auto request = std::make_shared<const std::string>(requestLine("GET").append(fields).append("\r\n"));
    for (std::size_t i = 0; i < kClients; ++i) {
        m_crowd.add(m_entry.address, {}, request, 2);
    }
    m_crowd.send();
    expectHealth();
}

TEST_P(HostileClientsTest, RequestsAheadWithoutReadingTheResponses)
{
    constexpr std::size_t kClients = 40;
    constexpr std::size_t kMibPerClient = 16;
    ASSERT_TRUE(m_fleet.start());
    const auto request = requestLine("GET") + "\r\n";
    std::string text;
    while (text.size() < kMib) {
        text += request;
    }
    const auto unit = std::make_shared<const std::string>(std::move(text));
    for (std::size_t i = 0; i < kClients; ++i) {
        m_crowd.add(m_entry.address, {}, unit, kMibPerClient);
    }
    m_crowd.send();
    expectHealth();
}

INSTANTIATE_TEST_SUITE_P(Entries,
                         HostileClientsTest,
                         testing::Values("route", "no_route", "ready", "heartbeat", "gateway_metrics", "operators", "controller_metrics"),
                         [](const auto &it) { return it.param; });

constexpr std::size_t kLargestMib = 64;

// Guards against limits on memory that refuse what the manifest allows.
TEST(UploadTest, OneOf64MibIsServedWithoutOtherLoad)
{
    ProcessFleet fleet(testing::internal::GetArgvs().back());
    ASSERT_TRUE(fleet.start());
    EXPECT_EQ(fleet.upload(kLargestMib * kMib), 200);
    EXPECT_TRUE(fleet.servesAnOrdinaryRequest());
}

// Guards against copies of a body that add up to more than the memory of the VM.
TEST(UploadTest, OneOf64MibStaysWithinTheMemoryOfTheGateway)
{
    ProcessFleet fleet(testing::internal::GetArgvs().back());
    ASSERT_TRUE(fleet.start());
    fleet.upload(kLargestMib * kMib);
    auto &process = fleet.processOf("route");
    ASSERT_TRUE(process.isRunning());
    EXPECT_LE(peakMemory(process.pid()), ProcessFleet::kGatewayMemory);
}
