#pragma once

#include <cstdint>
#include <optional>
#include <vector>

namespace Toucandeck
{

/// Concurrent attempts of one request. Ensures that the request is answered exactly once.
class HedgedAttempts
{
public:
    /// Adds an attempt that was sent. The request must not be answered yet.
    void add(std::uint64_t attempt);

    /// Handles an answer for the caller. Returns the other running attempts, which must be cancelled, or nothing if the answer must
    /// be dropped because another attempt was answered first or this one was cancelled.
    std::optional<std::vector<std::uint64_t>> onAnswered(std::uint64_t attempt);

    /// Handles the end of an attempt without an answer. Returns true if it was the last running one: the request has failed, unless
    /// it is retried.
    bool onFailed(std::uint64_t attempt);

    bool isAnswered() const;
    std::size_t runningCount() const;

private:
    std::vector<std::uint64_t> m_runningAttempts;
    bool m_isAnswered = false;
};

} // namespace Toucandeck
