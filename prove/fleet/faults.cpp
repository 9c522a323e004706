#include "faults.h"

#include <csignal>
#include <fmt/format.h>

namespace Toucandeck::Prove
{

namespace
{

using namespace std::chrono_literals;
using Standin::LinkCut;

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
        { "controller_link_cut", &Faults::cutControllerLink },
        { "controller_link_reset", &Faults::resetControllerLink },
        { "controller_link_delayed", &Faults::delayControllerLink },
        { "manifest_changed", &Faults::changeManifest },
        { "domain_evacuated", &Faults::evacuate },
    };
    endEvacuations(m_loop.clock().now());
    checkProcesses();
    const auto &it = kFaults[m_random.below(std::size(kFaults))];
    ++m_counts[it.name];
    (this->*it.fault)();
    m_loop.runUntil([] { return false; }, randomDuration(50ms, 900ms));
}

void Faults::settle()
{
    m_loop.runUntil([this] { return m_pendingRepairs.empty(); }, 30s);
    endEvacuations(TimePoint::max());
    checkProcesses();
}

const std::map<std::string, std::uint64_t> &Faults::counts() const
{
    return m_counts;
}

std::uint64_t Faults::acknowledgedVersion() const
{
    return m_version;
}

void Faults::loseTwoDisksAfterChange()
{
    ++m_counts["two_disks_lost"];
    putNextManifest();
    const int first = m_fleet.latestResponder();
    const int second = (first + 1 + static_cast<int>(m_random.below(Fleet::kControllers - 1))) % Fleet::kControllers;
    killAll();
    for (int i = 0; i < m_fleet.gateways(); ++i) {
        m_fleet.backend(i).crash();
        startBackend(i);
    }
    m_fleet.loseController(first);
    m_fleet.loseController(second);
    settle();
}

void Faults::checkProcesses()
{
    for (int i = 0; i < m_fleet.gateways(); ++i) {
        if (m_gatewaysDown.count(i) == 0 && !m_fleet.gateway(i).isRunning()) {
            m_fleet.audit().violation(fmt::format("gateway {} ended by itself, exit code {}", i, m_fleet.gateway(i).exitCode()));
            restartGateway(i);
        }
    }
    for (int i = 0; i < Fleet::kControllers; ++i) {
        if (m_controllersDown.count(i) == 0 && !m_fleet.controller(i).isRunning()) {
            m_fleet.audit().violation(fmt::format("controller {} ended by itself, exit code {}", i, m_fleet.controller(i).exitCode()));
            restartController(i);
        }
    }
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
        m_fleet.stopGateway(i);
        scheduleRepair(kShutdownGracePeriod, [this, i] {
            handleError([&] { return m_fleet.restartStoppedGateway(i); },
                        [&](const Error &error) { m_fleet.audit().violation(error.message); });
            m_gatewaysDown.erase(i);
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
    const int i = randomGateway();
    if (!m_fleet.isGatewayStarting(i)) {
        m_fleet.gateway(i).signal(SIGHUP);
    }
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
    m_fleet.loseController(i);
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
    m_fleet.backendLink(i).setCut(LinkCut::Both);
    scheduleRepair(randomDuration(300ms, 4000ms), [this, i] { m_fleet.backendLink(i).setCut(LinkCut::None); });
}

void Faults::resetLink()
{
    m_fleet.backendLink(randomGateway()).reset();
}

void Faults::delayLink()
{
    const int i = randomGateway();
    m_fleet.backendLink(i).setDelay(randomDuration(20ms, 300ms));
    scheduleRepair(randomDuration(500ms, 3000ms), [this, i] { m_fleet.backendLink(i).setDelay(Duration::zero()); });
}

void Faults::cutControllerLink()
{
    static constexpr LinkCut kCuts[] = { LinkCut::Forward, LinkCut::Backward, LinkCut::Both };
    const int i = randomController();
    m_fleet.controllerLink(i).setCut(kCuts[m_random.below(std::size(kCuts))]);
    scheduleRepair(randomDuration(300ms, 4000ms), [this, i] { m_fleet.controllerLink(i).setCut(LinkCut::None); });
}

void Faults::resetControllerLink()
{
    m_fleet.controllerLink(randomController()).reset();
}

void Faults::delayControllerLink()
{
    const int i = randomController();
    m_fleet.controllerLink(i).setDelay(randomDuration(20ms, 500ms));
    scheduleRepair(randomDuration(500ms, 3000ms), [this, i] { m_fleet.controllerLink(i).setDelay(Duration::zero()); });
}

std::string Faults::putNextManifest()
{
    const auto next = m_version + 1 + m_random.below(3);
    auto body = m_fleet.manifest(next, m_version);
    const int status = m_fleet.sendOperatorRequest("POST", "/toucandeck/config/put", body);
    if (status != 200) {
        m_fleet.audit().violation(fmt::format("manifest {} on top of {} got {}", next, m_version, status));
        return {};
    }
    m_version = next;
    return body;
}

void Faults::changeManifest()
{
    const auto body = putNextManifest();
    if (body.empty()) {
        return;
    }
    const int again = m_fleet.sendOperatorRequest("POST", "/toucandeck/config/put", body);
    if (again != 200 && again != 0) {
        m_fleet.audit().violation(fmt::format("manifest {}, sent again, got {}", m_version, again));
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
