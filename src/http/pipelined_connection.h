#pragma once

#include "http/pipelined_server.h"

#include <deque>
#include <optional>

struct bufferevent;

namespace Toucandeck::internal
{

/// Server side of one client connection.
class PipelinedConnection : public std::enable_shared_from_this<PipelinedConnection>
{
public:
    PipelinedConnection(PipelinedServer &server, int descriptor);
    ~PipelinedConnection();

    PipelinedConnection(const PipelinedConnection &) = delete;
    PipelinedConnection &operator=(const PipelinedConnection &) = delete;

    void respond(const HttpExchange &exchange, HttpResponse response);
    /// An exchange ended without an answer.
    void dropped(const HttpExchange &exchange);
    /// Ends the connection after the answers that are due.
    void drain();
    /// Ends it if it has been idle, or slow to send, for longer than the limits allow.
    void checkTimeouts(const HttpLimits &limits);

    bool isClosed() const;
    std::size_t unfinished() const;

private:
    struct Slot
    {
        const HttpExchange *exchange;
        std::weak_ptr<HttpExchange> owner;
        bool headRequest;
        bool keepAlive;
        std::optional<HttpResponse> response;
    };

    void readRequests();
    bool readRequest();
    void startRequest(ParsedMessage message);
    void refuse(int status, const char *text);
    void refuseMalformed(ParseError error);
    void writeAnswers();
    void write(const Slot &slot, bool last);
    void finishWriting();
    void abandon();
    void close();

    static void onRead(bufferevent *stream, void *self);
    static void onWrite(bufferevent *stream, void *self);
    static void onEvent(bufferevent *stream, short what, void *self);

    PipelinedServer &m_server;
    bufferevent *m_stream;
    MessageParser m_parser;
    std::deque<Slot> m_slots;
    TimePoint m_lastActive; ///< End of the last answer, or first byte of the request in progress.
    bool m_continued = false; ///< "100 Continue" was sent for the request in progress.
    bool m_noMoreRequests = false; ///< What follows on the connection is not read as requests.
    std::optional<TimePoint> m_lingerSince; ///< The sending side is closed; the rest is discarded.
};

} // namespace Toucandeck::internal
