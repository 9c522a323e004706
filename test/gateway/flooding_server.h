#pragma once

#include "link/socket_address.h"

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Toucandeck
{

/// A faulty backend server: answers each connection with bytes without end until the client closes it. It runs in threads of its own, so
/// that its bytes arrive while the event loop under test is busy.
class FloodingServer
{
public:
    /// @param start bytes sent once per connection.
    /// @param unit bytes sent after them, again and again.
    FloodingServer(const SocketAddress &address, std::string start, const std::string &unit);
    ~FloodingServer();

    FloodingServer(const FloodingServer &) = delete;
    FloodingServer &operator=(const FloodingServer &) = delete;

private:
    void acceptConnections();
    void flood(int descriptor) const;

    std::string m_start;
    std::string m_block;
    int m_listener;
    std::atomic<bool> m_stopped = false;
    std::vector<std::thread> m_connections;
    std::thread m_acceptor;
};

} // namespace Toucandeck
