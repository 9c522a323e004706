#include "http/pipelined_server.h"

#include "http/pipelined_connection.h"

#include "common/assert.h"

#include <algorithm>
#include <unistd.h>

namespace Toucandeck
{

namespace
{

constexpr std::chrono::milliseconds kSweepInterval{ 200 };
constexpr std::size_t kMaxConnections = 1024; ///< Of each server with a limit on memory; a connection occupies some kilobytes.

} // namespace

HttpExchange::HttpExchange(std::weak_ptr<internal::PipelinedConnection> connection, HttpRequest request, TimePoint receivedAt)
    : m_connection(std::move(connection))
    , m_request(std::move(request))
    , m_receivedAt(receivedAt)
{
}

HttpExchange::~HttpExchange()
{
    const auto connection = m_connection.lock();
    if (!m_answered && connection) {
        connection->onExchangeDropped(*this);
    }
}

const HttpRequest &HttpExchange::request() const
{
    return m_request;
}

HttpRequest &HttpExchange::request()
{
    return m_request;
}

TimePoint HttpExchange::receivedAt() const
{
    return m_receivedAt;
}

void HttpExchange::respond(HttpResponse response)
{
    TOUCANDECK_ASSERT(!m_answered, "a request must be answered only once");
    m_answered = true;
    m_disconnectHandler = nullptr;
    if (const auto connection = m_connection.lock()) {
        connection->respond(*this, std::move(response));
    }
}

void HttpExchange::setDisconnectHandler(std::function<void()> handler)
{
    m_disconnectHandler = std::move(handler);
}

bool HttpExchange::isAnswered() const
{
    return m_answered;
}

Result<std::unique_ptr<PipelinedServer>> PipelinedServer::create(
    EventLoop &loop, const SocketAddress &address, LimitsProvider limits, Handler handler, std::shared_ptr<RequestMemory> memory)
{
    std::unique_ptr<PipelinedServer> server(new PipelinedServer(loop, std::move(limits), std::move(handler), std::move(memory)));
    auto *it = server.get();
    BOOST_LEAF_ASSIGN(server->m_listener,
                      Listener::listen(loop, address, [it](int descriptor, const std::string &) { it->accept(descriptor); }));
    return server;
}

PipelinedServer::PipelinedServer(EventLoop &loop, LimitsProvider limits, Handler handler, std::shared_ptr<RequestMemory> memory)
    : m_loop(loop)
    , m_limitsProvider(std::move(limits))
    , m_handler(std::move(handler))
    , m_memory(std::move(memory))
    , m_sweepTimer(loop.every(kSweepInterval, [this] { sweep(); }))
{
}

PipelinedServer::~PipelinedServer() = default;

void PipelinedServer::accept(int descriptor)
{
    if (m_memory && m_connections.size() >= kMaxConnections && !closeOneIdle()) {
        ::close(descriptor);
        return;
    }
    m_connections.push_back(std::make_shared<internal::PipelinedConnection>(*this, descriptor));
}

bool PipelinedServer::closeOneIdle()
{
    const auto isOlder
        = [](const auto &a, const auto &b) { return a->isIdle() != b->isIdle() ? a->isIdle() : a->lastActive() < b->lastActive(); };
    const auto it = std::min_element(m_connections.begin(), m_connections.end(), isOlder);
    if (!(*it)->isIdle()) {
        return false;
    }
    m_connections.erase(it);
    return true;
}

void PipelinedServer::sweep()
{
    const auto limits = m_limitsProvider();
    const auto copy = m_connections;
    for (const auto &it : copy) {
        if (m_closesIdleConnections) {
            it->closeIfIdle();
        }
        it->checkTimeouts(limits);
    }
    m_connections.remove_if([](const auto &it) { return it->isClosed(); });
}

void PipelinedServer::drain()
{
    m_draining = true;
}

void PipelinedServer::closeIdleConnections()
{
    m_closesIdleConnections = true;
    for (const auto &it : m_connections) {
        it->closeIfIdle();
    }
}

void PipelinedServer::stopListening()
{
    m_listener.reset();
}

std::size_t PipelinedServer::unfinishedRequests() const
{
    std::size_t n = 0;
    for (const auto &it : m_connections) {
        n += it->unfinishedRequests();
    }
    return n;
}

std::size_t PipelinedServer::lingeringConnections() const
{
    return static_cast<std::size_t>(
        std::count_if(m_connections.begin(), m_connections.end(), [](const auto &it) { return it->isLingering(); }));
}

} // namespace Toucandeck
