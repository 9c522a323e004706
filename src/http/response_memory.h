#pragma once

#include "runtime/event_loop.h"

#include <cstddef>
#include <unordered_map>

namespace Toucandeck
{

/// Limits the memory of the responses that are being received over several connections. Above the limit the largest response is
/// discarded, so that very large responses do not prevent the reception of ordinary ones.
class ResponseMemory
{
public:
    /// Receiver of a response.
    class User
    {
    public:
        virtual ~User() = default;
        /// Discards the response and frees its memory; its request fails.
        virtual void abandonResponse() = 0;
    };

    ResponseMemory(EventLoop &loop, std::size_t limitBytes);

    ResponseMemory(const ResponseMemory &) = delete;
    ResponseMemory &operator=(const ResponseMemory &) = delete;

    /// Sets the memory that the user occupies; zero if it receives no response. If the limit is exceeded, abandonResponse() of the users
    /// with the largest responses is called in the next iteration of the event loop. A user must set its memory to zero before it is
    /// destroyed.
    void set(User &user, std::size_t bytes);

    /// Sum over all users.
    std::size_t bytes() const;

private:
    void enforceLimit();

    EventLoop &m_loop;
    std::size_t m_limitBytes;
    std::size_t m_totalBytes = 0;
    std::unordered_map<User *, std::size_t> m_bytes;
    EventLoop::Watch m_enforcement;
};

} // namespace Toucandeck
