// Guards against a running incarnation that is considered terminated.
#include "fleet/incarnation.h"

#include <gtest/gtest.h>

using namespace Toucandeck;

TEST(Incarnation, LaterStartsAndPresumedTerminationsAreLater)
{
    EXPECT_TRUE(isLaterIncarnation(incarnationName("i", 2, 0), incarnationName("j", 1, 0)));
    EXPECT_TRUE(isLaterIncarnation(incarnationName("i", 1, 2), incarnationName("i", 1, 1)));
    EXPECT_FALSE(isLaterIncarnation(incarnationName("i", 1, 0), incarnationName("i", 1, 0)));
    EXPECT_FALSE(isLaterIncarnation(incarnationName("i", 1, 5), incarnationName("i", 2, 0)));
}

TEST(Incarnation, PresumedTerminationsMakeNoOtherProcess)
{
    EXPECT_TRUE(isSameProcess(incarnationName("i#1", 2, 0), incarnationName("i#1", 2, 3)));
    EXPECT_FALSE(isSameProcess(incarnationName("i", 1, 0), incarnationName("i", 2, 0)));
    EXPECT_FALSE(isSameProcess(incarnationName("i", 1, 0), incarnationName("j", 1, 0)));
    EXPECT_FALSE(isSameProcess(incarnationName("i", 1, 0), ""));
}

TEST(Incarnation, NamesThatCannotBeParsedAreNeverLater)
{
    for (const auto *it : { "", "i", "i@", "i@x", "i@1#", "i@1x" }) {
        EXPECT_FALSE(isLaterIncarnation("i@9", it)) << it;
        EXPECT_FALSE(isLaterIncarnation(it, "i@0")) << it;
    }
}
