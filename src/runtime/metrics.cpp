#include "runtime/metrics.h"

#include <prometheus/text_serializer.h>

namespace Toucandeck
{

Metrics::Metrics()
    : m_registry(std::make_shared<prometheus::Registry>())
{
}

prometheus::Counter &Metrics::counter(const std::string &name, const std::string &help, const Labels &labels)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(*m_registry).Add(labels);
}

prometheus::Gauge &Metrics::gauge(const std::string &name, const std::string &help, const Labels &labels)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(*m_registry).Add(labels);
}

prometheus::Histogram &
Metrics::histogram(const std::string &name, const std::string &help, const std::vector<double> &buckets, const Labels &labels)
{
    return prometheus::BuildHistogram().Name(name).Help(help).Register(*m_registry).Add(labels, buckets);
}

const std::vector<double> &Metrics::latencyBuckets()
{
    static const std::vector<double> buckets{ 0.0005, 0.001, 0.002, 0.004, 0.006, 0.008, 0.012, 0.016,
                                              0.024,  0.05,  0.1,   0.25,  0.5,   1,     2.5,   10 };
    return buckets;
}

std::string Metrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_registry->Collect());
}

} // namespace Toucandeck
