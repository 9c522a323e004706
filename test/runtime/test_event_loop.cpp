// Guards against lost or repeated callbacks and against watches that fire after their owner was destroyed.
#include "loopback.h"

#include <csignal>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

using namespace Toucandeck;
using namespace std::chrono_literals;

using EventLoopTest = LoopFixture;

namespace
{

/// Streams that have data in every iteration, until a given number of callbacks.
class BusyStreams
{
public:
    static constexpr int kStreams = 100; ///< More than libevent handles in one iteration if their callbacks are deferred.

    BusyStreams(EventLoop &loop, int callbacks)
        : m_callbacksLeft(callbacks)
    {
        for (int i = 0; i < kStreams; ++i) {
            bufferevent *pair[2] = {};
            bufferevent_pair_new(loop.base(), BEV_OPT_DEFER_CALLBACKS, pair);
            for (auto *it : pair) {
                bufferevent_setcb(it, &BusyStreams::onRead, nullptr, nullptr, this);
                bufferevent_enable(it, EV_READ | EV_WRITE);
                m_streams.push_back(it);
            }
            bufferevent_write(pair[0], "x", 1);
        }
    }

    BusyStreams(const BusyStreams &) = delete;
    BusyStreams &operator=(const BusyStreams &) = delete;

    ~BusyStreams()
    {
        for (auto *it : m_streams) {
            bufferevent_free(it);
        }
    }

    int callbacksLeft() const
    {
        return m_callbacksLeft;
    }

private:
    static void onRead(bufferevent *stream, void *arg)
    {
        auto &self = *static_cast<BusyStreams *>(arg);
        auto *in = bufferevent_get_input(stream);
        evbuffer_drain(in, evbuffer_get_length(in));
        if (self.m_callbacksLeft > 0) {
            --self.m_callbacksLeft;
            bufferevent_write(stream, "x", 1);
        }
    }

    int m_callbacksLeft;
    std::vector<bufferevent *> m_streams;
};

} // namespace

TEST_F(EventLoopTest, OneShotTimerFiresOnceAndRepeatingTimerAgain)
{
    int once = 0;
    int often = 0;
    const auto single = loop->after(1ms, [&] { ++once; });
    const auto repeating = loop->every(1ms, [&] { ++often; });
    ASSERT_TRUE(runUntil([&] { return often >= 5; }));
    EXPECT_EQ(once, 1);
    EXPECT_FALSE(single.isActive());
    EXPECT_TRUE(repeating.isActive());
}

TEST_F(EventLoopTest, TimerNeverFiresEarlyEvenIfSetByALongHandler)
{
    bool fired = false;
    EventLoop::Watch timer;
    const auto handler = loop->after(1ms, [&] {
        const auto busyUntil = clock.now() + 15ms;
        while (clock.now() < busyUntil) { }
        const auto start = clock.now();
        timer = loop->after(20ms, [&, start] {
            fired = true;
            EXPECT_GE(clock.now() - start, 20ms);
        });
    });
    ASSERT_TRUE(runUntil([&] { return fired; }));
}

TEST_F(EventLoopTest, DestroyedWatchNeverFiresAndMayDestroyItself)
{
    int n = 0;
    EventLoop::Watch self;
    {
        const auto gone = loop->after(0ms, [&] { FAIL() << "fired after its owner was destroyed"; });
    }
    self = loop->every(1ms, [&] {
        ++n;
        self.cancel();
    });
    bool later = false;
    const auto end = loop->after(10ms, [&] { later = true; });
    ASSERT_TRUE(runUntil([&] { return later; }));
    EXPECT_EQ(n, 1);
}

TEST_F(EventLoopTest, IterationEndComesAfterAllHandlersOfTheIteration)
{
    std::string order;
    const auto hook = loop->atIterationEnd([&] { order += order.empty() || order.back() == 'h' ? "" : "h"; });
    loop->runSoon([&] {
        order += 'a';
        loop->runSoon([&] { order += 'c'; });
    });
    loop->runSoon([&] { order += 'b'; });
    ASSERT_TRUE(runUntil([&] { return order.size() >= 5; }));
    EXPECT_EQ(order, "abhch");
}

// Guards against closed connections that keep their memory and entries that are not synced while many connections receive data: the
// event loop never returned from libevent.
TEST_F(EventLoopTest, BusyStreamsDelayNeitherRunSoonNorTheIterationEnd)
{
    constexpr int kCallbacks = 200'000;
    BusyStreams streams(*loop, kCallbacks);
    int leftAtSoon = 0;
    int leftAtEnd = 0;
    const auto hook = loop->atIterationEnd([&] { leftAtEnd = std::max(leftAtEnd, streams.callbacksLeft()); });
    const auto timer = loop->after(1ms, [&] { loop->runSoon([&] { leftAtSoon = streams.callbacksLeft(); }); });
    ASSERT_TRUE(runUntil([&] { return streams.callbacksLeft() == 0; }));
    EXPECT_GT(leftAtSoon, 0);
    EXPECT_GT(leftAtEnd, 0);
}

TEST_F(EventLoopTest, SignalReachesItsHandler)
{
    int n = 0;
    const auto watch = loop->onSignal(SIGHUP, [&] { ++n; });
    raise(SIGHUP);
    EXPECT_TRUE(runUntil([&] { return n == 1; }));
}

TEST_F(EventLoopTest, RunReturnsAfterStopAndCanRunAgain)
{
    for (int i = 0; i < 2; ++i) {
        const auto timer = loop->after(0ms, [&] { loop->stop(); });
        loop->run();
    }
}
