#include "fleet/fleet_controller.h"

#include "fleet/events.h"
#include "fleet/holder_capacities.h"
#include "fleet/recorded_instance.h"

#include <algorithm>

namespace Toucandeck
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds kTickInterval{ 50 };
constexpr milliseconds kListCompleteAfter{ 2000 }; ///< After an election; each reachable router has announced itself by then.
constexpr milliseconds kSilentAfter{ 3000 };
/// A router that has announced nothing for this time is not in contact; a confirmation does not wait for it.
constexpr milliseconds kInContactWithin{ 1000 };
constexpr std::chrono::seconds kRemovedAfter{ 30 }; ///< Long, because a router that the controllers cannot reach may still serve.

bool sameRecord(const wire::RouterRecord &a, const wire::RouterRecord &b)
{
    return a.failure_domain() == b.failure_domain() && a.leaving() == b.leaving()
        && a.instance().incarnation() == b.instance().incarnation() && a.instance().state() == b.instance().state()
        && a.instance().service() == b.instance().service() && a.instance().slots() == b.instance().slots()
        && a.instance().leaving() == b.instance().leaving();
}

} // namespace

FleetController::FleetController(
    EventLoop &loop, ReplicaGroup &group, const ManifestCodec &codec, Logger &logger, KeyLeaseOptions leases, ManifestBarrier &barrier)
    : m_loop(loop)
    , m_group(group)
    , m_logger(logger)
    , m_coordinator(loop.clock(),
                    logger,
                    group.state(),
                    m_planner,
                    leases,
                    [this](const wire::KeyTable &table, std::function<void(bool)> done) {
                        wire::FleetCommand command;
                        *command.mutable_set_keys() = table;
                        m_group.propose(
                            command, [done = std::move(done)](std::optional<CommandOutcome> it) { done(it == CommandOutcome::Applied); });
                    })
    , m_barrier(barrier)
    , m_services(codec, logger)
    , m_timer(loop.every(kTickInterval, [this] { tick(); }))
{
    group.setAppliedHandler([this](LogIndex, const wire::FleetCommand &command, CommandOutcome outcome) { onApplied(command, outcome); });
    m_barrier.setCondition([this](std::uint64_t version) { return isManifestApplied(version); });
}

void FleetController::onApplied(const wire::FleetCommand &command, CommandOutcome outcome)
{
    if (outcome != CommandOutcome::Applied) {
        return;
    }
    if (command.has_change_manifest()) {
        m_logger.write(FleetEvents::kManifestApplied, { field("version", m_group.state().manifest().version()) });
    } else if (command.has_set_evacuation()) {
        const auto &it = command.set_evacuation();
        m_logger.write(FleetEvents::kEvacuationApplied, { field("failure_domain", it.failure_domain()), field("active", it.active()) });
    }
    if (m_isLeader) {
        readManifest();
        m_loop.runSoon([this] { pushChanges(); });
    }
}

void FleetController::updateLeadership()
{
    const bool leads = m_group.isLeaderReady();
    if (leads && !m_isLeader) {
        m_leaderSince = m_loop.clock().now();
        m_coordinator.onLeadershipGained();
        m_routers.clear();
        m_removedRouters.clear();
    }
    if (!leads && m_isLeader) {
        for (auto &[key, session] : m_sessions) {
            refuse(session.channel);
        }
        m_sessions.clear();
    }
    m_isLeader = leads;
}

void FleetController::refuse(const std::shared_ptr<MessageChannel> &channel)
{
    wire::PeerMessage message;
    auto &update = *message.mutable_update();
    update.set_refused(true);
    update.set_leader(m_group.leaderIp());
    for (const auto &it : m_group.controllers()) {
        update.add_controllers(it);
    }
    channel->send(message);
}

