#pragma once

#include "consensus/state_machine.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Toucandeck
{

/// Compares what the replicas apply with one reference sequence and one reference map, and collects violations.
class HistoryChecker
{
public:
    /// Records that a replica has applied the command; @p digest covers everything that it has applied so far.
    void applied(LogIndex index, std::string_view command, std::uint64_t digest);

    /// Records that a client got an acknowledgement for a command proposed when everything up to @p ackedBefore was acknowledged.
    void acknowledged(LogIndex index, const std::string &command, LogIndex ackedBefore);

    void violation(std::string text);

    LogIndex lastAcknowledged() const;
    LogIndex lastApplied() const;
    std::uint64_t acknowledgedCount() const;
    const std::vector<std::string> &violations() const;

    /// Values that a single map holds after all commands in order.
    std::map<std::string, std::string> referenceValues() const;

private:
    struct Reference
    {
        std::string command;
        std::uint64_t digest;
    };

    std::map<LogIndex, Reference> m_reference;
    LogIndex m_lastAcknowledged;
    std::uint64_t m_acknowledgedCount = 0;
    std::vector<std::string> m_violations;
};

/// Sets values by commands of the form "key=value" and reports what it applies to a checker.
class RecordingMachine : public StateMachine
{
public:
    explicit RecordingMachine(HistoryChecker &checker);

    void apply(LogIndex index, std::string_view command) override;
    std::string snapshot() const override;
    Result<void> restore(std::string_view data) override;

    /// Discards all state, as a process restart does.
    void reset();

    LogIndex lastApplied() const;
    const std::map<std::string, std::string> &values() const;

private:
    HistoryChecker &m_checker;
    LogIndex m_lastApplied;
    std::uint64_t m_digest = 0;
    std::map<std::string, std::string> m_values;
};

} // namespace Toucandeck
