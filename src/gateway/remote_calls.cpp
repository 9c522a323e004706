#include "gateway/remote_calls.h"

namespace Toucandeck
{

RemoteCalls::RemoteCalls(EventLoop &loop, PeerLinks &links, BackendAdmission &admission, std::string ownIp)
    : m_loop(loop)
    , m_links(links)
    , m_admission(admission)
    , m_ownIp(std::move(ownIp))
{
}

std::uint64_t RemoteCalls::send(const std::string &ip, const Call &call, CallDone done)
{
    const auto id = m_nextId++;
    m_pending[id] = { ip, std::move(done), 0 };
    if (ip == m_ownIp) {
        sendLocal(id, call);
        return id;
    }
    wire::PeerMessage message;
    *message.mutable_call() = toWire(call, m_loop.clock().now());
    message.mutable_call()->set_call(id);
    if (m_links.send(ip, message)) {
        m_links.awaitAnswer(ip);
    } else {
        m_loop.runSoon([this, id] { finish(id, notRun(wire::CONNECT_FAILED)); });
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
    m_links.onAnswerReceived(pending.ip);
    if (m_links.isOpen(pending.ip)) {
        wire::PeerMessage message;
        message.mutable_cancel()->set_call(id);
        m_links.send(pending.ip, message);
    }
}

void RemoteCalls::receive(const wire::CallReply &reply)
{
    const auto found = m_pending.find(reply.call());
    if (found == m_pending.end()) {
        return; // The call was cancelled.
    }
    m_links.onAnswerReceived(found->second.ip);
    finish(reply.call(), fromWire(reply));
}

void RemoteCalls::onPeerClosed(const std::string &ip, bool established)
{
    std::vector<std::uint64_t> lost;
    for (const auto &[id, pending] : m_pending) {
        if (pending.ip == ip) {
            lost.push_back(id);
        }
    }
    for (const auto id : lost) {
        auto result = notRun(wire::CONNECT_FAILED);
        if (established) {
            result.outcome = wire::MAY_HAVE_RUN;
            result.reason = wire::LINK_LOST;
            result.reachedBackend = true;
        }
        finish(id, std::move(result));
    }
}

} // namespace Toucandeck
