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

    /// When the first attempt of this client was received; none if no attempt is remembered that this one repeats. A remembered attempt
    /// is matched only once.
    std::optional<TimePoint> takeFirstAttempt(std::uint64_t fingerprint, TimePoint deadline);

    /// Number of remembered attempts.
    std::size_t size() const;

private:
    void forgetExpired();

    const Clock &m_clock;
    std::multimap<TimePoint, ClientAttempt> m_byDeadline;
};

} // namespace Toucandeck
