// Guards against idempotency records that are missing at the owner of their key, and against records that are kept without use.
#include "daemon/record_transfer.h"

#include "common/key_hash.h"
#include "ownership/lease.h"
#include "state/cluster_state.h"

#include <gtest/gtest.h>

using namespace Toucandeck;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t kOther = 77;
constexpr KeyHash kHotKey{ 6 };
constexpr KeyHash kColdKey{ 10 }; ///< In the partition of the hot key.
constexpr Duration kHangLimit = 20s; ///< Ends a run that would otherwise hang; no assertion depends on elapsed time.

std::unique_ptr<EventLoop> createLoop(const Clock &clock)
{
    return handleError([&] { return EventLoop::create(clock); }, [](const Error &) { return std::unique_ptr<EventLoop>(); });
}

std::unique_ptr<MessageSocket> createSocket(EventLoop &loop, Logger &logger)
{
    return handleError([&] { return MessageSocket::create(loop, { .address = "tcp://127.0.0.1:0" }, logger); },
                       [](const Error &) { return std::unique_ptr<MessageSocket>(); });
}

/// A router that owns all partitions, with another one that receives its records and acknowledges them.
class RecordTransferTest : public testing::Test, protected ControllerLink, protected AgentListener
{
protected:
    void SetUp() override
    {
        messages->setHandler([this](const wire::Envelope &it) { receive(it); });
        createService();
        addSession(session(kOther, "clue-2"));
        agent.tick();
        addSession(session(candidate, "clue-1"));
        grantAll();
        wire::Envelope registered;
        registered.mutable_registered()->set_session(candidate);
        agent.receive(registered);
        sendView();
    }

    // ControllerLink
    void sendTo(std::size_t /*controller*/, const wire::Envelope &envelope) override
    {
        sendToAll(envelope);
    }

    void sendToAll(const wire::Envelope &envelope) override
    {
        if (envelope.has_register_session()) {
            candidate = envelope.register_session().session().session();
        }
        releases += envelope.has_release() ? 1 : 0;
    }

    std::optional<std::size_t> indexOf(const std::string & /*address*/) const override
    {
        return 0;
    }

    // AgentListener
    void onLeaseLost() override
    {
        transfer.onLeaseLost();
    }

    void beginRelease(const OwnedItems &items, SessionId receiver) override
    {
        transfer.beginRelease(items, receiver);
    }

    void cancelRelease(const OwnedItems &items) override
    {
        transfer.cancelRelease(items);
    }

    /// Acts as the receiver of the records.
    void receive(const wire::Envelope &envelope)
    {
        for (const auto &it : envelope.transfer_records().records()) {
            transferredKeys.push_back(KeyHash{ it.key_hash() });
        }
        wire::TransferAck ack;
        ack.set_transfer(envelope.transfer_records().transfer());
        transfer.receive(ack);
    }

    wire::RouterSession session(std::uint64_t id, const std::string &instance) const
    {
        wire::RouterSession it;
        it.set_session(id);
        it.set_service("clue");
        it.set_failure_domain("a");
        it.set_instance(instance);
        it.set_message_address(messages->address());
        it.set_backend_ready(true);
        return it;
    }

    void apply(const wire::Command &command)
    {
        state.apply(LogIndex{ state.view().version().value + 1 }, command.SerializeAsString());
    }

    void sendView()
    {
        wire::Envelope envelope;
        *envelope.mutable_full_view()->mutable_view() = state.view().toWire();
        agent.receive(envelope);
    }

    void createService()
    {
        wire::Command command;
        command.mutable_edit_table()->set_request_id("create");
        auto &row = *command.mutable_edit_table()->add_edits()->mutable_row();
        row.set_service("clue");
        row.set_key("segment:1");
        row.set_partitions(4);
        apply(command);
    }

    void addSession(const wire::RouterSession &session)
    {
        wire::Command command;
        *command.mutable_register_session()->mutable_session() = session;
        apply(command);
    }

    void grantAll()
    {
        wire::Command command;
        for (const auto &it : state.view().assignments("clue")) {
            auto &grant = *command.mutable_grant_partitions()->add_grants();
            grant.set_service("clue");
            grant.set_partition(it.partition());
            grant.set_session(candidate);
            grant.set_previous_epoch(it.epoch());
        }
        apply(command);
    }

    static PartitionId partition()
    {
        return partitionOf(kHotKey, 4);
    }

    void beginPartitionMove()
    {
        wire::Command command;
        auto &body = *command.mutable_begin_moves()->add_moves();
        body.set_service("clue");
        body.set_partition(partition().value);
        body.set_session(kOther);
        body.set_previous_epoch(state.view().assignments("clue")[partition().value].epoch());
        apply(command);
        sendView();
    }

    void completePartitionMove()
    {
        wire::Command command;
        auto &body = *command.mutable_release_partitions();
        body.set_service("clue");
        body.set_session(agent.session().value);
        body.add_partitions(partition().value);
        apply(command);
        sendView();
    }

    void beginHotKeyMove(std::uint64_t to)
    {
        const auto owner = *state.view().ownerOf("clue", kHotKey);
        wire::Command command;
        auto &body = *command.mutable_set_hot_key();
        body.mutable_hot_key()->set_service("clue");
        body.mutable_hot_key()->set_key_hash(kHotKey.value);
        body.mutable_hot_key()->set_owner(owner.session.value);
        body.mutable_hot_key()->set_moving_to(to);
        body.set_previous_epoch(owner.epoch.value);
        apply(command);
        sendView();
    }

