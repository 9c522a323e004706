#include "gateway/remote_calls.h"

namespace Toucandeck
{

RemoteCalls::RemoteCalls(EventLoop &loop, PeerLinks &links, BackendAdmission &admission, std::string ownIp)
    : m_loop(loop)
    , m_links(links)
    , m_admission(admission)
    , m_ownIp(std::move(ownIp))
{
    m_links.setObserver(this);
}

RemoteCalls::~RemoteCalls()
{
    m_links.setObserver(nullptr);
}

std::uint64_t RemoteCalls::send(const std::string &ip, const Call &call, CallDone done)
{
    const auto id = m_nextId++;
    m_pending[id] = { ip, std::move(done) };
    if (ip == m_ownIp) {
        sendLocal(id, call);
        return id;
    }
    wire::PeerMessage message;
    *message.mutable_call() = toWire(call, m_loop.clock().now());
    message.mutable_call()->set_call(id);
    if (m_links.send(ip, message) && m_links.isOpen(ip)) {
        m_links.awaitAnswer(ip);
        m_pending[id].connection = m_links.connectionTo(ip);
    } else {
        const auto reason = m_links.hasGoneAway(ip) ? wire::LEAVING : wire::CONNECT_FAILED;
        m_loop.runSoon([this, id, reason] { finish(id, notRun(reason)); });
    }
    return id;
}

void RemoteCalls::sendLocal(std::uint64_t id, const Call &call)
{
    const auto admissionId = m_admission.submit(
        call, [this, id](CallResult result) { m_loop.runSoon([this, id, result = std::move(result)] { finish(id, result); }); });
    m_pending[id].admissionId = admissionId;
}

void RemoteCalls::finish(std::uint64_t id, CallResult result)
{
    const auto found = m_pending.find(id);
    if (found == m_pending.end()) {
        return;
    }
    const auto done = std::move(found->second.done);
    m_pending.erase(found);
    done(std::move(result));
}

void RemoteCalls::setSilenceHandler(std::function<void(std::uint64_t id)> handler)
{
    m_silenceHandler = std::move(handler);
}

void RemoteCalls::cancel(std::uint64_t id)
{
    const auto found = m_pending.find(id);
    if (found == m_pending.end()) {
        return;
    }
    const auto pending = std::move(found->second);
    m_pending.erase(found);
    if (pending.ip == m_ownIp) {
        m_admission.cancel(pending.admissionId);
        return;
    }
    wire::PeerMessage message;
    message.mutable_cancel()->set_call(id);
    m_links.sendOn(pending.ip, pending.connection, message);
    m_links.onAnswerReceived(pending.ip, pending.connection);
}

void RemoteCalls::receive(const wire::CallReply &reply)
{
    const auto found = m_pending.find(reply.call());
    if (found == m_pending.end()) {
        return; // The call was cancelled.
    }
    m_links.onAnswerReceived(found->second.ip, found->second.connection);
    finish(reply.call(), fromWire(reply));
}

std::vector<std::uint64_t> RemoteCalls::pendingOn(ConnectionId connection, std::uint64_t first) const
{
    std::vector<std::uint64_t> ids;
    for (const auto &[id, pending] : m_pending) {
        if (pending.connection == connection && id > first) {
            ids.push_back(id);
        }
    }
    return ids;
}

void RemoteCalls::onConnectionClosed(ConnectionId connection, bool established)
{
    for (const auto id : pendingOn(connection, 0)) {
        auto result = notRun(wire::CONNECT_FAILED);
        if (established) {
            result.outcome = wire::MAY_HAVE_RUN;
            result.reason = wire::LINK_LOST;
            result.reachedBackend = true;
        }
        finish(id, std::move(result));
    }
}

void RemoteCalls::onConnectionSilent(ConnectionId connection)
{
    for (const auto id : pendingOn(connection, 0)) {
        if (m_silenceHandler && m_pending.count(id) != 0) {
            m_silenceHandler(id);
        }
    }
}

void RemoteCalls::onGoAway(ConnectionId connection, std::uint64_t lastCall)
{
    for (const auto id : pendingOn(connection, lastCall)) {
        if (const auto found = m_pending.find(id); found != m_pending.end()) {
            m_links.onAnswerReceived(found->second.ip, connection);
            finish(id, notRun(wire::LEAVING));
        }
    }
}

} // namespace Toucandeck
