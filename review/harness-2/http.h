#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Review
{

using Milliseconds = std::chrono::milliseconds;

struct Address
{
    std::string ip;
    std::uint16_t port = 0;

    std::string text() const;
};

struct HeaderField
{
    std::string name;
    std::string value;
};

/// A request or a response.
struct Message
{
    std::string startLine;
    std::vector<HeaderField> headers;
    std::string body;

    /// Value of the first header of that name; empty if there is none.
    std::string header(std::string_view name) const;
    int status() const;
    std::string method() const;
    std::string target() const;
};

/// Text of a request; adds Content-Length if there is a body or the method is not GET.
std::string requestText(std::string_view method, std::string_view target, const std::vector<HeaderField> &headers, std::string_view body);

/// One TCP connection with blocking calls.
class Connection
{
public:
    explicit Connection(int descriptor);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /// Null if the connection is refused or not established in time.
    static std::unique_ptr<Connection> open(const Address &address, Milliseconds timeout);

    bool send(std::string_view data);
    /// The next message; nothing if the connection ends, is malformed or has no whole message in time.
    std::optional<Message> read(Milliseconds timeout);
    bool isClosed() const;
    /// Ends blocking calls of other threads.
    void shutDown();

private:
    bool receive(std::chrono::steady_clock::time_point deadline);
    bool readHead(Message &message, std::chrono::steady_clock::time_point deadline);

    int m_descriptor;
    bool m_closed = false;
    std::string m_input;
};

/// Descriptor of a listening socket; -1 if the address is in use.
int listenOn(const Address &address);

/// One request on a connection of its own.
std::optional<Message> call(const Address &address, const std::string &request, Milliseconds timeout);

} // namespace Review
