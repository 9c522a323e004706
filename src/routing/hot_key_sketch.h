#pragma once

#include "common/clock.h"
#include "common/ids.h"

#include <unordered_map>
#include <vector>

namespace Toucandeck
{

struct HotKeyOptions
{
    std::size_t capacity = 256; ///< Number of tracked keys; a key with more than 1/256 of the requests is always among them.
    Duration halfLife = std::chrono::seconds(2); ///< Time in which the count of a key without requests halves.
};

struct HotKey
{
    KeyHash key;
    double count = 0; ///< Decayed number of requests; never too low.
    double error = 0; ///< Maximum overestimate in the count.
};

/// Finds the most frequent keys of the last seconds in bounded memory (space-saving, Metwally et al. 2005, with decay).
class HotKeySketch
{
public:
    explicit HotKeySketch(const Clock &clock, HotKeyOptions options = {});

    void record(KeyHash key);

    /// The most frequent keys, hottest first, at most @p n.
    std::vector<HotKey> top(std::size_t n = 16);
    std::size_t size() const;

private:
    /// Weight of a request now. Rescales all counts if it has grown too large.
    double currentWeight();
    void sift(std::size_t index);
    void swapEntries(std::size_t a, std::size_t b);

    const Clock &m_clock;
    HotKeyOptions m_options;
    TimePoint m_landmark; ///< A request at this time has weight 1; later ones weigh more, which is equivalent to decay of earlier ones.
    std::vector<HotKey> m_heap; ///< Min-heap by count.
    std::unordered_map<KeyHash, std::size_t> m_heapIndexes; ///< Index in m_heap by key.
};

} // namespace Toucandeck