void FleetController::receive(const std::shared_ptr<MessageChannel> &channel, const wire::Announce &announce)
{
    updateLeadership();
    if (!m_group.isConfirmedLeader()) {
        refuse(channel);
        return;
    }
    auto &session = m_sessions[channel.get()];
    if (!session.channel) {
        session.channel = channel;
        session.router = announce.router();
        session.manifestVersion = announce.manifest_version();
        session.acceptsCompressed = announce.accepts_compressed();
    }
    session.lastAnnounce = announce.sequence();
    session.appliedVersion = announce.manifest_version();
    recordRouter(announce);
    m_barrier.process();
    for (const auto &it : announce.freed()) {
        m_coordinator.onReleased(announce.instance().service(), it);
    }
    recordTermination(announce);
    wire::PeerMessage message;
    auto &update = *message.mutable_update();
    update.set_term(m_group.term().value);
    update.set_acknowledged(announce.sequence());
    fillChanges(session, update);
    if (announce.instance().state() != wire::ABSENT) {
        fillLease(session, announce.instance(), update);
    }
    channel->send(message);
    if (announce.freed_size() > 0) {
        m_loop.runSoon([this] { tick(); }); // Requests for these keys wait until they have a new holder.
    }
}

void FleetController::recordTermination(const wire::Announce &announce)
{
    const auto &instance = announce.instance();
    const bool isPresent = instance.state() != wire::ABSENT;
    readManifest();
    // What is said to be a process of a service that no manifest names is no evidence: another program on the VM may have said it.
    if (isPresent && !m_services.contains(instance.service())) {
        return;
    }
    if (isPresent) {
        m_coordinator.onIncarnationAnnounced(announce.router(), instance.incarnation());
    }
    if (!instance.ended().empty()) {
        m_coordinator.onTerminated(instance.ended());
    }
}

void FleetController::fillLease(const Session &session, const wire::InstanceReport &instance, wire::FleetUpdate &update)
{
    *update.mutable_lease() = m_coordinator.grantLease(instance.service(), instance.incarnation());
    update.mutable_lease()->set_sequence(session.lastAnnounce);
}

bool FleetController::fillChangedLease(const Session &session, const std::set<std::string> &changed, wire::FleetUpdate &update)
{
    const auto it = m_routers.find(session.router);
    if (it == m_routers.end() || changed.count(it->second.record.instance().incarnation()) == 0) {
        return false;
    }
    fillLease(session, it->second.record.instance(), update);
    return true;
}

void FleetController::recordRouter(const wire::Announce &announce)
{
    auto &entry = m_routers[announce.router()];
    if (entry.revision == 0) {
        m_group.state().leavingBeside(announce.router()).addTo(*entry.record.mutable_instance());
    }
    wire::RouterRecord record;
    record.set_router(announce.router());
    record.set_failure_domain(announce.failure_domain());
    *record.mutable_instance() = recordedInstance(entry.record.instance(), announce.instance());
    record.set_leaving(announce.leaving());
    if (entry.revision == 0 || !sameRecord(entry.record, record)) {
        entry.revision = ++m_listRevision;
        m_removedRouters.erase(announce.router());
        m_logger.write(FleetEvents::kRouterSeen,
                       { field("router", announce.router()),
                         field("service", announce.instance().service()),
                         field("incarnation", announce.instance().incarnation()),
                         field("state", wire::InstanceState_Name(announce.instance().state())),
                         field("recorded_state", wire::InstanceState_Name(record.instance().state())),
                         field("leaving_incarnation", record.instance().leaving()),
                         field("leaving", announce.leaving()),
                         field("sequence", announce.sequence()) });
    }
    entry.record = std::move(record);
    entry.demand = announce.demand();
    entry.lastAnnounce = m_loop.clock().now();
    entry.isSilent = false;
    proposeLeaving(announce.router(), entry);
}

