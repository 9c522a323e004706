#include "ownership/router.h"

#include "common/key_hash.h"
#include "ownership/lease.h"
#include "state/view.h"

#include <algorithm>

namespace Toucandeck::OwnershipRun
{

namespace
{

constexpr std::uint64_t kLongestDrainMs = 60;

} // namespace

Router::Router(VirtualTime &time,
               RandomSource &random,
               Network &network,
               Checker &checker,
               const wire::RouterSession &description,
               std::vector<std::string> controllers)
    : Process(time, random, description.message_address())
    , m_time(time)
    , m_random(random)
    , m_network(network)
    , m_checker(checker)
    , m_description(description)
    , m_service(description.service())
    , m_domain(description.failure_domain())
    , m_controllers(std::move(controllers))
{
    time.every(kOwnershipTick, [this] {
        if (isRunning()) {
            tick();
        }
    });
}

void Router::setKeys(std::vector<KeyHash> keys)
{
    m_keys = std::move(keys);
}

void Router::setResumedCallback(std::function<void(Router &)> callback)
{
    m_resumedCallback = std::move(callback);
}

void Router::start()
{
    ++m_incarnation;
    m_renewalsSent.clear();
    m_agent = std::make_unique<RouterAgent>(AgentParts{ clock(), m_random, *this, *this, m_logger }, m_description);
    setUp(true);
}

void Router::kill()
{
    setUp(false);
    ++m_incarnation;
}

void Router::closeGracefully()
{
    m_agent->close();
}

RouterAgent &Router::agent()
{
    return *m_agent;
}

void Router::tick()
{
    m_agent->tick();
    if (m_agent->isClosed()) {
        kill();
    }
}

bool Router::tryAdmit(KeyHash key)
{
    const auto admission = m_agent->admit(m_service, key);
    if (admission) {
        m_checker.admitted(m_service, key, m_agent->session(), *admission);
        m_checker.worked(m_domain);
    }
    return admission.has_value();
}

void Router::tryUnkeyed()
{
    if (m_agent->mayServeUnkeyed()) {
        m_checker.worked(m_domain);
    }
}

const std::string &Router::service() const
{
    return m_service;
}

const std::string &Router::domain() const
{
    return m_domain;
}

std::uint64_t Router::leasesLost() const
{
    return m_leasesLost;
}

void Router::receive(const wire::Envelope &envelope)
{
    if (envelope.has_renewed() && envelope.renewed().extended() && SessionId{ envelope.renewed().session() } == m_agent->session()) {
        const auto it = m_renewalsSent.find(envelope.renewed().sequence());
        if (it != m_renewalsSent.end()) {
            m_checker.leaseExtended(m_agent->session(), it->second + kLeaseTtl);
        }
    }
    m_agent->receive(envelope);
}

void Router::resumed()
{
    if (m_resumedCallback) {
        m_resumedCallback(*this);
    }
}

void Router::note(const wire::Envelope &envelope)
{
    if (envelope.has_renew()) {
        m_renewalsSent[envelope.renew().sequence()] = m_time.now();
        if (m_renewalsSent.size() > 100) {
            m_renewalsSent.erase(m_renewalsSent.begin());
        }
    }
    if (envelope.has_close()) {
        m_checker.closed(SessionId{ envelope.close().session() });
    }
}

void Router::sendTo(std::size_t controller, const wire::Envelope &envelope)
{
    note(envelope);
    m_network.send(*this, m_controllers[controller], envelope);
}

void Router::sendToAll(const wire::Envelope &envelope)
{
    note(envelope);
    for (const auto &it : m_controllers) {
        m_network.send(*this, it, envelope);
    }
}

std::optional<std::size_t> Router::indexOf(const std::string &address) const
{
    const auto it = std::find(m_controllers.begin(), m_controllers.end(), address);
    return it == m_controllers.end() ? std::nullopt : std::optional<std::size_t>(it - m_controllers.begin());
}

void Router::onLeaseLost()
{
    ++m_leasesLost;
}

void Router::beginRelease(const OwnedItems &items, SessionId /*receiver*/)
{
    const auto drain = std::chrono::milliseconds(m_random.below(kLongestDrainMs));
    m_time.after(drain, [this, items, incarnation = m_incarnation] {
        run([this, items, incarnation] {
            if (incarnation == m_incarnation) {
                finishRelease(items);
            }
        });
    });
}

void Router::cancelRelease(const OwnedItems & /*items*/)
{
}

void Router::finishRelease(const OwnedItems &items)
{
    const auto partitions = static_cast<std::uint32_t>(m_agent->view().assignments(items.service).size());
    for (const auto key : m_keys) {
        const auto owner = m_agent->view().ownerOf(items.service, key);
        // A release counts only while the view still shows this router as the owner that hands over.
        if (!owner || owner->session != m_agent->session() || !owner->isMoving()) {
            continue;
        }
        const bool listed = owner->hotKey
            ? std::find(items.hotKeys.begin(), items.hotKeys.end(), key) != items.hotKeys.end()
            : std::find(items.partitions.begin(), items.partitions.end(), partitionOf(key, partitions)) != items.partitions.end();
        if (listed) {
            m_checker.released(items.service, key, m_agent->session());
        }
    }
    m_agent->completeRelease(items);
}

} // namespace Toucandeck::OwnershipRun
