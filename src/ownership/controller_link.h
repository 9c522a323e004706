#pragma once

#include "ownership/wire_namespace.h"

#include <cstddef>
#include <optional>
#include <string>

namespace Toucandeck
{

/// Sends messages from a router to the controllers. The implementation fills in sender and message id. Messages may be lost,
/// delayed, repeated and reordered.
class ControllerLink
{
public:
    virtual ~ControllerLink() = default;

    virtual void sendTo(std::size_t controller, const wire::Envelope &envelope) = 0;
    virtual void sendToAll(const wire::Envelope &envelope) = 0;

    /// Index of the controller with this message address, if there is one.
    virtual std::optional<std::size_t> indexOf(const std::string &address) const = 0;
};

} // namespace Toucandeck
