#pragma once

#include "deployment.h"

#include <atomic>
#include <thread>

namespace Review
{

/// A request that an instance has begun to work on.
struct Run
{
    std::chrono::steady_clock::time_point at;
    std::string requestId;
    std::string method;
    std::string target;
    std::string body; ///< Only the first bytes of a large one.
    std::size_t bodyBytes = 0;
};

/// Stand-in of an instance: reports itself to the gateway beside it each 870 ms and answers requests that name it.
class Instance
{
public:
    Instance(const GatewayVm &vm, Recorder &recorder, Milliseconds work);
    ~Instance();
    Instance(const Instance &) = delete;
    Instance &operator=(const Instance &) = delete;

    void start();
    /// From now on each second request fails with 503 after it has been worked on, as with a dependency that is not available. The
    /// response does not say that the request was not run, since that would be false.
    void startFailing();
    /// Sends the call that it leaves once; true if it was confirmed.
    bool deregister();
    /// Ends at once: requests that it works on get no answer.
    void exit();

    std::vector<Run> runs();
    const std::string &id() const;

private:
    void acceptConnections();
    void serve(Connection &connection);
    void answer(Connection &connection, const Message &request);
    void sendHeartbeats();
    void heartbeat();
    std::optional<Message> callGateway(const std::string &action, const std::string &body) const;

    std::string m_service;
    std::string m_zone;
    Address m_address;
    Address m_control;
    Recorder &m_recorder;
    Milliseconds m_work;
    std::int64_t m_bornMs;
    std::string m_id;
    int m_listener = -1;
    std::atomic<bool> m_stopping = false;
    std::atomic<bool> m_failing = false;
    std::atomic<unsigned> m_answered = 0;
    std::uint64_t m_sequence = 0;
    std::mutex m_mutex;
    std::vector<Run> m_runs;
    std::vector<std::shared_ptr<Connection>> m_connections;
    std::vector<std::thread> m_threads;
};

} // namespace Review
