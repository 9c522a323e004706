#include "trial.h"

#include <set>
#include <sys/resource.h>

using namespace Review;

namespace
{

constexpr std::size_t kCrowd = 1000; ///< Fewer than the 1024 connections that a gateway takes.
constexpr std::size_t kAnnouncedBytes = 200'000;
constexpr std::size_t kSentBytes = 180'000;
constexpr std::size_t kReportBytes = 400'000;
constexpr std::size_t kCallers = 8;
constexpr std::size_t kMaxLost = 3; ///< The rule is broken if more than three are lost.
constexpr Milliseconds kBefore{ 2000 };
constexpr Milliseconds kDuring{ 10000 };
constexpr Milliseconds kPause{ 150 };
constexpr Milliseconds kAnswerLimit{ 3000 };
constexpr Milliseconds kConnectLimit{ 1000 };

/// Ordinary callers, each with a kept connection on which it sends one request after the other and reads each answer at once.
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

    int answered() const
    {
        return m_answered;
    }

    std::set<std::string> unanswered()
    {
        const std::lock_guard lock(m_mutex);
        return m_unanswered;
    }

private:
    void run(std::size_t caller)
    {
        Socket socket;
        std::string rest;
        for (int n = 0; !m_stopped; ++n) {
            if (!socket.isOpen()) {
                socket = Socket::connect(m_deployment.outbound(0), kConnectLimit);
                rest.clear();
            }
            const auto id = "c" + std::to_string(caller) + "-" + std::to_string(n);
            std::optional<Message> answer;
            if (socket.send("POST /x/report HTTP/1.1\r\nHost: write.example\r\nX-Toucandeck-Request-Id: " + id
                                + "\r\nX-Toucandeck-Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n",
                            kConnectLimit)) {
                answer = readMessage(socket, rest, kAnswerLimit);
            }
            m_record.write("caller sends " + id + ": "
                           + (answer ? answer->startLine + ", " + std::to_string(answer->body.size()) + " bytes"
                                     : "the connection ends without a complete answer"));
            if (answer) {
                ++m_answered;
            } else {
                const std::lock_guard lock(m_mutex);
                m_unanswered.insert(id);
            }
            if (!answer || answer->header("connection") == "close") {
                socket.close();
            }
            std::this_thread::sleep_for(kPause);
        }
    }

    Deployment &m_deployment;
    Record &m_record;
    std::atomic<bool> m_stopped{ false };
    std::atomic<int> m_answered{ 0 };
    std::mutex m_mutex;
    std::set<std::string> m_unanswered;
    std::vector<std::thread> m_threads;
};

void raiseDescriptorLimit()
{
    rlimit files{};
    ::getrlimit(RLIMIT_NOFILE, &files);
    files.rlim_cur = files.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &files);
}

} // namespace

/// A crowd of clients stops short of the end of small bodies, while ordinary callers on kept connections get answers of 400 KB.
int main(int, char **argv)
{
    CaseRun run(argv[1]);
    auto &record = run.record();
    raiseDescriptorLimit();
    auto options = run.deployment({ "office", "archive", "archive" });
    options.reportBytes = kReportBytes;
    Deployment deployment(options, record);
    const nlohmann::json manifest{ { "version", 1 },
                                   { "baseVersion", 0 },
                                   { "routes", { { "write", routeEntry("write.example", "unsafe", "archive", "3000ms") } } },
                                   { "services", { { "office", serviceEntry(false) }, { "archive", serviceEntry(false) } } },
                                   { "limits", limitsEntry() } };
    if (!deployment.start(manifest)) {
        return run.finish(kCouldNotRun, "the deployment did not get ready");
    }
    std::this_thread::sleep_for(Milliseconds(3000));
    Callers callers(deployment, record);
    std::this_thread::sleep_for(kBefore);
    std::vector<Socket> crowd;
    for (std::size_t n = 0; run.hasTrouble() && n < kCrowd; ++n) {
        crowd.push_back(Socket::connect(deployment.outbound(0), kConnectLimit));
        crowd.back().send("POST /x/order HTTP/1.1\r\nHost: write.example\r\nX-Toucandeck-Request-Id: s" + std::to_string(n)
                              + "\r\nContent-Length: " + std::to_string(kAnnouncedBytes) + "\r\n\r\n" + std::string(kSentBytes, 'x'),
                          kConnectLimit);
    }
    record.write("the crowd has " + std::to_string(crowd.size()) + " connections");
    std::this_thread::sleep_for(kDuring);
    const bool lives = deployment.isGatewayRunning(0);
    callers.stop();
    const auto unanswered = callers.unanswered();
    std::size_t lost = 0;
    for (std::size_t i = 0; i < deployment.gateways(); ++i) {
        for (const auto &it : deployment.instance(i).runs()) {
            lost += unanswered.count(it.id);
        }
    }
    const auto verdict = std::to_string(callers.answered()) + " requests of ordinary callers were answered; " + std::to_string(lost)
        + " ran at an instance and their connections ended without an answer" + (lives ? "" : "; the gateway has ended");
    return run.finish(lost > kMaxLost ? kBroken : kHeld, verdict);
}
