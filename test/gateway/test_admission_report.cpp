// Guards against an overload in which the logs do not tell which calls had the slots: lines of single calls are limited in number.
#include "fakes.h"

#include "gateway/admission_report.h"
#include "gateway/events.h"

#include <gmock/gmock.h>

using namespace Toucandeck;
using std::chrono::milliseconds;

namespace
{

class AdmissionReportTest : public testing::Test
{
protected:
    void submit(const std::string &id, CallOrigin origin)
    {
        auto call = callNamed(id, m_clock);
        call.nested = origin == CallOrigin::Nested;
        call.clientRetry = origin == CallOrigin::ClientRetry;
        m_admission.submit(std::move(call), [](const CallResult &) {});
    }

    std::string reportedField(std::size_t line, const std::string &name) const
    {
        for (const auto &it : m_logger.entries().at(line).fields) {
            if (it.name == name) {
                return it.value;
            }
        }
        return {};
    }

    ManualClock m_clock;
    NullLogger m_admissionLogger;
    RecordingLogger m_logger;
    Metrics m_metrics;
    FakeBackendStatus m_backendStatus;
    FakeBackend m_backend;
    UrgencyOrder m_order;
    BackendAdmission m_admission{ m_clock, m_admissionLogger, m_backendStatus, m_backend, m_order };
    AdmissionReport m_report{ m_logger, m_metrics };
};

} // namespace

TEST_F(AdmissionReportTest, TellsHowTheSlotsWereSharedByOrigin)
{
    submit("a", CallOrigin::Client);
    submit("b", CallOrigin::Nested);
    submit("c", CallOrigin::Nested);
    m_clock.advance(milliseconds(30));
    m_backend.answerFirst();
    m_report.write(m_admission);
    ASSERT_EQ(m_logger.count(GatewayEvents::kAdmissionReport), 2);
    EXPECT_EQ(reportedField(0, "origin"), "client");
    EXPECT_EQ(reportedField(0, "slot_ms"), "30");
    EXPECT_EQ(reportedField(1, "origin"), "nested");
    EXPECT_EQ(reportedField(1, "started"), "2");
    EXPECT_EQ(reportedField(1, "running"), "2");
    EXPECT_THAT(m_metrics.text(), testing::HasSubstr("toucandeck_calls_started_total{origin=\"nested\"} 2"));
}

TEST_F(AdmissionReportTest, CountsRefusalsSinceThePreviousReport)
{
    m_backendStatus.m_refusal = wire::INSTANCE_DRAINING;
    submit("a", CallOrigin::ClientRetry);
    m_report.write(m_admission);
    submit("b", CallOrigin::ClientRetry);
    submit("c", CallOrigin::ClientRetry);
    m_report.write(m_admission);
    ASSERT_EQ(m_logger.count(GatewayEvents::kAdmissionReport), 2);
    EXPECT_EQ(reportedField(0, "refused"), "1");
    EXPECT_EQ(reportedField(1, "refused"), "2");
}

TEST_F(AdmissionReportTest, IsSilentWithoutCalls)
{
    m_report.write(m_admission);
    EXPECT_EQ(m_logger.count(GatewayEvents::kAdmissionReport), 0);
}
