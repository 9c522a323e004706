#pragma once

#include "gateway/heartbeat.h"

#include "log/logger.h"

#include <cstdint>
#include <functional>
#include <peer.pb.h>
#include <string>
#include <vector>

namespace Toucandeck
{

/// Keys that the backend server on this VM has released and whose release the controllers have not acknowledged.
class PendingReleases
{
public:
    explicit PendingReleases(Logger &logger);

    /// Records the keys that a heartbeat of the incarnation reports as released.
    /// @param previousHolds keys held according to the previous heartbeat, with the fencing tokens of the released keys.
    /// @param sentRows rows in the latest answer to the backend server, with the tokens that are not in @p previousHolds.
    /// @param unansweredEnd time after which calls without an answer cannot bring the keys into force again.
    void record(const std::string &incarnation,
                const Heartbeat &heartbeat,
                const std::vector<HeldKeys> &previousHolds,
                const std::vector<KeyRow> &sentRows,
                const std::function<TimePoint(KeyRange)> &unansweredEnd = {});
    /// Records keys that the incarnation has released.
    void add(const std::string &incarnation, const HeldKeys &keys, const std::string &handover);
    void clear();

    /// Adds the keys that cannot come into force again to an announcement to the controllers.
    void addTo(wire::Announce &announce, TimePoint now);
    /// Handles the controllers' confirmation that they recorded the keys in all announcements up to this one.
    void onAnnouncementAcknowledged(std::uint64_t sequence);

    /// The rows without the released keys.
    std::vector<KeyRow> removeFrom(std::vector<KeyRow> rows) const;

private:
    struct Entry
    {
        wire::FreedKeys keys;
        TimePoint notBefore; ///< Keys are not announced earlier.
        std::uint64_t announcement = 0; ///< Sequence number of the first announcement that contains it; zero if none does.
    };

    void add(const std::string &incarnation, const HeldKeys &released, const std::string &handover, TimePoint notBefore);

    Logger &m_logger;
    std::vector<Entry> m_entries;
};

} // namespace Toucandeck
