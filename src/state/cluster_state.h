#pragma once

#include "consensus/state_machine.h"
#include "control.pb.h"
#include "state/view.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

namespace Toucandeck
{

/// Answer to RegisterSession.
struct RegisterAnswer
{
    bool accepted = false;
    std::string message; ///< Why it was refused.
    SessionId holder; ///< Live session that holds the instance, if that is the reason.
};

/// What a command did, for its proposer.
struct CommandAnswer
{
    std::optional<wire::EditAnswer> edit; ///< For EditTable.
    std::optional<RegisterAnswer> registration; ///< For RegisterSession.
    std::uint32_t accepted = 0; ///< For the other commands: parts (partitions, sessions, hot keys) that took effect.
    std::uint32_t voided = 0; ///< Parts without effect because the state has changed since, or because a rule forbids them.
};

/// A command that has just been applied. The references are valid during the call of the listener only.
struct AppliedCommand
{
    LogIndex index;
    const wire::Command &command;
    const CommandAnswer &answer;
    const wire::ViewDelta &delta;
};

/// The replicated state of design section 3.3.
///
/// Partitions: GrantPartitions gives a partition without a live owner to a session; BeginMoves names the receiver of a graceful
/// move; ReleasePartitions by the owner passes the partition to that receiver with a higher epoch, in the same command. A release
/// without a receiver leaves the partition without an owner and marks it crashed, because the idempotency records of the old
/// owner have reached nobody. Every part that names an outdated epoch is void.
///
/// Hot keys: SetHotKey with the present owner of the partition and moving_to begins a move; ReleaseHotKey passes the key to
/// moving_to with a higher epoch. SetHotKey with another owner is a grant and needs a key without a live owner. previous_epoch is
/// that of the override, or of the partition while there is no override. SetHotKey with owner 0 and moving_to 0 drops an override
/// whose owner also owns the partition, or that crashed like the partition; the partition's epoch is raised, so that the epoch of
/// the key grows.
///
/// RegisterSession of a session that is already registered for the same instance updates its addresses and flags.
class ClusterState : public StateMachine
{
public:
    /// Deltas kept for routers that are behind.
    static constexpr std::size_t keptDeltas = 1024;
    /// Request ids whose answers are kept.
    static constexpr std::size_t keptEdits = 10'000;

    using Listener = std::function<void(const AppliedCommand &)>;

    /// Called at the end of each apply().
    void setListener(Listener listener);

    void apply(LogIndex index, std::string_view command) override;
    std::string snapshot() const override;
    Result<void> restore(std::string_view data) override;

    /// Table, sessions and assignments; view().version() is the log index of the last command applied.
    const View &view() const;

    /// Answer to the last command applied.
    const CommandAnswer &lastAnswer() const;

    /// Stored answer to an edit, or nullptr.
    const wire::EditAnswer *editAnswer(const std::string &requestId) const;

    /// Changes since the version, empty if it is the present one. Nothing if they are no longer kept: send view().toWire().
    std::optional<wire::Deltas> deltasSince(LogIndex version) const;

    /// The next epoch to be given out.
    Epoch nextEpoch() const;

private:
    using Handler = void (ClusterState::*)(const wire::Command &);
    static Handler handlerOf(wire::Command::BodyCase body);

    // cluster_state_edits.cpp
    void editTable(const wire::Command &command);
    wire::EditAnswer answerEdit(const wire::EditTable &edit);
    Result<void> checkEdits(const wire::EditTable &edit) const;
    Result<void> checkRevision(const wire::RowEdit &edit) const;
    void changeRow(const wire::RowEdit &edit);
    void rememberEdit(const std::string &requestId, const wire::EditAnswer &answer);

    // cluster_state_sessions.cpp
    void registerSession(const wire::Command &command);
    RegisterAnswer answerRegister(const wire::RouterSession &session) const;
    void expireSession(const wire::Command &command);
    void closeSession(const wire::Command &command);
    void endSession(SessionId id);

    // cluster_state_partitions.cpp
    void grantPartitions(const wire::Command &command);
    void beginMoves(const wire::Command &command);
    void releasePartitions(const wire::Command &command);
    bool grantPartition(const wire::PartitionGrant &grant);
    bool beginMove(const wire::PartitionGrant &move);
    bool releasePartition(const wire::ReleasePartitions &release, std::uint32_t partition);
    const wire::Assignment *assignment(const std::string &service, std::uint32_t partition) const;

    // cluster_state_hot_keys.cpp
    void setHotKey(const wire::Command &command);
    void releaseHotKey(const wire::Command &command);
    bool startHotKey(const wire::SetHotKey &command, const wire::Assignment &partition);
    bool changeHotKey(const wire::SetHotKey &command, const wire::HotKey &present, const wire::Assignment &partition);
    bool moveHotKey(const wire::HotKey &present, const wire::HotKey &wanted);
    bool grantHotKey(wire::HotKey hotKey, const wire::HotKey &wanted);
    bool dropHotKey(const wire::HotKey &present, wire::Assignment partition);

    // cluster_state.cpp
    bool isLiveSessionOf(std::uint64_t session, const std::string &service) const;
    std::uint64_t takeEpoch();
    void count(bool accepted);
    void changeAssignment(const std::string &service, const wire::Assignment &changed);
    void changeHotKeyEntry(const wire::HotKey &changed);
    wire::ViewDelta takeDelta(LogIndex index);
    void collectAssignments(wire::ViewDelta &delta) const;
    void collectHotKeys(wire::ViewDelta &delta) const;

    View m_view;
    LogIndex m_applying;
    Epoch m_nextEpoch{ 1 };
    std::deque<std::string> m_editOrder; ///< Request ids, oldest first.
    std::unordered_map<std::string, wire::EditAnswer> m_edits;
    std::deque<wire::ViewDelta> m_deltas;
    CommandAnswer m_answer;
    Listener m_listener;

    // Keys of the items that the present command has changed.
    std::set<RowKey> m_changedRows;
    std::set<SessionId> m_changedSessions;
    std::set<std::pair<std::string, std::uint32_t>> m_changedAssignments;
    std::set<std::pair<std::string, KeyHash>> m_changedHotKeys;
};

} // namespace Toucandeck
