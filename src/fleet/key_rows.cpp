#include "fleet/key_rows.h"

#include "common/assert.h"

#include <algorithm>

namespace Toucandeck
{

KeyRange intersection(KeyRange a, KeyRange b)
{
    return { std::max(a.from, b.from), std::min(a.to, b.to) };
}

std::vector<KeyRange> difference(KeyRange range, KeyRange removed)
{
    if (!range.overlaps(removed)) {
        return { range };
    }
    std::vector<KeyRange> remaining;
    if (range.from < removed.from) {
        remaining.push_back({ range.from, removed.from - 1 });
    }
    if (range.to > removed.to) {
        remaining.push_back({ removed.to + 1, range.to });
    }
    return remaining;
}

std::vector<KeyRange> difference(const std::vector<KeyRange> &ranges, KeyRange removed)
{
    std::vector<KeyRange> remaining;
    for (const auto &it : ranges) {
        const auto parts = difference(it, removed);
        remaining.insert(remaining.end(), parts.begin(), parts.end());
    }
    return remaining;
}

bool KeyRow::hasSameGrant(const KeyRow &other) const
{
    return holder == other.holder && router == other.router && fencingToken == other.fencingToken && handover == other.handover;
}

wire::KeyRow toWire(const KeyRow &row)
{
    wire::KeyRow out;
    out.set_from(row.range.from);
    out.set_to(row.range.to);
    out.set_holder(row.holder);
    out.set_router(row.router);
    out.set_fence(row.fencingToken);
    out.set_handover(row.handover);
    return out;
}

KeyRow fromWire(const wire::KeyRow &row)
{
    return { { row.from(), row.to() }, row.holder(), row.router(), row.fence(), row.handover() };
}

KeyRows::KeyRows()
    : m_rows{ KeyRow{ { 0, kKeyCount - 1 }, {}, {}, 0, {} } }
{
}

KeyRows::KeyRows(std::vector<KeyRow> rows)
    : m_rows(std::move(rows))
{
    TOUCANDECK_ASSERT(isComplete(m_rows), "a key table must contain each key exactly once");
}

bool KeyRows::isComplete(const std::vector<KeyRow> &rows)
{
    std::uint32_t next = 0;
    for (const auto &it : rows) {
        if (it.range.from != next || it.range.to < it.range.from || it.range.to >= kKeyCount) {
            return false;
        }
        next = it.range.to + 1;
    }
    return next == kKeyCount;
}

const std::vector<KeyRow> &KeyRows::rows() const
{
    return m_rows;
}

const KeyRow &KeyRows::at(std::uint32_t key) const
{
    TOUCANDECK_ASSERT(key < kKeyCount, "the key must be below kKeyCount");
    const auto after = std::upper_bound(m_rows.begin(), m_rows.end(), key, [](auto k, const KeyRow &it) { return k < it.range.from; });
    return *std::prev(after);
}

void KeyRows::assign(const KeyRow &row)
{
    std::vector<KeyRow> rows;
    rows.reserve(m_rows.size() + 2);
    bool placed = false;
    for (const auto &it : m_rows) {
        if (!it.range.overlaps(row.range)) {
            rows.push_back(it);
            continue;
        }
        if (it.range.from < row.range.from) {
            rows.push_back(it);
            rows.back().range.to = row.range.from - 1;
        }
        if (!placed) {
            rows.push_back(row);
            placed = true;
        }
        if (it.range.to > row.range.to) {
            rows.push_back(it);
            rows.back().range.from = row.range.to + 1;
        }
    }
    m_rows = std::move(rows);
    mergeNeighbours();
    TOUCANDECK_ASSERT(isComplete(m_rows), "each key must be in one row after an assignment");
}

void KeyRows::mergeNeighbours()
{
    std::vector<KeyRow> rows;
    rows.reserve(m_rows.size());
    for (auto &it : m_rows) {
        if (!rows.empty() && rows.back().hasSameGrant(it)) {
            rows.back().range.to = it.range.to;
        } else {
            rows.push_back(std::move(it));
        }
    }
    m_rows = std::move(rows);
}

std::vector<KeyRow> KeyRows::rowsHeldBy(const std::string &holder) const
{
    std::vector<KeyRow> rows;
    std::copy_if(m_rows.begin(), m_rows.end(), std::back_inserter(rows), [&holder](const auto &it) { return it.holder == holder; });
    return rows;
}

} // namespace Toucandeck
