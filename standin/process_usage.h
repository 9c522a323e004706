#pragma once

#include "common/time.h"

#include <cstdint>
#include <sys/types.h>

namespace Toucandeck::Standin
{

/// Resource usage of a process, from /proc.
struct ProcessUsage
{
    Duration cpu{}; ///< User and system time since its start.
    std::uint64_t residentBytes = 0;

    /// All zero if the process does not exist.
    static ProcessUsage of(pid_t pid);
};

} // namespace Toucandeck::Standin
