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

/// Answers with prepared answers in turn, by a clock that only pauses move.
class FakeTransport : public OperatorTransport
{
public:
    Result<OperatorAnswer>
    exchange(const std::string &controller, const OperatorRequest &request, const std::string &token, Duration) override
    {
        asked.push_back(controller);
        requests.push_back(request);
        lastToken = token;
        const auto next = answers.empty() ? std::nullopt : answers.front();
        if (!answers.empty()) {
            answers.pop_front();
        }
        if (!next) {
            return fail(ErrorCode::Unavailable, "connection lost", lostVerdict);
        }
        return *next;
    }

    void pause(Duration length) override
    {
        clock.advance(length);
    }

    ManualClock clock;
    std::deque<std::optional<OperatorAnswer>> answers; ///< Nothing: no answer.
    Verdict lostVerdict = Verdict::MayHaveRun;
    std::vector<std::string> asked;
    std::vector<OperatorRequest> requests;
    std::string lastToken;
};

} // namespace Toucandeck::testing
