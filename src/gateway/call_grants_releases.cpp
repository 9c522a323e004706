#include "gateway/call_grants.h"

#include "gateway/events.h"

#include <algorithm>

namespace Toucandeck
{

namespace
{

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr milliseconds kReleaseRetryInterval{ 700 };

/// Removes the keys from the rows or grants that have the fencing token.
template<class T>
void removeKeys(std::vector<T> &all, KeyRange keys, std::uint64_t fencingToken)
{
    std::vector<T> remaining;
    for (const auto &it : all) {
        if (it.fencingToken != fencingToken || !it.range.overlaps(keys)) {
            remaining.push_back(it);
            continue;
        }
        for (const auto &part : difference(it.range, keys)) {
            remaining.push_back(it);
            remaining.back().range = part;
        }
    }
    all = std::move(remaining);
}

} // namespace

void CallGrants::startReleases()
{
    const auto sent = m_sent;
    for (const auto &it : sent) {
        std::vector<KeyRange> surplus{ it.range };
        for (const auto &row : m_rows) {
            // Under a later token the backend server is the holder again; there is nothing to take back.
            surplus = row.fencingToken >= it.fencingToken ? difference(surplus, row.range) : surplus;
        }
        for (const auto &release : m_releases) {
            surplus = release.fencingToken == it.fencingToken ? difference(surplus, release.range) : surplus;
        }
        for (const auto &range : surplus) {
            startRelease(range, it.fencingToken);
        }
    }
}

void CallGrants::startRelease(KeyRange range, std::uint64_t fencingToken)
{
    Release release;
    release.id = ++m_lastId;
    release.range = range;
    release.fencingToken = fencingToken;
    m_releases.push_back(std::move(release));
}

void CallGrants::sendReleases()
{
    const auto now = m_clock.now();
    for (auto &it : m_releases) {
        const bool waitsForAnswer = it.inFlight && now - it.lastSent < kReleaseRetryInterval;
        // A grant whose answer is still expected could be applied after the release.
        if (!it.answered && !waitsForAnswer && !isInFlight(it.range)) {
            sendRelease(it);
        }
    }
}

void CallGrants::sendRelease(Release &release)
{
    release.lastSent = m_clock.now();
    release.inFlight = true;
    ++m_counters.releases;
    m_port.release({ release.range, release.fencingToken },
                   [this, alive = m_alive, id = release.id](GrantOutcome outcome, const std::string &handover) {
                       if (*alive) {
                           onReleaseDone(id, outcome, handover);
                       }
                   });
}

void CallGrants::onReleaseDone(std::uint64_t id, GrantOutcome outcome, const std::string &handover)
{
    const auto it = std::find_if(m_releases.begin(), m_releases.end(), [id](const Release &release) { return release.id == id; });
    if (it == m_releases.end()) {
        return;
    }
    if (outcome == GrantOutcome::NotSent) {
        it->inFlight = false; // The next tick tries again.
        return;
    }
    m_logger.write(GatewayEvents::kReleaseCalled,
                   { field("from", it->range.from),
                     field("to", it->range.to),
                     field("fence", it->fencingToken),
                     field("outcome", toString(outcome)),
                     field("took_ms", duration_cast<milliseconds>(m_clock.now() - it->lastSent).count()) });
    it->answered = it->answered || outcome == GrantOutcome::Accepted;
    it->handover = handover.empty() ? it->handover : handover;
    it->inFlight = outcome == GrantOutcome::Unanswered; // Sent again after a while.
    tick();
}

void CallGrants::reportReleased()
{
    const auto now = m_clock.now();
    const auto isComplete = [this, now](const Release &it) {
        return it.answered ? now >= unansweredEnd(it.range) : !mayBeHeld(it.range, it.fencingToken) && now >= m_earlierGrantsEnd;
    };
    std::vector<Release> complete;
    std::copy_if(m_releases.begin(), m_releases.end(), std::back_inserter(complete), isComplete);
    std::erase_if(m_releases, isComplete);
    for (const auto &it : complete) {
        // From here on another backend server may get the keys. The records of their grants must not start another release, and a lease
        // that names them, from a leader that did not know of the release, must not grant them again.
        removeKeys(m_sent, it.range, it.fencingToken);
        removeKeys(m_rows, it.range, it.fencingToken);
        if (m_releasedHandler) {
            m_releasedHandler({ it.range, it.fencingToken }, it.handover);
        }
    }
}

} // namespace Toucandeck
