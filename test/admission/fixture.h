#pragma once

#include "Toucandeck/Admission"

#include <gtest/gtest.h>

namespace Toucandeck::Testing
{

using namespace std::chrono_literals;

/// Admission controller of one backend server with a manual clock.
struct AdmissionFixture
{
    explicit AdmissionFixture(AdmissionOptions options = {}, bool ramp = false)
        : controller(options, std::make_unique<FixedLimit>(), makeRamp(ramp), clock, random, logger)
    {
    }

    std::unique_ptr<StartRamp> makeRamp(bool ramp) const
    {
        return ramp ? std::unique_ptr<StartRamp>(std::make_unique<ColdStartRamp>(clock)) : std::make_unique<NoRamp>();
    }

    Decision submit(unsigned depth = 0, bool nested = false, Duration deadline = 10s, bool statusCheck = false)
    {
        clock.advance(1ms); // allows a new connection for each request
        return controller.submit({ ++lastId, depth, clock.now() + deadline, nested, statusCheck });
    }

    /// Submits requests until one does not start; returns the number of starts.
    unsigned startAll(unsigned depth, bool nested)
    {
        unsigned n = 0;
        while (std::holds_alternative<Start>(submit(depth, nested))) {
            running.push_back(lastId);
            ++n;
        }
        return n;
    }

    void finish(std::uint64_t id, AnswerKind kind = AnswerKind::Ok, Duration latency = 4ms, bool kept = true)
    {
        controller.onRequestFinished(id, { kind, latency, kept });
    }

    ManualClock clock;
    SeededRandom random{ 1 };
    RecordingLogger logger;
    AdmissionController controller;
    std::uint64_t lastId = 0;
    std::vector<std::uint64_t> running;
};

} // namespace Toucandeck::Testing
