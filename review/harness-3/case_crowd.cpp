#include "trial.h"

#include <sys/resource.h>

using namespace Review;

namespace
{

constexpr std::size_t kCrowd = 1100;
constexpr std::size_t kBodyBytes = 1000;
constexpr std::size_t kCallers = 8; ///< The rule asks for seven or more.
constexpr Milliseconds kContact{ 3000 };
constexpr Milliseconds kBefore{ 3000 };
constexpr Milliseconds kDuring{ 10000 };
constexpr Milliseconds kPause{ 200 }; ///< Between two attempts of a caller.
constexpr Milliseconds kAttemptLimit{ 1000 };

/// Ordinary callers, each of which sends one request after the other, each on a new connection.
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
        update(false);
    }

    /// Longest time in which the gateway said that it is ready and no request of any caller was answered.
    Milliseconds longestSilence()
    {
        const std::lock_guard lock(m_mutex);
        return m_longest;
    }

    int answered() const
    {
        return m_answered;
    }

    int unanswered() const
    {
        return m_unanswered;
    }

    void onReadiness(bool ready)
    {
        m_record.write(ready ? "ready: 200" : "ready: not 200");
        if (!ready) {
            update(true);
        }
    }

private:
    void run(std::size_t caller)
    {
        for (int n = 0; !m_stopped; ++n) {
            const auto id = "c" + std::to_string(caller) + "-" + std::to_string(n);
            const auto answer = exchange(m_deployment.outbound(0),
                                         "GET /x/page HTTP/1.1\r\nHost: read.example\r\nX-Toucandeck-Request-Id: " + id
                                             + "\r\nX-Toucandeck-Deadline-Ms: 1000\r\n\r\n",
                                         kAttemptLimit);
            m_record.write("caller sends " + id + ": " + (answer ? answer->startLine : "no answer"));
            (answer ? m_answered : m_unanswered) += 1;
            update(answer.has_value());
            std::this_thread::sleep_for(kPause);
        }
    }

    void update(bool served)
    {
        const std::lock_guard lock(m_mutex);
        const auto now = Clock::now();
        m_longest = std::max(m_longest, std::chrono::duration_cast<Milliseconds>(now - m_lastServed));
        m_lastServed = served ? now : m_lastServed;
    }

    Deployment &m_deployment;
    Record &m_record;
    std::atomic<bool> m_stopped{ false };
    std::atomic<int> m_answered{ 0 };
    std::atomic<int> m_unanswered{ 0 };
    std::mutex m_mutex;
    Clock::time_point m_lastServed = Clock::now();
    Milliseconds m_longest{ 0 };
    std::vector<std::thread> m_threads;
};

} // namespace

/// A crowd of clients stops just short of the end of a small body and stays open, while ordinary callers send requests.
int main(int, char **argv)
{
    CaseRun run(argv[1]);
    auto &record = run.record();
    rlimit files{};
    ::getrlimit(RLIMIT_NOFILE, &files);
    files.rlim_cur = files.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &files);
    Deployment deployment(run.deployment({ "office", "catalogue", "catalogue" }), record);
    const nlohmann::json manifest{ { "version", 1 },
                                   { "baseVersion", 0 },
                                   { "routes",
                                     { { "read", routeEntry("read.example", "safe", "catalogue", "2000ms") },
                                       { "write", routeEntry("write.example", "unsafe", "catalogue", "2000ms") } } },
                                   { "services", { { "office", serviceEntry(false) }, { "catalogue", serviceEntry(false) } } },
                                   { "limits", limitsEntry() } };
    if (!deployment.start(manifest)) {
        return run.finish(kCouldNotRun, "the deployment did not get ready");
    }
    std::this_thread::sleep_for(Milliseconds(3000));
    Callers callers(deployment, record);
    std::this_thread::sleep_for(kBefore);
    std::vector<Socket> crowd;
    for (std::size_t n = 0; run.hasTrouble() && n < kCrowd; ++n) {
        crowd.push_back(Socket::connect(deployment.outbound(0), kAttemptLimit));
        crowd.back().send("POST /x/order HTTP/1.1\r\nHost: write.example\r\nX-Toucandeck-Request-Id: s" + std::to_string(n)
                              + "\r\nContent-Length: " + std::to_string(kBodyBytes) + "\r\n\r\n" + std::string(kBodyBytes - 1, 'x'),
                          kAttemptLimit);
    }
    record.write("the crowd has " + std::to_string(crowd.size()) + " connections");
    const auto end = Clock::now() + kDuring;
    while (Clock::now() < end) {
        callers.onReadiness(deployment.isReady(0));
        std::this_thread::sleep_for(Milliseconds(1000));
    }
    callers.stop();
    const auto verdict = std::to_string(callers.answered()) + " requests of ordinary callers were answered, "
        + std::to_string(callers.unanswered())
        + " were not; longest time without an answer at a ready gateway: " + std::to_string(callers.longestSilence().count()) + " ms";
    return run.finish(callers.longestSilence() > kContact ? kBroken : kHeld, verdict);
}
