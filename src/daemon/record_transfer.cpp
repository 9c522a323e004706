#include "daemon/record_transfer.h"

#include "daemon/events.h"
#include "state/view.h"

#include <algorithm>

namespace Toucandeck
{

namespace
{

/// A message is complete when its records reach this size, which is well below the limit on messages and short enough not to hold up
/// requests.
constexpr std::size_t kTargetMessageBytes = 256U << 10U;

constexpr Duration kResendInterval = std::chrono::milliseconds(200);

bool sameItems(const OwnedItems &a, const OwnedItems &b)
{
    return a.service == b.service && a.partitions == b.partitions && a.hotKeys == b.hotKeys;
}

template<class Item>
bool contains(const std::vector<Item> &items, Item item)
{
    return std::find(items.begin(), items.end(), item) != items.end();
}

/// Removes the partitions and hot keys of @p removed from @p items.
void subtract(OwnedItems &items, const OwnedItems &removed)
{
    std::erase_if(items.partitions, [&removed](auto it) { return contains(removed.partitions, it); });
    std::erase_if(items.hotKeys, [&removed](auto it) { return contains(removed.hotKeys, it); });
}

} // namespace

RecordTransfer::RecordTransfer(const RouterParts &parts, RouterAgent &agent, RequestExecutor &executor)
    : m_parts(parts)
    , m_agent(agent)
    , m_executor(executor)
    , m_nextTransferId(parts.random.next())
{
}

void RecordTransfer::beginRelease(const OwnedItems &items, SessionId receiver)
{
    m_parts.logger.write(
        Events::kReleaseBegun,
        { field("service", items.service), field("partitions", items.partitions.size()), field("hot_keys", items.hotKeys.size()) });
    std::erase_if(m_moves, [&items](const auto &it) { return sameItems(it.items, items); });
    Move move;
    move.items = items;
    move.receiver = receiver;
    m_moves.push_back(std::move(move));
}

void RecordTransfer::cancelRelease(const OwnedItems &items)
{
    m_parts.logger.write(Events::kReleaseCancelled, { field("service", items.service), field("partitions", items.partitions.size()) });
    for (auto &it : m_moves) {
        if (it.items.service == items.service) {
            subtract(it.items, items);
        }
    }
    std::erase_if(m_moves, [](const auto &it) { return it.items.empty(); });
}

void RecordTransfer::onLeaseLost()
{
    m_moves.clear();
}

void RecordTransfer::tick()
{
    for (auto &it : m_moves) {
        advance(it);
    }
    std::erase_if(m_moves, [this](const auto &it) {
        if (!it.isReleased || !hasLeftView(it)) {
            return false;
        }
        dropRecords(it.items);
        return true;
    });
}

void RecordTransfer::advance(Move &move)
{
    if (move.isReleased || !m_executor.drain(move.items)) {
        return;
    }
    if (!move.recordsExported) {
        exportRecords(move);
    }
    if (move.unacknowledged.empty()) {
        move.isReleased = true;
        m_parts.logger.write(Events::kReleaseDone,
                             { field("service", move.items.service), field("partitions", move.items.partitions.size()) });
        const auto items = move.items;
        m_agent.completeRelease(items);
    } else if (m_parts.loop.clock().now() - move.lastSendTime >= kResendInterval) {
        sendUnacknowledged(move);
    }
}

template<class Item>
bool RecordTransfer::owns(const std::string &service, Item item) const
{
    const auto owner = m_agent.view().ownerOf(service, item);
    return owner && owner->session == m_agent.session();
}

std::vector<wire::IdempotencyRecord> RecordTransfer::recordsOf(const OwnedItems &items)
{
    const auto &hotKeys = m_agent.view().hotKeys(items.service);
    return m_executor.records().exportRecords(items.service, [&](KeyHash key, PartitionId partition) {
        // A hot key doesn't move with its partition.
        return hotKeys.contains(key) ? contains(items.hotKeys, key) : contains(items.partitions, partition);
    });
}

void RecordTransfer::dropRecords(const OwnedItems &items)
{
    m_executor.records().drop(items.service, [&](KeyHash key, PartitionId partition) {
        return (contains(items.partitions, partition) || contains(items.hotKeys, key)) && !owns(items.service, key);
    });
}

void RecordTransfer::exportRecords(Move &move)
{
    move.recordsExported = true;
    // Each message is self-contained and acknowledged individually, so that the acknowledgement of a later message cannot hide the
    // loss of an earlier one.
    wire::TransferRecords message;
    std::size_t bytes = 0;
    const auto finishMessage = [&] {
        message.set_transfer(m_nextTransferId++);
        message.set_service(move.items.service);
        message.set_last(true);
        for (const auto it : move.items.partitions) {
            message.add_partitions(it.value);
        }
        move.unacknowledged[message.transfer()] = std::move(message);
        message.Clear();
        bytes = 0;
    };
    for (auto &it : recordsOf(move.items)) {
        bytes += it.ByteSizeLong();
        *message.add_records() = std::move(it);
        if (bytes >= kTargetMessageBytes) {
            finishMessage();
        }
    }
    if (message.records_size() > 0) {
        finishMessage();
    }
}

void RecordTransfer::sendUnacknowledged(Move &move)
{
    move.lastSendTime = m_parts.loop.clock().now();
    const auto *receiver = m_agent.view().session(move.receiver);
    if (receiver == nullptr) {
        return; // The controllers detect the loss of the session and cancel the move.
    }
    for (const auto &it : move.unacknowledged) {
        wire::Envelope envelope;
        *envelope.mutable_transfer_records() = it.second;
        m_parts.messages.send(receiver->message_address(), std::move(envelope));
    }
}

bool RecordTransfer::hasLeftView(const Move &move) const
{
    const auto &items = move.items;
    const auto isOwned = [this, &items](auto it) { return owns(items.service, it); };
    return std::none_of(items.partitions.begin(), items.partitions.end(), isOwned)
        && std::none_of(items.hotKeys.begin(), items.hotKeys.end(), isOwned);
}

void RecordTransfer::receive(const std::string &sender, const wire::TransferRecords &records)
{
    const auto partitions = m_agent.view().serviceSettings(records.service()).partitions;
    if (partitions == 0) {
        return; // The view of this router does not contain the service yet; the sender resends the message.
    }
    const std::vector<wire::IdempotencyRecord> list(records.records().begin(), records.records().end());
    m_executor.records().importRecords(list, partitions);
    wire::Envelope envelope;
    envelope.mutable_transfer_ack()->set_transfer(records.transfer());
    m_parts.messages.send(sender, std::move(envelope));
}

void RecordTransfer::receive(const wire::TransferAck &ack)
{
    for (auto &it : m_moves) {
        it.unacknowledged.erase(ack.transfer());
    }
}

} // namespace Toucandeck
