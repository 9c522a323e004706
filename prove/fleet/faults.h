#pragma once

#include "fleet.h"

#include "common/random_source.h"

namespace Toucandeck::Prove
{

/// Faults from outside the processes: signals, lost disks, relayed connections, backend servers that terminate, operators' changes.
/// Several may be active at once; each is repaired after a delay.
class Faults
{
public:
    Faults(EventLoop &loop, Fleet &fleet, RandomSource &random);

    /// Injects one randomly chosen fault and runs the event loop for a random time.
    void step();
    /// Waits up to 30 s for pending repairs, then ends all evacuations.
    void settle();
    /// The final fault, when no other is active: changes the manifest and, as soon as this is acknowledged, kills all processes together
    /// and erases the disks of the controller that acknowledged and of another one.
    void loseTwoDisksAfterChange();

    const std::map<std::string, std::uint64_t> &counts() const;
    /// Version of the latest manifest that was acknowledged.
    std::uint64_t acknowledgedVersion() const;

private:
    using Fault = void (Faults::*)();

    void killGateway();
    void stopGateway();
    void suspendGateway();
    void reloadGateway();
    void killController();
    void suspendController();
    void loseDisk();
    void killAllControllers();
    void killAll();
    void crashBackend();
    void drainBackend();
    void silenceLink();
    void resetLink();
    void delayLink();
    void cutControllerLink();
    void resetControllerLink();
    void delayControllerLink();
    void changeManifest();
    /// Sends the next version of the manifest; empty if it was not acknowledged.
    std::string putNextManifest();
    void evacuate();

    void endEvacuations(TimePoint due);
    /// Processes without a signal of this class must be running.
    void checkProcesses();

    int randomGateway();
    int randomController();
    Duration randomDuration(std::chrono::milliseconds shortest, std::chrono::milliseconds longest);
    void scheduleRepair(Duration delay, std::function<void()> repair);
    void restartGateway(int i);
    void restartController(int i);
    void startBackend(int i);

    EventLoop &m_loop;
    Fleet &m_fleet;
    RandomSource &m_random;
    std::map<std::string, std::uint64_t> m_counts;
    std::map<std::uint64_t, EventLoop::Watch> m_pendingRepairs; ///< Timers of the repairs of active faults.
    std::uint64_t m_nextRepairId = 0;
    std::set<int> m_gatewaysDown;
    std::set<int> m_controllersDown; ///< At most kMaxControllersDown, except when all are killed together.
    std::set<int> m_backendsDown;
    std::map<std::string, TimePoint> m_evacuationEnds; ///< Time at which the evacuation of each failure domain ends.
    bool m_diskLost = false;
    std::uint64_t m_version = 1;
};

} // namespace Toucandeck::Prove
