#include "callers.h"

#include <fmt/format.h>

namespace Toucandeck::Prove
{

namespace
{

constexpr std::chrono::milliseconds kDeadline{ 2000 };

bool guaranteesNotExecuted(int status)
{
    return status == 429 || status == 503 || status == 408 || status == 421;
}

} // namespace

Callers::Callers(EventLoop &loop, Fleet &fleet, RandomSource &random, double perSecond)
    : m_loop(loop)
    , m_fleet(fleet)
    , m_random(random)
    , m_timer(loop.every(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / perSecond)), [this] { send(); }))
{
}

void Callers::send()
{
    const auto gateway = static_cast<int>(m_random.below(static_cast<std::uint64_t>(m_fleet.gateways())));
    const bool keyed = m_random.below(2) == 0;
    const auto it = std::make_shared<SentRequest>();
    it->id = fmt::format("{:016x}", m_random.next());
    it->idempotent = m_random.below(2) == 0;
    HttpRequest request{ it->idempotent ? "GET" : "POST", "/x/" + it->id, {}, {} };
    request.headers = { { "Host", fmt::format("{}.{}", it->idempotent ? "read" : "write", keyed ? "keyed" : "plain") },
                        { "X-Toucandeck-Request-Id", it->id },
                        { "X-Toucandeck-Deadline-Ms", std::to_string(kDeadline.count()) } };
    if (keyed) {
        request.headers.push_back({ "X-Toucandeck-Shard-Key", std::to_string(m_random.below(kKeyCount)) });
    }
    it->connection = std::make_unique<BackendConnection>(m_loop, m_fleet.outbound(gateway), std::string());
    it->connection->send(request, std::string(), [this, it](const BackendResult &result) { onResult(it, result); });
    m_sentRequests.push_back(it);
}

void Callers::onResult(const std::shared_ptr<SentRequest> &it, const BackendResult &result)
{
    it->status = result.error == BackendError::None ? result.response.status : 0;
    it->body = result.response.body;
    m_loop.runSoon([it] { it->connection.reset(); });
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
