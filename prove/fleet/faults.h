#pragma once

#include "fleet.h"

#include "common/random_source.h"

namespace Toucandeck::Prove
{

/// Faults from outside the processes: signals, lost disks, relayed connections, backend servers that end, operators' changes. Several
/// may be under way at once; each is mended after a while drawn with it.
class Faults
{
public:
    Faults(EventLoop &loop, Fleet &fleet, RandomSource &random);

    /// Begins one fault, drawn at random, and lets some time pass.
    void step();
    /// Waits until all faults are mended.
    void settle();

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
    void changeManifest();
    void evacuate();

    void endEvacuations(TimePoint due);

    int anyGateway();
    int anyController();
    Duration draw(std::chrono::milliseconds shortest, std::chrono::milliseconds longest);
    void later(Duration delay, std::function<void()> mend);
    void restartGateway(int i);
    void restartController(int i);
    void startBackend(int i);

    EventLoop &m_loop;
    Fleet &m_fleet;
    RandomSource &m_random;
    std::map<std::string, std::uint64_t> m_counts;
    std::map<std::uint64_t, EventLoop::Watch> m_mends; ///< Of the faults under way.
    std::uint64_t m_nextMend = 0;
    std::set<int> m_gatewaysOut;
    std::set<int> m_controllersOut; ///< No more than may be lost at once.
    std::set<int> m_backendsOut;
    std::map<std::string, TimePoint> m_evacuated; ///< Failure domains, and when each is taken back.
    bool m_diskOut = false;
    std::uint64_t m_version = 1;
};

} // namespace Toucandeck::Prove
