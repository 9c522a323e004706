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

/// Releases partitions and hot keys in graceful moves: waits until their requests have finished, sends their idempotency records to
/// the receiver until it has acknowledged each message, then completes the release. Also imports records from other routers.
class RecordTransfer
{
public:
    RecordTransfer(const RouterParts &parts, RouterAgent &agent, RequestExecutor &executor);

    void beginRelease(const OwnedItems &items, SessionId receiver);
    void cancelRelease(const OwnedItems &items);
    void onLeaseLost();

    void receive(const std::string &sender, const wire::TransferRecords &records);
    void receive(const wire::TransferAck &ack);

    /// Advances the moves, resends unacknowledged messages, and drops the records of released items once the view no longer
    /// names this router as their owner. Call every 10 ms.
    void tick();

private:
    /// Release of items to one receiver.
    struct Move
    {
        OwnedItems items;
        SessionId receiver;
        std::map<std::uint64_t, wire::TransferRecords> unacknowledged; ///< Messages by transfer id.
        bool recordsExported = false;
        bool isReleased = false;
        TimePoint lastSendTime;
    };

    void advance(Move &move);
    void exportRecords(Move &move);
    void sendUnacknowledged(Move &move);
    /// Whether the view names this router as owner of the partition or key.
    template<class Item>
    bool owns(const std::string &service, Item item) const;
    bool hasLeftView(const Move &move) const;
    std::vector<wire::IdempotencyRecord> recordsOf(const OwnedItems &items);
    void dropRecords(const OwnedItems &items);

    RouterParts m_parts;
    RouterAgent &m_agent;
    RequestExecutor &m_executor;
    std::list<Move> m_moves;
    std::uint64_t m_nextTransferId;
};

} // namespace Toucandeck
