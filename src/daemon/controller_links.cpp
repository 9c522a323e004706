#include "daemon/controller_links.h"

#include <algorithm>

namespace Toucandeck
{

ControllerLinks::ControllerLinks(MessageSocket &messages, const std::vector<ControllerAddress> &controllers)
    : m_messages(messages)
{
    for (const auto &it : controllers) {
        m_addresses.push_back(it.messageAddress);
        if (!it.publicKey.empty()) {
            m_messages.setPeerKey(it.messageAddress, it.publicKey);
        }
    }
}

void ControllerLinks::sendTo(std::size_t controller, const wire::Envelope &envelope)
{
    m_messages.send(m_addresses.at(controller), envelope);
}

void ControllerLinks::sendToAll(const wire::Envelope &envelope)
{
    for (const auto &it : m_addresses) {
        m_messages.send(it, envelope);
    }
}

std::optional<std::size_t> ControllerLinks::indexOf(const std::string &address) const
{
    const auto it = std::find(m_addresses.begin(), m_addresses.end(), address);
    if (it == m_addresses.end()) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(it - m_addresses.begin());
}

} // namespace Toucandeck
