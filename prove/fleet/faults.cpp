#include "faults.h"

#include <csignal>
#include <fmt/format.h>

namespace Toucandeck::Prove
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t kControllersLost = 2; ///< That may be lost at once.
constexpr Duration kDiskRebuilt = 6s; ///< A controller whose disk was lost votes again within this time (`syncTime`), with a margin.
constexpr Duration kGrace = 6s; ///< After SIGTERM.
constexpr Duration kDrain = 2500ms; ///< A draining backend server serves on for `drain` and a little longer.

} // namespace

Faults::Faults(EventLoop &loop, Fleet &fleet, RandomSource &random)
    : m_loop(loop)
    , m_fleet(fleet)
    , m_random(random)
{
}

void Faults::step()
{
    struct Entry
    {
        const char *name;
        Fault fault;
    };
    static constexpr Entry kFaults[] = {
        { "gateway_killed", &Faults::killGateway },
        { "gateway_stopped", &Faults::stopGateway },
        { "gateway_suspended", &Faults::suspendGateway },
        { "gateway_reloaded", &Faults::reloadGateway },
        { "controller_killed", &Faults::killController },
        { "controller_suspended", &Faults::suspendController },
        { "disk_lost", &Faults::loseDisk },
        { "controllers_killed", &Faults::killAllControllers },
        { "all_killed", &Faults::killAll },
        { "backend_crashed", &Faults::crashBackend },
        { "backend_drained", &Faults::drainBackend },
        { "link_silenced", &Faults::silenceLink },
        { "link_reset", &Faults::resetLink },
        { "link_delayed", &Faults::delayLink },
        { "manifest_changed", &Faults::changeManifest },
        { "domain_evacuated", &Faults::evacuate },
    };
    endEvacuations(m_loop.clock().now());
    const auto &it = kFaults[m_random.below(std::size(kFaults))];
    ++m_counts[it.name];
    (this->*it.fault)();
    m_loop.runUntil([] { return false; }, draw(50ms, 900ms));
}

void Faults::settle()
{
    m_loop.runUntil([this] { return m_mends.empty(); }, 30s);
    endEvacuations(TimePoint::max());
}

const std::map<std::string, std::uint64_t> &Faults::counts() const
{
    return m_counts;
}

std::uint64_t Faults::acknowledgedVersion() const
{
    return m_version;
}

int Faults::anyGateway()
{
    return static_cast<int>(m_random.below(static_cast<std::uint64_t>(m_fleet.gateways())));
}

int Faults::anyController()
{
    return static_cast<int>(m_random.below(Fleet::kControllers));
}

Duration Faults::draw(std::chrono::milliseconds shortest, std::chrono::milliseconds longest)
{
    return shortest + std::chrono::milliseconds(m_random.below(static_cast<std::uint64_t>((longest - shortest).count())));
}

void Faults::later(Duration delay, std::function<void()> mend)
{
    const auto id = m_nextMend++;
    m_mends[id] = m_loop.after(delay, [this, id, mend = std::move(mend)] {
        mend();
        m_loop.runSoon([this, id] { m_mends.erase(id); });
    });
}

void Faults::restartGateway(int i)
{
    handleError([&] { return m_fleet.restartGateway(i); }, [&](const Error &error) { m_fleet.audit().violation(error.message); });
    m_gatewaysOut.erase(i);
}

void Faults::restartController(int i)
{
    handleError([&] { return m_fleet.restartController(i); }, [&](const Error &error) { m_fleet.audit().violation(error.message); });
    m_controllersOut.erase(i);
}

void Faults::startBackend(int i)
{
    handleError([&] { return m_fleet.backend(i).start(); }, [&](const Error &error) { m_fleet.audit().violation(error.message); });
    m_backendsOut.erase(i);
}

void Faults::killGateway()
{
    const int i = anyGateway();
    if (m_gatewaysOut.insert(i).second) {
        m_fleet.gateway(i).signal(SIGKILL);
        later(draw(200ms, 2500ms), [this, i] { restartGateway(i); });
    }
}

void Faults::stopGateway()
{
    const int i = anyGateway();
    if (m_gatewaysOut.insert(i).second) {
        m_fleet.gateway(i).signal(SIGTERM);
        later(kGrace, [this, i] {
            m_fleet.gateway(i).signal(SIGKILL);
            restartGateway(i);
        });
    }
}

void Faults::suspendGateway()
{
    const int i = anyGateway();
    if (m_gatewaysOut.insert(i).second) {
        m_fleet.gateway(i).signal(SIGSTOP);
        later(draw(300ms, 5000ms), [this, i] {
            m_fleet.gateway(i).signal(SIGCONT);
            m_gatewaysOut.erase(i);
        });
    }
}

