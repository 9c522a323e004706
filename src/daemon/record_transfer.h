#pragma once

#include "daemon/request_executor.h"
#include "daemon/router_parts.h"
#include "ownership/agent_listener.h"
#include "ownership/router_agent.h"

#include <functional>
#include <list>
#include <set>

namespace Toucandeck
{

/// Hands partitions and hot keys over in a graceful move: drains their work, sends their idempotency records to the receiver until
/// it has acknowledged each message, then releases them. Also takes records in from other routers.
class RecordTransfer
{
public:
    RecordTransfer(const RouterParts &parts, RouterAgent &agent, RequestExecutor &executor);

    void begin(const OwnedItems &items, SessionId receiver);
    void cancelled(const OwnedItems &items);
    void leaseLost();

    void receive(const std::string &sender, const wire::TransferRecords &records);
    void receive(const wire::TransferAck &ack);

    /// Goes on with the moves, resends what is unacknowledged, and forgets records that have left the view. Every 10 ms.
    void tick();

private:
    struct Move
    {
        OwnedItems items;
        SessionId receiver;
        std::map<std::uint64_t, wire::TransferRecords> unacknowledged;
        bool exported = false;
        bool released = false;
        TimePoint lastSent;
    };

    void advance(Move &move);
    void exportRecords(Move &move);
    void sendUnacknowledged(Move &move);
    bool hasLeftView(const Move &move) const;
    std::vector<wire::IdempotencyRecord> recordsOf(const OwnedItems &items);

    RouterParts m_parts;
    RouterAgent &m_agent;
    RequestExecutor &m_executor;
    std::list<Move> m_moves;
    std::uint64_t m_nextTransfer;
};

} // namespace Toucandeck
