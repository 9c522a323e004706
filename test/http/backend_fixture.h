#pragma once

#include "http/backend_connection.h"
#include "link/listener.h"
#include "runtime/raw_socket.h"

#include <functional>
#include <gtest/gtest.h>
#include <memory>

namespace Toucandeck
{

/// A backend server on loopback that accepts connections and sends only what the test writes.
///
/// Not inline, as the static analyser follows inline functions again in each test that calls them.
class BackendFixture : public testing::Test
{
protected:
    static constexpr Duration kLimit = std::chrono::seconds(5);

    BackendFixture();
    ~BackendFixture() override;

    bool runUntil(const std::function<bool()> &done);
    /// True once the backend server has received the text.
    bool hasReceived(const std::string &text);

    SystemClock m_clock;
    std::unique_ptr<EventLoop> m_loop;
    SocketAddress m_address;
    std::unique_ptr<RawSocket> m_accepted; ///< Latest connection.
    std::unique_ptr<Listener> m_listener;
};

} // namespace Toucandeck
