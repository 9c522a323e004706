#include "state/table_columns.h"

#include "common/key_limits.h"
#include "state/effective_row.h"
#include "state/leave_time.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <fmt/format.h>

namespace Toucandeck
{

namespace
{

using Row = wire::TableRow;

template<std::uint32_t min, std::uint32_t max>
std::string rangeProblem(std::string_view value)
{
    return fmt::format("must be a whole number from {} to {}, not \"{}\"", min, max, value);
}

/// A column with a whole number, defined by the accessors of the message and the permitted range.
template<auto has, auto get, auto set, auto clear, std::uint32_t min, std::uint32_t max>
constexpr TableColumn numberColumn(std::string_view name, bool serviceOnly)
{
    return {
        name,
        serviceOnly,
        [](const Row &row) { return (row.*has)(); },
        [](Row &row) { (row.*clear)(); },
        [](const Row &from, Row &to) { (to.*set)((from.*get)()); },
        [](const Row &row) { return fmt::format("{}", (row.*get)()); },
        [](Row &row, std::string_view text) -> std::string {
            std::uint32_t n = 0;
            const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
            if (ec != std::errc() || end != text.data() + text.size() || n < min || n > max) {
                return rangeProblem<min, max>(text);
            }
            (row.*set)(n);
            return {};
        },
        [](const Row &row) -> std::string {
            const auto n = (row.*get)();
            return n < min || n > max ? rangeProblem<min, max>(fmt::format("{}", n)) : std::string();
        },
    };
}

constexpr std::array<std::pair<wire::RowState, std::string_view>, 3> stateNames{
    { { wire::SERVING, "serving" }, { wire::LEAVING, "leaving" }, { wire::OUT, "out" } }
};

std::string parseState(Row &row, std::string_view text)
{
    for (const auto &[state, name] : stateNames) {
        if (text == name) {
            row.set_state(state);
            return {};
        }
    }
    return fmt::format("must be serving, leaving or out, not \"{}\"", text);
}

constexpr TableColumn stateColumn{
    "state",
    false,
    [](const Row &row) { return row.state() != wire::UNSET; },
    [](Row &row) { row.set_state(wire::UNSET); },
    [](const Row &from, Row &to) { to.set_state(from.state()); },
    [](const Row &row) { return std::string(toString(row.state())); },
    parseState,
    [](const Row &row) {
        return toString(row.state()).empty() ? fmt::format("{} is not a state", static_cast<int>(row.state())) : std::string();
    },
};

std::string parseLeaveTime(Row &row, std::string_view text)
{
    const auto time = internal::parseWallTime(text);
    if (!time) {
        return fmt::format("must be a UTC time such as 2026-12-04T18:30:00Z, not \"{}\"", text);
    }
    row.set_leave_time_ms(time->time_since_epoch().count());
    return {};
}

std::string checkLeaveTime(const Row &row)
{
    constexpr std::int64_t endOfYear9999 = 253'402'300'800'000; // In ms. The text form has four digits for the year.
    const auto ms = row.leave_time_ms();
    return ms < 0 || ms >= endOfYear9999 ? fmt::format("must lie in the years 1970 to 9999, not at {} ms", ms) : std::string();
}

constexpr TableColumn leaveTimeColumn{
    "leave_time",
    false,
    [](const Row &row) { return row.has_leave_time_ms(); },
    [](Row &row) { row.clear_leave_time_ms(); },
    [](const Row &from, Row &to) { to.set_leave_time_ms(from.leave_time_ms()); },
    [](const Row &row) { return internal::formatWallTime(WallTime(std::chrono::milliseconds(row.leave_time_ms()))); },
    parseLeaveTime,
    checkLeaveTime,
};

std::string keyProblem(std::string_view text)
{
    return parseKeyColumn(text) ? std::string()
                                : fmt::format("must be none, segment:N (N from 1 to {}) or header:NAME, not \"{}\"", kMaxKeySegment, text);
}

constexpr TableColumn keyColumn{
    "key",
    true,
    [](const Row &row) { return row.has_key(); },
    [](Row &row) { row.clear_key(); },
    [](const Row &from, Row &to) { to.set_key(from.key()); },
    [](const Row &row) { return row.key(); },
    [](Row &row, std::string_view text) {
        row.set_key(std::string(text));
        return keyProblem(text);
    },
    [](const Row &row) { return keyProblem(row.key()); },
};

std::string parseFenced(Row &row, std::string_view text)
{
    if (text != "yes" && text != "no") {
        return fmt::format("must be yes or no, not \"{}\"", text);
    }
    row.set_fenced(text == "yes");
    return {};
}

constexpr TableColumn fencedColumn{
    "fenced",
    true,
    [](const Row &row) { return row.has_fenced(); },
    [](Row &row) { row.clear_fenced(); },
    [](const Row &from, Row &to) { to.set_fenced(from.fenced()); },
    [](const Row &row) { return std::string(row.fenced() ? "yes" : "no"); },
    parseFenced,
    [](const Row &) { return std::string(); },
};

constexpr std::array columns{
    numberColumn<&Row::has_weight, &Row::weight, &Row::set_weight, &Row::clear_weight, 0, 1000>("weight", false),
    numberColumn<&Row::has_slots, &Row::slots, &Row::set_slots, &Row::clear_slots, 1, 10'000>("slots", false),
    numberColumn<&Row::has_connections, &Row::connections, &Row::set_connections, &Row::clear_connections, 1, 100'000>("connections",
                                                                                                                       false),
    stateColumn,
    leaveTimeColumn,
    keyColumn,
    numberColumn<&Row::has_partitions, &Row::partitions, &Row::set_partitions, &Row::clear_partitions, 1, maxPartitions>("partitions",
                                                                                                                         true),
    fencedColumn,
};

std::string columnNames()
{
    std::string names;
    for (const auto &it : columns) {
        names += names.empty() ? "" : ", ";
        names += it.name;
    }
    return names;
}

Result<const TableColumn *> requireColumn(std::string_view name)
{
    if (const auto *column = findColumn(name)) {
        return column;
    }
    return fail(ErrorCode::InvalidArgument, fmt::format("unknown column \"{}\" (known: {})", name, columnNames()));
}

Result<void> checkColumnAllowed(const TableColumn &column, const RowKey &key)
{
    if (column.serviceOnly && !key.isService()) {
        return fail(ErrorCode::InvalidArgument,
                    fmt::format("row {}: column \"{}\" is allowed only in a row SERVICE/*/*", toString(key), column.name));
    }
    return {};
}

Result<void> checkClearedColumns(const wire::RowEdit &edit, const RowKey &key)
{
    for (const auto &it : edit.clear()) {
        BOOST_LEAF_AUTO(column, requireColumn(it));
        BOOST_LEAF_CHECK(checkColumnAllowed(*column, key));
        if (column->isSet(edit.row())) {
            return fail(ErrorCode::InvalidArgument, fmt::format("row {}: column \"{}\" is both set and cleared", toString(key), it));
        }
    }
    return {};
}

Result<void> addAssignment(wire::RowEdit &edit, const std::string &assignment)
{
    const auto at = assignment.find('=');
    if (at == std::string::npos) {
        return fail(ErrorCode::InvalidArgument, fmt::format("\"{}\" is not of the form COLUMN=VALUE", assignment));
    }
    const auto name = assignment.substr(0, at);
    BOOST_LEAF_AUTO(column, requireColumn(name));
    if (column->isSet(edit.row()) || std::find(edit.clear().begin(), edit.clear().end(), name) != edit.clear().end()) {
        return fail(ErrorCode::InvalidArgument, fmt::format("column \"{}\" is named twice", name));
    }
    if (at + 1 == assignment.size()) {
        edit.add_clear(name);
        return {};
    }
    return setColumn(*edit.mutable_row(), name, std::string_view(assignment).substr(at + 1));
}

} // namespace

