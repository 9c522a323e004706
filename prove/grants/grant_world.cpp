#include "grants/grant_world.h"

#include <algorithm>
#include <fmt/format.h>

namespace Toucandeck::GrantRun
{

using namespace std::chrono_literals;

namespace
{

const std::string kService = "svc";
constexpr std::size_t kNodes = 5;
constexpr Duration kHeartbeatInterval = 870ms;
constexpr Duration kAnnounceInterval = 400ms;
constexpr Duration kCallTimeout = 400ms;
constexpr Duration kMaxLateness = 6s; ///< A call without an answer is applied at most this much later.
constexpr Duration kSilentAfter = 3s; ///< A node that has not announced itself for this long holds no place among the holders.

} // namespace

void GrantCounts::add(const GrantCounts &other)
{
    grants += other.grants;
    unanswered += other.unanswered;
    late += other.late;
    releases += other.releases;
    reported += other.reported;
    assignments += other.assignments;
    crashes += other.crashes;
    gatewayRestarts += other.gatewayRestarts;
    pauses += other.pauses;
    cuts += other.cuts;
    leaderLosses += other.leaderLosses;
}

/// A VM with a gateway and a backend server.
struct GrantWorld::Node
{
    std::string name;
    std::unique_ptr<OwnershipRun::DriftingClock> clock; ///< Of the gateway.
    std::unique_ptr<EventLoop> loop; ///< Never runs; the world calls what its timers would.
    std::unique_ptr<Port> port;
    std::unique_ptr<LocalInstance> instance;
    int gatewayLife = 0;
    std::unique_ptr<Standin::KeyHolderModel> process;
    int processLife = 0;
    bool processRuns = false;
    double drift = 0; ///< Of the backend server's clock.
    std::uint64_t heartbeats = 0; ///< Of the process.
    bool eligible = true;
    bool gatewayRuns = true;
    Duration pausedUntil{};
    Duration cutUntil{}; ///< No contact to the controller until then.
    std::uint64_t announcements = 0;
    Duration lastAnnounced{ -1h }; ///< As the controller sees it.
    std::string announcedIncarnation;
    std::uint32_t hotKey = 0;
};

/// Calls of one gateway process to the backend server beside it.
class GrantWorld::Port : public GrantPort
{
public:
    Port(GrantWorld &world, Node &node)
        : m_world(world)
        , m_node(node)
    {
    }

    void onHeartbeat(TimePoint /*arrival*/) override
    {
        // As GrantCaller: a connection that was lost is used again after one more heartbeat.
        if (m_life == 0) {
            m_life = m_node.processLife;
        } else if (m_life != m_node.processLife && m_nextLife == m_node.processLife) {
            m_life = m_nextLife;
        }
        m_nextLife = m_node.processLife;
    }

    void onProcessEnded() override
    {
        m_life = 0;
        m_nextLife = 0;
    }

    void grant(const GrantCall &call, GrantDone done) override
    {
        auto &world = m_world; // The gateway process, and this object with it, may end before the call is applied.
        auto &node = m_node;
        ++world.m_counts.grants;
        const auto once = std::make_shared<GrantDone>(std::move(done));
        const auto answer = [once](GrantOutcome outcome) {
            if (*once) {
                std::exchange(*once, nullptr)(outcome);
            }
        };
        const auto arrival = world.now();
        const auto apply = [&world, &node, call, arrival, life = m_life](const std::function<void(GrantOutcome)> &onApplied) {
            world.applyGrant(node, life, call, arrival, onApplied);
        };
        const auto ignore = [](GrantOutcome) {};
        auto &time = world.m_time;
        if (!world.chance(world.m_lossRate)) {
            time.after(world.between(0ms, 3ms), [=, &world, &node] {
                apply(
                    [=, &world, &node](GrantOutcome outcome) { world.atGateway(node, world.between(0ms, 3ms), [=] { answer(outcome); }); });
            });
        } else {
            ++world.m_counts.unanswered;
            if (world.chance(0.6)) {
                ++world.m_counts.late;
                time.after(world.between(0ms, kMaxLateness), [=] { apply(ignore); });
            }
            if (world.chance(0.3)) {
                time.after(world.between(0ms, 3ms), [=] { apply(ignore); });
            }
        }
        world.atGateway(node, world.chance(0.2) ? 5ms : kCallTimeout, [=] { answer(GrantOutcome::Unanswered); });
    }

