#include "cli/text_table.h"

#include "common/assert.h"

#include <algorithm>

namespace Toucandeck
{

TextTable::TextTable(std::vector<std::string> header)
{
    m_lines.push_back(std::move(header));
}

void TextTable::add(std::vector<std::string> cells)
{
    TOUCANDECK_ASSERT(cells.size() <= m_lines.front().size(), "a line has no more cells than the header");
    cells.resize(m_lines.front().size());
    m_lines.push_back(std::move(cells));
}

std::size_t TextTable::size() const
{
    return m_lines.size() - 1;
}

std::string TextTable::text() const
{
    constexpr std::size_t gap = 2;
    std::vector<std::size_t> widths;
    for (std::size_t i = 0; i < m_lines.front().size(); ++i) {
        std::size_t width = 0;
        for (auto it = m_lines.begin() + 1; it != m_lines.end(); ++it) {
            width = std::max(width, (*it)[i].size());
        }
        widths.push_back(width == 0 && size() > 0 ? 0 : std::max(width, m_lines.front()[i].size()));
    }
    std::string buf;
    for (const auto &line : m_lines) {
        std::string text;
        for (std::size_t i = 0; i < line.size(); ++i) {
            if (widths[i] > 0) {
                text += line[i];
                text.append(widths[i] + gap - line[i].size(), ' ');
            }
        }
        text.erase(text.find_last_not_of(' ') + 1);
        buf += text + '\n';
    }
    return buf;
}

} // namespace Toucandeck
