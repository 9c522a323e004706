#pragma once

#include "deployment.h"

namespace Review
{

/// The platform's limit: "A process that uses more than `memoryMb` is killed" and is started again. It watches all gateways.
class MemoryLimit
{
public:
    MemoryLimit(Deployment &deployment, Record &record, unsigned limitMb);
    ~MemoryLimit();
    MemoryLimit(const MemoryLimit &) = delete;
    MemoryLimit &operator=(const MemoryLimit &) = delete;

    void stop();
    /// Number of times a gateway was killed.
    int ends(std::size_t i) const;
    /// Most memory of any gateway, in MiB.
    std::uint64_t peakMb() const;
    /// True if two gateways or more were killed three times or more.
    bool isRuleBroken() const;
    std::string verdict() const;

private:
    void run();
    void check(std::size_t i);

    Deployment &m_deployment;
    Record &m_record;
    unsigned m_limitMb;
    std::vector<int> m_ends;
    std::uint64_t m_peakMb = 0;
    std::atomic<bool> m_stopped{ false };
    std::thread m_thread;
};

} // namespace Review