    void release(const ReleaseCall &call, ReleaseDone done) override
    {
        auto &world = m_world;
        auto &node = m_node;
        ++world.m_counts.releases;
        const auto once = std::make_shared<ReleaseDone>(std::move(done));
        const auto answer = [once](GrantOutcome outcome) {
            if (*once) {
                std::exchange(*once, nullptr)(outcome, "token");
            }
        };
        const auto life = m_life;
        const bool lost = world.chance(world.m_lossRate);
        const auto delay = lost ? world.between(0ms, kMaxLateness) : world.between(0ms, 3ms);
        world.m_time.after(delay, [=, &world, &node] {
            world.applyRelease(node, life, call, [=, &world, &node] {
                if (!lost) {
                    world.atGateway(node, 1ms, [=] { answer(GrantOutcome::Accepted); });
                }
            });
        });
        world.atGateway(node, 4s, [=] { answer(GrantOutcome::Unanswered); });
    }

private:
    GrantWorld &m_world;
    Node &m_node;
    int m_life = 0; ///< The process that calls reach; zero if there is no connection.
    int m_nextLife = 0; ///< The process at the address at the last heartbeat.
};

GrantWorld::GrantWorld(std::uint64_t seed)
    : m_random(seed)
    , m_clock(m_time, 0, 1h, 0s)
    , m_coordinator(
          m_clock, m_logger, m_state, m_planner, KeyLeaseOptions{}, [this](const auto &table, const auto &done) { propose(table, done); })
    , m_lossRate(chance(0.3) ? 0.5 : 0.15)
    , m_highestToken(Standin::KeyHolderModel::kSampleCount)
    , m_lastHolder(Standin::KeyHolderModel::kSampleCount)
{
    for (std::size_t i = 0; i < kNodes; ++i) {
        m_nodes.push_back(std::make_unique<Node>());
        auto &node = *m_nodes.back();
        node.name = fmt::format("10.0.0.{}", i + 1);
        node.drift = 0.02 * m_random.unit();
        node.clock = std::make_unique<OwnershipRun::DriftingClock>(
            m_time, static_cast<std::int64_t>(m_random.below(10'000)) - 5'000, between(1h, 2h), 0s);
        node.loop = EventLoop::create(*node.clock).value();
        startGateway(node);
        startProcess(node);
        m_time.every(kAnnounceInterval + between(0ms, 20ms), [this, &node] { announce(node); });
        m_time.every(200ms + between(0ms, 20ms), [this, &node] { atGateway(node, 0ms, [&node] { node.instance->updateCallGrants(); }); });
    }
    m_time.every(50ms, [this] { tickCoordinator(); });
    m_time.every(400ms, [this] { injectFault(); });
    m_time.every(100ms, [this] { measure(); });
}

GrantWorld::~GrantWorld() = default;

void GrantWorld::run(Duration time)
{
    const auto end = m_time.now() + time;
    while (m_time.now() < end && m_violations.empty()) {
        m_time.runUntil(m_time.now() + 1s);
    }
}

bool GrantWorld::chance(double probability)
{
    return m_random.unit() < probability;
}

Duration GrantWorld::between(Duration least, Duration most)
{
    return least + Duration(static_cast<Duration::rep>(m_random.below(static_cast<std::uint64_t>((most - least).count()) + 1)));
}

TimePoint GrantWorld::now() const
{
    return m_clock.now();
}

void GrantWorld::atGateway(Node &node, Duration delay, std::function<void()> action)
{
    m_time.after(delay, [this, &node, action = std::move(action), life = node.gatewayLife] {
        if (life != node.gatewayLife || !node.gatewayRuns) {
            return;
        }
        if (m_time.now() < node.pausedUntil) {
            atGateway(node, node.pausedUntil - m_time.now(), action);
            return;
        }
        action();
    });
}

void GrantWorld::startGateway(Node &node)
{
    ++node.gatewayLife;
    node.gatewayRuns = true;
    node.instance.reset();
    node.port = std::make_unique<Port>(*this, node);
    node.instance
        = std::make_unique<LocalInstance>(*node.loop, m_logger, *node.port, BackendIdentity{ node.name, kService }, kHeartbeatInterval);
    InstancePolicy policy;
    policy.hasManifest = true;
    policy.keyed = true;
    policy.grantWay = GrantWay::Call;
    node.instance->setPolicy(policy);
}

void GrantWorld::startProcess(Node &node)
{
    ++node.processLife;
    node.processRuns = true;
    node.heartbeats = 0;
    node.process = std::make_unique<Standin::KeyHolderModel>(node.drift);
    sendHeartbeat(node);
}

void GrantWorld::sendHeartbeat(Node &node)
{
    Heartbeat it;
    it.instance = "i-" + node.name; // Another process may start under the same id.
    it.startUnixMs = node.processLife;
    it.sequence = ++node.heartbeats;
    it.service = kService;
    it.address = node.name;
    it.slots = 9;
    atGateway(node, between(0ms, 5ms), [&node, it] { node.instance->handleHeartbeat(it, [](const auto &) {}); });
    m_time.after(kHeartbeatInterval, [this, &node, life = node.processLife] {
        if (node.processRuns && node.processLife == life) {
            sendHeartbeat(node);
        }
    });
}

void GrantWorld::announce(Node &node)
{
    atGateway(node, 0ms, [this, &node] {
        wire::Announce message;
        message.set_sequence(++node.announcements);
        message.set_router(node.name);
        *message.mutable_instance() = node.instance->report();
        node.instance->addReleasedKeys(message);
        m_counts.reported += static_cast<std::uint64_t>(message.freed_size());
        const auto sentAt = node.clock->now();
        const bool lost = m_time.now() < node.cutUntil || chance(0.02);
        if (!lost) {
            m_time.after(between(4ms, 15ms), [this, &node, message, sentAt] { receiveAnnouncement(node, message, sentAt); });
        }
    });
}

void GrantWorld::receiveAnnouncement(Node &node, const wire::Announce &announce, TimePoint sentAt)
{
    if (m_time.now() < m_leaderless) {
        return;
    }
    const auto &instance = announce.instance();
    node.lastAnnounced = m_time.now();
    node.announcedIncarnation = instance.incarnation();
    for (const auto &it : announce.freed()) {
        m_coordinator.onReleased(kService, it);
    }
    if (!instance.ended().empty()) {
        m_coordinator.onTerminated(instance.ended());
    }
    if (instance.incarnation().empty()) {
        return;
    }
    m_coordinator.onIncarnationAnnounced(node.name, instance.incarnation());
    auto lease = m_coordinator.grantLease(kService, instance.incarnation());
    const auto sequence = announce.sequence();
    lease.set_sequence(sequence);
    if (chance(0.02)) {
        return; // The answer is lost.
    }
    atGateway(node, between(4ms, 15ms), [&node, lease, sequence, sentAt] {
        node.instance->onAnnouncementAcknowledged(sequence);
        node.instance->applyLease(lease, sentAt);
    });
}

std::vector<KeyHolder> GrantWorld::holders()
{
    std::vector<KeyHolder> holders;
    for (const auto &it : m_nodes) {
        if (it->announcedIncarnation.empty() || m_time.now() - it->lastAnnounced > kSilentAfter) {
            continue;
        }
        constexpr double kHotRate = 60;
        const std::vector<DemandPoint> demand{ { it->hotKey, kHotRate }, { (it->hotKey + 900) % kKeyCount, kHotRate / 2 } };
        holders.push_back({ it->announcedIncarnation, it->name, kService, 50, demand, it->eligible });
    }
    return holders;
}

void GrantWorld::tickCoordinator()
{
    if (m_time.now() >= m_leaderless) {
        m_coordinator.tick({ kService }, holders());
    }
}

void GrantWorld::propose(const wire::KeyTable &table, const std::function<void(bool)> &done)
{
    m_time.after(between(3ms, 12ms), [this, table, done] {
        wire::FleetCommand command;
        *command.mutable_set_keys() = table;
        const auto index = ++m_index;
        m_state.apply(LogIndex{ index }, command.SerializeAsString());
        const auto found = m_state.tables().find(kService);
        const bool committed = found != m_state.tables().end() && found->second.revision == index;
        m_counts.assignments += committed ? 1 : 0;
        done(committed);
    });
}

void GrantWorld::crash(Node &node)
{
    ++m_counts.crashes;
    node.processRuns = false;
    node.process.reset();
    const auto down = between(300ms, 4s);
    atGateway(node, between(10ms, 200ms), [&node] { node.instance->onConnectionRefused(); });
    atGateway(node, 300ms, [this, &node, life = node.processLife] {
        if (!node.processRuns && node.processLife == life) {
            node.instance->onConnectionRefused();
        }
    });
    m_time.after(down, [this, &node] { startProcess(node); });
}

void GrantWorld::injectFault()
{
    auto &node = *m_nodes[m_random.below(m_nodes.size())];
    node.hotKey = static_cast<std::uint32_t>(m_random.below(kKeyCount));
    switch (m_random.below(12)) {
    case 0:
        if (node.processRuns) {
            crash(node);
        }
        break;
    case 1:
        ++m_counts.gatewayRestarts;
        node.gatewayRuns = false;
        m_time.after(between(50ms, 2s), [this, &node] {
            if (!node.gatewayRuns) {
                startGateway(node);
            }
        });
        break;
    case 2:
        ++m_counts.pauses;
        node.pausedUntil = m_time.now() + between(100ms, 6s);
        break;
    case 3:
        ++m_counts.cuts;
        node.cutUntil = m_time.now() + between(100ms, 8s);
        break;
    case 4:
        ++m_counts.leaderLosses;
        m_leaderless = m_time.now() + between(100ms, 2s);
        m_time.after(m_leaderless - m_time.now(), [this] { m_coordinator.onLeadershipGained(); });
        break;
    case 5:
    case 6:
        node.eligible = !node.eligible;
        break;
    default:
        break;
    }
}

void GrantWorld::checkGrant(const Node &node, const GrantCall &call, TimePoint arrival)
{
    const auto time = now();
    if (arrival + call.holdTime <= time || !m_violations.empty()) {
        return; // It was applied after its end.
    }
    const auto process = fmt::format("{}/{}", node.name, node.processLife);
    constexpr auto kDistance = Standin::KeyHolderModel::kSampleDistance;
    for (std::size_t i = (call.range.from + kDistance - 1) / kDistance; i <= call.range.to / kDistance; ++i) {
        for (const auto &other : m_nodes) {
            if (other.get() != &node && other->processRuns && other->process->usesKey(i, time)) {
                m_violations.push_back(fmt::format("{} ms: key {} is used by {} and granted to {} under token {}",
                                                   m_time.now() / 1ms,
                                                   i * kDistance,
                                                   other->name,
                                                   process,
                                                   call.fencingToken));
                return;
            }
        }
        if (m_lastHolder[i] != process && call.fencingToken <= m_highestToken[i]) {
            m_violations.push_back(fmt::format("{} ms: key {} is granted to {} under token {}, after {} under {}",
                                               m_time.now() / 1ms,
                                               i * kDistance,
                                               process,
                                               call.fencingToken,
                                               m_lastHolder[i],
                                               m_highestToken[i]));
            return;
        }
        m_highestToken[i] = call.fencingToken;
        m_lastHolder[i] = process;
    }
}

void GrantWorld::applyGrant(
    Node &node, int process, const GrantCall &call, TimePoint arrival, const std::function<void(GrantOutcome)> &answer)
{
    if (!node.processRuns || node.processLife != process) {
        return;
    }
    switch (node.process->grant(call.range, call.fencingToken, call.holdTime, arrival)) {
    case Standin::GrantStatus::Ok:
        checkGrant(node, call, arrival);
        answer(GrantOutcome::Accepted);
        break;
    case Standin::GrantStatus::HigherTokenSeen:
        answer(GrantOutcome::HigherTokenSeen);
        break;
    case Standin::GrantStatus::BadRequest:
        answer(GrantOutcome::Rejected);
        break;
    }
}

void GrantWorld::applyRelease(Node &node, int process, const ReleaseCall &call, const std::function<void()> &answer)
{
    if (!node.processRuns || node.processLife != process) {
        return;
    }
    const auto workEnd = node.process->release(call.range, call.fencingToken, now(), between(0ms, 500ms));
    m_time.after(workEnd - now(), answer);
}

void GrantWorld::measure()
{
    ++m_measurements;
    for (std::size_t i = 0; i < Standin::KeyHolderModel::kSampleCount; ++i) {
        const auto users = std::count_if(
            m_nodes.begin(), m_nodes.end(), [this, i](const auto &it) { return it->processRuns && it->process->usesKey(i, now()); });
        m_servedSamples += users > 0 ? 1 : 0;
        if (users > 1 && m_violations.empty()) {
            m_violations.push_back(
                fmt::format("{} ms: key {} is used twice", m_time.now() / 1ms, i * Standin::KeyHolderModel::kSampleDistance));
        }
    }
}

const GrantCounts &GrantWorld::counts() const
{
    return m_counts;
}

const std::vector<std::string> &GrantWorld::violations() const
{
    return m_violations;
}

double GrantWorld::servedShare() const
{
    const auto all = m_measurements * Standin::KeyHolderModel::kSampleCount;
    return all == 0 ? 0 : static_cast<double>(m_servedSamples) / static_cast<double>(all);
}

} // namespace Toucandeck::GrantRun
