#pragma once

#include "local_cluster.h"

#include <cstdint>
#include <string>

namespace Toucandeck::Prove
{

/// Races table edits with equal revisions, resends them, and remembers what was accepted.
class EditRace
{
public:
    explicit EditRace(Standin::LocalCluster &cluster);

    /// Two edits of one row with the revision seen, sent at once to all controllers, each resent afterwards.
    void run(std::uint64_t number);
    /// Compares the present table with the last accepted edit.
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

    Answer submit(const std::string &requestId, const std::string &weight, std::uint64_t seen);
    Answer submitTogether(const std::string &body);
    void violation(const std::string &text);

    Standin::LocalCluster &m_cluster;
    std::uint64_t m_races = 0;
    std::uint64_t m_violations = 0;
    std::uint64_t m_revision = 0;
    std::string m_weight;
    bool m_unknown = false; ///< The outcome of an edit is not known, so the next read decides.
    std::string m_firstViolation;
};

} // namespace Toucandeck::Prove
