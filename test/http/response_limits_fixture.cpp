#include "response_limits_fixture.h"

namespace Toucandeck
{

namespace
{

constexpr std::size_t kSocketBuffers = 16 * kMiB; ///< Bytes that the kernel may hold beyond those that the connection has read.
constexpr std::size_t kGiveUpBytes = 64 * kMiB;

} // namespace

ResponseLimitsTest::ResponseLimitsTest()
{
    m_connection = std::make_unique<BackendConnection>(*m_loop, m_address, "X-Id");
    HttpRequest request;
    request.headers.push_back({ "X-Id", "one" });
    m_connection->send(request, "one", [this](BackendResult result) { m_result = std::move(result); });
    EXPECT_TRUE(runUntil([this] { return hasReceived("\r\n\r\n"); }));
}

ResponseLimitsTest::~ResponseLimitsTest() = default;

std::size_t ResponseLimitsTest::flood(const std::string &start, const std::string &unit)
{
    std::string units;
    while (units.size() < 64 * kKiB) {
        units += unit;
    }
    m_accepted->write(start);
    std::size_t sent = start.size();
    std::size_t offset = 0; // The unit that was sent in part is continued.
    runUntil([this, &units, &sent, &offset] {
        const auto n = m_accepted->tryWrite(std::string_view(units).substr(offset));
        sent += n;
        offset = (offset + n) % units.size();
        return m_result.has_value() || sent > kGiveUpBytes;
    });
    return sent;
}

void ResponseLimitsTest::expectEndsWithin(std::size_t limit, const std::string &start, const std::string &unit)
{
    EXPECT_LT(flood(start, unit), limit + kSocketBuffers);
    ASSERT_TRUE(m_result);
    EXPECT_EQ(m_result->error, BackendError::InvalidResponse);
    EXPECT_FALSE(m_connection->isReusable());
    EXPECT_TRUE(runUntil([this] { return m_accepted->isClosed(); }));
}

void ResponseLimitsTest::answer(const std::string &text)
{
    std::size_t sent = 0;
    EXPECT_TRUE(runUntil([this, &text, &sent] {
        sent += m_accepted->tryWrite(std::string_view(text).substr(sent));
        return m_result.has_value();
    }));
}

} // namespace Toucandeck
