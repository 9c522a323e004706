// Guards against nested calls that take all slots of a service, and against requests of clients that take them all while nested calls wait.
#include "gateway/slot_shares.h"

#include <gtest/gtest.h>

using namespace Toucandeck;

TEST(SlotShares, ClientsAreNextUntilTheyHaveHalfOfTheSlots)
{
    EXPECT_TRUE(SlotShares(9, { 4, 1 }).clientIsNext());
    EXPECT_FALSE(SlotShares(9, { 5, 1 }).clientIsNext());
    EXPECT_FALSE(SlotShares(9, { 0, 0 }).clientIsNext());
}

TEST(SlotShares, CountsTheRequestsThatGoBeforeANestedCall)
{
    EXPECT_EQ(SlotShares(9, { 3, 10 }).clientsBeforeNested(), 2U);
    EXPECT_EQ(SlotShares(9, { 3, 1 }).clientsBeforeNested(), 1U);
    EXPECT_EQ(SlotShares(9, { 7, 10 }).clientsBeforeNested(), 0U);
}

TEST(SlotShares, NestedCallsHaveWhatClientsDoNotUse)
{
    EXPECT_EQ(SlotShares(9, { 0, 0 }).leftForNested(), 9U);
    EXPECT_EQ(SlotShares(9, { 1, 1 }).leftForNested(), 7U);
    EXPECT_EQ(SlotShares(9, { 5, 20 }).leftForNested(), 4U);
}

TEST(SlotShares, ABackendServerWithOneSlotServesBoth)
{
    EXPECT_TRUE(SlotShares(1, { 0, 1 }).clientIsNext());
    EXPECT_EQ(SlotShares(1, { 0, 1 }).leftForNested(), 1U);
    EXPECT_EQ(SlotShares(0, { 0, 0 }).leftForNested(), 1U);
}
