#pragma once

#include "state/view.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Toucandeck::testing
{

/// Second implementation of the rules in section 3.3 of the design, with plain maps and without deltas, digests or caches.
class NaiveState
{
public:
    struct Ownership
    {
        std::uint64_t owner = 0;
        std::uint64_t epoch = 0;
        std::uint64_t movingTo = 0;
        std::int64_t crashMs = 0;
        bool crashed = false;
    };
    using Columns = std::map<std::string, std::string>;

    void apply(std::uint64_t index, const wire::Command &command);

    /// Status of the last EditTable; for a resent request id the status of its first submission.
    wire::EditStatus editStatus = wire::ACCEPTED;
    bool isRegistrationAccepted = false;

    /// Complete content as text, comparable with dump(View).
    std::string dump() const;

private:
    wire::EditStatus edit(std::uint64_t index, const wire::EditTable &edit);
    bool isValid(const wire::RowEdit &edit) const;
    bool isCompatible(const wire::RowEdit &edit) const;
    void applyRowEdit(std::uint64_t index, const wire::RowEdit &edit);
    Columns merged(const wire::RowEdit &edit) const;
    bool registerSession(const wire::RouterSession &session);
    void endSession(std::uint64_t session);
    void grant(const wire::PartitionGrant &grant);
    void move(const wire::PartitionGrant &move);
    void setHotKey(const wire::SetHotKey &command);
    void release(Ownership *ownership, std::uint64_t session, std::uint64_t receiver);
    void assignOwner(Ownership &ownership, std::uint64_t session, std::int64_t wallTime);
    bool isSessionOf(std::uint64_t session, const std::string &service) const;
    Ownership *partition(const std::string &service, std::uint64_t number);

    std::map<std::string, Columns> m_rows;
    std::map<std::string, std::uint64_t> m_revisions;
    std::map<std::uint64_t, wire::RouterSession> m_sessions;
    std::map<std::string, std::uint32_t> m_partitionCounts; ///< Number of partitions of each service partitioned by key.
    std::map<std::pair<std::string, std::uint64_t>, Ownership> m_partitions;
    std::map<std::pair<std::string, std::uint64_t>, Ownership> m_hotKeys;
    std::map<std::string, wire::EditStatus> m_edits;
    std::vector<std::string> m_editOrder;
    std::uint64_t m_nextEpoch = 1;
};

/// Content of the view in the form of NaiveState::dump().
std::string dump(const View &view);

} // namespace Toucandeck::testing
