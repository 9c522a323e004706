#pragma once

#include "common/ids.h"
#include "common/result.h"

#include <string>
#include <string_view>

namespace Toucandeck
{

/// Replicated state machine. All replicas apply the same commands in the same order and must reach the same state.
class StateMachine
{
public:
    virtual ~StateMachine() = default;

    /// Applies a committed command. Must be deterministic and must not call the replica.
    virtual void apply(LogIndex index, std::string_view command) = 0;

    /// Serialised state after the last applied command.
    virtual std::string snapshot() const = 0;

    /// Replaces the state by one that snapshot() returned. Errors: Corrupt.
    virtual Result<void> restore(std::string_view data) = 0;
};

} // namespace Toucandeck