void FleetController::proposeLeaving(const std::string &router, RouterEntry &entry)
{
    const LeavingProcesses leaving(entry.record.instance());
    const auto &recorded = m_group.state().leavingBeside(router);
    for (const auto &incarnation : leaving.names()) {
        if (recorded.covers(incarnation) || !entry.proposedLeaving.insert(incarnation).second) {
            continue;
        }
        wire::FleetCommand command;
        command.mutable_set_leaving()->set_router(router);
        command.mutable_set_leaving()->set_incarnation(incarnation);
        m_group.propose(command, [this, router, incarnation](std::optional<CommandOutcome>) {
            if (const auto it = m_routers.find(router); it != m_routers.end()) {
                it->second.proposedLeaving.erase(incarnation); // If it failed, the next announcement proposes it again.
            }
        });
    }
}

bool FleetController::fillDepartures(Session &session, wire::FleetUpdate &update) const
{
    const auto &recorded = m_group.state().leavingBeside(session.router).names();
    if (session.areDeparturesSent && session.departures == recorded) {
        return false;
    }
    session.areDeparturesSent = true;
    session.departures = recorded;
    update.mutable_departures()->mutable_incarnations()->Add(recorded.begin(), recorded.end());
    return true;
}

void FleetController::onClosed(const std::shared_ptr<MessageChannel> &channel)
{
    m_sessions.erase(channel.get());
}

std::size_t FleetController::routerCount() const
{
    return m_routers.size();
}

bool FleetController::isManifestApplied(std::uint64_t version) const
{
    const auto now = m_loop.clock().now();
    return std::all_of(m_sessions.begin(), m_sessions.end(), [&](const auto &entry) {
        const auto &session = entry.second;
        const auto router = m_routers.find(session.router);
        const bool inContact = router != m_routers.end() && now - router->second.lastAnnounce <= kInContactWithin;
        return !inContact || session.appliedVersion >= version;
    });
}

void FleetController::tick()
{
    m_barrier.process();
    updateLeadership();
    if (!m_isLeader) {
        return;
    }
    readManifest();
    removeSilentRouters();
    if (m_group.isConfirmedLeader()) {
        m_coordinator.tick(m_services.keyed(), keyHolders());
    }
    pushChanges();
}

void FleetController::readManifest()
{
    const auto &document = m_group.state().manifest();
    if (document.version() == m_readVersion) {
        return;
    }
    m_readVersion = document.version();
    m_manifestUpdates.setManifest(document, m_group.state().manifestBase());
    m_services.update(document);
}

void FleetController::removeSilentRouters()
{
    const auto now = m_loop.clock().now();
    for (auto it = m_routers.begin(); it != m_routers.end();) {
        auto &[ip, entry] = *it;
        if (!entry.isSilent && now - entry.lastAnnounce > kSilentAfter) {
            entry.isSilent = true;
            m_logger.write(FleetEvents::kRouterSilent,
                           { field("router", ip), field("incarnation", entry.record.instance().incarnation()) });
        }
        if (now - entry.lastAnnounce > kRemovedAfter) {
            m_removedRouters[ip] = ++m_listRevision;
            it = m_routers.erase(it);
        } else {
            ++it;
        }
    }
}

std::vector<KeyHolder> FleetController::keyHolders() const
{
    std::vector<KeyHolder> holders;
    HolderCapacities capacities;
    for (const auto &[ip, entry] : m_routers) {
        if (!entry.isSilent) {
            capacities.add(entry.record.instance());
        }
    }
    const auto &evacuated = m_group.state().evacuated();
    for (const auto &[ip, entry] : m_routers) {
        const auto &instance = entry.record.instance();
        if (entry.isSilent || instance.state() == wire::ABSENT) {
            continue;
        }
        KeyHolder holder;
        holder.incarnation = instance.incarnation();
        holder.router = ip;
        holder.service = instance.service();
        holder.capacity = capacities.of(instance);
        holder.isEligible = instance.state() == wire::READY && evacuated.count(entry.record.failure_domain()) == 0;
        const auto points = static_cast<double>(entry.demand.points_size());
        for (const auto it : entry.demand.points()) {
            holder.demand.push_back({ it, static_cast<double>(entry.demand.rate_milli()) / 1000 / points });
        }
        holders.push_back(std::move(holder));
    }
    return holders;
}

