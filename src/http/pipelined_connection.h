#pragma once

#include "http/pipelined_server.h"

#include <deque>
#include <optional>

struct bufferevent;

namespace Toucandeck::internal
{

/// Server side of one client connection with pipelined requests.
class PipelinedConnection : public std::enable_shared_from_this<PipelinedConnection>, private RequestMemory::User
{
public:
    PipelinedConnection(PipelinedServer &server, int descriptor);
    ~PipelinedConnection() override;

    PipelinedConnection(const PipelinedConnection &) = delete;
    PipelinedConnection &operator=(const PipelinedConnection &) = delete;

    void respond(const HttpExchange &exchange, HttpResponse response);
    /// Closes the connection because an exchange was destroyed without a response.
    void onExchangeDropped(const HttpExchange &exchange);
    /// Closes the connection if it has carried a request and none is in progress; for graceful shutdown.
    void closeIfIdle();
    /// Closes the connection if it has been idle, or has received a request too slowly, for longer than @p limits allow.
    void checkTimeouts(const HttpLimits &limits);

    bool isClosed() const;
    std::size_t unfinishedRequests() const;
    /// True from the end of the sending side until the client closes the connection or the time for it is over.
    bool isLingering() const;
    /// True if the connection is closed, or no request and no response is in progress.
    bool isIdle() const;
    TimePoint lastActive() const;

private:
    struct Slot
    {
        const HttpExchange *exchange; ///< Identifies the exchange; null for a request rejected by the server itself.
        std::weak_ptr<HttpExchange> weakExchange;
        bool headRequest;
        bool keepAlive;
        std::optional<HttpResponse> response;
    };

    bool mayReadRequests() const;
    void readRequests();
    bool readRequest();
    void startRequest(ParsedMessage message);
    std::unique_ptr<RequestMemory::Reservation> reserve(const HttpRequest &request);
    void refuse(int status, const char *text);
    void refuseMalformed(ParseError error);
    void writeResponses();
    /// True if the client has sent a further request, or a part of one.
    bool hasUnreadInput() const;
    void write(const Slot &slot, bool last);
    void finishWriting();
    void abandon();
    void close();
    void giveWay() override;
    void updateMemory();
    std::size_t receivedMemory() const;
    std::size_t unreadMemory() const;
    void checkReading(const HttpLimits &limits);

    static void onRead(bufferevent *stream, void *self);
    static void onWrite(bufferevent *stream, void *self);
    static void onEvent(bufferevent *stream, short what, void *self);

    PipelinedServer &m_server;
    bufferevent *m_stream;
    MessageParser m_parser;
    std::deque<Slot> m_slots;
    TimePoint m_lastActive; ///< Time of the last response, of the first byte of the current request or of the latest data of its body.
    std::size_t m_queuedBytes = 0; ///< Of responses that wait for an earlier one.
    std::size_t m_writtenBytes = 0; ///< Handed to the stream since the start.
    std::size_t m_readBytes = 0; ///< Of these, no longer in the output buffer when last checked.
    TimePoint m_lastRead; ///< Time at which that number last grew, or the output buffer was empty.
    bool m_sentContinue = false; ///< "100 Continue" was sent for the current request.
    bool m_hadRequest = false; ///< At least one request has arrived.
    bool m_noMoreRequests = false; ///< Further input on the connection is discarded.
    std::optional<TimePoint> m_lingerSince; ///< Time at which the sending side was shut down; input is discarded since then.
};

} // namespace Toucandeck::internal
