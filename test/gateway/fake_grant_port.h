#pragma once

#include "gateway/grant_port.h"

#include <deque>

namespace Toucandeck
{

/// Records calls about keys; the test answers them.
class FakeGrantPort : public GrantPort
{
public:
    struct Grant
    {
        GrantCall call;
        GrantDone done;
    };

    struct Release
    {
        ReleaseCall call;
        ReleaseDone done;
    };

    void onHeartbeat(TimePoint /*arrival*/) override
    {
        ++heartbeats;
    }

    void onProcessEnded() override
    {
        ++endedProcesses;
    }

    void grant(const GrantCall &call, GrantDone done) override
    {
        grants.push_back({ call, std::move(done) });
    }

    void release(const ReleaseCall &call, ReleaseDone done) override
    {
        releases.push_back({ call, std::move(done) });
    }

    Grant takeGrant()
    {
        auto it = std::move(grants.front());
        grants.pop_front();
        return it;
    }

    Release takeRelease()
    {
        auto it = std::move(releases.front());
        releases.pop_front();
        return it;
    }

    std::deque<Grant> grants;
    std::deque<Release> releases;
    int heartbeats = 0;
    int endedProcesses = 0;
};

} // namespace Toucandeck
