#pragma once

#include "state/view.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Toucandeck::testing
{

/// The rules of design section 3.3 written a second time, with plain maps and without deltas, digests or caches.
class NaiveState
{
public:
    struct Holding
    {
        std::uint64_t owner = 0;
        std::uint64_t epoch = 0;
        std::uint64_t movingTo = 0;
        std::int64_t crashMs = 0;
        bool crashed = false;
    };
    using Columns = std::map<std::string, std::string>;

    void apply(std::uint64_t index, const wire::Command &command);

    /// Status of the last EditTable; first answer for a resent id.
    wire::EditStatus editStatus = wire::ACCEPTED;
    bool registered = false;

    /// All content as text, comparable with dump(View).
    std::string dump() const;

private:
    wire::EditStatus edit(std::uint64_t index, const wire::EditTable &edit);
    bool isValid(const wire::RowEdit &edit) const;
    bool fits(const wire::RowEdit &edit) const;
    void change(std::uint64_t index, const wire::RowEdit &edit);
    Columns merged(const wire::RowEdit &edit) const;
    bool registerSession(const wire::RouterSession &session);
    void end(std::uint64_t session);
    void grant(const wire::PartitionGrant &grant);
    void move(const wire::PartitionGrant &move);
    void setHotKey(const wire::SetHotKey &command);
    void release(Holding *holding, std::uint64_t session, std::uint64_t receiver);
    void take(Holding &holding, std::uint64_t session, std::int64_t wallTime);
    bool isLive(std::uint64_t session, const std::string &service) const;
    Holding *partition(const std::string &service, std::uint64_t number);

    std::map<std::string, Columns> m_rows;
    std::map<std::string, std::uint64_t> m_revisions;
    std::map<std::uint64_t, wire::RouterSession> m_sessions;
    std::map<std::string, std::uint32_t> m_partitionCounts; ///< Of services divided by key.
    std::map<std::pair<std::string, std::uint64_t>, Holding> m_partitions;
    std::map<std::pair<std::string, std::uint64_t>, Holding> m_hotKeys;
    std::map<std::string, wire::EditStatus> m_edits;
    std::vector<std::string> m_editOrder;
    std::uint64_t m_nextEpoch = 1;
};

/// Content of the view in the form of NaiveState::dump().
std::string dump(const View &view);

} // namespace Toucandeck::testing
