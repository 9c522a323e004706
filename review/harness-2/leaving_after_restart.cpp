// A node is stopped and started again beside its instance. The instance leaves meanwhile: its call to deregister is the first that the
// new process gets, and is confirmed.

#include "scenario.h"

#include <algorithm>
#include <csignal>
#include <set>

using namespace Review;

namespace
{

using Clock = std::chrono::steady_clock;

constexpr Milliseconds kTimeout{ 2000 };
constexpr Milliseconds kWork{ 150 };
constexpr Milliseconds kRequestInterval{ 20 };
constexpr Milliseconds kGrace{ 6000 };
constexpr Milliseconds kDrain{ 2000 };
constexpr Milliseconds kContact{ 3000 };
constexpr Milliseconds kMargin{ 500 };
constexpr Milliseconds kServesFor{ 9000 }; ///< After the confirmation.
constexpr Milliseconds kRetryPause{ 50 };
constexpr Milliseconds kLoadTime{ 3400 }; ///< Before the node is stopped.
constexpr const char *kService = "judge";

/// Sends requests at a steady rate through the gateways that are not touched.
class Load
{
public:
    Load(std::vector<Address> entries)
        : m_entries(std::move(entries))
        , m_thread([this] { send(); })
    {
    }

    ~Load()
    {
        stop();
    }

    Load(const Load &) = delete;
    Load &operator=(const Load &) = delete;

    /// Waits until all requests have ended.
    void stop()
    {
        m_stopping = true;
        if (m_thread.joinable()) {
            m_thread.join();
        }
        for (auto &it : m_clients) {
            it.join();
        }
        m_clients.clear();
    }

    /// True if the request was answered with success. After stop().
    bool isServed(const std::string &requestId) const
    {
        return m_served.contains(requestId);
    }

private:
    void sendOne(const Address &entry, const std::string &requestId)
    {
        const auto request = requestText("POST", "/unsafe/answer", clientHeaders(kService, requestId, kTimeout), "42");
        const auto answer = call(entry, request, kTimeout);
        if (answer && answer->status() == 200) {
            const std::scoped_lock lock(m_mutex);
            m_served.insert(requestId);
        }
    }

    void send()
    {
        for (std::size_t n = 0; !m_stopping; ++n) {
            m_clients.emplace_back([this, n] { sendOne(m_entries[n % m_entries.size()], "answer-" + std::to_string(n)); });
            std::this_thread::sleep_for(kRequestInterval);
        }
    }

    std::vector<Address> m_entries;
    std::mutex m_mutex;
    std::set<std::string> m_served;
    std::atomic<bool> m_stopping = false;
    std::vector<std::thread> m_clients;
    std::thread m_thread;
};

/// Calls until there is a confirmation. Returns its time.
std::optional<Clock::time_point> deregister(Instance &instance, Recorder &recorder)
{
    const auto end = Clock::now() + kGrace;
    while (Clock::now() < end) {
        if (instance.deregister()) {
            recorder.write(instance.id() + " has deregistered: 200");
            return Clock::now();
        }
        std::this_thread::sleep_for(kRetryPause);
    }
    return std::nullopt;
}

Verdict play(const Scenario &scenario)
{
    auto &recorder = scenario.recorder;
    Deployment deployment(recorder, { { kService, "zone-0" }, { kService, "zone-1" }, { "front", "zone-2" }, { "front", "zone-3" } });
    std::vector<std::unique_ptr<Instance>> instances;
    for (const auto &it : deployment.gateways()) {
        instances.push_back(std::make_unique<Instance>(it, recorder, kWork));
    }
    if (!bringUp(deployment, instances, { { kService, kTimeout }, { "front", kTimeout } })) {
        return Verdict::NotRun;
    }
    auto &vms = deployment.gateways();
    Load load({ vms[2].outbound, vms[3].outbound });
    std::this_thread::sleep_for(kLoadTime);
    if (scenario.trouble) {
        recorder.write("SIGTERM to the node beside " + instances.front()->id());
        vms.front().process->signal(SIGTERM);
        if (!vms.front().process->waitForEnd(kGrace)) {
            return Verdict::NotRun;
        }
        vms.front().process->start();
        recorder.write("the node is started again");
    }
    const auto started = Clock::now();
    const auto confirmed = deregister(*instances.front(), recorder);
    if (!confirmed) {
        return Verdict::NotRun;
    }
    std::this_thread::sleep_for(kServesFor);
    recorder.write(instances.front()->id() + " exits");
    instances.front()->exit();
    load.stop();
    // Counted are requests that arrive after `drain`, when the node beside the instance has long been in touch again.
    const auto from = std::max(*confirmed + kDrain, started + kContact) + kMargin;
    int before = 0;
    int late = 0;
    int lost = 0;
    for (const auto &it : instances.front()->runs()) {
        before += it.at < started ? 1 : 0;
        late += it.at > from ? 1 : 0;
        lost += it.at > from && !load.isServed(it.requestId) ? 1 : 0;
    }
    recorder.write(instances.front()->id() + " ran " + std::to_string(before) + " requests before, and " + std::to_string(late)
                   + " that arrived after the time to drain; of these " + std::to_string(lost) + " were lost with it");
    if (before == 0) {
        return Verdict::NotRun;
    }
    return late > 0 ? Verdict::Broken : Verdict::Held;
}

} // namespace

int main(int argc, char **argv)
{
    return runScenario(argc, argv, play);
}
