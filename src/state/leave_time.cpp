#include "state/leave_time.h"

#include <charconv>
#include <cstdint>
#include <fmt/format.h>

namespace Toucandeck::internal
{

namespace
{

constexpr std::size_t secondsFormLength = 20; // 2026-12-04T18:30:00Z
constexpr std::size_t millisecondsFormLength = 24; // 2026-12-04T18:30:00.123Z

/// Parses text whose fields have fixed positions. isValid() tells whether all fields were as expected.
class FixedWidthReader
{
public:
    explicit FixedWidthReader(std::string_view text)
        : m_text(text)
    {
    }

    int number(std::size_t at, std::size_t length)
    {
        int n = 0;
        for (const char c : m_text.substr(at, length)) {
            m_valid = m_valid && c >= '0' && c <= '9';
            n = n * 10 + (c - '0');
        }
        return n;
    }

    void expect(std::size_t at, char c)
    {
        m_valid = m_valid && m_text[at] == c;
    }

    bool isValid() const
    {
        return m_valid;
    }

private:
    std::string_view m_text;
    bool m_valid = true;
};

} // namespace

std::string formatWallTime(WallTime time)
{
    const auto day = std::chrono::floor<std::chrono::days>(time);
    const std::chrono::year_month_day date(day);
    const std::chrono::hh_mm_ss clock(time - day);
    auto text = fmt::format("{:04}-{:02}-{:02}T{:02}:{:02}:{:02}",
                            static_cast<int>(date.year()),
                            static_cast<unsigned>(date.month()),
                            static_cast<unsigned>(date.day()),
                            clock.hours().count(),
                            clock.minutes().count(),
                            clock.seconds().count());
    if (clock.subseconds().count() != 0) {
        text += fmt::format(".{:03}", clock.subseconds().count());
    }
    return text + "Z";
}

std::optional<WallTime> parseWallTime(std::string_view text)
{
    if (text.size() != secondsFormLength && text.size() != millisecondsFormLength) {
        return std::nullopt;
    }
    FixedWidthReader reader(text);
    const std::chrono::year_month_day date(std::chrono::year(reader.number(0, 4)),
                                           std::chrono::month(static_cast<unsigned>(reader.number(5, 2))),
                                           std::chrono::day(static_cast<unsigned>(reader.number(8, 2))));
    const int hours = reader.number(11, 2);
    const int minutes = reader.number(14, 2);
    const int seconds = reader.number(17, 2);
    int milliseconds = 0;
    for (const auto &[at, c] : { std::pair{ 4, '-' }, { 7, '-' }, { 10, 'T' }, { 13, ':' }, { 16, ':' } }) {
        reader.expect(static_cast<std::size_t>(at), c);
    }
    if (text.size() == millisecondsFormLength) {
        reader.expect(19, '.');
        milliseconds = reader.number(20, 3);
    }
    reader.expect(text.size() - 1, 'Z');
    if (!reader.isValid() || !date.ok() || date.year() < std::chrono::year(1970) || hours > 23 || minutes > 59 || seconds > 59) {
        return std::nullopt;
    }
    return WallTime(std::chrono::sys_days(date)) + std::chrono::hours(hours) + std::chrono::minutes(minutes) + std::chrono::seconds(seconds)
        + std::chrono::milliseconds(milliseconds);
}

} // namespace Toucandeck::internal
