#pragma once

#include "consensus/state_machine.h"
#include "fleet/key_rows.h"
#include "fleet/leaving_processes.h"

#include <deque>
#include <functional>
#include <map>
#include <set>

namespace Toucandeck
{

/// Outcome of applying a command.
enum class CommandOutcome {
    Applied,
    Repeated, ///< The order was applied before, or the evacuation is already as requested; nothing changed.
    Conflict, ///< The command is based on another version than the current one, or is invalid; nothing changed.
};

/// Committed key assignment of one service.
struct KeyTable
{
    std::uint64_t revision = 0; ///< Log index of the last change.
    KeyRows keys;
};

/// Replicated state machine of the controllers: manifest, accepted orders, evacuated failure domains, key tables, and backend
/// servers that leave.
class FleetState : public StateMachine
{
public:
    /// Called with each command and its outcome after it was applied.
    using Listener = std::function<void(LogIndex, const wire::FleetCommand &, CommandOutcome)>;

    void setListener(Listener listener);

    void apply(LogIndex index, std::string_view command) override;
    std::string snapshot() const override;
    Result<void> restore(std::string_view data) override;

    const wire::ManifestDocument &manifest() const;
    /// Version on which the manifest builds; zero for the first one and if it comes from a snapshot.
    std::uint64_t manifestBase() const;
    /// Manifest that results from the change, which must be based on the current version.
    wire::ManifestDocument manifestAfter(const wire::ChangeManifest &change) const;
    /// True if the order was accepted before.
    bool isAccepted(const std::string &order) const;

    const std::set<std::string> &evacuated() const;
    std::uint64_t evacuationRevision() const;

    const std::map<std::string, KeyTable> &tables() const;

    /// Processes that are known to leave beside the router.
    const LeavingProcesses &leavingBeside(const std::string &router) const;

private:
    /// Processes that leave beside one router.
    struct Departures
    {
        LeavingProcesses processes;
        std::uint64_t revision = 0; ///< Log index of the latest command.
    };

    CommandOutcome applyChange(const wire::ChangeManifest &change);
    CommandOutcome applyEvacuation(LogIndex index, const wire::SetEvacuation &evacuation);
    CommandOutcome applyKeys(LogIndex index, const wire::KeyTable &table);
    CommandOutcome applyLeaving(LogIndex index, const wire::LeavingInstance &leaving);
    void recordOrder(const std::string &order, std::uint64_t version);

    Listener m_listener;
    wire::ManifestDocument m_manifest;
    std::uint64_t m_manifestBase = 0;
    std::map<std::string, std::uint64_t> m_orders; ///< Manifest version by digest of the order.
    std::deque<std::string> m_ordersByAge; ///< Digests of the orders, oldest first.
    std::set<std::string> m_evacuated;
    std::uint64_t m_evacuationRevision = 0;
    std::map<std::string, KeyTable> m_tables;
    std::map<std::string, Departures> m_leaving; ///< By the IP address of the router.
};

} // namespace Toucandeck
