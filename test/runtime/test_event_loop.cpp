// Guards against lost or repeated callbacks and against watches that fire after their owner was destroyed.
#include "loopback.h"

#include <csignal>

using namespace Toucandeck;
using namespace std::chrono_literals;

using EventLoopTest = LoopFixture;

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