    void completeHotKeyMove()
    {
        const auto owner = *state.view().ownerOf("clue", kHotKey);
        wire::Command command;
        auto &body = *command.mutable_release_hot_key();
        body.set_service("clue");
        body.set_key_hash(kHotKey.value);
        body.set_session(owner.session.value);
        body.set_receiver(owner.movingTo.value);
        apply(command);
        sendView();
    }

    /// Afterwards this router owns the hot key by an override.
    void moveHotKeyAwayAndBack()
    {
        beginHotKeyMove(kOther);
        ASSERT_TRUE(runUntilReleased());
        completeHotKeyMove();
        transfer.tick();
        beginHotKeyMove(agent.session().value);
        completeHotKeyMove();
    }

    void beginRequest(KeyHash key)
    {
        IdempotencyRequest request;
        request.id = { "clue", key, "request" };
        request.partition = partition();
        const auto result = executor.records().begin(request);
        ASSERT_TRUE(result && std::holds_alternative<RunNow>(result.value()));
    }

    void addRecord(KeyHash key)
    {
        beginRequest(key);
        executor.records().complete({ "clue", key, "request" }, StoredAnswer{ 200, {}, "answer" });
    }

    /// Whether a repeat of the request gets the answer of its record.
    bool hasAnswer(KeyHash key)
    {
        IdempotencyRequest request;
        request.id = { "clue", key, "request" };
        request.partition = partition();
        const auto result = executor.records().begin(request);
        return result && std::holds_alternative<AnswerStored>(result.value());
    }

    /// Sends the records of the items that move and completes their release.
    bool runUntilReleased()
    {
        const auto before = releases;
        const auto tick = loop->every(kOwnershipTick, [this] { transfer.tick(); });
        return loop->runUntil([&] { return releases > before; }, kHangLimit);
    }

    SystemClock clock;
    SeededRandom random{ 1 };
    NullLogger logger;
    Metrics metrics;
    Settings settings;
    Tracer tracer{ clock, random, "test", "", logger };
    std::unique_ptr<EventLoop> loop = createLoop(clock);
    std::unique_ptr<MessageSocket> messages = createSocket(*loop, logger);
    RouterParts parts{ *loop, *messages, random, logger, metrics, tracer, settings };
    ClusterState state;
    BackendPresence presence{ clock };
    RouterAgent agent{ AgentParts{ clock, random, *this, *this, logger }, session(0, "clue-1") };
    RequestExecutor executor{ parts, agent, presence, [] {} };
    RecordTransfer transfer{ parts, agent, executor };
    std::uint64_t candidate = 0; ///< Session id that the agent registers.
    int releases = 0;
    std::vector<KeyHash> transferredKeys;
};

} // namespace

TEST_F(RecordTransferTest, RecordsOfAPartitionAreKeptUntilTheViewNamesTheNewOwner)
{
    addRecord(kColdKey);
    beginPartitionMove();
    ASSERT_TRUE(runUntilReleased());
    EXPECT_EQ(transferredKeys, std::vector{ kColdKey });
    transfer.tick();
    EXPECT_TRUE(hasAnswer(kColdKey));
    completePartitionMove();
    transfer.tick();
    EXPECT_EQ(executor.records().size(), 0U);
}

// Guards against the records of a moved hot key filling the table of its former owner until they expire.
TEST_F(RecordTransferTest, RecordsOfAHotKeyAreDroppedOnceTheViewNamesTheNewOwner)
{
    addRecord(kHotKey);
    addRecord(kColdKey);
    beginHotKeyMove(kOther);
    ASSERT_TRUE(runUntilReleased());
    EXPECT_EQ(transferredKeys, std::vector{ kHotKey });
    transfer.tick();
    EXPECT_TRUE(hasAnswer(kHotKey));
    completeHotKeyMove();
    transfer.tick();
    EXPECT_EQ(executor.records().size(), 1U);
    EXPECT_TRUE(hasAnswer(kColdKey));
}

// Guards against a second run of a request for a hot key whose partition has moved away while its router still owns the key.
TEST_F(RecordTransferTest, RecordsOfAHotKeyStayWhenOnlyItsPartitionMoves)
{
    moveHotKeyAwayAndBack();
    addRecord(kHotKey);
    addRecord(kColdKey);
    beginPartitionMove();
    ASSERT_TRUE(runUntilReleased());
    EXPECT_EQ(transferredKeys, std::vector{ kColdKey });
    completePartitionMove();
    transfer.tick();
    EXPECT_TRUE(hasAnswer(kHotKey));
    EXPECT_EQ(executor.records().size(), 1U);
}

// Guards against an abort of the router when a partition moves away during a request for a hot key that the router keeps.
TEST_F(RecordTransferTest, RunningRequestForAHotKeyOutlastsTheMoveOfItsPartition)
{
    moveHotKeyAwayAndBack();
    beginRequest(kHotKey);
    beginPartitionMove();
    ASSERT_TRUE(runUntilReleased());
    completePartitionMove();
    transfer.tick();
    executor.records().complete({ "clue", kHotKey, "request" }, StoredAnswer{ 200, {}, "answer" });
    EXPECT_TRUE(hasAnswer(kHotKey));
}
