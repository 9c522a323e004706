#pragma once

#include "common/clock.h"
#include "runtime/http_message.h"

#include <cstdint>
#include <map>
#include <optional>

namespace Toucandeck
{

/// An attempt of a client, with what its retry will have in common with it.
struct ClientAttempt
{
    std::uint64_t fingerprint = 0; ///< Of the request; see RetryDetector::fingerprint().
    TimePoint deadline; ///< When the client stops waiting, as it says.
    TimePoint firstAttempt; ///< When its first attempt was received.
    TimePoint retryAt{}; ///< When the client was told to retry; the epoch if it was not told.
};

/// Recognises the retries of clients. Each attempt says how much time its client has left, and clients differ in how long they wait; but
/// all attempts of one client are the same request and end at the same moment.
class RetryDetector
{
public:
    explicit RetryDetector(const Clock &clock);

    static std::uint64_t fingerprint(const HttpRequest &request);

    /// Remembers an attempt that ended without success until its client's deadline.
    void recordFailure(const ClientAttempt &attempt);

    /// The attempt that this one repeats, none if no such attempt is remembered. A remembered attempt is matched only once.
    std::optional<ClientAttempt> takeAttempt(std::uint64_t fingerprint, TimePoint deadline);

    /// Number of remembered attempts.
    std::size_t size() const;

private:
    void forgetExpired();

    const Clock &m_clock;
    std::multimap<TimePoint, ClientAttempt> m_byDeadline;
};

} // namespace Toucandeck
