#include "faulty_backend.h"

namespace Toucandeck
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds kEndDelay{ 100 }; ///< Lets the gateway read the response before the connection ends.

const std::string kIdName = "X-Toucandeck-Request-Id: ";

/// Text between the end of @p start and @p end; empty if there is no such text.
std::string textAfter(const std::string &text, const std::string &start, const std::string &end)
{
    const auto at = text.find(start);
    if (at == std::string::npos) {
        return {};
    }
    const auto from = at + start.size();
    return text.substr(from, text.find(end, from) - from);
}

std::string withId(std::string response, const std::string &id)
{
    const std::string placeholder = "{id}";
    for (auto at = response.find(placeholder); at != std::string::npos; at = response.find(placeholder, at + id.size())) {
        response.replace(at, placeholder.size(), id);
    }
    return response;
}

} // namespace

FaultyBackend::FaultyBackend(EventLoop &loop, const SocketAddress &address)
    : m_loop(loop)
    , m_listener(Listener::listen(loop, address, [this](int descriptor, const std::string &) {
                     m_peers.push_back(std::make_unique<RawPeer>(m_loop, descriptor, [this](RawPeer &it) { respond(it); }));
                 }).value())
{
}

void FaultyBackend::answer(const std::string &path, Script script)
{
    m_scripts[path] = std::move(script);
}

std::size_t FaultyBackend::requestsTo(const std::string &path) const
{
    const auto found = m_requests.find(path);
    return found == m_requests.end() ? 0 : found->second;
}

std::string FaultyBackend::soundResponse(const std::string &status, const std::string &headerLines)
{
    return "HTTP/1.1 " + status + "\r\n" + kIdName + "{id}\r\nX-Toucandeck-Response-Seal: seal-{id}\r\n" + headerLines
        + "Content-Length: 5\r\n\r\nwhole";
}

void FaultyBackend::respond(RawPeer &peer)
{
    const auto &head = peer.head();
    const auto path = textAfter(head, " ", " ");
    ++m_requests[path];
    const auto found = m_scripts.find(path);
    const auto script = found == m_scripts.end() ? Script{ soundResponse(), ConnectionEnding::Open, true } : found->second;
    peer.write(withId(script.response, textAfter(head + "\r\n", kIdName, "\r\n")));
    if (script.readsOn) {
        return;
    }
    peer.stopReading();
    m_endings.push_back(m_loop.after(kEndDelay, [&peer, ending = script.ending] { endConnection(peer, ending); }));
}

} // namespace Toucandeck
