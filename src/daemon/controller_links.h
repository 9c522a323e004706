#pragma once

#include "config/settings.h"
#include "ownership/controller_link.h"
#include "runtime/message_socket.h"

namespace Toucandeck
{

/// Sends the router agent's messages to the controllers listed in the settings.
class ControllerLinks : public ControllerLink
{
public:
    ControllerLinks(MessageSocket &messages, const std::vector<ControllerAddress> &controllers);

    void sendTo(std::size_t controller, const wire::Envelope &envelope) override;
    void sendToAll(const wire::Envelope &envelope) override;
    std::optional<std::size_t> indexOf(const std::string &address) const override;

private:
    MessageSocket &m_messages;
    std::vector<std::string> m_addresses;
};

} // namespace Toucandeck
