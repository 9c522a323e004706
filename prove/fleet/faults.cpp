#include "faults.h"

#include <csignal>
#include <fmt/format.h>

namespace Toucandeck::Prove
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t kMaxControllersDown = 2; ///< Maximum number of controllers that are down at the same time.
constexpr Duration kDiskRebuildTime = 6s; ///< A controller whose disk was lost votes again within this time (`syncTime`), with a margin.
constexpr Duration kShutdownGracePeriod = 6s; ///< Time from SIGTERM to SIGKILL.
constexpr Duration kDrainTime = 2500ms; ///< A draining backend server keeps serving for `drain` and a little longer.

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
    m_loop.runUntil([] { return false; }, randomDuration(50ms, 900ms));
}

void Faults::settle()
{
    m_loop.runUntil([this] { return m_pendingRepairs.empty(); }, 30s);
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

int Faults::randomGateway()
{
    return static_cast<int>(m_random.below(static_cast<std::uint64_t>(m_fleet.gateways())));
}

int Faults::randomController()
{
    return static_cast<int>(m_random.below(Fleet::kControllers));
}

Duration Faults::randomDuration(std::chrono::milliseconds shortest, std::chrono::milliseconds longest)
{
    return shortest + std::chrono::milliseconds(m_random.below(static_cast<std::uint64_t>((longest - shortest).count())));
}

void Faults::scheduleRepair(Duration delay, std::function<void()> repair)
{
    const auto id = m_nextRepairId++;
    m_pendingRepairs[id] = m_loop.after(delay, [this, id, repair = std::move(repair)] {
        repair();
        m_loop.runSoon([this, id] { m_pendingRepairs.erase(id); });
    });
}

void Faults::restartGateway(int i)
{
    handleError([&] { return m_fleet.restartGateway(i); }, [&](const Error &error) { m_fleet.audit().violation(error.message); });
    m_gatewaysDown.erase(i);
}

void Faults::restartController(int i)
{
    handleError([&] { return m_fleet.restartController(i); }, [&](const Error &error) { m_fleet.audit().violation(error.message); });
    m_controllersDown.erase(i);
}

void Faults::startBackend(int i)
{
    handleError([&] { return m_fleet.backend(i).start(); }, [&](const Error &error) { m_fleet.audit().violation(error.message); });
    m_backendsDown.erase(i);
}

void Faults::killGateway()
{
    const int i = randomGateway();
    if (m_gatewaysDown.insert(i).second) {
        m_fleet.gateway(i).signal(SIGKILL);
        scheduleRepair(randomDuration(200ms, 2500ms), [this, i] { restartGateway(i); });
    }
}

void Faults::stopGateway()
{
    const int i = randomGateway();
    if (m_gatewaysDown.insert(i).second) {
        m_fleet.gateway(i).signal(SIGTERM);
        scheduleRepair(kShutdownGracePeriod, [this, i] {
            m_fleet.gateway(i).signal(SIGKILL);
            restartGateway(i);
        });
    }
}

void Faults::suspendGateway()
{
    const int i = randomGateway();
    if (m_gatewaysDown.insert(i).second) {
        m_fleet.gateway(i).signal(SIGSTOP);
        scheduleRepair(randomDuration(300ms, 5000ms), [this, i] {
            m_fleet.gateway(i).signal(SIGCONT);
            m_gatewaysDown.erase(i);
        });
    }
}

void Faults::reloadGateway()
{
    m_fleet.gateway(randomGateway()).signal(SIGHUP);
}

void Faults::killController()
{
    const int i = randomController();
    if (m_controllersDown.size() < kMaxControllersDown && m_controllersDown.insert(i).second) {
        m_fleet.controller(i).signal(SIGKILL);
        scheduleRepair(randomDuration(200ms, 2500ms), [this, i] { restartController(i); });
    }
}

void Faults::suspendController()
{
    const int i = randomController();
    if (m_controllersDown.size() < kMaxControllersDown && m_controllersDown.insert(i).second) {
        m_fleet.controller(i).signal(SIGSTOP);
        scheduleRepair(randomDuration(300ms, 5000ms), [this, i] {
            m_fleet.controller(i).signal(SIGCONT);
            m_controllersDown.erase(i);
        });
    }
}

void Faults::loseDisk()
{
    const int i = randomController();
    if (m_diskLost || m_controllersDown.size() >= kMaxControllersDown || !m_controllersDown.insert(i).second) {
        return;
    }
    m_diskLost = true;
    m_fleet.controller(i).signal(SIGKILL);
    m_fleet.controller(i).waitForEnd(1s);
    m_fleet.wipeDisk(i);
    scheduleRepair(randomDuration(200ms, 1500ms), [this, i] {
        restartController(i);
        m_controllersDown.insert(i); // Counts as down until its disk is rebuilt.
        scheduleRepair(kDiskRebuildTime, [this, i] {
            m_controllersDown.erase(i);
            m_diskLost = false;
        });
    });
}

void Faults::killAllControllers()
{
    if (m_diskLost || !m_controllersDown.empty()) {
        return;
    }
    for (int i = 0; i < Fleet::kControllers; ++i) {
        m_controllersDown.insert(i);
        m_fleet.controller(i).signal(SIGKILL);
        scheduleRepair(randomDuration(200ms, 1000ms), [this, i] { restartController(i); });
    }
}

void Faults::killAll()
{
    killAllControllers();
    for (int i = 0; i < m_fleet.gateways(); ++i) {
        if (m_gatewaysDown.insert(i).second) {
            m_fleet.gateway(i).signal(SIGKILL);
            scheduleRepair(randomDuration(200ms, 1000ms), [this, i] { restartGateway(i); });
        }
    }
}

void Faults::crashBackend()
{
    const int i = randomGateway();
    if (m_backendsDown.insert(i).second) {
        m_fleet.backend(i).crash();
        scheduleRepair(randomDuration(100ms, 3000ms), [this, i] { startBackend(i); });
    }
}

void Faults::drainBackend()
{
    const int i = randomGateway();
    if (m_backendsDown.insert(i).second) {
        m_fleet.backend(i).drain();
        scheduleRepair(kDrainTime, [this, i] {
            m_fleet.backend(i).leave();
            scheduleRepair(500ms, [this, i] {
                m_fleet.backend(i).crash();
                startBackend(i);
            });
        });
    }
}

void Faults::silenceLink()
{
    const int i = randomGateway();
    m_fleet.link(i).setCut(true);
    scheduleRepair(randomDuration(300ms, 4000ms), [this, i] { m_fleet.link(i).setCut(false); });
}

void Faults::resetLink()
{
    m_fleet.link(randomGateway()).reset();
}

void Faults::delayLink()
{
    const int i = randomGateway();
    m_fleet.link(i).setDelay(randomDuration(20ms, 300ms));
    scheduleRepair(randomDuration(500ms, 3000ms), [this, i] { m_fleet.link(i).setDelay(Duration::zero()); });
}

void Faults::changeManifest()
{
    const auto next = m_version + 1 + m_random.below(3);
    const auto body = m_fleet.manifest(next, m_version);
    const int status = m_fleet.sendOperatorRequest("POST", "/toucandeck/config/put", body);
    if (status != 200) {
        m_fleet.audit().violation(fmt::format("manifest {} on top of {} got {}", next, m_version, status));
        return;
    }
    m_version = next;
    const int again = m_fleet.sendOperatorRequest("POST", "/toucandeck/config/put", body);
    if (again != 200 && again != 0) {
        m_fleet.audit().violation(fmt::format("manifest {}, sent again, got {}", next, again));
    }
}

void Faults::evacuate()
{
    const auto domain = Fleet::domainOf(randomGateway());
    if (m_fleet.sendOperatorRequest("POST", fmt::format("/toucandeck/evacuations/{}/start", domain), {}) != 200) {
        return;
    }
    m_evacuationEnds[domain] = m_loop.clock().now() + randomDuration(1000ms, 4000ms);
}

void Faults::endEvacuations(TimePoint due)
{
    for (auto it = m_evacuationEnds.begin(); it != m_evacuationEnds.end();) {
        if (it->second > due) {
            ++it;
            continue;
        }
        if (m_fleet.sendOperatorRequest("POST", fmt::format("/toucandeck/evacuations/{}/end", it->first), {}) != 200) {
            m_fleet.audit().violation(fmt::format("the end of the evacuation of {} was not acknowledged", it->first));
        }
        it = m_evacuationEnds.erase(it);
    }
}

} // namespace Toucandeck::Prove
