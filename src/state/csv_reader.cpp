#include "state/csv_reader.h"

#include <fmt/format.h>
#include <utility>

namespace Toucandeck::internal
{

namespace
{

/// Scans one record at a time and counts lines.
class CsvScanner
{
public:
    explicit CsvScanner(std::string_view text)
        : m_text(text)
    {
    }

    bool atEnd() const
    {
        return m_position >= m_text.size();
    }

    Result<void> scanRecord(CsvRecord &record)
    {
        record.line = m_line;
        do {
            BOOST_LEAF_AUTO(field, scanField(record));
            record.fields.push_back(std::move(field));
        } while (consume(','));
        if (!atEnd() && !consumeLineEnd()) {
            return failHere(record, record.fields.size(), "text after the closing quote");
        }
        return {};
    }

private:
    char peek() const
    {
        return atEnd() ? '\0' : m_text[m_position];
    }

    bool consume(char c)
    {
        const bool found = !atEnd() && m_text[m_position] == c;
        m_position += found ? 1 : 0;
        return found;
    }

    bool consumeLineEnd()
    {
        const auto rest = m_text.substr(m_position);
        const std::size_t n = rest.starts_with("\r\n") ? 2 : rest.starts_with('\n') ? 1 : 0;
        m_position += n;
        m_line += n > 0 ? 1 : 0;
        return n > 0;
    }

    Result<std::string> scanField(const CsvRecord &record)
    {
        return consume('"') ? scanQuoted(record) : scanPlain(record);
    }

    Result<std::string> scanPlain(const CsvRecord &record)
    {
        std::string field;
        while (!atEnd() && peek() != ',' && peek() != '\n' && !m_text.substr(m_position).starts_with("\r\n")) {
            if (peek() == '"') {
                return failHere(record, record.fields.size() + 1, "a quote inside a field that does not start with one");
            }
            field.push_back(m_text[m_position++]);
        }
        return field;
    }

    Result<std::string> scanQuoted(const CsvRecord &record)
    {
        std::string field;
        while (!atEnd()) {
            const char c = m_text[m_position++];
            if (c == '"' && !consume('"')) {
                return field;
            }
            m_line += c == '\n' ? 1 : 0;
            field.push_back(c);
        }
        return failHere(record, record.fields.size() + 1, "the closing quote is missing");
    }

    boost::leaf::error_id failHere(const CsvRecord &record, std::size_t column, std::string_view problem) const
    {
        return fail(ErrorCode::InvalidArgument, fmt::format("line {}, column {}: {}", record.line, column, problem));
    }

    std::string_view m_text;
    std::size_t m_position = 0;
    std::size_t m_line = 1;
};

} // namespace

Result<std::vector<CsvRecord>> readCsv(std::string_view text)
{
    std::vector<CsvRecord> records;
    CsvScanner scanner(text);
    while (!scanner.atEnd()) {
        CsvRecord record;
        BOOST_LEAF_CHECK(scanner.scanRecord(record));
        const bool isEmptyLine = record.fields.size() == 1 && record.fields.front().empty();
        if (!isEmptyLine) {
            records.push_back(std::move(record));
        }
    }
    return records;
}

} // namespace Toucandeck::internal
