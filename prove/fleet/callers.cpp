#include "callers.h"

#include <fmt/format.h>

namespace Toucandeck::Prove
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds kDeadline{ 2000 };
constexpr milliseconds kMaxClientPause{ 300 }; ///< Of a client with a kept connection, after a response.
constexpr milliseconds kCrossingTime{ 200 }; ///< A request sent longer before the close of its connection did not cross it.
constexpr milliseconds kTickInterval{ 10 };

bool guaranteesNotExecuted(int status)
{
    return status == 429 || status == 503 || status == 408 || status == 421;
}

} // namespace

Callers::Callers(EventLoop &loop, Fleet &fleet, RandomSource &random, double perSecond)
    : m_loop(loop)
    , m_fleet(fleet)
    , m_random(random)
    , m_lastTick(loop.clock().now())
    , m_tickTimer(loop.every(kTickInterval, [this] { tick(); }))
    , m_timer(
          loop.every(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / perSecond)), [this] { sendOnNewConnection(); }))
{
    for (int i = 0; i < fleet.gateways(); ++i) {
        m_persistentClients.push_back(std::make_unique<PersistentClient>(PersistentClient{ i, nullptr, {} }));
        sendOnKeptConnection(*m_persistentClients.back());
    }
}

Callers::SentRequestPtr Callers::createRequest(HttpRequest &request)
{
    const bool keyed = m_random.below(2) == 0;
    auto it = std::make_shared<SentRequest>();
    it->id = fmt::format("{:016x}", m_random.next());
    it->idempotent = m_random.below(2) == 0;
    it->sentAt = m_loop.clock().now();
    it->suspendedBefore = suspendedTime();
    request = { it->idempotent ? "GET" : "POST", "/x/" + it->id, {}, {} };
    request.headers = { { "Host", fmt::format("{}.{}", it->idempotent ? "read" : "write", keyed ? "keyed" : "plain") },
                        { "X-Toucandeck-Request-Id", it->id },
                        { "X-Toucandeck-Deadline-Ms", std::to_string(kDeadline.count()) } };
    if (keyed) {
        request.headers.push_back({ "X-Toucandeck-Shard-Key", std::to_string(m_random.below(kKeyCount)) });
    }
    m_sentRequests.push_back(it);
    return it;
}

void Callers::record(const SentRequestPtr &it, const BackendResult &result)
{
    it->status = result.error == BackendError::None ? result.response.status : 0;
    it->body = result.response.body;
}

void Callers::sendOnNewConnection()
{
    const auto gateway = static_cast<int>(m_random.below(static_cast<std::uint64_t>(m_fleet.gateways())));
    HttpRequest request;
    const auto it = createRequest(request);
    const auto connection = std::make_shared<BackendConnection>(m_loop, m_fleet.outbound(gateway), std::string());
    connection->send(request, std::string(), [this, it, connection](const BackendResult &result) {
        record(it, result);
        m_loop.runSoon([connection] {});
    });
}

void Callers::sendOnKeptConnection(PersistentClient &client)
{
    if (!client.connection || !client.connection->isReusable()) {
        client.connection = std::make_unique<BackendConnection>(m_loop, m_fleet.outbound(client.gateway), std::string());
    }
    HttpRequest request;
    const auto it = createRequest(request);
    client.connection->send(
        request, std::string(), [this, it, &client](const BackendResult &result) { onKeptConnectionResult(client, it, result); });
}

void Callers::onKeptConnectionResult(PersistentClient &client, const SentRequestPtr &it, const BackendResult &result)
{
    record(it, result);
    const bool sent = result.error != BackendError::Refused && result.error != BackendError::ConnectFailed;
    m_sentToStopping += sent && m_fleet.isStopping(client.gateway) ? 1 : 0;
    checkUnanswered(client, *it, result.error);
    const milliseconds pause(m_random.below(static_cast<std::uint64_t>(kMaxClientPause.count())));
    client.pause = m_loop.after(pause, [this, &client] { sendOnKeptConnection(client); });
}

void Callers::checkUnanswered(const PersistentClient &client, const SentRequest &it, BackendError error)
{
    const bool lost = error == BackendError::ConnectionLost || error == BackendError::InvalidResponse;
    const auto age = m_loop.clock().now() - it.sentAt;
    const auto suspended = suspendedTime() - it.suspendedBefore;
    if (lost && m_fleet.isStopping(client.gateway) && age - suspended > kCrossingTime) {
        using std::chrono::duration_cast;
        m_fleet.audit().violation(fmt::format("request {} got no answer from the stopping gateway {}, sent {} ms before the close ({} ms "
                                              "without processing events)",
                                              it.id,
                                              client.gateway,
                                              duration_cast<milliseconds>(age).count(),
                                              duration_cast<milliseconds>(suspended).count()));
    }
}

void Callers::tick()
{
    m_suspendedTime = suspendedTime();
    m_lastTick = m_loop.clock().now();
}

Duration Callers::suspendedTime() const
{
    return m_suspendedTime + std::max<Duration>(m_loop.clock().now() - m_lastTick - 2 * kTickInterval, Duration::zero());
}

void Callers::check()
{
    auto &audit = m_fleet.audit();
    std::set<std::string> known;
    for (const auto &it : m_sentRequests) {
        known.insert(it->id);
        const int runs = audit.runsOf(it->id);
        if (guaranteesNotExecuted(it->status) && runs > 0 && !it->idempotent) {
            audit.violation(fmt::format("request {} got {} and has run", it->id, it->status));
        }
        if (it->status == 200 && (it->body != it->id || runs == 0)) {
            audit.violation(fmt::format("request {} got the answer '{}' after {} runs", it->id, it->body, runs));
        }
        if (it->status == 404) {
            audit.violation(fmt::format("request {} got 404 though its route was always there", it->id));
        }
    }
    for (const auto &[id, runs] : audit.runs()) {
        if (known.count(id) == 0) {
            audit.violation(fmt::format("request {} ran and nobody sent it", id));
        }
    }
}

std::uint64_t Callers::sentCount() const
{
    return m_sentRequests.size();
}

std::uint64_t Callers::servedCount() const
{
    const auto all = statusCounts();
    const auto it = all.find(200);
    return it == all.end() ? 0 : it->second;
}

std::uint64_t Callers::sentToStoppingCount() const
{
    return m_sentToStopping;
}

double Callers::takeServedShare()
{
    std::size_t served = 0;
    const auto from = std::exchange(m_checkedFrom, m_sentRequests.size());
    for (auto i = from; i < m_sentRequests.size(); ++i) {
        served += m_sentRequests[i]->status == 200 ? 1 : 0;
    }
    return m_sentRequests.size() == from ? 0 : static_cast<double>(served) / static_cast<double>(m_sentRequests.size() - from);
}

std::map<int, std::uint64_t> Callers::statusCounts() const
{
    std::map<int, std::uint64_t> all;
    for (const auto &it : m_sentRequests) {
        ++all[it->status];
    }
    return all;
}

} // namespace Toucandeck::Prove
