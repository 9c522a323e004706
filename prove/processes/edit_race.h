#pragma once

#include "local_cluster.h"

#include <cstdint>
#include <string>

namespace Toucandeck::Prove
{

/// Submits conflicting table edits based on the same revision, resends them and records which was accepted.
class EditRace
{
public:
    explicit EditRace(Standin::LocalCluster &cluster);

    /// Submits two edits of one row based on the same revision, each to all controllers at once, and resends each.
    void run(std::uint64_t number);
    /// Compares the current table with the last accepted edit.
    void checkTable();

    std::uint64_t races() const;
    std::uint64_t violations() const;
    const std::string &firstViolation() const;

private:
    struct Answer
    {
        int status = 0;
        std::uint64_t revision = 0;
    };

    Answer submit(const std::string &requestId, const std::string &weight, std::uint64_t seenRevision);
    Answer submitToAllControllers(const std::string &body);
    void violation(const std::string &text);

    Standin::LocalCluster &m_cluster;
    std::uint64_t m_races = 0;
    std::uint64_t m_violations = 0;
    std::uint64_t m_revision = 0;
    std::string m_weight;
    bool m_isOutcomeUnknown = false; ///< The outcome of an edit is unknown until the next read of the table.
    std::string m_firstViolation;
};

} // namespace Toucandeck::Prove
