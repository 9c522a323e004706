#pragma once

#include "link/listener.h"
#include "runtime/connection_ending.h"
#include "runtime/raw_server.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Toucandeck
{

/// A backend server that answers each path with the bytes that the test gives. It reads no body before it has answered.
class FaultyBackend
{
public:
    struct Script
    {
        std::string response; ///< "{id}" stands for the id of the request.
        ConnectionEnding ending = ConnectionEnding::Open;
        bool readsOn = false; ///< Reads the rest of the request.
    };

    FaultyBackend(EventLoop &loop, const SocketAddress &address);

    /// Sets the response to requests for the path. Any other path gets soundResponse().
    void answer(const std::string &path, Script script);

    /// Number of requests for the path.
    std::size_t requestsTo(const std::string &path) const;

    /// A complete response with the body "whole" and the header lines, each of which ends with a line break.
    static std::string soundResponse(const std::string &status = "200 OK", const std::string &headerLines = {});

private:
    void respond(RawPeer &peer);

    EventLoop &m_loop;
    std::map<std::string, Script> m_scripts;
    std::map<std::string, std::size_t> m_requests;
    std::vector<std::unique_ptr<RawPeer>> m_peers;
    std::vector<EventLoop::Watch> m_endings;
    std::unique_ptr<Listener> m_listener;
};

} // namespace Toucandeck
