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

/// Keys from..to, both included.
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

/// What is left of a range without another one: none, one or two ranges.
std::vector<KeyRange> difference(KeyRange range, KeyRange taken);

/// Keys of a service with their holder.
struct KeyRow
{
    KeyRange range;
    std::string holder; ///< Incarnation of the backend server; empty while nobody may hold the keys.
    std::string router; ///< IP address of the router beside the holder.
    std::uint64_t fence = 0; ///< Fencing token.
    std::string handover; ///< Token of the last holder; empty if it could not hand the keys over.

    bool operator==(const KeyRow &) const = default;

    /// True if the rows differ at most in their range.
    bool sameGrant(const KeyRow &other) const;
};

wire::KeyRow toWire(const KeyRow &row);
KeyRow fromWire(const wire::KeyRow &row);

/// Rows of all keys of a service, sorted, without gaps or overlaps.
class KeyRows
{
public:
    /// All keys without a holder.
    KeyRows();
    /// @param rows must be complete; see isComplete().
    explicit KeyRows(std::vector<KeyRow> rows);

    /// True if the rows cover each key once, in order.
    static bool isComplete(const std::vector<KeyRow> &rows);

    const std::vector<KeyRow> &rows() const;
    const KeyRow &at(std::uint32_t key) const;

    /// Replaces what the table says of the row's range. Neighbours that differ only in their range become one row.
    void assign(const KeyRow &row);

    /// Rows of one holder.
    std::vector<KeyRow> heldBy(const std::string &holder) const;

    bool operator==(const KeyRows &) const = default;

private:
    void mergeNeighbours();

    std::vector<KeyRow> m_rows;
};

} // namespace Toucandeck
