#include "history_checker.h"

#include "common/key_hash.h"

#include <fmt/format.h>
#include <sstream>

namespace Toucandeck
{

namespace
{

constexpr std::size_t kMaxViolations = 20;

std::pair<std::string, std::string> parse(std::string_view command)
{
    const auto split = command.find('=');
    return { std::string(command.substr(0, split)), std::string(command.substr(split + 1)) };
}

} // namespace

void HistoryChecker::applied(LogIndex index, std::string_view command, std::uint64_t digest)
{
    const auto [it, first] = m_reference.try_emplace(index, Reference{ std::string(command), digest });
    if (!first && (it->second.command != command || it->second.digest != digest)) {
        violation(fmt::format("entry {} was applied as '{}' and as '{}'", index.value, it->second.command, command));
    }
}

void HistoryChecker::acknowledged(LogIndex index, const std::string &command, LogIndex ackedBefore)
{
    ++m_acknowledgedCount;
    const auto it = m_reference.find(index);
    if (it == m_reference.end() || it->second.command != command) {
        violation(fmt::format("'{}' was acknowledged at {} but not applied there", command, index.value));
    }
    if (index <= ackedBefore) {
        violation(
            fmt::format("'{}' at {} follows the acknowledged {} in time but not in the log", command, index.value, ackedBefore.value));
    }
    m_lastAcknowledged = std::max(m_lastAcknowledged, index);
}

void HistoryChecker::violation(std::string text)
{
    if (m_violations.size() < kMaxViolations) {
        m_violations.push_back(std::move(text));
    }
}

LogIndex HistoryChecker::lastAcknowledged() const
{
    return m_lastAcknowledged;
}

LogIndex HistoryChecker::lastApplied() const
{
    return m_reference.empty() ? LogIndex{} : m_reference.rbegin()->first;
}

std::uint64_t HistoryChecker::acknowledgedCount() const
{
    return m_acknowledgedCount;
}

const std::vector<std::string> &HistoryChecker::violations() const
{
    return m_violations;
}

std::map<std::string, std::string> HistoryChecker::referenceValues() const
{
    std::map<std::string, std::string> values;
    for (const auto &[index, reference] : m_reference) {
        const auto [key, value] = parse(reference.command);
        values[key] = value;
    }
    return values;
}

RecordingMachine::RecordingMachine(HistoryChecker &checker)
    : m_checker(checker)
{
}

void RecordingMachine::apply(LogIndex index, std::string_view command)
{
    if (index <= m_lastApplied) {
        m_checker.violation(fmt::format("entry {} was applied after {}", index.value, m_lastApplied.value));
    }
    m_lastApplied = index;
    m_digest = hashKey(fmt::format("{} {} {}", m_digest, index.value, command)).value;
    auto [key, value] = parse(command);
    m_values[std::move(key)] = std::move(value);
    m_checker.applied(index, command, m_digest);
}

std::string RecordingMachine::snapshot() const
{
    auto data = fmt::format("{} {}\n", m_lastApplied.value, m_digest);
    for (const auto &[key, value] : m_values) {
        data += fmt::format("{} {}\n", key, value);
    }
    return data;
}

Result<void> RecordingMachine::restore(std::string_view data)
{
    reset();
    std::istringstream stream{ std::string(data) };
    stream >> m_lastApplied.value >> m_digest;
    std::string key;
    std::string value;
    while (stream >> key >> value) {
        m_values[key] = value;
    }
    return {};
}

void RecordingMachine::reset()
{
    m_lastApplied = {};
    m_digest = 0;
    m_values.clear();
}

LogIndex RecordingMachine::lastApplied() const
{
    return m_lastApplied;
}

const std::map<std::string, std::string> &RecordingMachine::values() const
{
    return m_values;
}

} // namespace Toucandeck