std::span<const TableColumn> tableColumns()
{
    return columns;
}

const TableColumn *findColumn(std::string_view name)
{
    const auto *const it = std::find_if(columns.begin(), columns.end(), [name](const TableColumn &column) { return column.name == name; });
    return it == columns.end() ? nullptr : it;
}

Result<void> setColumn(wire::TableRow &row, std::string_view column, std::string_view text)
{
    BOOST_LEAF_AUTO(it, requireColumn(column));
    const auto problem = it->parse(row, text);
    if (!problem.empty()) {
        return fail(ErrorCode::InvalidArgument, fmt::format("column \"{}\" {}", column, problem));
    }
    return {};
}

std::string columnText(const wire::TableRow &row, std::string_view column)
{
    const auto *it = findColumn(column);
    return it != nullptr && it->isSet(row) ? it->text(row) : std::string();
}

std::string_view toString(wire::RowState state)
{
    for (const auto &[it, name] : stateNames) {
        if (it == state) {
            return name;
        }
    }
    return {};
}

Result<wire::RowEdit> parseRowEdit(std::string_view rowKey, std::span<const std::string> assignments, Revision expectedRevision)
{
    BOOST_LEAF_AUTO(key, parseRowKey(rowKey));
    wire::RowEdit edit;
    setKey(*edit.mutable_row(), key);
    edit.set_seen_revision(expectedRevision.value);
    for (const auto &it : assignments) {
        BOOST_LEAF_CHECK(addAssignment(edit, it));
    }
    BOOST_LEAF_CHECK(checkRowEdit(edit));
    return edit;
}

wire::TableRow mergedRow(const wire::TableRow *current, const wire::RowEdit &edit)
{
    wire::TableRow row;
    if (current != nullptr) {
        row = *current;
    } else {
        setKey(row, keyOf(edit.row()));
    }
    for (const auto &it : columns) {
        if (it.isSet(edit.row())) {
            it.copy(edit.row(), row);
        } else if (std::find(edit.clear().begin(), edit.clear().end(), it.name) != edit.clear().end()) {
            it.clear(row);
        }
    }
    return row;
}

Result<void> checkRowEdit(const wire::RowEdit &edit)
{
    const auto key = keyOf(edit.row());
    BOOST_LEAF_CHECK(checkRowKey(key));
    int n = edit.clear_size();
    for (const auto &it : columns) {
        if (!it.isSet(edit.row())) {
            continue;
        }
        ++n;
        BOOST_LEAF_CHECK(checkColumnAllowed(it, key));
        const auto problem = it.check(edit.row());
        if (!problem.empty()) {
            return fail(ErrorCode::InvalidArgument, fmt::format("row {}: column \"{}\" {}", toString(key), it.name, problem));
        }
    }
    if (n == 0) {
        return fail(ErrorCode::InvalidArgument, fmt::format("row {}: the edit names no column", toString(key)));
    }
    return checkClearedColumns(edit, key);
}

} // namespace Toucandeck