void Faults::reloadGateway()
{
    m_fleet.gateway(anyGateway()).signal(SIGHUP);
}

void Faults::killController()
{
    const int i = anyController();
    if (m_controllersOut.size() < kControllersLost && m_controllersOut.insert(i).second) {
        m_fleet.controller(i).signal(SIGKILL);
        later(draw(200ms, 2500ms), [this, i] { restartController(i); });
    }
}

void Faults::suspendController()
{
    const int i = anyController();
    if (m_controllersOut.size() < kControllersLost && m_controllersOut.insert(i).second) {
        m_fleet.controller(i).signal(SIGSTOP);
        later(draw(300ms, 5000ms), [this, i] {
            m_fleet.controller(i).signal(SIGCONT);
            m_controllersOut.erase(i);
        });
    }
}

void Faults::loseDisk()
{
    const int i = anyController();
    if (m_diskOut || m_controllersOut.size() >= kControllersLost || !m_controllersOut.insert(i).second) {
        return;
    }
    m_diskOut = true;
    m_fleet.controller(i).signal(SIGKILL);
    m_fleet.controller(i).waitForEnd(1s);
    m_fleet.wipe(i);
    later(draw(200ms, 1500ms), [this, i] {
        restartController(i);
        m_controllersOut.insert(i); // Lost until it has its disk again.
        later(kDiskRebuilt, [this, i] {
            m_controllersOut.erase(i);
            m_diskOut = false;
        });
    });
}

void Faults::killAllControllers()
{
    if (m_diskOut || !m_controllersOut.empty()) {
        return;
    }
    for (int i = 0; i < Fleet::kControllers; ++i) {
        m_controllersOut.insert(i);
        m_fleet.controller(i).signal(SIGKILL);
        later(draw(200ms, 1000ms), [this, i] { restartController(i); });
    }
}

void Faults::killAll()
{
    killAllControllers();
    for (int i = 0; i < m_fleet.gateways(); ++i) {
        if (m_gatewaysOut.insert(i).second) {
            m_fleet.gateway(i).signal(SIGKILL);
            later(draw(200ms, 1000ms), [this, i] { restartGateway(i); });
        }
    }
}

void Faults::crashBackend()
{
    const int i = anyGateway();
    if (m_backendsOut.insert(i).second) {
        m_fleet.backend(i).crash();
        later(draw(100ms, 3000ms), [this, i] { startBackend(i); });
    }
}

void Faults::drainBackend()
{
    const int i = anyGateway();
    if (m_backendsOut.insert(i).second) {
        m_fleet.backend(i).drain();
        later(kDrain, [this, i] {
            m_fleet.backend(i).leave();
            later(500ms, [this, i] {
                m_fleet.backend(i).crash();
                startBackend(i);
            });
        });
    }
}

void Faults::silenceLink()
{
    const int i = anyGateway();
    m_fleet.link(i).setCut(true);
    later(draw(300ms, 4000ms), [this, i] { m_fleet.link(i).setCut(false); });
}

void Faults::resetLink()
{
    m_fleet.link(anyGateway()).reset();
}

void Faults::delayLink()
{
    const int i = anyGateway();
    m_fleet.link(i).setDelay(draw(20ms, 300ms));
    later(draw(500ms, 3000ms), [this, i] { m_fleet.link(i).setDelay(Duration::zero()); });
}

void Faults::changeManifest()
{
    const auto next = m_version + 1 + m_random.below(3);
    const auto body = m_fleet.manifest(next, m_version);
    const int status = m_fleet.order("POST", "/toucandeck/config/put", body);
    if (status != 200) {
        m_fleet.audit().violation(fmt::format("manifest {} on top of {} got {}", next, m_version, status));
        return;
    }
    m_version = next;
    const int again = m_fleet.order("POST", "/toucandeck/config/put", body);
    if (again != 200 && again != 0) {
        m_fleet.audit().violation(fmt::format("manifest {}, sent again, got {}", next, again));
    }
}

void Faults::evacuate()
{
    const auto domain = Fleet::domainOf(anyGateway());
    if (m_fleet.order("POST", fmt::format("/toucandeck/evacuations/{}/start", domain), {}) != 200) {
        return;
    }
    m_evacuated[domain] = m_loop.clock().now() + draw(1000ms, 4000ms);
}

void Faults::endEvacuations(TimePoint due)
{
    for (auto it = m_evacuated.begin(); it != m_evacuated.end();) {
        if (it->second > due) {
            ++it;
            continue;
        }
        if (m_fleet.order("POST", fmt::format("/toucandeck/evacuations/{}/end", it->first), {}) != 200) {
            m_fleet.audit().violation(fmt::format("the end of the evacuation of {} was not acknowledged", it->first));
        }
        it = m_evacuated.erase(it);
    }
}

} // namespace Toucandeck::Prove
