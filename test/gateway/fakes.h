#pragma once

#include "gateway/gate.h"

#include <deque>
#include <map>

namespace Toucandeck
{

/// Runs calls when told to.
class FakeBackend : public BackendPort
{
public:
    void run(std::uint64_t id, const Call &call, CallDone done) override
    {
        m_running[id] = { call, std::move(done) };
        m_order.push_back(call.requestId);
    }

    void cancel(std::uint64_t id) override
    {
        m_running.erase(id);
        ++m_cancelled;
    }

    void answerFirst(int status = 200)
    {
        auto node = m_running.extract(m_running.begin());
        CallResult result;
        result.outcome = wire::ANSWERED;
        result.reached = true;
        result.response.status = status;
        node.mapped().second(std::move(result));
    }

    std::map<std::uint64_t, std::pair<Call, CallDone>> m_running;
    std::vector<std::string> m_order; ///< Ids of the requests, as they were sent.
    int m_cancelled = 0;
};

class FakeKeeper : public GateKeeper
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

/// A call that leaves much time.
inline Call callNamed(const std::string &id, const Clock &clock, std::uint32_t rank = 0)
{
    Call call;
    call.service = "svc";
    call.requestId = id;
    call.deadline = clock.now() + std::chrono::seconds(3);
    call.aim = clock.now() + std::chrono::seconds(1);
    call.rank = rank;
    return call;
}

} // namespace Toucandeck
