#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstdint>
#include <gtest/gtest.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace Toucandeck
{

/// Plain TCP connection of a client or server, to send data that an HTTP library would not produce.
class RawSocket
{
public:
    explicit RawSocket(int descriptor)
        : m_descriptor(descriptor)
    {
    }

    /// Connects to a port on loopback.
    /// @param receiveBuffer size of the receive buffer in bytes; zero for the default of the system.
    static RawSocket connectTo(std::uint16_t port, int receiveBuffer = 0)
    {
        return connectTo("127.0.0.1", port, receiveBuffer);
    }

    static RawSocket connectTo(const std::string &ip, std::uint16_t port, int receiveBuffer = 0)
    {
        const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
        if (receiveBuffer != 0) {
            ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
        }
        sockaddr_in sa{};
        sa.sin_family = AF_INET;
        sa.sin_port = htons(port);
        EXPECT_EQ(::inet_pton(AF_INET, ip.c_str(), &sa.sin_addr), 1);
        EXPECT_EQ(::connect(descriptor, reinterpret_cast<const sockaddr *>(&sa), sizeof(sa)), 0);
        return RawSocket(descriptor);
    }

    RawSocket(RawSocket &&other) noexcept
        : m_descriptor(std::exchange(other.m_descriptor, -1))
    {
    }

    ~RawSocket()
    {
        close();
    }

    void close()
    {
        if (m_descriptor >= 0) {
            ::close(std::exchange(m_descriptor, -1));
        }
    }

    /// Closes the connection with a TCP reset.
    void reset()
    {
        const linger abort{ 1, 0 };
        ::setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
        close();
    }

    /// Ends the stream to the peer and keeps the connection open for reading.
    void endStream() const
    {
        ::shutdown(m_descriptor, SHUT_WR);
    }

    void write(const std::string &text) const
    {
        EXPECT_EQ(::send(m_descriptor, text.data(), text.size(), MSG_NOSIGNAL), static_cast<ssize_t>(text.size()));
    }

    /// Writes as much as the socket takes without waiting; returns the number of bytes.
    std::size_t tryWrite(std::string_view text) const
    {
        const auto n = ::send(m_descriptor, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        return n < 0 ? 0 : static_cast<std::size_t>(n);
    }

    /// What receiveSome() and receivedText() have received.
    const std::string &receivedSoFar() const
    {
        return m_receivedText;
    }

    /// True once receiveSome() or receivedText() has found the end of the stream or a reset.
    bool isClosedByPeer() const
    {
        return m_closed;
    }

    /// Receives at most @p n bytes, as a slow client does.
    void receiveSome(std::size_t n)
    {
        std::string buf(n, '\0');
        const auto received = ::recv(m_descriptor, buf.data(), n, MSG_DONTWAIT);
        m_receivedText.append(buf, 0, static_cast<std::size_t>(std::max<ssize_t>(received, 0)));
        recordEnd(received);
    }

    /// All text received since the connection was opened.
    const std::string &receivedText()
    {
        char buf[4096];
        ssize_t n = 0;
        while ((n = ::recv(m_descriptor, buf, sizeof(buf), MSG_DONTWAIT)) > 0) {
            m_receivedText.append(buf, static_cast<std::size_t>(n));
        }
        recordEnd(n);
        return m_receivedText;
    }

    /// True once receiveSome() or receivedText() has found the end of the stream.
    bool isStreamEnded() const
    {
        return m_streamEnded;
    }

    bool isClosed()
    {
        receivedText();
        return m_closed;
    }

private:
    void recordEnd(ssize_t received)
    {
        m_streamEnded = m_streamEnded || received == 0;
        m_closed = m_closed || received == 0 || (received < 0 && errno == ECONNRESET);
    }

    int m_descriptor;
    std::string m_receivedText;
    bool m_streamEnded = false;
    bool m_closed = false;
};

} // namespace Toucandeck
