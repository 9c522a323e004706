#pragma once

#include "ownership/wire_namespace.h"

#include <functional>

namespace Toucandeck
{

struct CommandAnswer;

/// Appends commands to the replicated log.
class Proposer
{
public:
    /// Receives the answer of the command once this controller has applied it, or nullptr if this controller no longer leads; the
    /// command may then still be applied later.
    using Done = std::function<void(const CommandAnswer *)>;

    virtual ~Proposer() = default;

    /// Appends @p command after all commands proposed before. Calls @p done exactly once, after Coordinator::onCommandApplied() for
    /// the command, or when the leadership ends. The call may occur before propose() returns only with nullptr.
    virtual void propose(const wire::Command &command, Done done) = 0;
};

} // namespace Toucandeck
