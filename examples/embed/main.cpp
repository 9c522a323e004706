// Embeds the replicated state: a single replica accepts a table edit and shows the effective settings.
#include <Toucandeck/Common>
#include <Toucandeck/Consensus>
#include <Toucandeck/State>

#include <iostream>

using namespace Toucandeck;

struct NoTransport : ReplicaTransport
{
    void send(ReplicaId, const wire::ReplicaMessage &) override
    {
    }
};

int main()
{
    ManualClock clock;
    SeededRandom random(1);
    NoTransport transport;
    ClusterState state;
    MemoryLogStore store(ReplicaId{ 1 });
    ReplicaOptions options;
    options.initialMembership.members = { { ReplicaId{ 1 }, ReplicaRole::Voter, "jm-a", "", "" } };
    auto replica = Replica::create(options, store, state, transport, clock, random);
    while (!(*replica)->isLeaderReady()) {
        clock.advance(std::chrono::milliseconds(10));
        (*replica)->tick();
        (*replica)->flush();
    }
    wire::Command command;
    command.mutable_edit_table()->set_request_id("example-1");
    *command.mutable_edit_table()->add_edits() = *parseRowEdit("clue-svc/*/*", std::array{ std::string("weight=50") }, Revision{ 0 });
    (*replica)->propose(command.SerializeAsString()).value();
    (*replica)->flush();
    std::cout << "weight " << state.view().effectiveRow("clue-svc", "jm-a", "clue-1").weight << '\n';
    return state.view().effectiveRow("clue-svc", "jm-a", "clue-1").weight == 50 ? 0 : 1;
}
