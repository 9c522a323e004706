#pragma once

#include "ownership/checker.h"
#include "ownership/network.h"
#include "ownership/router_agent.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Toucandeck::OwnershipRun
{

/// A simulated router: an agent with a listener that drains and releases on request.
class Router : public Process, private ControllerLink, private AgentListener
{
public:
    Router(VirtualTime &time,
           RandomSource &random,
           Network &network,
           Checker &checker,
           const wire::RouterSession &description,
           std::vector<std::string> controllers);

    /// Keys whose release is reported to the checker.
    void setKeys(std::vector<KeyHash> keys);
    /// Called first after a pause.
    void setResumedCallback(std::function<void(Router &)> callback);

    void start();
    void kill();
    void closeGracefully();
    RouterAgent &agent();

    /// Requests an admission from the agent as a dispatcher does, and reports it to the checker.
    bool tryAdmit(KeyHash key);
    void tryUnkeyed();

    const std::string &service() const;
    const std::string &domain() const;
    std::uint64_t leasesLost() const;

    void receive(const wire::Envelope &envelope) override;

private:
    void resumed() override;
    void sendTo(std::size_t controller, const wire::Envelope &envelope) override;
    void sendToAll(const wire::Envelope &envelope) override;
    std::optional<std::size_t> indexOf(const std::string &address) const override;
    void onLeaseLost() override;
    void beginRelease(const OwnedItems &items, SessionId receiver) override;
    void cancelRelease(const OwnedItems &items) override;
    void tick();
    void note(const wire::Envelope &envelope);
    void finishRelease(const OwnedItems &items);

    VirtualTime &m_time;
    RandomSource &m_random;
    Network &m_network;
    Checker &m_checker;
    NullLogger m_logger;
    wire::RouterSession m_description;
    std::string m_service;
    std::string m_domain;
    std::vector<std::string> m_controllers;
    std::vector<KeyHash> m_keys;
    std::function<void(Router &)> m_resumedCallback;
    std::unique_ptr<RouterAgent> m_agent;
    std::map<std::uint64_t, Duration> m_renewalsSent;
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_leasesLost = 0;
};

} // namespace Toucandeck::OwnershipRun
