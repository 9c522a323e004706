// A backend server deregisters. After a restart of the gateway beside it, one of its heartbeats that comes late puts it back into use.
#include "../harness/harness.h"

using namespace Review;

namespace
{

constexpr milliseconds kDrain{ 2000 };
constexpr milliseconds kContact{ 3000 };
constexpr milliseconds kDowntime{ 500 }; ///< Between the end of the gateway's process and its restart.
constexpr milliseconds kHeartbeatDelay{ 3000 };
constexpr milliseconds kServesOn{ 12'000 }; ///< The backend server ends this long after its deregistration was confirmed.
constexpr milliseconds kRequestInterval{ 20 };
constexpr milliseconds kWork{ 60 };

std::string firstManifest()
{
    return R"({"version":1,"baseVersion":0,"routes":{"r-pay":{"host":"pay.example","pathPrefix":"/x/","routeType":"unsafe","timeout":"2s",)"
           R"("targetLatency":"500ms","priority":0,"service":"office","maxAttempts":1}},)"
           R"("services":{"office":{"healthPath":"/health","maxConnections":110},"desk":{"healthPath":"/health","maxConnections":110}}})";
}

/// Sends requests through one gateway, one after the other on connections of their own, until it is stopped.
class Client
{
public:
    Client(Record &record, Address outbound, std::string name)
        : m_record(record)
        , m_outbound(std::move(outbound))
        , m_name(std::move(name))
        , m_thread([this] { run(); })
    {
    }

    ~Client()
    {
        m_stopped = true;
        m_thread.join();
    }

    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    std::map<std::string, int> statuses() const
    {
        const std::lock_guard guard(m_mutex);
        return m_statuses;
    }

private:
    void run()
    {
        for (int i = 0; !m_stopped; ++i) {
            const auto id = m_name + "-" + std::to_string(i);
            const auto answer = exchange(
                m_outbound,
                formatRequest("POST",
                              "/x/" + id,
                              { { "Host", "pay.example" }, { "X-Toucandeck-Request-Id", id }, { "X-Toucandeck-Deadline-Ms", "2000" } },
                              "amount=1"),
                milliseconds(2500));
            const int status = answer ? answer->status() : 0;
            if (status != 200) {
                m_record.write("client: " + id + " is answered " + std::to_string(status) + " " + (answer ? answer->body : "\n"));
            }
            {
                const std::lock_guard guard(m_mutex);
                m_statuses[id] = status;
            }
            sleepFor(kRequestInterval);
        }
    }

    Record &m_record;
    Address m_outbound;
    std::string m_name;
    std::atomic<bool> m_stopped = false;
    mutable std::mutex m_mutex;
    std::map<std::string, int> m_statuses;
    std::thread m_thread;
};

Verdict run(Record &record)
{
    Deployment deployment(record, 5, 2);
    std::list<Server> servers;
    for (const char *service : { "office", "office", "desk", "desk" }) {
        auto options = deployment.serverOptions(deployment.addGateway(service));
        options.work = kWork;
        servers.emplace_back(record, options);
    }
    if (deployment.order("POST", "/toucandeck/config/put", firstManifest(), milliseconds(15'000)) != 200
        || !deployment.awaitReady(milliseconds(10'000))) {
        return Verdict::CouldNotRun;
    }
    sleepFor(milliseconds(3000));
    std::list<Client> clients;
    for (const auto &it : deployment.gateways()) {
        if (it.service == "desk") { // Machines without a disturbance.
            clients.emplace_back(record, it.outbound, "a-" + it.name);
            clients.emplace_back(record, it.outbound, "b-" + it.name);
        }
    }
    sleepFor(milliseconds(4000));

    auto &leaving = servers.front();
    auto &process = deployment.process(deployment.gateways().front().name);
    leaving.endHeartbeats();
    const auto late = leaving.nextBeat(); // Sent now; it arrives late.
    const auto lateAt = Clock::now() + kHeartbeatDelay;
    record.write(leaving.options().id + ": sends a heartbeat, which is held up for 3 s");
    sleepFor(milliseconds(50));
    if (leaving.deregister() != 200) {
        return Verdict::CouldNotRun;
    }
    const auto confirmedAt = Clock::now();
    const auto confirmedMs = record.nowMs();
    sleepFor(milliseconds(1000));
    std::int64_t restartMs = confirmedMs;
    if (hasTrouble()) {
        record.write(process.name() + " is killed");
        process.signal(SIGKILL);
        process.wait();
        sleepFor(kDowntime);
        process.start();
        restartMs = record.nowMs();
        record.write(process.name() + " is started again");
    }
    std::this_thread::sleep_until(lateAt);
    record.write("the late heartbeat is answered " + std::to_string(leaving.post(late)));
    std::this_thread::sleep_until(confirmedAt + kServesOn);
    record.write(leaving.options().id + ": its process ends");
    leaving.stop();
    sleepFor(milliseconds(3000));

    // Counted where all machines are in touch: those of the clients always are, the gateway beside the server is after its restart.
    const auto fromMs = std::max(confirmedMs + kDrain.count(), restartMs + kContact.count());
    int lateRuns = 0;
    int cut = 0;
    std::map<std::string, int> statuses;
    for (const auto &it : clients) {
        statuses.merge(it.statuses());
    }
    for (const auto &it : leaving.runs()) {
        lateRuns += it.atMs > fromMs ? 1 : 0;
        if (!it.finished) {
            ++cut;
            record.write("request " + it.id + " was cut by the end of its server; its client was answered "
                         + std::to_string(statuses[it.id]));
        }
    }
    record.write(std::to_string(lateRuns) + " requests reached " + leaving.options().id + " later than " + std::to_string(fromMs)
                 + " ms; its deregistration was confirmed at " + std::to_string(confirmedMs) + " ms; " + std::to_string(cut)
                 + " were cut by its end");
    return lateRuns > 0 ? Verdict::Broken : Verdict::Held;
}

} // namespace

int main(int argc, char **argv)
{
    return argc < 2 ? static_cast<int>(Verdict::CouldNotRun) : runCase(argv[1], run);
}
