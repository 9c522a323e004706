// Guards against clients that are told that their request has not run although it has, and against a second run at another backend server.
#include "routing/response_meaning.h"

#include <gtest/gtest.h>

using namespace Toucandeck;

namespace
{

struct MeaningCase
{
    int status;
    bool statesNotRun;
    ResponseMeaning once; ///< Of a request that may run at most once.
    ResponseMeaning repeatable; ///< Of a request that may run more than once.
};

constexpr auto kAnswer = ResponseMeaning::Answer;
constexpr auto kNotRun = ResponseMeaning::NotRun;
constexpr auto kMayHaveRun = ResponseMeaning::MayHaveRun;

constexpr MeaningCase kCases[] = {
    { 408, false, kMayHaveRun, kAnswer }, { 421, false, kMayHaveRun, kAnswer }, { 429, false, kMayHaveRun, kAnswer },
    { 503, false, kMayHaveRun, kAnswer }, { 408, true, kNotRun, kNotRun },      { 421, true, kNotRun, kNotRun },
    { 429, true, kNotRun, kNotRun },      { 503, true, kNotRun, kNotRun },      { 200, false, kAnswer, kAnswer },
    { 302, false, kAnswer, kAnswer },     { 400, false, kAnswer, kAnswer },     { 404, false, kAnswer, kAnswer },
    { 409, false, kAnswer, kAnswer },     { 413, false, kAnswer, kAnswer },     { 425, false, kAnswer, kAnswer },
    { 500, false, kAnswer, kAnswer },     { 502, false, kAnswer, kAnswer },     { 504, false, kAnswer, kAnswer },
    { 200, true, kNotRun, kNotRun },      { 400, true, kNotRun, kNotRun },      { 500, true, kNotRun, kNotRun },
};

} // namespace

TEST(ResponseMeaning, OnlyTheStatementOfTheBackendServerSaysThatARequestHasNotRun)
{
    for (const auto &it : kCases) {
        EXPECT_EQ(meaningOf(it.status, it.statesNotRun, false), it.once) << it.status << it.statesNotRun;
        EXPECT_EQ(meaningOf(it.status, it.statesNotRun, true), it.repeatable) << it.status << it.statesNotRun;
    }
}
