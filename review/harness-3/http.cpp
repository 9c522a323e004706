#include "http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstdlib>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace Review
{

namespace
{

constexpr int kBacklog = 1024;

sockaddr_in toSockaddr(const Address &address)
{
    sockaddr_in sa{};
    sa.sin_family = AF_INET;
    sa.sin_port = htons(address.port);
    ::inet_pton(AF_INET, address.ip.c_str(), &sa.sin_addr);
    return sa;
}

bool awaitEvent(int descriptor, short events, Milliseconds limit)
{
    pollfd it{ descriptor, events, 0 };
    const auto end = Clock::now() + limit;
    while (true) {
        const auto left = std::chrono::duration_cast<Milliseconds>(end - Clock::now()).count();
        const int n = ::poll(&it, 1, static_cast<int>(std::max<std::int64_t>(left, 0)));
        if (n >= 0 || errno != EINTR) {
            return n > 0;
        }
    }
}

void readHeaders(const std::string &head, Message &out)
{
    std::size_t at = head.find("\r\n");
    out.startLine = head.substr(0, at);
    while (at != std::string::npos && at + 2 < head.size()) {
        const auto start = at + 2;
        at = head.find("\r\n", start);
        const auto line = head.substr(start, at == std::string::npos ? at : at - start);
        const auto colon = line.find(':');
        if (colon == std::string::npos) {
            continue;
        }
        auto name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        const auto value = line.find_first_not_of(" \t", colon + 1);
        out.headers[name] = value == std::string::npos ? std::string() : line.substr(value);
    }
}

} // namespace

std::string Address::text() const
{
    return ip + ":" + std::to_string(port);
}

Socket::Socket(int descriptor)
    : m_descriptor(descriptor)
{
}

Socket::Socket(Socket &&other) noexcept
    : m_descriptor(std::exchange(other.m_descriptor, -1))
{
}

Socket &Socket::operator=(Socket &&other) noexcept
{
    if (this != &other) {
        close();
        m_descriptor = std::exchange(other.m_descriptor, -1);
    }
    return *this;
}

Socket::~Socket()
{
    close();
}

Socket Socket::connect(const Address &address, Milliseconds limit)
{
    Socket it(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const auto sa = toSockaddr(address);
    const int on = 1;
    ::setsockopt(it.m_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (::connect(it.m_descriptor, reinterpret_cast<const sockaddr *>(&sa), sizeof(sa)) == 0) {
        return it;
    }
    int error = 0;
    socklen_t n = sizeof(error);
    if (errno != EINPROGRESS || !awaitEvent(it.m_descriptor, POLLOUT, limit)
        || ::getsockopt(it.m_descriptor, SOL_SOCKET, SO_ERROR, &error, &n) != 0 || error != 0) {
        it.close();
    }
    return it;
}

Socket Socket::listen(const Address &address)
{
    Socket it(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const auto sa = toSockaddr(address);
    const int on = 1;
    ::setsockopt(it.m_descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (::bind(it.m_descriptor, reinterpret_cast<const sockaddr *>(&sa), sizeof(sa)) != 0 || ::listen(it.m_descriptor, kBacklog) != 0) {
        it.close();
    }
    return it;
}

bool Socket::isOpen() const
{
    return m_descriptor >= 0;
}

int Socket::descriptor() const
{
    return m_descriptor;
}

void Socket::close()
{
    if (m_descriptor >= 0) {
        ::close(std::exchange(m_descriptor, -1));
    }
}

void Socket::shutdown()
{
    if (m_descriptor >= 0) {
        ::shutdown(m_descriptor, SHUT_RDWR);
    }
}

bool Socket::send(const std::string &data, Milliseconds limit)
{
    const auto end = Clock::now() + limit;
    std::size_t sent = 0;
    while (sent < data.size()) {
        const auto left = std::chrono::duration_cast<Milliseconds>(end - Clock::now());
        if (!isOpen() || !awaitEvent(m_descriptor, POLLOUT, left)) {
            return false;
        }
        const auto n = ::send(m_descriptor, data.data() + sent, data.size() - sent, MSG_NOSIGNAL);
        if (n < 0 && errno != EAGAIN && errno != EINTR) {
            return false;
        }
        sent += n > 0 ? static_cast<std::size_t>(n) : 0;
    }
    return true;
}

bool Socket::receive(std::string &out, Milliseconds limit)
{
    if (!isOpen() || !awaitEvent(m_descriptor, POLLIN, limit)) {
        return false;
    }
    std::array<char, 65536> buf{};
    const auto n = ::recv(m_descriptor, buf.data(), buf.size(), 0);
    if (n > 0) {
        out.append(buf.data(), static_cast<std::size_t>(n));
    }
    return n > 0;
}

int Message::status() const
{
    const auto blank = startLine.find(' ');
    return blank == std::string::npos ? 0 : std::atoi(startLine.c_str() + blank + 1);
}

std::string Message::header(const std::string &name) const
{
    const auto it = headers.find(name);
    return it == headers.end() ? std::string() : it->second;
}

std::optional<Message> readMessage(Socket &socket, std::string &rest, Milliseconds limit)
{
    const auto end = Clock::now() + limit;
    const auto left = [end] { return std::max(Milliseconds(0), std::chrono::duration_cast<Milliseconds>(end - Clock::now())); };
    auto headEnd = rest.find("\r\n\r\n");
    while (headEnd == std::string::npos) {
        if (!socket.receive(rest, left())) {
            return std::nullopt;
        }
        headEnd = rest.find("\r\n\r\n");
    }
    Message message;
    readHeaders(rest.substr(0, headEnd), message);
    const auto length = static_cast<std::size_t>(std::strtoull(message.header("content-length").c_str(), nullptr, 10));
    rest.erase(0, headEnd + 4);
    while (rest.size() < length) {
        if (!socket.receive(rest, left())) {
            return std::nullopt;
        }
    }
    message.body = rest.substr(0, length);
    rest.erase(0, length);
    return message;
}

std::optional<Message> exchange(const Address &address, const std::string &request, Milliseconds limit)
{
    auto socket = Socket::connect(address, limit);
    std::string rest;
    if (!socket.isOpen() || !socket.send(request, limit)) {
        return std::nullopt;
    }
    return readMessage(socket, rest, limit);
}

} // namespace Review
