// Guards against errors that lose their message or verdict on the way up the stack.
#include "common/result.h"

#include <gtest/gtest.h>

using namespace Toucandeck;

namespace
{

Result<int> parse(bool valid)
{
    if (!valid) {
        return fail(ErrorCode::InvalidArgument, "not a number", Verdict::NotRun);
    }
    return 7;
}

Result<int> doubled(bool valid)
{
    BOOST_LEAF_AUTO(n, parse(valid));
    return 2 * n;
}

} // namespace

TEST(Result, ReturnsTheValue)
{
    const auto n = handleError([] { return doubled(true); }, [](const Error &) { return -1; });
    EXPECT_EQ(n, 14);
}

TEST(Result, KeepsCodeMessageAndVerdict)
{
    Error received;
    const auto n = handleError([] { return doubled(false); },
                               [&received](const Error &error) {
                                   received = error;
                                   return -1;
                               });
    EXPECT_EQ(n, -1);
    EXPECT_EQ(received.code, ErrorCode::InvalidArgument);
    EXPECT_EQ(received.message, "not a number");
    EXPECT_EQ(received.verdict, Verdict::NotRun);
}

TEST(Verdict, TextIsReadBack)
{
    for (const auto it : { Verdict::NotRun, Verdict::Ran, Verdict::MayHaveRun }) {
        EXPECT_EQ(verdictFromString(toString(it)), it);
    }
    EXPECT_EQ(verdictFromString("maybe"), std::nullopt);
}
