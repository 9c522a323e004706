// Guards against a failed component that is not restarted, stops other components, or is restarted without limit.
#include "loopback.h"

#include "runtime/metrics.h"
#include "runtime/supervisor.h"

using namespace Toucandeck;
using namespace std::chrono_literals;

namespace
{

struct ComponentState
{
    std::string log;
    int failStarts = 0;
    Component::FailureHandler onFailure;
};

class FakeComponent : public Component
{
public:
    FakeComponent(std::string name, ComponentState &state)
        : m_name(std::move(name))
        , m_state(state)
    {
    }

    std::string name() const override
    {
        return m_name;
    }

    Result<void> start(FailureHandler onFailure) override
    {
        m_state.log += "+" + m_name;
        m_state.onFailure = std::move(onFailure);
        if (m_state.failStarts > 0) {
            --m_state.failStarts;
            return fail(ErrorCode::Io, "cannot start");
        }
        return {};
    }

    void stop(std::function<void()> done) override
    {
        m_state.log += "-" + m_name;
        done();
    }

    void abort() override
    {
        m_state.log += "!" + m_name;
    }

private:
    std::string m_name;
    ComponentState &m_state;
};

struct SupervisorTest : LoopFixture
{
    RestartPolicy policy{ 1ms, 4ms, 3, 60s };
    RecordingLogger logger;
    ComponentState a;
    ComponentState b;
};

} // namespace

TEST_F(SupervisorTest, RestartsOnlyTheFailedComponent)
{
    Supervisor root("root", *loop, policy, logger);
    root.add(std::make_unique<FakeComponent>("a", a));
    root.add(std::make_unique<FakeComponent>("b", b));
    ASSERT_TRUE(root.start([](const std::string &reason) { FAIL() << reason; }));
    const auto stale = a.onFailure;
    a.onFailure("broken");
    ASSERT_TRUE(runUntil([&] { return root.restarts() == 1; }));
    EXPECT_EQ(a.log, "+a!a+a");
    EXPECT_EQ(b.log, "+b");
    stale("reported by the former incarnation");
    bool later = false;
    const auto timer = loop->after(10ms, [&] { later = true; });
    ASSERT_TRUE(runUntil([&] { return later; }));
    EXPECT_EQ(root.restarts(), 1);
    bool stopped = false;
    root.stop([&] { stopped = true; });
    EXPECT_TRUE(stopped);
    EXPECT_EQ(a.log, "+a!a+a-a");
}

TEST_F(SupervisorTest, FailedStartIsRetried)
{
    a.failStarts = 2;
    Supervisor root("root", *loop, policy, logger);
    root.add(std::make_unique<FakeComponent>("a", a));
    ASSERT_TRUE(root.start([](const std::string &reason) { FAIL() << reason; }));
    ASSERT_TRUE(runUntil([&] { return root.restarts() == 2 && root.allRunning(); }));
    EXPECT_EQ(a.log, "+a!a+a!a+a");
}

TEST_F(SupervisorTest, TooManyFailuresEscalateToTheParentThenToTheRoot)
{
    a.failStarts = 1000;
    auto inner = std::make_unique<Supervisor>("inner", *loop, policy, logger);
    inner->add(std::make_unique<FakeComponent>("a", a));
    Supervisor root("root", *loop, policy, logger);
    root.add(std::move(inner));
    root.add(std::make_unique<FakeComponent>("b", b));
    std::string escalatedReason;
    ASSERT_TRUE(root.start([&](const std::string &reason) { escalatedReason = reason; }));
    ASSERT_TRUE(runUntil([&] { return !escalatedReason.empty(); }));
    EXPECT_EQ(escalatedReason, "inner: a: cannot start");
    // 4 failures in each of the 4 incarnations of the inner supervisor.
    EXPECT_EQ(1000 - a.failStarts, 16);
    EXPECT_EQ(b.log, "+b");
}

TEST(Metrics, ServesTextFormat)
{
    Metrics metrics;
    metrics.counter("toucandeck_requests_total", "Requests.", { { "verdict", "ran" } }).Increment();
    metrics.counter("toucandeck_requests_total", "Requests.", { { "verdict", "ran" } }).Increment();
    EXPECT_NE(metrics.text().find("toucandeck_requests_total{verdict=\"ran\"} 2"), std::string::npos) << metrics.text();
}
