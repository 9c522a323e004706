#pragma once

#include "ownership/wire_namespace.h"

#include <functional>

namespace Toucandeck
{

struct CommandAnswer;

/// Puts commands into the replicated log.
class Proposer
{
public:
    /// Receives what the command did when this controller applied it, or nullptr if this controller does not lead any more; the
    /// command may then still be applied later.
    using Done = std::function<void(const CommandAnswer *)>;

    virtual ~Proposer() = default;

    /// Appends @p command behind every command proposed before. Calls @p done exactly once, after Coordinator::applied() for the
    /// command, or when the leadership ends. May call it before it returns only with nullptr.
    virtual void propose(const wire::Command &command, Done done) = 0;
};

} // namespace Toucandeck
