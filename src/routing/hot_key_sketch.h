#pragma once

#include "common/clock.h"
#include "common/ids.h"

#include <unordered_map>
#include <vector>

namespace Toucandeck
{

struct HotKeyOptions
{
    std::size_t capacity = 256; ///< Keys tracked; a key above 1/256 of the requests is never missed.
    Duration halfLife = std::chrono::seconds(2); ///< A key that is not asked for loses half its count in this time.
};

struct HotKey
{
    KeyHash key;
    double count = 0; ///< Decayed; never too low.
    double error = 0; ///< The count is too high by at most this.
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
    double weight();
    void sift(std::size_t place);
    void swapPlaces(std::size_t a, std::size_t b);

    const Clock &m_clock;
    HotKeyOptions m_options;
    TimePoint m_landmark; ///< A request at this time weighs 1; later ones weigh more, which equals decay of the earlier ones.
    std::vector<HotKey> m_heap; ///< Least frequent first.
    std::unordered_map<KeyHash, std::size_t> m_places;
};

} // namespace Toucandeck
