#pragma once

#include "common/time.h"

#include <cstdint>
#include <fleet.pb.h>
#include <string>
#include <vector>

namespace Toucandeck
{

namespace wire = ::toucandeck::wire;

/// Number of keys of a service; keys are 0 to kKeyCount - 1.
inline constexpr std::uint32_t kKeyCount = 65536;

/// Closed range of keys.
struct KeyRange
{
    std::uint32_t from = 0;
    std::uint32_t to = 0;

    auto operator<=>(const KeyRange &) const = default;

    std::uint32_t size() const
    {
        return to - from + 1;
    }

    bool contains(std::uint32_t key) const
    {
        return from <= key && key <= to;
    }

    bool overlaps(const KeyRange &other) const
    {
        return from <= other.to && other.from <= to;
    }
};

/// Keys in both ranges, which must overlap.
KeyRange intersection(KeyRange a, KeyRange b);

/// Keys of @p range that are not in @p removed: zero, one or two ranges.
std::vector<KeyRange> difference(KeyRange range, KeyRange removed);

/// Keys of the ranges that are not in @p removed.
std::vector<KeyRange> difference(const std::vector<KeyRange> &ranges, KeyRange removed);

/// Keys of a service and their holder.
struct KeyRow
{
    KeyRange range;
    std::string holder; ///< Incarnation of the backend server; empty while nobody may hold the keys.
    std::string router; ///< IP address of the router beside the holder.
    std::uint64_t fencingToken = 0; ///< Log index of the assignment; zero before it is committed or without a holder.
    std::string handover; ///< Handover token of the previous holder; empty if it could not hand the keys over.

    bool operator==(const KeyRow &) const = default;

    /// True if the rows differ at most in their range.
    bool hasSameGrant(const KeyRow &other) const;
};

wire::KeyRow toWire(const KeyRow &row);
KeyRow fromWire(const wire::KeyRow &row);

/// Rows of all keys of a service, sorted, without gaps or overlaps.
class KeyRows
{
public:
    /// One row of all keys without a holder.
    KeyRows();
    /// @param rows must be complete; see isComplete().
    explicit KeyRows(std::vector<KeyRow> rows);

    /// True if the rows cover each key once, in order.
    static bool isComplete(const std::vector<KeyRow> &rows);

    const std::vector<KeyRow> &rows() const;
    const KeyRow &at(std::uint32_t key) const;

    /// Replaces the rows of the row's range. Adjacent rows that differ only in their range are merged.
    void assign(const KeyRow &row);

    std::vector<KeyRow> rowsHeldBy(const std::string &holder) const;

    bool operator==(const KeyRows &) const = default;

private:
    void mergeNeighbours();

    std::vector<KeyRow> m_rows;
};

} // namespace Toucandeck
