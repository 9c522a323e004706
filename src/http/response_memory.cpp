#include "http/response_memory.h"

#include <algorithm>

namespace Toucandeck
{

ResponseMemory::ResponseMemory(EventLoop &loop, std::size_t limitBytes)
    : m_loop(loop)
    , m_limitBytes(limitBytes)
{
}

void ResponseMemory::set(User &user, std::size_t bytes)
{
    const auto found = m_bytes.find(&user);
    m_totalBytes -= found == m_bytes.end() ? 0 : found->second;
    m_totalBytes += bytes;
    if (bytes != 0) {
        m_bytes[&user] = bytes;
    } else if (found != m_bytes.end()) {
        m_bytes.erase(found);
    }
    if (m_totalBytes > m_limitBytes && !m_enforcement.isActive()) {
        m_enforcement = m_loop.after(Duration::zero(), [this] { enforceLimit(); });
    }
}

void ResponseMemory::enforceLimit()
{
    while (m_totalBytes > m_limitBytes) {
        const auto largest
            = std::max_element(m_bytes.begin(), m_bytes.end(), [](const auto &a, const auto &b) { return a.second < b.second; });
        auto *user = largest->first;
        set(*user, 0);
        user->abandonResponse();
    }
}

std::size_t ResponseMemory::bytes() const
{
    return m_totalBytes;
}

} // namespace Toucandeck
