#pragma once

#include "record.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Review
{

struct Address
{
    std::string ip;
    std::uint16_t port = 0;

    std::string text() const;
};

/// A TCP socket with time limits. All addresses are loopback addresses.
class Socket
{
public:
    Socket() = default;
    explicit Socket(int descriptor);
    Socket(Socket &&other) noexcept;
    Socket &operator=(Socket &&other) noexcept;
    Socket(const Socket &) = delete;
    Socket &operator=(const Socket &) = delete;
    ~Socket();

    static Socket connect(const Address &address, Milliseconds limit);
    static Socket listen(const Address &address);

    bool isOpen() const;
    int descriptor() const;
    void close();
    /// Ends the connection in both directions, so that a thread that waits for it continues.
    void shutdown();
    bool send(const std::string &data, Milliseconds limit);
    /// Appends what has arrived to @p out. False at the end of the connection, at an error, or if nothing arrives within @p limit.
    bool receive(std::string &out, Milliseconds limit);

private:
    int m_descriptor = -1;
};

/// A request or a response; names of headers are in lower case.
struct Message
{
    std::string startLine;
    std::map<std::string, std::string> headers;
    std::string body;

    int status() const;
    std::string header(const std::string &name) const;
};

/// Reads one message; @p rest keeps bytes that belong to the next one. Bodies have a length.
std::optional<Message> readMessage(Socket &socket, std::string &rest, Milliseconds limit);

/// Sends a request on a connection of its own and reads the response.
std::optional<Message> exchange(const Address &address, const std::string &request, Milliseconds limit);

} // namespace Review
