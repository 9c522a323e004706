#pragma once

#include "gateway/balancing.h"
#include "gateway/fleet_view.h"
#include "gateway/gateway_chooser.h"
#include "gateway/gateway_loads.h"

#include <optional>
#include <string>
#include <vector>

namespace Toucandeck
{

/// Gateway selected for a call.
struct Selection
{
    std::string gateway; ///< IP address.
    Duration maxWait{}; ///< Longest useful queueing delay there; zero is no limit.
    std::optional<Duration> reportAge; ///< Age of the load report that was used; none without a report.
};

/// Selects the gateway for a call that any backend server of a service can run.
class GatewaySelector
{
public:
    /// @p loads, @p chooser and @p random must outlive this object.
    GatewaySelector(const GatewayLoads &loads,
                    const GatewayChooser &chooser,
                    RandomSource &random,
                    std::string ownDomain,
                    Balancing balancing = Balancing::LeastTime);

    Balancing balancing() const;

    /// Selects among the eligible gateways; none if there are none.
    /// @param bodyBytes size of the request's body.
    /// @param mayRedirect whether the selected gateway may refuse the call because of its queue.
    std::optional<Selection> select(const std::vector<const ListedGateway *> &eligible, std::size_t bodyBytes, bool mayRedirect) const;

private:
    using Candidates = std::vector<GatewayCandidate>;

    /// Candidate with the load in its latest report, for LeastTime.
    GatewayCandidate makeCandidate(const ListedGateway &gateway) const;
    /// Candidate with the load that is expected now, for Capacity.
    GatewayCandidate estimateCandidate(const ListedGateway &gateway, const ServiceLoad &service) const;
    Candidates sampleCandidates(const std::vector<const ListedGateway *> &eligible) const;
    Candidates sampleByCapacity(const std::vector<const ListedGateway *> &eligible) const;

    const GatewayLoads &m_loads;
    const GatewayChooser &m_chooser;
    RandomSource &m_random;
    std::string m_ownDomain;
    Balancing m_balancing;
};

} // namespace Toucandeck
