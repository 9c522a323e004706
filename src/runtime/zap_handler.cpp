#include "runtime/zap_handler.h"

#include "runtime/message_frames.h"

#include <array>
#include <zmq.h>

namespace Toucandeck::internal
{

namespace
{

/// Number of frames of a CURVE request: version, request id, domain, address, identity, mechanism, 32-byte public key.
constexpr std::size_t kCurveFrames = 7;

std::string publicKeyOf(const std::vector<std::string> &request)
{
    if (request.size() != kCurveFrames || request[5] != "CURVE" || request[6].size() != 32) {
        return {};
    }
    std::array<char, 41> text{};
    zmq_z85_encode(text.data(), reinterpret_cast<const std::uint8_t *>(request[6].data()), 32);
    return text.data();
}

} // namespace

Result<std::unique_ptr<ZapHandler>> ZapHandler::create(EventLoop &loop,
                                                       const MessageContext &context,
                                                       std::set<std::string> allowed,
                                                       std::function<void(std::string)> onRejected)
{
    auto zap = std::unique_ptr<ZapHandler>(new ZapHandler(std::move(allowed), std::move(onRejected)));
    BOOST_LEAF_ASSIGN(zap->m_socket, context.socket(ZMQ_REP));
    if (zmq_bind(zap->m_socket.get(), "inproc://zeromq.zap.01") != 0) {
        return fail(ErrorCode::Io, std::string("cannot bind the authentication handler: ") + zmq_strerror(zmq_errno()));
    }
    zap->m_readable = loop.onReadable(descriptorOf(zap->m_socket), [raw = zap.get()] { raw->process(); });
    // The descriptor signals only after the event state has been read once.
    zap->process();
    return zap;
}

ZapHandler::ZapHandler(std::set<std::string> allowed, std::function<void(std::string)> onRejected)
    : m_allowed(std::move(allowed))
    , m_onRejected(std::move(onRejected))
{
}

void ZapHandler::setAllowed(std::set<std::string> allowed)
{
    m_allowed = std::move(allowed);
}

void ZapHandler::process()
{
    // Reads until the event state is empty, also after each reply: the descriptor is edge-triggered.
    while ((eventsOf(m_socket) & ZMQ_POLLIN) != 0) {
        const auto request = receiveFrames(m_socket);
        if (request) {
            answer(*request);
        }
    }
}

void ZapHandler::answer(const std::vector<std::string> &request)
{
    const auto key = publicKeyOf(request);
    const bool allowed = m_allowed.contains(key);
    const std::string id = request.size() > 1 ? request[1] : "";
    sendFrames(m_socket, { "1.0", id, allowed ? "200" : "400", allowed ? "OK" : "key not allowed", allowed ? key : "", "" });
    if (!allowed) {
        m_onRejected(key.empty() ? "no CURVE key" : key);
    }
}

} // namespace Toucandeck::internal
