// Guards against quorums within one failure domain, learners counted in quorums, and membership changes of two replicas at once.
#include "consensus/membership.h"
#include "consensus/quorum.h"
#include "replica_fixture.h"

#include <rapidcheck/gtest.h>
#include <set>

using namespace Toucandeck;

namespace
{

Member voter(std::uint64_t id, std::string domain)
{
    return { ReplicaId{ id }, ReplicaRole::Voter, std::move(domain), {}, {} };
}

Member learner(std::uint64_t id)
{
    return { ReplicaId{ id }, ReplicaRole::Learner, "z", {}, {} };
}

bool quorum(const Membership &membership, const std::set<std::uint64_t> &agreeing)
{
    return internal::isQuorum(membership, [&](ReplicaId it) { return agreeing.contains(it.value); });
}

std::optional<ErrorCode> changeError(const Membership &before, const Membership &after)
{
    return errorOf([&] { return checkMembershipChange(before, after); });
}

const Membership kThree{ { voter(1, "a"), voter(2, "b"), voter(3, "c") } };

} // namespace

TEST(Quorum, NeedsTwoFailureDomainsWhereTheMembershipHasThem)
{
    const Membership five{ { voter(1, "a"), voter(2, "a"), voter(3, "a"), voter(4, "b"), voter(5, "b") } };
    EXPECT_FALSE(quorum(five, { 1, 2, 3 }));
    EXPECT_TRUE(quorum(five, { 1, 2, 4 }));
    EXPECT_FALSE(quorum(five, { 1, 4 }));
    const Membership oneDomain{ { voter(1, "a"), voter(2, "a"), voter(3, "a") } };
    EXPECT_TRUE(quorum(oneDomain, { 1, 2 }));
}

TEST(Quorum, IgnoresLearners)
{
    const auto membership = kThree.with(learner(4));
    EXPECT_FALSE(quorum(membership, { 1, 4 }));
    EXPECT_TRUE(quorum(membership, { 1, 2 }));
}

RC_GTEST_PROP(Quorum, AnyTwoShareAVoter, ())
{
    Membership membership;
    const auto count = *rc::gen::inRange<std::uint64_t>(1, 8);
    for (std::uint64_t n = 1; n <= count; ++n) {
        membership.members.push_back(voter(n, std::string(1, *rc::gen::element('a', 'b', 'c'))));
    }
    const auto one = *rc::gen::container<std::set<std::uint64_t>>(rc::gen::inRange<std::uint64_t>(1, 8));
    std::set<std::uint64_t> rest;
    for (std::uint64_t n = 1; n <= count; ++n) {
        if (!one.contains(n)) {
            rest.insert(n);
        }
    }
    RC_ASSERT(!quorum(membership, one) || !quorum(membership, rest));
}

TEST(MembershipChange, AllowsOneStep)
{
    EXPECT_FALSE(changeError(kThree, kThree.with(learner(4))));
    EXPECT_FALSE(changeError(kThree, kThree.without(ReplicaId{ 2 })));
    EXPECT_FALSE(changeError(kThree.with(learner(4)), kThree.with(voter(4, "z"))));
    EXPECT_FALSE(changeError(kThree, kThree.with({ ReplicaId{ 1 }, ReplicaRole::Voter, "a", "tcp://127.0.0.1:1", {} })));
}

TEST(MembershipChange, RefusesEverythingElse)
{
    EXPECT_EQ(changeError(kThree, kThree), ErrorCode::InvalidArgument);
    EXPECT_EQ(changeError(kThree, kThree.with(voter(4, "d"))), ErrorCode::Refused);
    EXPECT_EQ(changeError(kThree, kThree.with(learner(3))), ErrorCode::Refused);
    EXPECT_EQ(changeError(kThree, kThree.with(learner(4)).without(ReplicaId{ 1 })), ErrorCode::Refused);
    EXPECT_EQ(changeError(kThree, Membership{}), ErrorCode::InvalidArgument);
    EXPECT_EQ(changeError(kThree, Membership{ { voter(1, "a"), voter(1, "a") } }), ErrorCode::InvalidArgument);
}
