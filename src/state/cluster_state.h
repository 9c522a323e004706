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

/// Result of a RegisterSession command.
struct RegisterAnswer
{
    bool accepted = false;
    std::string message; ///< Reason of a refusal; empty if accepted.
    SessionId holder; ///< Session registered for the instance or under the requested id; none if the request is invalid.
};

/// Result of a command, returned to its proposer.
struct CommandAnswer
{
    std::optional<wire::EditAnswer> edit; ///< Set by EditTable.
    std::optional<RegisterAnswer> registration; ///< Set by RegisterSession.
    std::uint32_t acceptedParts = 0; ///< For all other commands: partitions, sessions or hot keys changed.
    std::uint32_t rejectedParts = 0; ///< Parts rejected because they are outdated, forbidden by a rule or cannot be parsed.
};

/// A command that has just been applied. The references are valid only during the call of the listener.
struct AppliedCommand
{
    LogIndex index;
    const wire::Command &command;
    const CommandAnswer &answer;
    const wire::ViewDelta &delta;
};

/// Replicated state of the cluster (design section 3.3): operators' table, router sessions, owners of partitions and hot keys.
///
/// Partitions: GrantPartitions assigns a partition without a live owner to a session. BeginMoves sets the receiver of a graceful
/// handover. ReleasePartitions, sent by the owner, assigns the partition to that receiver with a higher epoch in the same command.
/// A release without a receiver leaves the partition without an owner and marks it crashed, because no session has received the
/// idempotency records of the old owner. Every part of a command that names an outdated epoch is rejected.
///
/// Hot keys: SetHotKey with the current owner of the key and moving_to begins a handover. ReleaseHotKey assigns the key to
/// moving_to with a higher epoch. SetHotKey with another owner is a grant and requires a key without a live owner. previous_epoch
/// is that of the override, or of the partition if there is no override. SetHotKey with owner 0 and moving_to 0 removes an override
/// whose owner also owns the partition, or an override that is marked crashed together with its partition. The partition then gets
/// a higher epoch, so that the epoch of the key grows.
///
/// RegisterSession of a session that is already registered for the same instance updates its addresses and flags.
class ClusterState : public StateMachine
{
public:
    /// Deltas retained for routers that lag behind; older views need a full copy.
    static constexpr std::size_t maxRetainedDeltas = 1024;
    /// Edits whose answers are retained, so that a resent request gets its first answer.
    static constexpr std::size_t maxRetainedEditAnswers = 10'000;

    using Listener = std::function<void(const AppliedCommand &)>;

    /// Sets the function called at the end of each apply().
    void setListener(Listener listener);

    void apply(LogIndex index, std::string_view command) override;
    std::string snapshot() const override;
    Result<void> restore(std::string_view data) override;

    /// The table, sessions and assignments. Its version is the log index of the last command applied.
    const View &view() const;

    /// Result of the last command applied.
    const CommandAnswer &lastAnswer() const;

    /// Retained answer to the edit with this request id, or nullptr.
    const wire::EditAnswer *editAnswer(const std::string &requestId) const;

    /// Deltas since the version, empty for the current version. std::nullopt if they are not available; then send view().toWire().
    std::optional<wire::Deltas> deltasSince(LogIndex version) const;

    /// The next epoch to be assigned.
    Epoch nextEpoch() const;

private:
    using Handler = void (ClusterState::*)(const wire::Command &);
    static Handler handlerOf(wire::Command::BodyCase body);

    // cluster_state_edits.cpp
    void editTable(const wire::Command &command);
    wire::EditAnswer applyEdit(const wire::EditTable &edit);
    Result<void> checkEdits(const wire::EditTable &edit) const;
    Result<void> checkRevision(const wire::RowEdit &edit) const;
    void applyRowEdit(const wire::RowEdit &edit);
    void storeEditAnswer(const std::string &requestId, const wire::EditAnswer &answer);

    // cluster_state_sessions.cpp
    void registerSession(const wire::Command &command);
    RegisterAnswer checkRegistration(const wire::RouterSession &session) const;
    void expireSession(const wire::Command &command);
    void closeSession(const wire::Command &command);
    void terminateSession(SessionId id);

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
    bool createHotKeyOverride(const wire::SetHotKey &command, const wire::Assignment &partition);
    bool changeHotKeyOverride(const wire::SetHotKey &command, const wire::HotKey &current, const wire::Assignment &partition);
    bool beginHotKeyMove(const wire::HotKey &current, const wire::HotKey &requested);
    bool grantHotKey(wire::HotKey hotKey, const wire::HotKey &requested);
    bool removeHotKeyOverride(const wire::HotKey &current, wire::Assignment partition);

    // cluster_state.cpp
    bool isLiveSessionOf(std::uint64_t session, const std::string &service) const;
    std::uint64_t allocateEpoch();
    void countPart(bool isAccepted);
    void updateAssignment(const std::string &service, const wire::Assignment &changed);
    void updateHotKey(const wire::HotKey &changed);
    wire::ViewDelta buildDelta(LogIndex index);
    void collectAssignments(wire::ViewDelta &delta) const;
    void collectHotKeys(wire::ViewDelta &delta) const;

    View m_view;
    LogIndex m_currentIndex; ///< Log index of the command being applied.
    Epoch m_nextEpoch{ 1 };
    std::deque<std::string> m_editRequestIds; ///< Request ids, oldest first.
    std::unordered_map<std::string, wire::EditAnswer> m_editAnswers; ///< By request id.
    std::deque<wire::ViewDelta> m_deltas; ///< Oldest first, at most maxRetainedDeltas.
    CommandAnswer m_answer;
    Listener m_listener;

    // Keys of the items changed by the command being applied.
    std::set<RowKey> m_changedRows;
    std::set<SessionId> m_changedSessions;
    std::set<std::pair<std::string, std::uint32_t>> m_changedAssignments;
    std::set<std::pair<std::string, KeyHash>> m_changedHotKeys;
};

} // namespace Toucandeck
