#include "platform/platform_backend.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>

namespace Toucandeck::Standin
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds kReleaseBeat{ 100 }; ///< Between heartbeats while keys are to be released.
constexpr milliseconds kBornStep{ 1 };

std::int64_t wallMs()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

std::optional<std::uint32_t> readKey(const HttpRequest &request)
{
    const auto text = request.header("X-Toucandeck-Shard-Key");
    std::uint32_t key = 0;
    if (!text || std::from_chars(text->data(), text->data() + text->size(), key).ec != std::errc()) {
        return std::nullopt;
    }
    return key;
}

milliseconds readMs(const std::string &text)
{
    return milliseconds(std::strtol(text.c_str(), nullptr, 10));
}

std::vector<KeyRange> without(const std::vector<KeyRange> &ranges, KeyRange taken)
{
    std::vector<KeyRange> rests;
    for (const auto &it : ranges) {
        const auto parts = difference(it, taken);
        rests.insert(rests.end(), parts.begin(), parts.end());
    }
    return rests;
}

} // namespace

PlatformBackend::PlatformBackend(EventLoop &loop, PlatformBackendOptions options, RunAudit &audit)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_audit(audit)
{
}

PlatformBackend::~PlatformBackend() = default;

void PlatformBackend::setPeers(std::vector<const PlatformBackend *> peers)
{
    m_peers = std::move(peers);
}

Result<void> PlatformBackend::start()
{
    m_bornMs = std::max<std::int64_t>(wallMs(), m_bornMs + kBornStep.count());
    m_instance = fmt::format("i-{}-{}", m_options.announced.ip, m_bornMs);
    m_state = "ready";
    m_sequence = 0;
    BOOST_LEAF_ASSIGN(m_server,
                      PipelinedServer::create(
                          m_loop,
                          m_options.listen,
                          [] {
                              return HttpLimits{ 64U << 10U, 64U << 20U };
                          },
                          [this](const std::shared_ptr<HttpExchange> &it) { serve(it); }));
    m_timer = m_loop.every(m_options.heartbeat, [this] { beat(); });
    m_loop.runSoon([this] { beat(); });
    return {};
}

void PlatformBackend::crash()
{
    m_timer.cancel();
    m_releaseTimer.cancel();
    m_work.clear();
    m_runningKeys.clear();
    m_connection.reset();
    m_server.reset();
    m_held.clear();
    m_leaving.clear();
    m_freed = nlohmann::json::array();
}

void PlatformBackend::drain()
{
    m_state = "draining";
    beat();
}

void PlatformBackend::leave()
{
    m_timer.cancel();
    post("deregister", "{}", [](const HttpResponse &) {});
}

bool PlatformBackend::isUp() const
{
    return m_server != nullptr;
}

bool PlatformBackend::holds(std::uint32_t key) const
{
    const auto contains = [key](const Held &it) { return it.range.contains(key); };
    return isUp() && m_loop.clock().now() < m_holdEnd && std::any_of(m_held.begin(), m_held.end(), contains);
}

std::size_t PlatformBackend::heldRows() const
{
    return m_held.size();
}

const std::string &PlatformBackend::instance() const
{
    return m_instance;
}

std::uint64_t PlatformBackend::requestsRun() const
{
    return m_requestsRun;
}

const std::string &PlatformBackend::latestCaller() const
{
    return m_latestCaller;
}

bool PlatformBackend::isWorkedOn(KeyRange range) const
{
    const auto it = m_runningKeys.lower_bound(range.from);
    return it != m_runningKeys.end() && *it <= range.to;
}

std::vector<std::string> PlatformBackend::otherHolders(std::uint32_t key) const
{
    std::vector<std::string> others;
    for (const auto *it : m_peers) {
        if (it != this && it->m_options.service == m_options.service && it->holds(key)) {
            others.push_back(it->instance());
        }
    }
    return others;
}

void PlatformBackend::serve(const std::shared_ptr<HttpExchange> &exchange)
{
    const auto &request = exchange->request();
    const auto key = readKey(request);
    const bool expected = request.header("X-Toucandeck-Expected-Instance") == m_instance;
    if (!expected || (key && !holds(*key))) {
        HttpResponse response;
        response.status = 421;
        response.headers = { { "X-Toucandeck-Not-Executed", "1" },
                             { "X-Toucandeck-Request-Id", std::string(request.header("X-Toucandeck-Request-Id").value_or("")) } };
        exchange->respond(std::move(response));
        return;
    }
    run(exchange, key);
}

