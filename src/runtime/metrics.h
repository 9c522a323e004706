#pragma once

#include <map>
#include <memory>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>
#include <vector>

namespace Toucandeck
{

/// Metrics of one process; names start with "toucandeck_". References stay valid as long as this object.
class Metrics
{
public:
    using Labels = std::map<std::string, std::string>;

    Metrics();

    prometheus::Counter &counter(const std::string &name, const std::string &help, const Labels &labels = {});
    prometheus::Gauge &gauge(const std::string &name, const std::string &help, const Labels &labels = {});
    /// @param buckets upper bounds in ascending order.
    prometheus::Histogram &
    histogram(const std::string &name, const std::string &help, const std::vector<double> &buckets, const Labels &labels = {});

    /// Bucket bounds in seconds from 0.5 ms to 10 s, for response times.
    static const std::vector<double> &latencyBuckets();

    /// Prometheus text format 0.0.4, for /metrics.
    std::string text() const;

private:
    std::shared_ptr<prometheus::Registry> m_registry;
};

} // namespace Toucandeck
