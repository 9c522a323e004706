#pragma once

#include "cli/operator_transport.h"
#include "common/clock.h"

#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Toucandeck::testing
{

/// Returns prepared answers in order. Only pause() advances its clock.
class FakeTransport : public OperatorTransport
{
public:
    Result<OperatorAnswer>
    exchange(const std::string &controller, const OperatorRequest &request, const std::string &token, Duration) override
    {
        contactedControllers.push_back(controller);
        requests.push_back(request);
        lastToken = token;
        const auto next = answers.empty() ? std::nullopt : answers.front();
        if (!answers.empty()) {
            answers.pop_front();
        }
        if (!next) {
            return fail(ErrorCode::Unavailable, "connection lost", failureVerdict);
        }
        return *next;
    }

    void pause(Duration length) override
    {
        clock.advance(length);
    }

    ManualClock clock;
    std::deque<std::optional<OperatorAnswer>> answers; ///< nullopt: the exchange fails without an answer.
    Verdict failureVerdict = Verdict::MayHaveRun;
    std::vector<std::string> contactedControllers;
    std::vector<OperatorRequest> requests;
    std::string lastToken;
};

} // namespace Toucandeck::testing