bool FleetController::isListComplete() const
{
    return m_loop.clock().now() - m_leaderSince >= kListCompleteAfter;
}

void FleetController::pushChanges()
{
    if (!m_group.isConfirmedLeader()) {
        return;
    }
    const auto changedHolders = m_coordinator.takeChangedHolders();
    for (auto &[key, session] : m_sessions) {
        wire::PeerMessage message;
        auto &update = *message.mutable_update();
        update.set_term(m_group.term().value);
        const bool changed = fillChanges(session, update);
        if (fillChangedLease(session, changedHolders, update) || changed) {
            session.channel->send(message);
        }
    }
}

bool FleetController::fillChanges(Session &session, wire::FleetUpdate &update)
{
    const auto &state = m_group.state();
    bool changed = fillRouters(session, update);
    changed = fillManifest(session, update) || changed;
    changed = fillDepartures(session, update) || changed;
    if (!session.areEvacuationsSent || session.evacuationRevision != state.evacuationRevision()) {
        session.areEvacuationsSent = true;
        session.evacuationRevision = state.evacuationRevision();
        update.set_has_evacuations(true);
        for (const auto &it : state.evacuated()) {
            update.add_evacuated(it);
        }
        changed = true;
    }
    if (const auto controllers = m_group.controllers(); controllers != session.controllers) {
        session.controllers = controllers;
        update.mutable_controllers()->Add(controllers.begin(), controllers.end());
        changed = true;
    }
    return fillTables(session, update) || changed;
}

bool FleetController::fillManifest(Session &session, wire::FleetUpdate &update)
{
    readManifest();
    if (m_readVersion <= session.manifestVersion) {
        return false;
    }
    if (session.acceptsCompressed) {
        m_manifestUpdates.addCompressedTo(update, session.manifestVersion);
    } else {
        m_manifestUpdates.addTo(update, session.manifestVersion);
    }
    session.manifestVersion = m_readVersion;
    return true;
}

bool FleetController::fillTables(Session &session, wire::FleetUpdate &update) const
{
    bool changed = false;
    for (const auto &[service, table] : m_group.state().tables()) {
        auto &sentRevision = session.tableRevisions[service];
        if (sentRevision == table.revision) {
            continue;
        }
        auto *out = update.add_tables();
        out->set_service(service);
        out->set_revision(table.revision);
        out->set_base_revision(sentRevision);
        for (const auto &row : table.keys.rows()) {
            // The fencing token is the log index of the assignment, so rows with larger tokens than the sent revision are new.
            if (sentRevision == 0 || row.fencingToken > sentRevision) {
                auto *it = out->add_rows();
                *it = toWire(row);
                it->clear_handover(); // Needed only by the new holder, which receives it with the lease.
                it->clear_holder(); // Routers address the gateway beside the holder, not the holder.
            }
        }
        sentRevision = table.revision;
        changed = true;
    }
    return changed;
}

bool FleetController::fillRouters(Session &session, wire::FleetUpdate &update) const
{
    const bool whole = isListComplete() && !session.isListSent;
    if (!whole && session.listRevision == m_listRevision) {
        return false;
    }
    for (const auto &[ip, entry] : m_routers) {
        if (whole || entry.revision > session.listRevision) {
            auto *it = update.add_routers();
            *it = entry.record;
            it->mutable_instance()->clear_leaving_processes(); // Each router is sent its own as departures.
        }
    }
    if (whole) {
        update.set_routers_complete(true);
        session.isListSent = true;
    } else if (isListComplete()) {
        for (const auto &[ip, revision] : m_removedRouters) {
            if (revision > session.listRevision) {
                update.add_removed_routers(ip);
            }
        }
    }
    session.listRevision = m_listRevision;
    return true;
}

} // namespace Toucandeck
