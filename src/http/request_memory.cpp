#include "http/request_memory.h"

#include <algorithm>
#include <utility>

namespace Toucandeck
{

namespace
{

constexpr std::size_t kLargeDivisor = 8; ///< A request is large above this part of the limit.
constexpr std::size_t kReserveDivisor = 16; ///< This part of the limit is for small requests, such as readiness checks and heartbeats.
constexpr std::size_t kSmallBytes = 64U << 10U;
/// Copies of a request in progress: as received, for further attempts, in the queue, and in the output to the backend server.
constexpr std::size_t kCopies = 4;

} // namespace

RequestMemory::Reservation::Reservation(std::shared_ptr<RequestMemory> memory, std::size_t bytes, bool large)
    : m_memory(std::move(memory))
    , m_bytes(bytes)
    , m_large(large)
{
    m_memory->m_bytes += m_bytes;
    m_memory->m_hasLargeRequest = m_memory->m_hasLargeRequest || m_large;
}

RequestMemory::Reservation::~Reservation()
{
    m_memory->m_bytes -= m_bytes;
    m_memory->m_hasLargeRequest = m_memory->m_hasLargeRequest && !m_large;
}

std::shared_ptr<RequestMemory> RequestMemory::create(std::size_t limitBytes)
{
    return std::shared_ptr<RequestMemory>(new RequestMemory(limitBytes));
}

RequestMemory::RequestMemory(std::size_t limitBytes)
    : m_limit(limitBytes)
{
}

bool RequestMemory::set(User &user, std::size_t bytes)
{
    const auto found = m_users.find(&user);
    const auto before = found == m_users.end() ? 0 : found->second;
    m_bytes -= before;
    if (found != m_users.end()) {
        m_users.erase(found);
    }
    if (bytes == 0) {
        return true;
    }
    const bool fits = bytes <= before || makeRoom(bytes);
    auto &recorded = m_users[&user]; // Users that gave way may have caused a change.
    m_bytes -= recorded;
    m_bytes += bytes;
    recorded = bytes;
    m_refusals += fits ? 0 : 1;
    return fits;
}

std::unique_ptr<RequestMemory::Reservation> RequestMemory::reserve(std::size_t bytes)
{
    const bool large = bytes > m_limit / kLargeDivisor;
    const auto needed = large ? bytes : bytes * kCopies;
    if ((large && m_hasLargeRequest) || !makeRoom(needed)) {
        ++m_refusals;
        return nullptr;
    }
    return std::unique_ptr<Reservation>(new Reservation(shared_from_this(), needed, large));
}

bool RequestMemory::makeRoom(std::size_t bytes)
{
    while (m_bytes + bytes > limitFor(bytes)) {
        auto *user = largestAbove(bytes);
        if (user == nullptr) {
            return false;
        }
        ++m_refusals;
        set(*user, 0);
        user->giveWay();
    }
    return true;
}

std::size_t RequestMemory::limitFor(std::size_t bytes) const
{
    return bytes <= kSmallBytes ? m_limit : m_limit - m_limit / kReserveDivisor;
}

RequestMemory::User *RequestMemory::largestAbove(std::size_t bytes) const
{
    const auto it = std::max_element(m_users.begin(), m_users.end(), [](const auto &a, const auto &b) { return a.second < b.second; });
    return it != m_users.end() && it->second > bytes ? it->first : nullptr;
}

std::size_t RequestMemory::bytes() const
{
    return m_bytes;
}

std::uint64_t RequestMemory::refusals() const
{
    return m_refusals;
}

} // namespace Toucandeck
