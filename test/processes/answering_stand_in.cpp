#include "answering_stand_in.h"

namespace Toucandeck
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kAnnounceInterval{ 300 };
constexpr seconds kAnnounceTimeout{ 1 };
constexpr milliseconds kEndDelay{ 100 }; ///< Lets the router read the answer before the connection ends.

} // namespace

AnsweringStandIn::AnsweringStandIn(EventLoop &loop, Standin::LocalCluster &cluster, std::string service, std::vector<std::string> instances)
    : m_loop(loop)
    , m_cluster(cluster)
    , m_service(std::move(service))
    , m_instances(std::move(instances))
    , m_client(loop, HttpClientOptions(), m_logger)
    , m_server(loop, [this](RawPeer &it) { respond(it); })
    , m_announcer(loop.every(kAnnounceInterval, [this] { announce(); }))
{
    for (const auto &it : m_instances) {
        m_cluster.kill(it);
    }
}

void AnsweringStandIn::answerPosts(std::string answer, ConnectionEnding ending)
{
    m_answer = std::move(answer);
    m_ending = ending;
}

std::size_t AnsweringStandIn::posts() const
{
    return m_posts;
}

void AnsweringStandIn::respond(RawPeer &peer)
{
    if (!peer.head().starts_with("POST")) {
        peer.write(kWholeAnswer);
        return;
    }
    ++m_posts;
    peer.stopReading();
    peer.write(m_answer);
    m_connectionEnd = m_loop.after(kEndDelay, [this, &peer] { endConnection(peer, m_ending); });
}

void AnsweringStandIn::announce()
{
    for (const auto &it : m_instances) {
        const nlohmann::json announcement{ { "service", m_service }, { "instance", it },     { "address", m_server.address() },
                                           { "slots", 9 },           { "connections", 100 }, { "fenced", true },
                                           { "cold", false } };
        m_client.send(m_cluster.routerAddress(it),
                      { "POST", "/toucandeck/announce", {}, announcement.dump() },
                      kAnnounceTimeout,
                      [](const HttpResult &) {});
    }
}

} // namespace Toucandeck
