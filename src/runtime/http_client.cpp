#include "runtime/http_client.h"

#include "runtime/events.h"
#include "runtime/evhttp_convert.h"
#include "runtime/http_client_connection.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>

namespace Toucandeck
{

namespace
{

/// Host and port of "IP:PORT"; empty if the target has another form.
std::optional<std::pair<std::string, std::uint16_t>> splitTarget(const std::string &target)
{
    const auto colon = target.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    const auto host = target.substr(0, colon);
    in_addr address{};
    std::uint16_t port = 0;
    const auto end = target.data() + target.size();
    const auto [rest, ec] = std::from_chars(target.data() + colon + 1, end, port);
    // Host names are rejected because resolving them would block the event loop.
    if (inet_pton(AF_INET, host.c_str(), &address) != 1 || ec != std::errc() || rest != end || port == 0) {
        return std::nullopt;
    }
    return std::pair(host, port);
}

} // namespace

struct HttpClient::Pool
{
    std::string target;
    std::string host;
    std::uint16_t port = 0;
    std::vector<std::unique_ptr<internal::HttpClientConnection>> all;
    std::vector<internal::HttpClientConnection *> idle; ///< Ordered by last use, the most recent last.
};

HttpClient::HttpClient(EventLoop &loop, HttpClientOptions options, Logger &logger)
    : m_loop(loop)
    , m_options(options)
    , m_logger(logger)
    , m_bodyBudget(options.maxTotalBodyBytes)
    , m_idleTimer(loop.every(std::max<Duration>(options.idleClose / 4, std::chrono::milliseconds(1)), [this] { closeLongIdle(); }))
{
}

HttpClient::~HttpClient()
{
    *m_alive = false;
}

HttpClient::RequestId HttpClient::send(const std::string &target, HttpRequest request, Duration timeout, Handler handler)
{
    const auto id = m_nextId++;
    const bool isKnownMethod = internal::methodCode(request.method).has_value();
    auto *pool = poolFor(target);
    if (!isKnownMethod || pool == nullptr) {
        failSoon(id,
                 std::move(handler),
                 ErrorCode::InvalidArgument,
                 isKnownMethod ? "target " + target + " is not IP:PORT" : "unknown method " + request.method);
        return id;
    }
    auto *connection = takeIdle(*pool);
    if (connection == nullptr) {
        if (pool->all.size() >= m_options.maxConnections) {
            failSoon(id, std::move(handler), ErrorCode::Overloaded, "all connections to " + target + " are in use");
            return id;
        }
        pool->all.push_back(std::make_unique<internal::HttpClientConnection>(m_loop, m_options, m_bodyBudget, pool->host, pool->port));
        connection = pool->all.back().get();
    }
    if (!request.header("Host")) {
        request.headers.push_back({ "Host", target });
    }
    m_active[id] = { pool, connection, std::move(handler) };
    m_startingRequest = id;
    connection->start(request, timeout, [this, id](HttpResult result) { onFinished(id, std::move(result)); });
    m_startingRequest = 0;
    return id;
}

HttpClient::Pool *HttpClient::poolFor(const std::string &target)
{
    const auto it = m_pools.find(target);
    if (it != m_pools.end()) {
        return it->second.get();
    }
    auto split = splitTarget(target);
    if (!split) {
        return nullptr;
    }
    auto pool = std::make_unique<Pool>();
    pool->target = target;
    pool->host = split->first;
    pool->port = split->second;
    return (m_pools[target] = std::move(pool)).get();
}

internal::HttpClientConnection *HttpClient::takeIdle(Pool &pool)
{
    while (!pool.idle.empty()) {
        auto *connection = pool.idle.back();
        pool.idle.pop_back();
        if (connection->isUsable()) {
            return connection;
        }
        ++m_staleConnections;
        m_logger.write(Events::kHttpStaleConnection, { field("target", pool.target) });
        discard(pool, connection);
    }
    return nullptr;
}

void HttpClient::discard(Pool &pool, internal::HttpClientConnection *connection)
{
    const auto it = std::find_if(pool.all.begin(), pool.all.end(), [connection](const auto &c) { return c.get() == connection; });
    // The connection is destroyed later because this may run within one of its callbacks.
    std::shared_ptr<internal::HttpClientConnection> owned(std::move(*it));
    pool.all.erase(it);
    m_loop.runSoon([owned] {});
}

void HttpClient::onFinished(RequestId id, HttpResult result)
{
    const auto it = m_active.find(id);
    const auto active = std::move(it->second);
    m_active.erase(it);
    if (result.connectionKept) {
        active.pool->idle.push_back(active.connection);
    } else {
        discard(*active.pool, active.connection);
    }
    if (m_startingRequest == id) {
        deliverSoon(id, active.handler, std::move(result));
    } else {
        active.handler(std::move(result));
    }
}

bool HttpClient::cancel(RequestId id)
{
    m_deferredHandlers.erase(id);
    const auto it = m_active.find(id);
    if (it == m_active.end()) {
        return false;
    }
    const auto active = std::move(it->second);
    m_active.erase(it);
    const bool written = active.connection->cancel();
    discard(*active.pool, active.connection);
    return written;
}

void HttpClient::failSoon(RequestId id, Handler handler, ErrorCode code, std::string error)
{
    HttpResult result;
    result.code = code;
    result.error = std::move(error);
    deliverSoon(id, std::move(handler), std::move(result));
}

void HttpClient::deliverSoon(RequestId id, Handler handler, HttpResult result)
{
    m_deferredHandlers[id] = std::move(handler);
    m_loop.runSoon([this, alive = m_alive, id, result = std::move(result)]() mutable {
        if (!*alive) {
            return;
        }
        const auto node = m_deferredHandlers.extract(id);
        if (node) {
            node.mapped()(std::move(result));
        }
    });
}

void HttpClient::closeLongIdle()
{
    const auto oldest = m_loop.clock().now() - m_options.idleClose;
    for (auto &[target, pool] : m_pools) {
        // Connections that have been idle longest come first.
        while (!pool->idle.empty() && pool->idle.front()->idleSince() < oldest) {
            auto *connection = pool->idle.front();
            pool->idle.erase(pool->idle.begin());
            discard(*pool, connection);
        }
    }
    std::erase_if(m_pools, [](const auto &it) { return it.second->all.empty(); });
}

void HttpClient::closeIdle(const std::string &target, std::size_t n)
{
    const auto it = m_pools.find(target);
    for (; n > 0 && it != m_pools.end() && !it->second->idle.empty(); --n) {
        auto *connection = it->second->idle.front();
        it->second->idle.erase(it->second->idle.begin());
        discard(*it->second, connection);
    }
}

std::size_t HttpClient::connections(const std::string &target) const
{
    const auto it = m_pools.find(target);
    return it == m_pools.end() ? 0 : it->second->all.size();
}

std::size_t HttpClient::idleConnections(const std::string &target) const
{
    const auto it = m_pools.find(target);
    return it == m_pools.end() ? 0 : it->second->idle.size();
}

std::size_t HttpClient::inFlight() const
{
    return m_active.size() + m_deferredHandlers.size();
}

std::uint64_t HttpClient::staleConnections() const
{
    return m_staleConnections;
}

void HttpClient::setMaxConnections(std::size_t n)
{
    m_options.maxConnections = n;
}

} // namespace Toucandeck
