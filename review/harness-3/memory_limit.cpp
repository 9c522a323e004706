#include "memory_limit.h"

#include <algorithm>
#include <cstdlib>

namespace Review
{

namespace
{

constexpr Milliseconds kInterval{ 2 };
constexpr int kEndsPerMachine = 3;
constexpr std::ptrdiff_t kMachines = 2;

/// Resident memory of a process in MiB; zero if it has ended.
std::uint64_t memoryMb(pid_t pid)
{
    std::ifstream in("/proc/" + std::to_string(pid) + "/status");
    std::string line;
    while (std::getline(in, line)) {
        if (line.rfind("VmRSS:", 0) == 0) {
            return std::strtoull(line.c_str() + 6, nullptr, 10) / 1024;
        }
    }
    return 0;
}

} // namespace

MemoryLimit::MemoryLimit(Deployment &deployment, Record &record, unsigned limitMb)
    : m_deployment(deployment)
    , m_record(record)
    , m_limitMb(limitMb)
    , m_ends(deployment.gateways())
    , m_thread([this] { run(); })
{
}

MemoryLimit::~MemoryLimit()
{
    stop();
}

void MemoryLimit::stop()
{
    m_stopped = true;
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

int MemoryLimit::ends(std::size_t i) const
{
    return m_ends[i];
}

std::uint64_t MemoryLimit::peakMb() const
{
    return m_peakMb;
}

bool MemoryLimit::isRuleBroken() const
{
    return std::count_if(m_ends.begin(), m_ends.end(), [](int n) { return n >= kEndsPerMachine; }) >= kMachines;
}

std::string MemoryLimit::verdict() const
{
    std::string counts;
    for (const int n : m_ends) {
        counts += " " + std::to_string(n);
    }
    return "ends of the gateways by memory:" + counts + "; most memory of a gateway " + std::to_string(m_peakMb) + " MB of "
        + std::to_string(m_limitMb) + " MB";
}

void MemoryLimit::run()
{
    while (!m_stopped) {
        for (std::size_t i = 0; i < m_ends.size(); ++i) {
            check(i);
        }
        std::this_thread::sleep_for(kInterval);
    }
}

void MemoryLimit::check(std::size_t i)
{
    const auto used = memoryMb(m_deployment.gatewayPid(i));
    m_peakMb = std::max(m_peakMb, used);
    if (used > m_limitMb) {
        m_record.write("gateway-" + std::to_string(i) + " uses " + std::to_string(used) + " MB of " + std::to_string(m_limitMb)
                       + " MB and is killed");
        ++m_ends[i];
        m_deployment.restartGateway(i);
    }
}

} // namespace Review
