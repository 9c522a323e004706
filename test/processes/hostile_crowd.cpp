#include "hostile_crowd.h"

#include <cerrno>
#include <sys/socket.h>
#include <unistd.h>

namespace Toucandeck
{

namespace
{

constexpr std::chrono::seconds kNoProgressLimit{ 2 };
constexpr std::chrono::milliseconds kLoopTime{ 1 };

} // namespace

HostileCrowd::HostileCrowd(EventLoop &loop)
    : m_loop(loop)
{
}

HostileCrowd::~HostileCrowd()
{
    for (const auto &it : m_clients) {
        ::close(it.descriptor);
    }
}

void HostileCrowd::add(const SocketAddress &address, std::string head, std::shared_ptr<const std::string> unit, std::size_t times)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const auto sa = address.toSockaddr();
    static_cast<void>(
        ::connect(descriptor, reinterpret_cast<const sockaddr *>(&sa), sizeof(sa))); // In progress; the first write shows a failure.
    m_clients.push_back({ descriptor, std::move(head), std::move(unit), times, 0, false });
}

bool HostileCrowd::sendSome(Client &it)
{
    const bool inHead = !it.head.empty();
    if (it.closed || (!inHead && it.times == 0)) {
        return false;
    }
    const auto &text = inHead ? it.head : *it.unit;
    const auto n = ::send(it.descriptor, text.data() + it.sent, text.size() - it.sent, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n <= 0) {
        it.closed = errno != EAGAIN && errno != EINPROGRESS && errno != ENOTCONN;
        return false;
    }
    it.sent += static_cast<std::size_t>(n);
    if (it.sent == text.size()) {
        it.sent = 0;
        it.times -= inHead ? 0 : 1;
        it.head.clear();
    }
    return true;
}

void HostileCrowd::send()
{
    const auto &clock = m_loop.clock();
    auto lastProgress = clock.now();
    bool unfinished = true;
    while (unfinished && clock.now() - lastProgress < kNoProgressLimit) {
        unfinished = false;
        for (auto &it : m_clients) {
            if (sendSome(it)) {
                lastProgress = clock.now();
            }
            unfinished = unfinished || (!it.closed && (!it.head.empty() || it.times > 0));
        }
        m_loop.runUntil([] { return false; }, kLoopTime);
    }
}

} // namespace Toucandeck
