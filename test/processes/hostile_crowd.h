#pragma once

#include "link/socket_address.h"
#include "runtime/event_loop.h"

#include <memory>
#include <string>
#include <vector>

namespace Toucandeck
{

/// Clients that send as fast as they can, read nothing and keep their connections open.
class HostileCrowd
{
public:
    explicit HostileCrowd(EventLoop &loop);
    ~HostileCrowd();

    HostileCrowd(const HostileCrowd &) = delete;
    HostileCrowd &operator=(const HostileCrowd &) = delete;

    /// Adds a client that sends @p head once and then @p unit @p times times.
    void add(const SocketAddress &address, std::string head, std::shared_ptr<const std::string> unit, std::size_t times);

    /// Sends until every client has sent everything or lost its connection, or until none has made progress for two seconds.
    void send();

private:
    struct Client
    {
        int descriptor;
        std::string head;
        std::shared_ptr<const std::string> unit;
        std::size_t times;
        std::size_t sent; ///< Of the head, afterwards of the current unit.
        bool closed;
    };

    static bool sendSome(Client &it);

    EventLoop &m_loop;
    std::vector<Client> m_clients;
};

} // namespace Toucandeck
