#pragma once

namespace Toucandeck::internal
{

/// Prints the failed condition with its place to standard error and aborts.
[[noreturn]] void assertionFailed(const char *condition, const char *reason, const char *file, int line);

} // namespace Toucandeck::internal

/// Aborts the process if @p condition is false. Enabled in every build type: continuing with a broken invariant
/// could give a key two owners.
#define TOUCANDECK_ASSERT(condition, reason) \
    do { \
        if (!(condition)) { \
            ::Toucandeck::internal::assertionFailed(#condition, reason, __FILE__, __LINE__); \
        } \
    } while (false)
