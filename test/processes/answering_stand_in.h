#pragma once

#include "local_cluster.h"

#include "runtime/connection_ending.h"
#include "runtime/raw_server.h"

#include <string>
#include <vector>

namespace Toucandeck
{

/// Takes the place of backend servers of a cluster. It answers a POST as the test says before it has read the body, and any other request
/// with kWholeAnswer.
class AnsweringStandIn
{
public:
    static constexpr const char *kWholeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";

    /// Kills the backend servers of these instances of a service and announces itself to their routers in their place.
    AnsweringStandIn(EventLoop &loop, Standin::LocalCluster &cluster, std::string service, std::vector<std::string> instances);

    /// Sets the answer to each POST, and how the connection ends after it.
    void answerPosts(std::string answer, ConnectionEnding ending);

    /// Number of POSTs so far.
    std::size_t posts() const;

private:
    void respond(RawPeer &peer);
    void announce();

    EventLoop &m_loop;
    Standin::LocalCluster &m_cluster;
    std::string m_service;
    std::vector<std::string> m_instances;
    NullLogger m_logger;
    HttpClient m_client;
    std::string m_answer;
    ConnectionEnding m_ending = ConnectionEnding::Open;
    std::size_t m_posts = 0;
    EventLoop::Watch m_connectionEnd;
    RawServer m_server;
    EventLoop::Watch m_announcer;
};

} // namespace Toucandeck
