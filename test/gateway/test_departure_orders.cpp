// Guards against a backend server that is used after its departure was confirmed, and against a successor at its address that is not used,
// in all orders of notices, heartbeats, restarts of the gateway and the start of the successor up to a length.
#include "gateway/fake_grant_port.h"
#include "gateway/local_instance.h"

#include <gtest/gtest.h>

using namespace Toucandeck;
using std::chrono::milliseconds;

namespace
{

constexpr std::size_t kMaxLength = 6;

enum class Step {
    Notice, ///< The first process gives notice; the controllers record it.
    Heartbeat, ///< Of the first process.
    LateHeartbeat, ///< The first one that the first process sent.
    Restart, ///< Of the gateway, which knows only what the controllers have recorded.
    Succession, ///< The first process ends, another one starts.
    SuccessorHeartbeat,
};

constexpr Step kSteps[] = { Step::Notice, Step::Heartbeat, Step::LateHeartbeat, Step::Restart, Step::Succession, Step::SuccessorHeartbeat };

using Steps = std::vector<Step>;

struct Variant
{
    std::string successorId;
    bool namesStart; ///< The notice names the start of its process.
};

/// What a gateway should report.
struct Model
{
    bool departed = false;
    bool succeeded = false;
    std::string process; ///< "first", "successor" or empty, if the gateway knows none.

    bool allows(Step step) const
    {
        const bool ofFirst = step == Step::Notice || step == Step::Heartbeat || step == Step::Succession;
        return ofFirst ? !succeeded : step != Step::SuccessorHeartbeat || succeeded;
    }

    void apply(Step step)
    {
        switch (step) {
        case Step::Notice:
            departed = true;
            break;
        case Step::Heartbeat:
        case Step::LateHeartbeat:
            process = process.empty() ? "first" : process;
            break;
        case Step::Restart:
            process.clear();
            break;
        case Step::Succession:
            succeeded = true;
            break;
        case Step::SuccessorHeartbeat:
            process = "successor";
            break;
        }
    }

    wire::InstanceState state() const
    {
        return process.empty() ? wire::ABSENT : process == "first" && departed ? wire::DRAINING : wire::READY;
    }
};

/// A VM with its gateway; plays one order of steps.
class Vm
{
public:
    explicit Vm(const Variant &variant)
        : m_variant(variant)
        , m_firstStart(now())
    {
        m_clock.advance(milliseconds(1000));
        restart();
    }

    void play(Step step)
    {
        m_clock.advance(milliseconds(10));
        switch (step) {
        case Step::Notice:
            m_gateway->deregister({ "i", m_variant.namesStart ? std::optional(m_firstStart) : std::nullopt, {}, {} },
                                  [this](bool isRecorded) { m_confirmed = isRecorded; });
            record();
            break;
        case Step::Heartbeat:
            send("i", m_firstStart, ++m_firstSequence);
            break;
        case Step::LateHeartbeat:
            send("i", m_firstStart, 1);
            break;
        case Step::Restart:
            restart();
            break;
        case Step::Succession:
            m_successorStart = now();
            break;
        case Step::SuccessorHeartbeat:
            send(m_variant.successorId, m_successorStart, ++m_successorSequence);
            break;
        }
    }

    wire::InstanceState state() const
    {
        return m_gateway->report().state();
    }

    bool m_confirmed = false; ///< The latest notice.

private:
    std::int64_t now() const
    {
        return std::chrono::duration_cast<milliseconds>(m_clock.wallNow().time_since_epoch()).count();
    }

    void send(const std::string &instance, std::int64_t start, std::uint64_t sequence)
    {
        Heartbeat it;
        it.instance = instance;
        it.startUnixMs = start;
        it.sequence = sequence;
        it.service = "svc";
        it.address = "10.0.0.1:80";
        it.slots = 9;
        m_gateway->handleHeartbeat(it, [](const auto &) {});
    }

    void record()
    {
        const auto report = m_gateway->report();
        m_recorded.Clear();
        *m_recorded.mutable_incarnations() = report.leaving_processes();
        m_gateway->applyDepartures(m_recorded);
    }

    void restart()
    {
        m_gateway
            = std::make_unique<LocalInstance>(*m_loop, m_logger, m_grantPort, BackendIdentity{ "10.0.0.1:80", "svc" }, milliseconds(870));
        m_gateway->applyDepartures(m_recorded);
    }

    Variant m_variant;
    ManualClock m_clock;
    NullLogger m_logger;
    std::unique_ptr<EventLoop> m_loop = EventLoop::create(m_clock).value();
    FakeGrantPort m_grantPort;
    wire::RecordedDepartures m_recorded;
    std::unique_ptr<LocalInstance> m_gateway;
    std::int64_t m_firstStart;
    std::int64_t m_successorStart = 0;
    std::uint64_t m_firstSequence = 1;
    std::uint64_t m_successorSequence = 0;
};

std::string text(const Steps &steps)
{
    std::string out;
    for (const auto it : steps) {
        out += "NHLRSs"[static_cast<std::size_t>(it)];
    }
    return out;
}

void play(const Variant &variant, const Steps &steps)
{
    Vm vm(variant);
    Model model;
    for (const auto it : steps) {
        vm.play(it);
        model.apply(it);
        ASSERT_EQ(vm.state(), model.state()) << text(steps) << ' ' << variant.successorId << variant.namesStart;
        ASSERT_TRUE(it != Step::Notice || vm.m_confirmed) << text(steps);
    }
}

/// Plays all orders that begin with these steps and that the model allows. Returns their number.
int playAll(const Variant &variant, const Steps &begin, const Model &model)
{
    if (testing::Test::HasFatalFailure()) {
        return 0;
    }
    if (begin.size() == kMaxLength) {
        play(variant, begin);
        return 1;
    }
    int played = 0;
    for (const auto it : kSteps) {
        if (model.allows(it)) {
            auto steps = begin;
            steps.push_back(it);
            auto next = model;
            next.apply(it);
            played += playAll(variant, steps, next);
        }
    }
    return played;
}

} // namespace

TEST(DepartureOrders, ALeavingProcessIsNotUsedAndItsSuccessorIs)
{
    for (const bool namesStart : { false, true }) {
        for (const std::string successor : { "i", "j" }) {
            EXPECT_GT(playAll({ successor, namesStart }, {}, {}), 1000);
        }
    }
}
