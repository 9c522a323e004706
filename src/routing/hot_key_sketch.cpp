#include "routing/hot_key_sketch.h"

#include "common/assert.h"

#include <algorithm>
#include <cmath>

namespace Toucandeck
{

namespace
{

constexpr double kMaxWeight = 1e9; // counts are rescaled at this weight; a double has 15 significant digits

} // namespace

HotKeySketch::HotKeySketch(const Clock &clock, HotKeyOptions options)
    : m_clock(clock)
    , m_options(options)
    , m_landmark(clock.now())
{
    TOUCANDECK_ASSERT(options.capacity > 0 && options.halfLife > Duration::zero(), "capacity and half-life are positive");
}

double HotKeySketch::currentWeight()
{
    const std::chrono::duration<double> age = m_clock.now() - m_landmark;
    const auto weight = std::exp2(age / std::chrono::duration<double>(m_options.halfLife));
    if (weight < kMaxWeight) {
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
    const auto step = currentWeight();
    const auto known = m_heapIndexes.find(key);
    if (known != m_heapIndexes.end()) {
        m_heap[known->second].count += step;
        sift(known->second);
        return;
    }
    if (m_heap.size() < m_options.capacity) {
        m_heap.push_back({ key, step, 0 });
        m_heapIndexes[key] = m_heap.size() - 1;
        sift(m_heap.size() - 1);
        return;
    }
    // The new key replaces the least frequent one and takes over its count, because it may have been as frequent.
    auto &least = m_heap.front();
    m_heapIndexes.erase(least.key);
    least = { key, least.count + step, least.count };
    m_heapIndexes[key] = 0;
    sift(0);
}

void HotKeySketch::sift(std::size_t index)
{
    while (index > 0 && m_heap[index].count < m_heap[(index - 1) / 2].count) {
        swapEntries(index, (index - 1) / 2);
        index = (index - 1) / 2;
    }
    for (;;) {
        auto least = index;
        for (const auto child : { 2 * index + 1, 2 * index + 2 }) {
            if (child < m_heap.size() && m_heap[child].count < m_heap[least].count) {
                least = child;
            }
        }
        if (least == index) {
            return;
        }
        swapEntries(index, least);
        index = least;
    }
}

void HotKeySketch::swapEntries(std::size_t a, std::size_t b)
{
    std::swap(m_heap[a], m_heap[b]);
    m_heapIndexes[m_heap[a].key] = a;
    m_heapIndexes[m_heap[b].key] = b;
}

std::vector<HotKey> HotKeySketch::top(std::size_t n)
{
    const auto scale = currentWeight();
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
