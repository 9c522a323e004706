#include "http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cstdlib>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace Review
{

namespace
{

using Clock = std::chrono::steady_clock;

constexpr std::size_t kReadBytes = 1U << 18U;
constexpr int kBacklog = 512;

sockaddr_in toSockaddr(const Address &address)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(address.port);
    ::inet_pton(AF_INET, address.ip.c_str(), &out.sin_addr);
    return out;
}

bool equalNames(std::string_view a, std::string_view b)
{
    const auto lower = [](char c) { return std::tolower(static_cast<unsigned char>(c)); };
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [&](char x, char y) { return lower(x) == lower(y); });
}

std::string word(const std::string &line, int index)
{
    std::size_t from = 0;
    for (int i = 0; i < index; ++i) {
        from = line.find(' ', from);
        if (from == std::string::npos) {
            return {};
        }
        ++from;
    }
    return line.substr(from, line.find(' ', from) - from);
}

int millisecondsUntil(Clock::time_point deadline)
{
    const auto left = std::chrono::ceil<Milliseconds>(deadline - Clock::now()).count();
    return static_cast<int>(std::clamp<std::int64_t>(left, 0, 1'000'000));
}

} // namespace

std::string Address::text() const
{
    return ip + ":" + std::to_string(port);
}

std::string Message::header(std::string_view name) const
{
    const auto it = std::find_if(headers.begin(), headers.end(), [name](const auto &field) { return equalNames(field.name, name); });
    return it == headers.end() ? std::string() : it->value;
}

int Message::status() const
{
    return std::atoi(word(startLine, 1).c_str());
}

std::string Message::method() const
{
    return word(startLine, 0);
}

std::string Message::target() const
{
    return word(startLine, 1);
}

std::string requestText(std::string_view method, std::string_view target, const std::vector<HeaderField> &headers, std::string_view body)
{
    std::string text;
    text.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
    for (const auto &it : headers) {
        text.append(it.name).append(": ").append(it.value).append("\r\n");
    }
    if (!body.empty() || method != "GET") {
        text.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
    }
    return text.append("\r\n").append(body);
}

Connection::Connection(int descriptor)
    : m_descriptor(descriptor)
{
    const int on = 1;
    ::setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

Connection::~Connection()
{
    ::close(m_descriptor);
}

std::unique_ptr<Connection> Connection::open(const Address &address, Milliseconds timeout)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        return nullptr;
    }
    auto connection = std::make_unique<Connection>(descriptor);
    const timeval limit{ timeout.count() / 1000, (timeout.count() % 1000) * 1000 };
    ::setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit)); // Applies to connect() too.
    const auto sa = toSockaddr(address);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&sa), sizeof(sa)) != 0) {
        return nullptr;
    }
    return connection;
}

bool Connection::send(std::string_view data)
{
    while (!data.empty()) {
        const auto n = ::send(m_descriptor, data.data(), data.size(), MSG_NOSIGNAL);
        if (n <= 0) {
            m_closed = true;
            return false;
        }
        data.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

bool Connection::receive(Clock::time_point deadline)
{
    pollfd entry{ m_descriptor, POLLIN, 0 };
    if (::poll(&entry, 1, millisecondsUntil(deadline)) <= 0) {
        return false;
    }
    const auto before = m_input.size();
    m_input.resize(before + kReadBytes);
    const auto n = ::recv(m_descriptor, m_input.data() + before, kReadBytes, 0);
    m_input.resize(before + static_cast<std::size_t>(std::max<ssize_t>(n, 0)));
    m_closed = m_closed || n <= 0;
    return n > 0;
}

bool Connection::readHead(Message &message, Clock::time_point deadline)
{
    auto end = m_input.find("\r\n\r\n");
    while (end == std::string::npos) {
        if (!receive(deadline)) {
            return false;
        }
        end = m_input.find("\r\n\r\n");
    }
    const auto head = m_input.substr(0, end + 2);
    m_input.erase(0, end + 4);
    std::size_t from = 0;
    while (from < head.size()) {
        const auto to = head.find("\r\n", from);
        const auto line = head.substr(from, to - from);
        from = to + 2;
        if (message.startLine.empty()) {
            message.startLine = line;
            continue;
        }
        const auto colon = line.find(':');
        const auto value = colon == std::string::npos ? std::string::npos : line.find_first_not_of(" \t", colon + 1);
        message.headers.push_back({ line.substr(0, colon), value == std::string::npos ? std::string() : line.substr(value) });
    }
    return true;
}

std::optional<Message> Connection::read(Milliseconds timeout)
{
    const auto deadline = Clock::now() + timeout;
    Message message;
    if (!readHead(message, deadline)) {
        return std::nullopt;
    }
    const auto length = static_cast<std::size_t>(std::atoll(message.header("Content-Length").c_str()));
    m_input.reserve(length + kReadBytes);
    while (m_input.size() < length) {
        if (!receive(deadline)) {
            return std::nullopt;
        }
    }
    if (m_input.size() == length) {
        message.body = std::exchange(m_input, {});
    } else {
        message.body = m_input.substr(0, length);
        m_input.erase(0, length);
    }
    return message;
}

bool Connection::isClosed() const
{
    return m_closed;
}

void Connection::shutDown()
{
    ::shutdown(m_descriptor, SHUT_RDWR);
}

int listenOn(const Address &address)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const auto sa = toSockaddr(address);
    if (::bind(descriptor, reinterpret_cast<const sockaddr *>(&sa), sizeof(sa)) != 0 || ::listen(descriptor, kBacklog) != 0) {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

std::optional<Message> call(const Address &address, const std::string &request, Milliseconds timeout)
{
    const auto connection = Connection::open(address, timeout);
    if (!connection || !connection->send(request)) {
        return std::nullopt;
    }
    return connection->read(timeout);
}

} // namespace Review
