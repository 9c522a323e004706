#include "gateway/departures.h"

#include <algorithm>

namespace Toucandeck
{

Departures::Departures(EventLoop &loop)
    : m_loop(loop)
{
}

bool Departures::isRecorded(const std::string &incarnation) const
{
    return m_recorded.covers(incarnation);
}

void Departures::confirm(const std::string &incarnation, Done done)
{
    const auto it = m_notices.insert(m_notices.end(), { incarnation, std::move(done), {} });
    it->timer = m_loop.after(kTimeout, [this, it] {
        const auto expired = std::move(it->done);
        m_notices.erase(it);
        expired(false);
    });
}

void Departures::setRecorded(const wire::RecordedDepartures &departures)
{
    m_recorded = {};
    for (const auto &it : departures.incarnations()) {
        m_recorded.add(it);
    }
    std::list<Notice> confirmed;
    for (auto it = m_notices.begin(); it != m_notices.end();) {
        const auto next = std::next(it);
        if (m_recorded.covers(it->incarnation)) {
            confirmed.splice(confirmed.end(), m_notices, it);
        }
        it = next;
    }
    for (auto &it : confirmed) {
        it.timer.cancel();
        it.done(true);
    }
}

std::size_t Departures::pendingCount() const
{
    return m_notices.size();
}

} // namespace Toucandeck
