#pragma once

#include "runtime/event_loop.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace Toucandeck
{

/// Event loop on the system clock. The time limit only aborts a test that hangs; no test depends on execution speed.
struct LoopFixture : testing::Test
{
    static constexpr Duration kLimit = std::chrono::seconds(20);

    void SetUp() override
    {
        loop = handleError([this] { return EventLoop::create(clock); },
                           [](const Error & /*error*/) { return std::unique_ptr<EventLoop>(); });
        ASSERT_TRUE(loop);
    }

    bool runUntil(const std::function<bool()> &done)
    {
        return loop->runUntil(done, kLimit);
    }

    SystemClock clock;
    std::unique_ptr<EventLoop> loop;
};

/// Value of a result that must not fail.
template<class T>
T valueOf(Result<T> result)
{
    EXPECT_TRUE(result);
    return std::move(result.value());
}

/// Raw TCP connection, for bytes that no conforming client sends.
class RawSocket
{
public:
    explicit RawSocket(std::uint16_t port)
        : m_descriptor(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        EXPECT_EQ(connect(m_descriptor, reinterpret_cast<sockaddr *>(&address), sizeof address), 0);
    }

    ~RawSocket()
    {
        closeNow();
    }

    void write(const std::string &text) const
    {
        EXPECT_EQ(send(m_descriptor, text.data(), text.size(), MSG_NOSIGNAL), static_cast<ssize_t>(text.size()));
    }

    /// Reads the bytes received so far; false at the end of the stream.
    bool read(std::string &text) const
    {
        char buf[65536];
        const auto n = recv(m_descriptor, buf, sizeof buf, MSG_DONTWAIT);
        if (n > 0) {
            text.append(buf, static_cast<std::size_t>(n));
        }
        return n != 0;
    }

    void closeNow()
    {
        if (m_descriptor >= 0) {
            close(m_descriptor);
            m_descriptor = -1;
        }
    }

private:
    int m_descriptor;
};

} // namespace Toucandeck
