#include "load_generator.h"

#include "common/assert.h"

#include <algorithm>
#include <fmt/format.h>

namespace Toucandeck::Standin
{

namespace
{

constexpr Duration kSendInterval = std::chrono::milliseconds(2);
// The rest of the look-ups go to services that take them at any instance.
constexpr double kKeyedLookupShare = 0.7;
constexpr Duration kResendPause = std::chrono::milliseconds(50);
// The router answers by the deadline; a caller waits a little longer before it abandons the attempt.
constexpr Duration kGiveUpMargin = std::chrono::milliseconds(500);

/// Services divided by Idempotency-Key take look-ups at any instance.
bool isDividedByCallersKey(const LayoutService &service)
{
    return service.key != "none" && service.key != "header:Idempotency-Key";
}

bool isSuccess(std::uint32_t status)
{
    return status >= 200 && status < 300;
}

} // namespace

struct LoadGenerator::Request
{
    CallerRecord record;
    std::string body;
    bool nested = false;
    std::size_t open = 0; ///< Attempts without an answer.
    WallTime firstSent{}; ///< Earliest attempt without a known outcome.
    std::vector<std::string> routers; ///< Router of each attempt.
    EventLoop::Watch resendTimer;
};

LoadGenerator::LoadGenerator(EventLoop &loop, LoadOptions options, RandomSource &random, Logger &logger)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_random(random)
    , m_client(loop, {}, logger)
    , m_runId(fmt::format("{:08x}", random.next() & 0xffffffffU))
{
    TOUCANDECK_ASSERT(!m_options.routers.empty(), "load needs a router to go to");
    TOUCANDECK_ASSERT(!m_options.services.empty(), "the load needs at least one service");
}

LoadGenerator::~LoadGenerator() = default;

void LoadGenerator::start()
{
    m_startTime = m_loop.clock().now();
    m_timer = m_loop.every(kSendInterval, [this] { sendDue(); });
}

void LoadGenerator::stop(std::function<void()> done)
{
    m_stopping = true;
    m_timer.cancel();
    m_done = std::move(done);
    checkDone();
}

std::uint64_t LoadGenerator::sent() const
{
    return m_sent;
}

void LoadGenerator::setRouters(std::vector<std::string> routers)
{
    m_options.routers = std::move(routers);
}

std::vector<CallerRecord> LoadGenerator::records() const
{
    std::vector<CallerRecord> all;
    all.reserve(m_requests.size());
    for (const auto &it : m_requests) {
        all.push_back(it->record);
    }
    return all;
}

Duration LoadGenerator::latencyQuantile(double q) const
{
    std::vector<std::int64_t> times;
    for (const auto &request : m_requests) {
        for (const auto &it : request->record.attempts) {
            if (isSuccess(it.status)) {
                times.push_back(it.answeredNs - it.sentNs);
            }
        }
    }
    if (times.empty()) {
        return Duration::zero();
    }
    const auto n = std::min(times.size() - 1, static_cast<std::size_t>(q * static_cast<double>(times.size())));
    std::nth_element(times.begin(), times.begin() + static_cast<std::ptrdiff_t>(n), times.end());
    return Duration(times[n]);
}

void LoadGenerator::sendDue()
{
    const auto elapsed = std::chrono::duration<double>(m_loop.clock().now() - m_startTime).count();
    const auto due = static_cast<std::uint64_t>(elapsed * m_options.requestsPerSecond);
    while (m_sent < due) {
        ++m_sent;
        auto request = newRequest();
        m_requests.push_back(request);
        ++m_open;
        const bool twice = !request->record.idempotent && m_random.unit() < m_options.doubleSendShare;
        sendAttempt(request);
        if (twice) {
            sendAttempt(request);
        }
    }
}

LoadGenerator::RequestPtr LoadGenerator::newRequest()
{
    auto request = std::make_shared<Request>();
    const bool submission = m_random.unit() < m_options.submissionShare;
    const bool keyed = !submission && m_random.unit() < kKeyedLookupShare;
    const auto &service = pickService(keyed);
    request->record.id = fmt::format("{}-{}", m_runId, m_sent);
    request->record.service = service.name;
    request->record.key = !isDividedByCallersKey(service) ? "-" : fmt::format("key-{}", m_random.below(m_options.keys));
    request->record.idempotent = !submission;
    request->nested = !service.calls.empty() && m_random.unit() < m_options.nestedShare;
    constexpr std::size_t kMaxBody = 512;
    request->body = submission ? std::string(1 + m_random.below(kMaxBody), 'x') : std::string();
    return request;
}

const LayoutService &LoadGenerator::pickService(bool keyed)
{
    std::vector<const LayoutService *> fitting;
    for (const auto &it : m_options.services) {
        if (isDividedByCallersKey(it) == keyed) {
            fitting.push_back(&it);
        }
    }
    if (fitting.empty()) {
        return m_options.services[m_random.below(m_options.services.size())];
    }
    return *fitting[m_random.below(fitting.size())];
}

void LoadGenerator::sendAttempt(const RequestPtr &request)
{
    const auto attempt = request->record.attempts.size();
    request->record.attempts.push_back({ static_cast<std::uint32_t>(attempt), nowNs(), 0, 0, std::nullopt, true });
    auto router = m_options.routers[m_random.below(m_options.routers.size())];
    if (!request->routers.empty() && router == request->routers.back()) {
        router = m_options.routers[m_random.below(m_options.routers.size())];
    }
    request->routers.push_back(router);
    ++request->open;
    if (request->firstSent == WallTime{}) {
        request->firstSent = m_loop.clock().wallNow();
    }
    if (m_options.callerDelay > Duration::zero()) {
        auto watch = std::make_shared<EventLoop::Watch>();
        *watch = m_loop.after(m_options.callerDelay, [this, request, attempt, watch] { transmit(request, attempt); });
        return;
    }
    transmit(request, attempt);
}

void LoadGenerator::transmit(const RequestPtr &request, std::size_t attempt)
{
    const auto timeout = m_options.deadline + kGiveUpMargin;
    m_client.send(request->routers[attempt], toHttp(*request, attempt), timeout, [this, request, attempt](const HttpResult &result) {
        if (m_options.callerDelay == Duration::zero()) {
            takeAnswer(request, attempt, result);
            return;
        }
        auto watch = std::make_shared<EventLoop::Watch>();
        *watch = m_loop.after(m_options.callerDelay, [this, request, attempt, result, watch] { takeAnswer(request, attempt, result); });
    });
}

HttpRequest LoadGenerator::toHttp(const Request &request, std::size_t attempt) const
{
    const auto &record = request.record;
    HttpRequest http;
    http.method = record.idempotent ? "GET" : "POST";
    http.target = record.key == "-" ? fmt::format("/{}/work", record.service) : fmt::format("/{}/{}", record.service, record.key);
    http.body = request.body;
    const auto deadline = std::chrono::duration_cast<std::chrono::milliseconds>(m_options.deadline).count();
    setHeader(http.headers, "Toucandeck-Deadline-Ms", std::to_string(deadline));
    setHeader(http.headers, "Toucandeck-Load-Id", record.id);
    setHeader(http.headers, "Toucandeck-Load-Key", record.key);
    setHeader(http.headers, "Toucandeck-Load-Attempt", std::to_string(attempt));
    if (!record.idempotent) {
        setHeader(http.headers, "Idempotency-Key", record.id);
        setHeader(http.headers, "Toucandeck-First-Sent-Ms", std::to_string(request.firstSent.time_since_epoch().count()));
    }
    if (request.nested) {
        setHeader(http.headers, "Toucandeck-Load-Nested", "1");
    }
    return http;
}

void LoadGenerator::takeAnswer(const RequestPtr &request, std::size_t attempt, const HttpResult &result)
{
    auto &it = request->record.attempts[attempt];
    if (result.response) {
        const auto &response = *result.response;
        it.answeredNs = nowNs();
        it.status = static_cast<std::uint32_t>(response.status);
        it.verdict = verdictFromString(response.header("Toucandeck-Verdict").value_or(""));
        if (isSuccess(it.status)) {
            const auto &expected = request->body.empty() ? request->record.id : request->body;
            it.answerMatches = response.header("Toucandeck-Load-Id") == request->record.id && response.body == expected;
        }
    } else if (result.verdict == Verdict::NotRun) {
        it.verdict = Verdict::NotRun;
    }
    --request->open;
    attemptOver(request);
}

void LoadGenerator::attemptOver(const RequestPtr &request)
{
    const auto &attempts = request->record.attempts;
    const auto refused = [](const Attempt &it) { return it.verdict == Verdict::NotRun; };
    if (std::all_of(attempts.begin(), attempts.end(), refused)) {
        // Nothing has run so far: the next attempt counts as the first.
        request->firstSent = WallTime{};
    }
    if (request->open > 0) {
        return;
    }
    if (wantsAnotherAttempt(*request)) {
        request->resendTimer = m_loop.after(kResendPause, [this, request] { sendAttempt(request); });
        return;
    }
    --m_open;
    checkDone();
}

bool LoadGenerator::wantsAnotherAttempt(const Request &request) const
{
    const auto &attempts = request.record.attempts;
    const auto settled = [](const Attempt &it) { return isSuccess(it.status) || (it.status >= 400 && it.status < 429); };
    if (std::any_of(attempts.begin(), attempts.end(), settled)) {
        return false;
    }
    return !request.record.idempotent && attempts.size() < m_options.maxAttempts;
}

void LoadGenerator::checkDone()
{
    if (!m_stopping || m_open > 0 || !m_done) {
        return;
    }
    const auto done = std::move(m_done);
    m_done = nullptr;
    done();
}

std::int64_t LoadGenerator::nowNs() const
{
    return m_loop.clock().now().time_since_epoch().count();
}

} // namespace Toucandeck::Standin
