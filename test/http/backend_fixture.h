#pragma once

#include "http/backend_connection.h"
#include "link/free_port.h"
#include "link/listener.h"
#include "runtime/raw_socket.h"

#include <functional>
#include <gtest/gtest.h>
#include <memory>

namespace Toucandeck
{

/// A backend server on loopback that accepts connections and sends only what the test writes.
class BackendFixture : public testing::Test
{
protected:
    static constexpr Duration kLimit = std::chrono::seconds(5);

    BackendFixture()
        : m_loop(EventLoop::create(m_clock).value())
        , m_address{ "127.0.0.1", freePort() }
    {
        m_listener = Listener::listen(*m_loop, m_address, [this](int descriptor, const std::string &) {
                         m_accepted = std::make_unique<RawSocket>(descriptor);
                     }).value();
    }

    bool runUntil(const std::function<bool()> &done)
    {
        return m_loop->runUntil(done, kLimit);
    }

    /// True once the backend server has received the text.
    bool hasReceived(const std::string &text)
    {
        return m_accepted && m_accepted->receivedText().find(text) != std::string::npos;
    }

    SystemClock m_clock;
    std::unique_ptr<EventLoop> m_loop;
    SocketAddress m_address;
    std::unique_ptr<RawSocket> m_accepted; ///< Latest connection.
    std::unique_ptr<Listener> m_listener;
};

} // namespace Toucandeck
