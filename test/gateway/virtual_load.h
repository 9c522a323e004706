#pragma once

#include "fakes.h"

#include "common/random_source.h"

#include <memory>

namespace Toucandeck
{

/// Events in virtual time.
class Agenda
{
public:
    using Handler = std::function<void()>;

    explicit Agenda(ManualClock &clock)
        : m_clock(clock)
    {
    }

    void after(Duration delay, Handler handler)
    {
        m_events.emplace(m_clock.now() + delay, std::move(handler));
    }

    void runFor(Duration period)
    {
        const auto end = m_clock.now() + period;
        while (!m_events.empty() && m_events.begin()->first <= end) {
            auto node = m_events.extract(m_events.begin());
            m_clock.advance(node.key() - m_clock.now());
            node.mapped()();
        }
        m_clock.advance(end - m_clock.now());
    }

private:
    ManualClock &m_clock;
    std::multimap<TimePoint, Handler> m_events;
};

/// A backend server in virtual time, with the admission control of its gateway.
class SimulatedServer : public BackendPort
{
public:
    /// Runs a call; the last argument ends it.
    using Work = std::function<void(const Call &, double slowness, std::function<void(int status)>)>;

    SimulatedServer(const Clock &clock, Logger &logger, std::uint32_t slots, Work work)
        : m_work(std::move(work))
        , m_admission(clock, logger, m_status, *this, m_order)
    {
        m_status.m_slots = slots;
    }

    void run(std::uint64_t id, const Call &call, CallDone done) override
    {
        m_pending[id] = std::move(done);
        m_work(call, m_slowness, [this, id](int status) { answer(id, status); });
    }

    void cancel(std::uint64_t id) override
    {
        m_pending.erase(id);
    }

    Work m_work;
    FakeBackendStatus m_status;
    UrgencyOrder m_order;
    BackendAdmission m_admission;
    double m_slowness = 1;

private:
    void answer(std::uint64_t id, int status)
    {
        auto node = m_pending.extract(id);
        if (node.empty()) {
            return;
        }
        CallResult result;
        result.outcome = wire::ANSWERED;
        result.reachedBackend = true;
        result.response.status = status;
        result.slownessPercent = 100 * m_slowness;
        node.mapped()(std::move(result));
    }

    std::map<std::uint64_t, CallDone> m_pending;
};

} // namespace Toucandeck
