#pragma once

#include "runtime/event_loop.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace Toucandeck
{

/// Event loop on the system clock. The time limit only aborts a test that hangs; no test depends on execution speed.
struct LoopFixture : testing::Test
{
    static constexpr Duration kLimit = std::chrono::seconds(20);

    void SetUp() override
    {
        loop = handleError([this] { return EventLoop::create(clock); },
                           [](const Error & /*error*/) { return std::unique_ptr<EventLoop>(); });
        ASSERT_TRUE(loop);
    }

    bool runUntil(const std::function<bool()> &done)
    {
        return loop->runUntil(done, kLimit);
    }

    SystemClock clock;
    std::unique_ptr<EventLoop> loop;
};

/// Value of a result that must not fail.
template<class T>
T valueOf(Result<T> result)
{
    EXPECT_TRUE(result);
    return std::move(result.value());
}

} // namespace Toucandeck
