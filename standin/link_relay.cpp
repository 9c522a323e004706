#include "link_relay.h"

#include <deque>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <fmt/format.h>
#include <set>
#include <string>

namespace Toucandeck::Standin
{

namespace
{

timeval toTimeval(Duration time)
{
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(time).count();
    return { static_cast<time_t>(micros / 1'000'000), static_cast<suseconds_t>(micros % 1'000'000) };
}

struct Chunk
{
    TimePoint due;
    std::string bytes;
};

struct Connection;

/// One direction of a relayed connection.
struct Direction
{
    Connection *connection = nullptr;
    bufferevent *from = nullptr;
    bufferevent *to = nullptr;
    std::deque<Chunk> waiting;
    event *timer = nullptr;
};

} // namespace

struct LinkRelay::Private
{
    event_base *base = nullptr;
    evconnlistener *listener = nullptr;
    std::uint16_t listenPort = 0;
    SocketAddress target;
    Duration delay{};
    LinkCut cut = LinkCut::None;
    std::uint64_t bytes = 0;
    std::uint64_t packets = 0;
    std::set<Connection *> connections;
};

namespace
{

struct Connection
{
    LinkRelay::Private *relay = nullptr;
    Direction forward;
    Direction backward;

    ~Connection();
};

TimePoint now()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

void closeDirection(Direction &direction)
{
    if (direction.timer) {
        event_free(direction.timer);
    }
    if (direction.from) {
        bufferevent_free(direction.from);
    }
}

bool isCut(const Direction &direction)
{
    const auto *connection = direction.connection;
    const auto own = &direction == &connection->forward ? LinkCut::Forward : LinkCut::Backward;
    return connection->relay->cut == LinkCut::Both || connection->relay->cut == own;
}

void deliverDue(Direction &direction)
{
    if (isCut(direction)) {
        return;
    }
    while (!direction.waiting.empty() && direction.waiting.front().due <= now()) {
        const auto &chunk = direction.waiting.front();
        direction.connection->relay->bytes += chunk.bytes.size();
        bufferevent_write(direction.to, chunk.bytes.data(), chunk.bytes.size());
        direction.waiting.pop_front();
    }
    if (!direction.waiting.empty()) {
        const auto left = std::max(direction.waiting.front().due - now(), Duration(std::chrono::microseconds(50)));
        const auto time = toTimeval(left);
        evtimer_add(direction.timer, &time);
    }
}

void onTimer(evutil_socket_t /*fd*/, short /*what*/, void *argument)
{
    deliverDue(*static_cast<Direction *>(argument));
}

void onRead(bufferevent *from, void *argument)
{
    auto &direction = *static_cast<Direction *>(argument);
    auto *input = bufferevent_get_input(from);
    std::string bytes(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, bytes.data(), bytes.size());
    ++direction.connection->relay->packets;
    direction.waiting.push_back({ now() + direction.connection->relay->delay, std::move(bytes) });
    deliverDue(direction);
}

void onEvent(bufferevent * /*from*/, short what, void *argument)
{
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) {
        return;
    }
    auto *connection = static_cast<Direction *>(argument)->connection;
    connection->relay->connections.erase(connection);
    delete connection;
}

void start(Connection &connection, Direction &direction, bufferevent *from, bufferevent *to)
{
    direction.connection = &connection;
    direction.from = from;
    direction.to = to;
    direction.timer = evtimer_new(connection.relay->base, onTimer, &direction);
    bufferevent_setcb(from, onRead, nullptr, onEvent, &direction);
    bufferevent_enable(from, EV_READ | EV_WRITE);
}

void onAccept(evconnlistener * /*listener*/, evutil_socket_t fd, sockaddr * /*peer*/, int /*length*/, void *argument)
{
    auto *relay = static_cast<LinkRelay::Private *>(argument);
    auto *client = bufferevent_socket_new(relay->base, fd, BEV_OPT_CLOSE_ON_FREE);
    auto *server = bufferevent_socket_new(relay->base, -1, BEV_OPT_CLOSE_ON_FREE);
    const auto target = relay->target.toSockaddr();
    if (bufferevent_socket_connect(server, reinterpret_cast<const sockaddr *>(&target), sizeof(target)) != 0) {
        bufferevent_free(client);
        bufferevent_free(server);
        return;
    }
    auto *connection = new Connection;
    connection->relay = relay;
    start(*connection, connection->forward, client, server);
    start(*connection, connection->backward, server, client);
    relay->connections.insert(connection);
}

Connection::~Connection()
{
    closeDirection(forward);
    closeDirection(backward);
}

} // namespace

Result<std::unique_ptr<LinkRelay>>
LinkRelay::create(event_base *base, const SocketAddress &listen, const SocketAddress &target, Duration delay)
{
    auto d = std::make_unique<Private>();
    d->base = base;
    d->listenPort = listen.port;
    d->target = target;
    d->delay = delay;
    const auto address = listen.toSockaddr();
    constexpr unsigned kOptions = LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE;
    constexpr int kBacklog = 256;
    d->listener = evconnlistener_new_bind(
        base, onAccept, d.get(), kOptions, kBacklog, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
    if (!d->listener) {
        return fail(ErrorCode::Io, fmt::format("cannot listen on {}", listen.toString()));
    }
    return std::unique_ptr<LinkRelay>(new LinkRelay(std::move(d)));
}

LinkRelay::LinkRelay(std::unique_ptr<Private> d)
    : m_d(std::move(d))
{
}

LinkRelay::~LinkRelay()
{
    reset();
    evconnlistener_free(m_d->listener);
}

void LinkRelay::setCut(LinkCut cut)
{
    m_d->cut = cut;
    for (auto *it : m_d->connections) {
        deliverDue(it->forward);
        deliverDue(it->backward);
    }
}

void LinkRelay::setDelay(Duration delay)
{
    m_d->delay = delay;
}

void LinkRelay::reset()
{
    for (auto *it : m_d->connections) {
        delete it;
    }
    m_d->connections.clear();
}

std::uint16_t LinkRelay::listenPort() const
{
    return m_d->listenPort;
}

std::uint64_t LinkRelay::bytes() const
{
    return m_d->bytes;
}

std::uint64_t LinkRelay::packets() const
{
    return m_d->packets;
}

} // namespace Toucandeck::Standin
