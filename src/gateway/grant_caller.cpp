#include "gateway/grant_caller.h"

#include <algorithm>
#include <fmt/format.h>

namespace Toucandeck
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds kGrantTimeout{ 400 }; ///< The backend server answers at once, on the same VM.
constexpr milliseconds kReleaseTimeout{ 4000 }; ///< The backend server answers when its work on the keys has ended.
/// A connection that is established this soon after a heartbeat ends at the process that sent it: no other one starts as fast.
constexpr milliseconds kHeartbeatProof{ 300 };
constexpr std::chrono::seconds kMaxBusyTime{ 5 }; ///< A connection without an answer is closed after this time.
constexpr std::size_t kMaxLinks = 16; ///< Connections to the backend server, which limits all its connections together.
constexpr std::size_t kMaxAnswerBytes = 64U << 10U; ///< Of a body; answers about keys are short.

constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kBadRequest = 400;

} // namespace

GrantCaller::GrantCaller(EventLoop &loop, const GrantCodec &codec, const SocketAddress &address, std::string idHeader)
    : m_loop(loop)
    , m_codec(codec)
    , m_address(address)
    , m_idHeader(std::move(idHeader))
    , m_alive(std::make_shared<bool>(true))
{
}

GrantCaller::~GrantCaller()
{
    *m_alive = false;
}

void GrantCaller::setReadyHandler(std::function<void()> handler)
{
    m_readyHandler = std::move(handler);
}

void GrantCaller::onHeartbeat(TimePoint arrival)
{
    m_lastHeartbeat = arrival;
    closeUnused();
    for (auto &it : m_links) {
        const bool wasOpen = it.isOpen && it.connection->isEstablished() && it.establishedAt <= arrival;
        it.endsAtProcess = it.endsAtProcess || wasOpen;
    }
    open();
}

void GrantCaller::onProcessEnded()
{
    // A call in progress is not completed: its outcome does not matter to another process.
    m_loop.runSoon([closing = std::make_shared<Links>(std::move(m_links))] {});
    m_links.clear();
    m_lastHeartbeat = {};
    m_hasReachedProcess = false;
}

void GrantCaller::open()
{
    const auto isFree = [](const Link &it) { return it.isOpen && !it.isBusy; };
    if (m_links.size() >= kMaxLinks || std::any_of(m_links.begin(), m_links.end(), isFree)) {
        return;
    }
    ++m_openedConnections;
    auto &link = m_links.emplace_back();
    link.connection = std::make_unique<BackendConnection>(m_loop, m_address, m_idHeader);
    link.connection->limitBodies(kMaxAnswerBytes);
    link.connection->awaitEstablished([this, &link](bool established, BackendError) { onEstablished(link, established); });
}

void GrantCaller::onEstablished(Link &link, bool established)
{
    link.isOpen = established;
    if (!established) {
        return;
    }
    const auto isProof = [](const Link &it) { return it.endsAtProcess && it.isOpen && (it.isBusy || it.connection->isReusable()); };
    const bool heartbeatJustCame = m_lastHeartbeat != TimePoint() && m_loop.clock().now() - m_lastHeartbeat <= kHeartbeatProof;
    link.establishedAt = m_loop.clock().now();
    // If an earlier connection was lost, the process may have ended since its last heartbeat.
    const bool isFirst = !std::exchange(m_hasReachedProcess, true);
    link.endsAtProcess = (isFirst && heartbeatJustCame) || std::any_of(m_links.begin(), m_links.end(), isProof);
    if (link.endsAtProcess && m_readyHandler) {
        m_loop.runSoon([this, alive = m_alive] {
            if (*alive) {
                m_readyHandler();
            }
        });
    }
}

void GrantCaller::closeUnused()
{
    const auto now = m_loop.clock().now();
    const auto isUnused = [now](const Link &it) {
        if (it.isBusy) {
            return now - it.busySince > kMaxBusyTime;
        }
        return !it.isOpen || (it.connection->isEstablished() && !it.connection->isReusable());
    };
    const auto closing = std::make_shared<Links>();
    for (auto it = m_links.begin(); it != m_links.end();) {
        const auto next = std::next(it);
        if (isUnused(*it)) {
            closing->splice(closing->end(), m_links, it);
        }
        it = next;
    }
    if (!closing->empty()) {
        m_loop.runSoon([closing] {}); // The code of a connection may be calling this function.
    }
}

void GrantCaller::send(const HttpRequest &request, Duration timeout, Answer answer)
{
    closeUnused();
    const auto found = std::find_if(m_links.begin(), m_links.end(), [](const Link &it) {
        return it.endsAtProcess && it.isOpen && !it.isBusy && it.connection->isReusable();
    });
    if (found == m_links.end()) {
        open();
        m_loop.runSoon([answer = std::move(answer)] { answer(GrantOutcome::NotSent, {}); });
        return;
    }
    // In turn, so that none is closed by the backend server for being idle.
    m_links.splice(m_links.end(), m_links, found);
    auto &link = *found;
    link.isBusy = true;
    link.busySince = m_loop.clock().now();
    link.answer = std::move(answer);
    link.timeout = m_loop.after(timeout, [&link] {
        // The connection stays open, since closing it would not withdraw the call.
        if (link.answer) {
            std::exchange(link.answer, nullptr)(GrantOutcome::Unanswered, {});
        }
    });
    const auto id = fmt::format("keys-{:x}-{}", m_openedConnections, ++m_lastCall);
    auto out = request;
    setHeader(out.headers, m_idHeader, id);
    setHeader(out.headers, "Host", m_address.toString());
    link.connection->send(out, id, [this, &link](const BackendResult &result) { finish(link, result); });
    open(); // The answer to this call may take long; the next one must not wait for it.
}

void GrantCaller::finish(Link &link, const BackendResult &result)
{
    link.isBusy = false;
    link.timeout.cancel();
    // A late copy of an answer without an id could be taken for the answer to the next call.
    link.isOpen = link.isOpen && result.error == BackendError::None && result.response.header(m_idHeader).has_value();
    if (link.answer) {
        std::exchange(link.answer, nullptr)(outcomeOf(result), result.response);
    }
}

GrantOutcome GrantCaller::outcomeOf(const BackendResult &result)
{
    if (result.error != BackendError::None || !result.identified) {
        return GrantOutcome::Unanswered;
    }
    switch (result.response.status) {
    case kOk:
        return GrantOutcome::Accepted;
    case kConflict:
        return GrantOutcome::HigherTokenSeen;
    case kBadRequest:
        return GrantOutcome::Rejected;
    default:
        return GrantOutcome::Unanswered;
    }
}

void GrantCaller::grant(const GrantCall &call, GrantDone done)
{
    send(
        m_codec.grantRequest(call), kGrantTimeout, [done = std::move(done)](GrantOutcome outcome, const HttpResponse &) { done(outcome); });
}

void GrantCaller::release(const ReleaseCall &call, ReleaseDone done)
{
    send(m_codec.releaseRequest(call), kReleaseTimeout, [this, done = std::move(done)](GrantOutcome outcome, const HttpResponse &response) {
        done(outcome, outcome == GrantOutcome::Accepted ? m_codec.handover(response) : std::string());
    });
}

std::uint64_t GrantCaller::openedConnections() const
{
    return m_openedConnections;
}

} // namespace Toucandeck
