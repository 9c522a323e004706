#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace Toucandeck
{

/// Text in columns that are as wide as their widest cell, two spaces apart.
class TextTable
{
public:
    explicit TextTable(std::vector<std::string> header);

    /// Adds a line. Missing cells at the end are empty; @p cells must not be longer than the header.
    void add(std::vector<std::string> cells);

    /// Number of lines below the header.
    std::size_t size() const;

    /// All lines, each ending with a line end; columns that are empty in every line are left out.
    std::string text() const;

private:
    std::vector<std::vector<std::string>> m_lines;
};

} // namespace Toucandeck
