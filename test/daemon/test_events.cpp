// Guards against a log event that is missing in docs/events.md, described differently there, or numbered twice.
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <map>
#include <regex>
#include <set>
#include <sstream>

namespace
{

struct DeclaredEvent
{
    std::string level;
    std::string name;
    std::string description;

    bool operator==(const DeclaredEvent &) const = default;
};

using Catalogue = std::multimap<int, DeclaredEvent>;

std::string contentOf(const std::filesystem::path &path)
{
    std::ifstream in(path);
    std::stringstream buf;
    buf << in.rdbuf();
    return buf.str();
}

/// Concatenated text of adjacent string literals.
std::string joined(const std::string &literals)
{
    static const std::regex kLiteral(R"re("((?:[^"\\]|\\.)*)")re");
    std::string text;
    for (std::sregex_iterator it(literals.begin(), literals.end(), kLiteral), end; it != end; ++it) {
        text += (*it)[1];
    }
    return std::regex_replace(text, std::regex(R"(\\")"), "\"");
}

Catalogue declaredInCode()
{
    static const std::regex kEvent(R"re(Event\s+k\w+\s*\{\s*(\d+),\s*LogLevel::(\w+),\s*"(\w+)",\s*((?:"(?:[^"\\]|\\.)*"\s*)+)\})re");
    Catalogue events;
    for (const auto &it : std::filesystem::recursive_directory_iterator("src")) {
        if (!it.path().filename().string().ends_with("events.h")) {
            continue;
        }
        const auto text = contentOf(it.path());
        for (std::sregex_iterator match(text.begin(), text.end(), kEvent), end; match != end; ++match) {
            auto level = (*match)[2].str();
            level[0] = static_cast<char>(std::tolower(level[0]));
            events.emplace(std::stoi((*match)[1]), DeclaredEvent{ level, (*match)[3], joined((*match)[4]) });
        }
    }
    return events;
}

Catalogue listedInDocs()
{
    static const std::regex kRow(R"(\| (\d+) \| (\w+) \| `(\w+)` \| (.*) \|)");
    Catalogue events;
    std::ifstream in("docs/events.md");
    std::string line;
    std::smatch match;
    while (std::getline(in, line)) {
        if (std::regex_match(line, match, kRow)) {
            events.emplace(std::stoi(match[1]), DeclaredEvent{ match[2], match[3], match[4] });
        }
    }
    return events;
}

} // namespace

TEST(Events, CatalogueMatchesTheCode)
{
    const auto code = declaredInCode();
    const auto docs = listedInDocs();
    ASSERT_GT(code.size(), 50U);
    for (const auto &[number, event] : code) {
        const auto it = docs.find(number);
        ASSERT_NE(it, docs.end()) << "event " << number << ' ' << event.name << " is not in docs/events.md";
        EXPECT_EQ(it->second.level, event.level) << number;
        EXPECT_EQ(it->second.name, event.name) << number;
        EXPECT_EQ(it->second.description, event.description) << number;
    }
    EXPECT_EQ(code.size(), docs.size()) << "docs/events.md lists an event that no module declares";
}

TEST(Events, NumbersAndNamesAreUnique)
{
    std::set<int> numbers;
    std::set<std::string> names;
    for (const auto &[number, event] : declaredInCode()) {
        EXPECT_TRUE(numbers.insert(number).second) << number;
        EXPECT_TRUE(names.insert(event.name).second) << event.name;
    }
}
