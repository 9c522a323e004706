#include "trial.h"

#include <sys/resource.h>
#include <sys/socket.h>

using namespace Review;

namespace
{

constexpr std::size_t kCrowd = 600; ///< Fewer than the 1024 connections that a gateway takes.
constexpr std::size_t kAheadBytes = 1U << 20U; ///< Of requests, sent ahead on each connection.
constexpr std::size_t kCallers = 8;
constexpr int kLeastLate = 8;
constexpr Milliseconds kTimeout{ 2000 }; ///< Of the route.
constexpr Milliseconds kAfterTimeout{ 500 };
constexpr Milliseconds kAnswerLimit{ 8000 };
constexpr Milliseconds kDuring{ 20000 };
constexpr Milliseconds kPause{ 200 };
constexpr std::size_t kGateway = 1; ///< Beside the only instance of the service.

/// Ordinary callers, each with one request at a time on a new connection.
class Callers
{
public:
    Callers(Deployment &deployment, Record &record)
        : m_deployment(deployment)
        , m_record(record)
    {
        for (std::size_t n = 0; n < kCallers; ++n) {
            m_threads.emplace_back([this, n] { run(n); });
        }
    }

    ~Callers()
    {
        stop();
    }

    Callers(const Callers &) = delete;
    Callers &operator=(const Callers &) = delete;

    void stop()
    {
        m_stopped = true;
        for (auto &it : m_threads) {
            it.join();
        }
        m_threads.clear();
    }

    int inTime() const
    {
        return m_inTime;
    }

    /// Requests without an answer at the timeout of their route.
    int unansweredAtTimeout() const
    {
        return m_unanswered;
    }

    /// Of these, the ones without an answer half a second later.
    int late() const
    {
        return m_late;
    }

private:
    void run(std::size_t caller)
    {
        for (int n = 0; !m_stopped; ++n) {
            const auto id = "c" + std::to_string(caller) + "-" + std::to_string(n);
            const auto start = Clock::now();
            const auto answer = exchange(m_deployment.outbound(kGateway),
                                         "GET /x/page HTTP/1.1\r\nHost: read.example\r\nX-Toucandeck-Request-Id: " + id
                                             + "\r\nX-Toucandeck-Deadline-Ms: 2000\r\n\r\n",
                                         kAnswerLimit);
            const auto took = std::chrono::duration_cast<Milliseconds>(Clock::now() - start);
            m_record.write("caller sends " + id + ": " + (answer ? answer->startLine : "no answer") + " after "
                           + std::to_string(took.count()) + " ms");
            m_inTime += took <= kTimeout ? 1 : 0;
            m_unanswered += took > kTimeout ? 1 : 0;
            m_late += took > kTimeout + kAfterTimeout ? 1 : 0;
            std::this_thread::sleep_for(kPause);
        }
    }

    Deployment &m_deployment;
    Record &m_record;
    std::atomic<bool> m_stopped{ false };
    std::atomic<int> m_inTime{ 0 };
    std::atomic<int> m_unanswered{ 0 };
    std::atomic<int> m_late{ 0 };
    std::vector<std::thread> m_threads;
};

std::string requestsAhead()
{
    std::string text;
    while (text.size() < kAheadBytes) {
        text += "GET /x/page HTTP/1.1\r\nHost: read.example\r\n\r\n";
    }
    return text;
}

/// Connections that send requests ahead, as fast as the gateway takes them, and read no answer.
class Crowd
{
public:
    Crowd(const Address &address, std::size_t size)
        : m_text(requestsAhead())
        , m_sent(size)
    {
        for (std::size_t n = 0; n < size; ++n) {
            m_sockets.push_back(Socket::connect(address, Milliseconds(1000)));
        }
    }

    void send()
    {
        for (std::size_t n = 0; n < m_sockets.size(); ++n) {
            auto &sent = m_sent[n];
            if (m_sockets[n].isOpen() && sent < m_text.size()) {
                const auto written
                    = ::send(m_sockets[n].descriptor(), m_text.data() + sent, m_text.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
                sent += written > 0 ? static_cast<std::size_t>(written) : 0;
            }
        }
    }

private:
    std::string m_text;
    std::vector<std::size_t> m_sent;
    std::vector<Socket> m_sockets;
};

} // namespace

/// A crowd sends many requests ahead on each connection and reads no answer, while ordinary callers use the same gateway.
int main(int, char **argv)
{
    CaseRun run(argv[1]);
    auto &record = run.record();
    rlimit files{};
    ::getrlimit(RLIMIT_NOFILE, &files);
    files.rlim_cur = files.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &files);
    Deployment deployment(run.deployment({ "office", "archive", "office" }), record);
    const nlohmann::json manifest{ { "version", 1 },
                                   { "baseVersion", 0 },
                                   { "routes", { { "read", routeEntry("read.example", "safe", "archive", "2000ms") } } },
                                   { "services", { { "office", serviceEntry(false) }, { "archive", serviceEntry(false) } } },
                                   { "limits", limitsEntry() } };
    if (!deployment.start(manifest)) {
        return run.finish(kCouldNotRun, "the deployment did not get ready");
    }
    std::this_thread::sleep_for(Milliseconds(3000));
    Callers callers(deployment, record);
    std::this_thread::sleep_for(Milliseconds(1000));
    record.write("the crowd comes");
    Crowd crowd(deployment.outbound(kGateway), run.hasTrouble() ? kCrowd : 0);
    const auto end = Clock::now() + kDuring;
    while (Clock::now() < end) {
        crowd.send();
        std::this_thread::sleep_for(Milliseconds(20));
    }
    callers.stop();
    const auto verdict = std::to_string(callers.inTime()) + " requests of ordinary callers were answered in time; of "
        + std::to_string(callers.unansweredAtTimeout()) + " that were not at their route's timeout, " + std::to_string(callers.late())
        + " had no answer half a second later";
    const bool broken = callers.late() >= kLeastLate && callers.late() * 2 > callers.unansweredAtTimeout();
    return run.finish(broken ? kBroken : kHeld, verdict);
}
