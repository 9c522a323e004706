#pragma once

#include "gateway/backend_admission.h"

#include <deque>
#include <map>

namespace Toucandeck
{

/// Records calls; answerFirst() completes the oldest one.
class FakeBackend : public BackendPort
{
public:
    void run(std::uint64_t id, const Call &call, CallDone done) override
    {
        m_running[id] = { call, std::move(done) };
        m_sentRequests.push_back(call.requestId);
    }

    void cancel(std::uint64_t id) override
    {
        m_running.erase(id);
        ++m_cancelledCalls;
    }

    void answerFirst(int status = 200)
    {
        auto node = m_running.extract(m_running.begin());
        CallResult result;
        result.outcome = wire::ANSWERED;
        result.reachedBackend = true;
        result.response.status = status;
        node.mapped().second(std::move(result));
    }

    std::map<std::uint64_t, std::pair<Call, CallDone>> m_running;
    std::vector<std::string> m_sentRequests; ///< Ids of the requests, in the order in which they were sent.
    int m_cancelledCalls = 0;
};

class FakeBackendStatus : public BackendStatus
{
public:
    wire::CallReason refusal(const Call & /*call*/) const override
    {
        return m_refusal;
    }

    std::uint32_t slots() const override
    {
        return m_slots;
    }

    bool isCold() const override
    {
        return m_cold;
    }

    double coldRequestsPerSecond() const override
    {
        return 17;
    }

    std::string instance() const override
    {
        return "i-1";
    }

    wire::CallReason m_refusal = wire::NONE;
    std::uint32_t m_slots = 2;
    bool m_cold = false;
};

/// A call with a deadline and a latency target that leave ample time.
inline Call callNamed(const std::string &id, const Clock &clock, std::uint32_t rank = 0)
{
    Call call;
    call.service = "svc";
    call.requestId = id;
    call.deadline = clock.now() + std::chrono::seconds(3);
    call.targetTime = clock.now() + std::chrono::seconds(1);
    call.rank = rank;
    return call;
}

} // namespace Toucandeck
