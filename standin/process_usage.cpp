#include "process_usage.h"

#include <fmt/format.h>
#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>

namespace Toucandeck::Standin
{

ProcessUsage ProcessUsage::of(pid_t pid)
{
    std::ifstream in(fmt::format("/proc/{}/stat", pid));
    std::string line;
    std::getline(in, line);
    const auto nameEnd = line.rfind(')');
    if (nameEnd == std::string::npos) {
        return {};
    }
    // Fields after the name, from number 3 on (proc(5)): utime is 14, stime 15, rss 24.
    std::istringstream fields(line.substr(nameEnd + 2));
    std::string skipped;
    std::int64_t userTicks = 0;
    std::int64_t systemTicks = 0;
    std::uint64_t pages = 0;
    constexpr int kFirstField = 3;
    constexpr int kUserTime = 14;
    constexpr int kSystemTime = 15;
    constexpr int kResident = 24;
    for (int n = kFirstField; n <= kResident; ++n) {
        if (n == kUserTime) {
            fields >> userTicks;
        } else if (n == kSystemTime) {
            fields >> systemTicks;
        } else if (n == kResident) {
            fields >> pages;
        } else {
            fields >> skipped;
        }
    }
    const auto tick = Duration(std::chrono::seconds(1)) / ::sysconf(_SC_CLK_TCK);
    return { tick * (userTicks + systemTicks), pages * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE)) };
}

} // namespace Toucandeck::Standin
