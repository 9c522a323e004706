#pragma once

#include "gateway/call.h"

#include "common/clock.h"
#include "common/random_source.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Toucandeck
{

/// Known load of a gateway's backend server.
struct GatewayLoad
{
    wire::LoadReport report; ///< From the latest answer.
    TimePoint reportedAt;
    std::uint32_t inFlight = 0; ///< Calls from this gateway without an answer.
    std::uint32_t sentSinceReport = 0; ///< Calls from this gateway since the report.
    std::vector<TimePoint> sentAt; ///< Times of the latest of these calls.
    TimePoint suspectUntil; ///< End of the penalty for a failed connection or a leaving gateway.
    int failures = 0; ///< Consecutive connection failures.
    std::string service; ///< Of the backend server.
    double usualUtilisation = 0; ///< Mean of running and waiting calls per slot over some seconds.
    Duration transitTime{}; ///< Mean part of the recent round trips that was spent on the links.
    TimePoint transitMeasuredAt;
};

/// Mean over the backend servers of a service, for those that are not known themselves.
struct ServiceLoad
{
    double utilisation = 0; ///< Running and waiting calls per slot.
    Duration serviceTime{}; ///< Zero if unknown.
    std::uint32_t reports = 0; ///< Number of reports in the mean utilisation, up to the number that it represents.
};

/// Load of the gateways' backend servers, from the reports in answers and from the calls that this gateway sent.
class GatewayLoads
{
public:
    explicit GatewayLoads(const Clock &clock);

    void onCallSent(const std::string &ip);
    void onCallAnswered(const std::string &ip, const CallResult &result);
    /// Handles a report that another gateway passed on.
    void onPeerReport(const std::string &service, const PeerReport &peer);
    /// Removes what is known of the gateways for which @p isGone is true, unless a call is pending there.
    void forgetIf(const std::function<bool(const std::string &ip)> &isGone);
    /// Forgets the means of the services for which @p isKnown is false.
    void retainServices(const std::function<bool(const std::string &service)> &isKnown);
    std::size_t serviceCount() const;
    /// Records how long a call and its reply were on the links.
    void recordTransit(const std::string &ip, Duration transitTime);
    /// Sets the service of the backend server beside a gateway, to which its reports contribute.
    void setService(const std::string &ip, const std::string &service);
    /// Handles a gateway that sends nothing although a call there is pending.
    void onSilence(const std::string &ip);
    /// Handles a call that was cancelled before its answer.
    void onCallCancelled(const std::string &ip);

    const GatewayLoad &at(const std::string &ip) const;
    /// True if the connection to the gateway failed or the gateway refused a call as it was leaving, recently.
    bool isSuspect(const std::string &ip) const;
    bool isSuspect(const GatewayLoad &load) const;
    /// True if a recent report says that the gateway has no backend server, although it may still be listed with one.
    bool hasNoBackend(const GatewayLoad &load) const;
    /// True if the report is recent enough to be used.
    bool isFresh(const GatewayLoad &load) const;

    /// Age of the report; Duration::max() without one.
    Duration age(const GatewayLoad &load) const;
    /// Recent transit time, which is forgotten over some seconds without calls.
    Duration transitTime(const GatewayLoad &load) const;
    /// Longest recent transit time over all gateways.
    Duration longestTransitTime() const;
    const ServiceLoad &serviceLoad(const std::string &service) const;
    /// Usual utilisation of a backend server: its own mean, which tends to the mean of its service as the report becomes old. Otherwise a
    /// backend server that was busy at its last report would be avoided for ever.
    double usualUtilisation(const GatewayLoad &load, const ServiceLoad &service) const;
    /// Up to @p n recent reports of a service for a reply to the gateway @p receiver, without its own. Of a random sample the newest are
    /// taken, with the fields of the load only, as far as they fit into the bytes that a reply may spend on them.
    std::vector<PeerReport>
    recentReports(const std::string &service, const std::string &receiver, std::size_t n, RandomSource &random) const;

private:
    /// Counts one failure, although each call that was pending on the connection reports it.
    void onConnectionLost(GatewayLoad &load) const;
    void markUnreachable(GatewayLoad &load) const;
    void setReport(GatewayLoad &load, const wire::LoadReport &report, TimePoint at);
    void updateMeans(GatewayLoad &load, const wire::LoadReport &report, TimePoint at);

    const Clock &m_clock;
    std::map<std::string, GatewayLoad> m_loads;
    std::map<std::string, ServiceLoad> m_serviceLoads;
};

} // namespace Toucandeck
