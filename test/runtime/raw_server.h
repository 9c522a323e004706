#pragma once

#include "loopback.h"

#include <netinet/in.h>
#include <utility>

namespace Toucandeck
{

/// Server side of one TCP connection, for bytes that no conforming server sends.
class RawPeer
{
public:
    RawPeer(EventLoop &loop, int descriptor, std::function<void(RawPeer &)> onRequest)
        : m_descriptor(descriptor)
        , m_onRequest(std::move(onRequest))
        , m_readable(loop.onReadable(descriptor, [this] { read(); }))
    {
    }

    RawPeer(const RawPeer &) = delete;
    RawPeer &operator=(const RawPeer &) = delete;

    ~RawPeer()
    {
        finish();
    }

    /// Sends as much as the socket takes now. Returns false once the client has closed the connection.
    bool write(std::string_view bytes)
    {
        if (m_descriptor < 0) {
            return false;
        }
        const auto n = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        m_sentBytes += n > 0 ? static_cast<std::size_t>(n) : 0;
        return n >= 0 || errno == EAGAIN;
    }

    /// Ends the stream to the client with FIN and keeps the connection open for reading.
    void endStream() const
    {
        ::shutdown(m_descriptor, SHUT_WR);
    }

    /// Closes the connection with FIN.
    void finish()
    {
        m_readable.cancel();
        if (m_descriptor >= 0) {
            ::close(std::exchange(m_descriptor, -1));
        }
    }

    /// Closes the connection with RST.
    void reset()
    {
        const linger now{ 1, 0 };
        ::setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        finish();
    }

    /// Leaves all further bytes of the client unread.
    void stopReading()
    {
        m_readable.cancel();
    }

    /// Head of the latest request, without its empty line.
    const std::string &head() const
    {
        return m_head;
    }

    /// Number of request heads received so far.
    std::size_t requests() const
    {
        return m_requests;
    }

    std::size_t sentBytes() const
    {
        return m_sentBytes;
    }

    /// True once the client has closed the connection.
    bool isClosed() const
    {
        return m_closed;
    }

private:
    void read()
    {
        char buf[65536];
        const auto n = ::recv(m_descriptor, buf, sizeof buf, MSG_DONTWAIT);
        if (n <= 0) {
            m_closed = true;
            m_readable.cancel();
            return;
        }
        m_text.append(buf, static_cast<std::size_t>(n));
        for (auto end = m_text.find("\r\n\r\n"); end != std::string::npos; end = m_text.find("\r\n\r\n")) {
            m_head = m_text.substr(0, end);
            m_text.erase(0, end + 4);
            ++m_requests;
            m_onRequest(*this);
        }
    }

    int m_descriptor;
    std::function<void(RawPeer &)> m_onRequest;
    std::string m_text;
    std::string m_head;
    std::size_t m_requests = 0;
    std::size_t m_sentBytes = 0;
    bool m_closed = false;
    EventLoop::Watch m_readable;
};

/// Server on loopback that calls a handler for each request, which answers with arbitrary bytes.
class RawServer
{
public:
    RawServer(EventLoop &loop, std::function<void(RawPeer &)> onRequest)
        : m_loop(loop)
        , m_onRequest(std::move(onRequest))
        , m_descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        EXPECT_EQ(::bind(m_descriptor, reinterpret_cast<const sockaddr *>(&address), size), 0);
        EXPECT_EQ(::listen(m_descriptor, SOMAXCONN), 0);
        EXPECT_EQ(::getsockname(m_descriptor, reinterpret_cast<sockaddr *>(&address), &size), 0);
        m_address = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
        m_readable = loop.onReadable(m_descriptor, [this] { accept(); });
    }

    ~RawServer()
    {
        m_readable.cancel();
        ::close(m_descriptor);
    }

    const std::string &address() const
    {
        return m_address;
    }

    /// Connections in the order in which they were accepted.
    const std::vector<std::unique_ptr<RawPeer>> &peers() const
    {
        return m_peers;
    }

private:
    void accept()
    {
        const int descriptor = ::accept4(m_descriptor, nullptr, nullptr, SOCK_NONBLOCK);
        if (descriptor >= 0) {
            m_peers.push_back(std::make_unique<RawPeer>(m_loop, descriptor, m_onRequest));
        }
    }

    EventLoop &m_loop;
    std::function<void(RawPeer &)> m_onRequest;
    int m_descriptor;
    std::string m_address;
    std::vector<std::unique_ptr<RawPeer>> m_peers;
    EventLoop::Watch m_readable;
};

} // namespace Toucandeck
