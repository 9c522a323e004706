#pragma once

#include <cstdint>
#include <optional>
#include <vector>

namespace Toucandeck
{

/// The attempts of one request that run at the same time. Makes sure that the request is answered exactly once.
class HedgeRace
{
public:
    /// An attempt was sent.
    void add(std::uint64_t attempt);

    /// The attempt got an answer for the caller. Returns the other running attempts, which must be cancelled, or nothing if the
    /// answer must be dropped because another attempt was first or this one was cancelled.
    std::optional<std::vector<std::uint64_t>> won(std::uint64_t attempt);

    /// The attempt ended without an answer. True if it was the last one: the request has failed, unless it is retried.
    bool lost(std::uint64_t attempt);

    bool isAnswered() const;
    std::size_t running() const;

private:
    std::vector<std::uint64_t> m_running;
    bool m_answered = false;
};

} // namespace Toucandeck