void PlatformBackend::run(const std::shared_ptr<HttpExchange> &exchange, std::optional<std::uint32_t> key)
{
    const auto &request = exchange->request();
    const std::string id(request.header("X-Toucandeck-Request-Id").value_or(""));
    m_audit.began(m_instance, id, request.method == "GET", key ? otherHolders(*key) : std::vector<std::string>());
    ++m_requestsRun;
    m_latestCaller = request.header("X-Toucandeck-Caller-Service").value_or("");
    if (key) {
        m_runningKeys.insert(*key);
    }
    const auto work = ++m_nextWork;
    m_work[work] = m_loop.after(m_options.work, [this, exchange, key, work] {
        finish(exchange, key);
        m_loop.runSoon([this, work] { m_work.erase(work); });
    });
}

void PlatformBackend::finish(const std::shared_ptr<HttpExchange> &exchange, std::optional<std::uint32_t> key)
{
    if (key) {
        m_runningKeys.erase(m_runningKeys.find(*key));
    }
    HttpResponse response;
    const std::string id(exchange->request().header("X-Toucandeck-Request-Id").value_or(""));
    response.headers = { { "X-Toucandeck-Request-Id", id }, { "X-Toucandeck-Response-Seal", "seal" } };
    response.body = id;
    exchange->respond(std::move(response));
}

void PlatformBackend::post(const std::string &call, const std::string &body, std::function<void(const HttpResponse &)> done)
{
    const auto target = fmt::format("/toucandeck/instances/{}/{}", m_instance, call);
    m_connection = std::make_unique<BackendConnection>(m_loop, m_options.control, std::string());
    m_connection->send(
        { "POST", target, { { "Host", "control" } }, body }, std::string(), [done = std::move(done)](const BackendResult &result) {
            if (result.error == BackendError::None && result.response.status == 200) {
                done(result.response);
            }
        });
}

void PlatformBackend::expire()
{
    if (m_loop.clock().now() >= m_holdEnd) {
        m_held.clear();
        m_leaving.clear();
    }
    // Keys without running requests are released, with a token for the next holder.
    std::erase_if(m_leaving, [this](const Held &it) {
        if (isWorkedOn(it.range)) {
            return false;
        }
        m_freed.push_back({ it.range.from, it.range.to, fmt::format("t-{}-{}", m_instance, it.fence) });
        return true;
    });
}

void PlatformBackend::beat()
{
    expire();
    nlohmann::json body{ { "service", m_options.service },
                         { "address", m_options.announced.toString() },
                         { "zone", m_options.failureDomain },
                         { "version", "v1" },
                         { "slots", m_options.slots },
                         { "state", m_state },
                         { "coldRemaining", "0ms" },
                         { "seqNum", ++m_sequence },
                         { "born", m_bornMs },
                         { "holds", nlohmann::json::array() },
                         { "freed", m_freed } };
    for (const auto *list : { &m_held, &m_leaving }) {
        for (const auto &it : *list) {
            body["holds"].push_back({ it.range.from, it.range.to, it.fence });
        }
    }
    m_freedSent = m_freed.size();
    post("heartbeat", body.dump(), [this, sentAt = m_loop.clock().now()](const HttpResponse &response) { onAnswer(response, sentAt); });
}

void PlatformBackend::onAnswer(const HttpResponse &response, TimePoint sentAt)
{
    m_freed.erase(m_freed.begin(), m_freed.begin() + static_cast<std::ptrdiff_t>(m_freedSent));
    m_freedSent = 0;
    const auto answer = nlohmann::json::parse(response.body, nullptr, false);
    if (!answer.is_object() || !answer.contains("holds")) {
        return;
    }
    m_holdEnd = std::max(m_holdEnd, sentAt + readMs(answer.value("hold_time", "0ms")));
    take(answer["holds"]);
    expire();
    if (!m_leaving.empty() || !m_freed.empty()) {
        m_releaseTimer = m_loop.after(kReleaseBeat, [this] { beat(); });
    }
}

void PlatformBackend::take(const nlohmann::json &rows)
{
    std::vector<Held> next;
    for (const auto &it : rows) {
        const KeyRange range{ it[0].get<std::uint32_t>(), it[1].get<std::uint32_t>() };
        next.push_back({ range, it[2].get<std::uint64_t>() });
        m_audit.taken(m_instance, range, next.back().fence);
    }
    for (const auto &old : m_held) {
        std::vector<KeyRange> rests{ old.range };
        for (const auto &it : next) {
            if (it.fence == old.fence) {
                rests = without(rests, it.range);
            }
        }
        for (const auto &it : rests) {
            m_leaving.push_back({ it, old.fence });
        }
    }
    m_held = std::move(next);
}

} // namespace Toucandeck::Standin
