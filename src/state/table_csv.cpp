#include "state/table_csv.h"

#include "state/csv_reader.h"
#include "state/table_columns.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <set>
#include <vector>

namespace Toucandeck
{

namespace
{

constexpr std::string_view keyColumnNames[] = { "service", "failure_domain", "instance" };
constexpr std::string_view revisionColumnName = "revision";

std::string quoteField(std::string_view text)
{
    if (text.find_first_of(",\"\r\n") == std::string_view::npos) {
        return std::string(text);
    }
    std::string buf = "\"";
    for (const char c : text) {
        buf.append(c == '"' ? "\"\"" : std::string(1, c));
    }
    return buf + '"';
}

std::string formatLine(const std::vector<std::string> &fields)
{
    std::string buf;
    for (const auto &it : fields) {
        buf += buf.empty() ? "" : ",";
        buf += quoteField(it);
    }
    return buf + '\n';
}

std::vector<std::string> headerFields()
{
    std::vector<std::string> fields(std::begin(keyColumnNames), std::end(keyColumnNames));
    for (const auto &it : tableColumns()) {
        fields.emplace_back(it.name);
    }
    fields.emplace_back(revisionColumnName);
    return fields;
}

std::string starIfEmpty(const std::string &part)
{
    return part.empty() ? "*" : part;
}

std::vector<std::string> rowFields(const wire::TableRow &row)
{
    std::vector<std::string> fields{ starIfEmpty(row.service()), starIfEmpty(row.failure_domain()), starIfEmpty(row.instance()) };
    for (const auto &it : tableColumns()) {
        fields.push_back(columnText(row, it.name));
    }
    fields.push_back(fmt::format("{}", row.revision()));
    return fields;
}

boost::leaf::error_id failAt(std::size_t line, std::string_view column, std::string_view problem)
{
    return fail(ErrorCode::InvalidArgument, fmt::format("line {}, column \"{}\": {}", line, column, problem));
}

/// Parses the header line and then each record into a row edit.
class EditReader
{
public:
    Result<void> readHeader(const internal::CsvRecord &record)
    {
        const auto known = headerFields();
        std::set<std::string> names;
        for (const auto &it : record.fields) {
            if (std::find(known.begin(), known.end(), it) == known.end()) {
                return failAt(record.line, it, fmt::format("unknown column (known: {})", fmt::join(known, ", ")));
            }
            if (!names.insert(it).second) {
                return failAt(record.line, it, "column appears twice");
            }
        }
        for (const auto &it : known) {
            if (findColumn(it) == nullptr && !names.contains(it)) {
                return failAt(record.line, it, "column is missing");
            }
        }
        m_header = record.fields;
        return {};
    }

    Result<wire::RowEdit> readRow(const internal::CsvRecord &record)
    {
        if (record.fields.size() != m_header.size()) {
            return failAt(record.line,
                          m_header[std::min(record.fields.size(), m_header.size() - 1)],
                          fmt::format("the line has {} fields, the header line has {}", record.fields.size(), m_header.size()));
        }
        wire::RowEdit edit;
        BOOST_LEAF_CHECK(readKey(record, edit));
        for (std::size_t i = 0; i < m_header.size(); ++i) {
            BOOST_LEAF_CHECK(readField(record, i, edit));
        }
        return edit;
    }

private:
    const std::string &field(const internal::CsvRecord &record, std::string_view column) const
    {
        const auto it = std::find(m_header.begin(), m_header.end(), column);
        return record.fields[static_cast<std::size_t>(it - m_header.begin())];
    }

    Result<void> readKey(const internal::CsvRecord &record, wire::RowEdit &edit)
    {
        std::vector<std::string> parts;
        for (const auto &it : keyColumnNames) {
            const auto &text = field(record, it);
            if (text != "*" && !isValidName(text)) {
                return failAt(record.line, it, fmt::format("\"{}\" is not a name (letters, digits, '.', '_', '-') or \"*\"", text));
            }
            parts.push_back(text == "*" ? std::string() : text);
        }
        const RowKey key{ parts[0], parts[1], parts[2] };
        const auto problem = handleError(
            [&]() -> Result<std::string> {
                BOOST_LEAF_CHECK(checkRowKey(key));
                return std::string();
            },
            [](const Error &error) { return error.message; });
        if (!problem.empty()) {
            return failAt(record.line, keyColumnNames[0], problem);
        }
        if (!m_keys.insert(key).second) {
            return failAt(record.line, keyColumnNames[0], fmt::format("row {} appears twice", toString(key)));
        }
        setKey(*edit.mutable_row(), key);
        return {};
    }

    Result<void> readField(const internal::CsvRecord &record, std::size_t i, wire::RowEdit &edit)
    {
        const auto &text = record.fields[i];
        const auto *column = findColumn(m_header[i]);
        if (column == nullptr) {
            return m_header[i] == revisionColumnName ? readRevision(record.line, text, edit) : Result<void>();
        }
        const bool isAllowed = !column->serviceOnly || keyOf(edit.row()).isService();
        if (text.empty()) {
            if (isAllowed) {
                edit.add_clear(m_header[i]);
            }
            return {};
        }
        if (!isAllowed) {
            return failAt(record.line, column->name, "allowed only in a row SERVICE/*/*");
        }
        const auto problem = column->parse(*edit.mutable_row(), text);
        return problem.empty() ? Result<void>() : Result<void>(failAt(record.line, column->name, problem));
    }

    static Result<void> readRevision(std::size_t line, const std::string &text, wire::RowEdit &edit)
    {
        std::uint64_t revision = 0;
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), revision);
        if (text.empty() || ec != std::errc() || end != text.data() + text.size()) {
            return failAt(line, revisionColumnName, fmt::format("must be a whole number (0 for a new row), not \"{}\"", text));
        }
        edit.set_seen_revision(revision);
        return {};
    }

    std::vector<std::string> m_header;
    std::set<RowKey> m_keys;
};

} // namespace

std::string TableCsv::write(const View &view)
{
    auto buf = formatLine(headerFields());
    for (const auto &[key, row] : view.rows()) {
        buf += formatLine(rowFields(row));
    }
    return buf;
}

Result<wire::EditTable> TableCsv::read(std::string_view text, std::string_view requestId)
{
    BOOST_LEAF_AUTO(records, internal::readCsv(text));
    if (records.size() < 2) {
        return fail(ErrorCode::InvalidArgument, "line 1: the file needs a header line and at least one row");
    }
    EditReader reader;
    BOOST_LEAF_CHECK(reader.readHeader(records.front()));
    wire::EditTable edit;
    edit.set_request_id(std::string(requestId));
    for (std::size_t i = 1; i < records.size(); ++i) {
        BOOST_LEAF_AUTO(row, reader.readRow(records[i]));
        *edit.add_edits() = std::move(row);
    }
    return edit;
}

} // namespace Toucandeck
