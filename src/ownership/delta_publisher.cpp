#include "ownership/delta_publisher.h"

#include <algorithm>

namespace Toucandeck::internal
{

DeltaPublisher::DeltaPublisher(LeaderContext &context)
    : m_context(context)
{
}

void DeltaPublisher::recordDigest(const wire::ViewDelta &delta)
{
    m_digests.emplace_back(LogIndex{ delta.to_version() }, delta.digest());
    if (m_digests.size() > ClusterState::maxRetainedDeltas) {
        m_digests.pop_front();
    }
}

void DeltaPublisher::publish(const wire::ViewDelta &delta)
{
    wire::Envelope envelope;
    *envelope.mutable_deltas()->add_deltas() = delta;
    for (auto &[id, record] : m_context.sessions) {
        if (record.sentVersion && record.sentVersion.value == delta.from_version()) {
            record.sentVersion = LogIndex{ delta.to_version() };
            m_context.parts.routers.sendToSession(id, envelope);
        }
    }
}

void DeltaPublisher::sendSince(SessionRecord &record, LogIndex version)
{
    auto deltas = version ? m_context.parts.state.deltasSince(version) : std::nullopt;
    if (!deltas) {
        sendFullView(record);
        return;
    }
    record.sentVersion = m_context.view().version();
    wire::Envelope envelope;
    *envelope.mutable_deltas() = std::move(*deltas);
    m_context.parts.routers.sendToSession(SessionId{ record.session.session() }, envelope);
}

void DeltaPublisher::resendIfBehind(SessionRecord &record, LogIndex version)
{
    if (!record.sentVersion || version < record.sentVersionAtLastRenewal) {
        sendSince(record, version);
    }
    record.sentVersionAtLastRenewal = record.sentVersion;
}

void DeltaPublisher::sendFullView(SessionRecord &record)
{
    wire::Envelope envelope;
    *envelope.mutable_full_view()->mutable_view() = m_context.view().toWire();
    record.sentVersion = m_context.view().version();
    m_context.parts.routers.sendToSession(SessionId{ record.session.session() }, envelope);
}

bool DeltaPublisher::digestMatches(LogIndex version, std::uint64_t digest) const
{
    const auto it
        = std::lower_bound(m_digests.begin(), m_digests.end(), version, [](const auto &entry, LogIndex v) { return entry.first < v; });
    return it == m_digests.end() || it->first != version || it->second == digest;
}

} // namespace Toucandeck::internal
