#include "fake_network.h"

namespace Toucandeck
{

FakeNetwork::FakeNetwork(const ManualClock &clock, RandomSource &random)
    : m_clock(clock)
    , m_random(random)
{
}

void FakeNetwork::setAddress(ReplicaId replica, int slot)
{
    m_addresses[replica] = slot;
}

void FakeNetwork::send(int from, ReplicaId to, const wire::ReplicaMessage &message)
{
    const auto address = m_addresses.find(to);
    if (address == m_addresses.end() || (filter && filter(message))) {
        return;
    }
    if (m_blocked.contains({ from, address->second })) {
        ++m_faults["blocked"];
        return;
    }
    if (m_random.unit() < loss) {
        ++m_faults["lost"];
        return;
    }
    schedule(address->second, message);
    if (m_random.unit() < duplication) {
        ++m_faults["duplicated"];
        schedule(address->second, message);
    }
}

void FakeNetwork::schedule(int slot, const wire::ReplicaMessage &message)
{
    const auto spread = static_cast<std::uint64_t>((maxDelay - minDelay).count());
    const auto delay = minDelay + Duration(m_random.below(spread + 1));
    m_packets.emplace(m_clock.now() + delay, Packet{ slot, ++m_sent, message });
}

void FakeNetwork::deliver(const std::function<void(int slot, const wire::ReplicaMessage &)> &receiver)
{
    while (!m_packets.empty() && m_packets.begin()->first <= m_clock.now()) {
        const auto packet = m_packets.extract(m_packets.begin());
        auto &last = m_lastDelivered[packet.mapped().slot];
        if (packet.mapped().number < last) {
            ++m_faults["reordered"];
        }
        last = std::max(last, packet.mapped().number);
        receiver(packet.mapped().slot, packet.mapped().message);
    }
}

void FakeNetwork::block(int from, int to)
{
    m_blocked.insert({ from, to });
}

bool FakeNetwork::isBlocked(int from, int to) const
{
    return m_blocked.contains({ from, to });
}

void FakeNetwork::heal()
{
    m_blocked.clear();
}

const std::map<std::string, std::uint64_t> &FakeNetwork::faults() const
{
    return m_faults;
}

} // namespace Toucandeck
