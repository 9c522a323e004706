#include "routing/hot_key_sketch.h"

#include "common/assert.h"

#include <algorithm>
#include <cmath>

namespace Toucandeck
{

namespace
{

constexpr double kLargestWeight = 1e9; // counts are rescaled here; a double holds 15 digits

} // namespace

HotKeySketch::HotKeySketch(const Clock &clock, HotKeyOptions options)
    : m_clock(clock)
    , m_options(options)
    , m_landmark(clock.now())
{
    TOUCANDECK_ASSERT(options.capacity > 0 && options.halfLife > Duration::zero(), "the sketch holds keys and forgets them");
}

double HotKeySketch::weight()
{
    const std::chrono::duration<double> age = m_clock.now() - m_landmark;
    const auto weight = std::exp2(age / std::chrono::duration<double>(m_options.halfLife));
    if (weight < kLargestWeight) {
        return weight;
    }
    for (auto &it : m_heap) {
        it.count /= weight;
        it.error /= weight;
    }
    m_landmark = m_clock.now();
    return 1;
}

void HotKeySketch::record(KeyHash key)
{
    const auto step = weight();
    const auto known = m_places.find(key);
    if (known != m_places.end()) {
        m_heap[known->second].count += step;
        sift(known->second);
        return;
    }
    if (m_heap.size() < m_options.capacity) {
        m_heap.push_back({ key, step, 0 });
        m_places[key] = m_heap.size() - 1;
        sift(m_heap.size() - 1);
        return;
    }
    // The least frequent key gives way; the new one may have been as frequent.
    auto &least = m_heap.front();
    m_places.erase(least.key);
    least = { key, least.count + step, least.count };
    m_places[key] = 0;
    sift(0);
}

void HotKeySketch::sift(std::size_t place)
{
    while (place > 0 && m_heap[place].count < m_heap[(place - 1) / 2].count) {
        swapPlaces(place, (place - 1) / 2);
        place = (place - 1) / 2;
    }
    for (;;) {
        auto least = place;
        for (const auto child : { 2 * place + 1, 2 * place + 2 }) {
            if (child < m_heap.size() && m_heap[child].count < m_heap[least].count) {
                least = child;
            }
        }
        if (least == place) {
            return;
        }
        swapPlaces(place, least);
        place = least;
    }
}

void HotKeySketch::swapPlaces(std::size_t a, std::size_t b)
{
    std::swap(m_heap[a], m_heap[b]);
    m_places[m_heap[a].key] = a;
    m_places[m_heap[b].key] = b;
}

std::vector<HotKey> HotKeySketch::top(std::size_t n)
{
    const auto scale = weight();
    auto keys = m_heap;
    const auto hotter = [](const HotKey &a, const HotKey &b) { return a.count != b.count ? a.count > b.count : a.key.value < b.key.value; };
    std::sort(keys.begin(), keys.end(), hotter);
    keys.resize(std::min(n, keys.size()));
    for (auto &it : keys) {
        it.count /= scale;
        it.error /= scale;
    }
    return keys;
}

std::size_t HotKeySketch::size() const
{
    return m_heap.size();
}

} // namespace Toucandeck
