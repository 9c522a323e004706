#pragma once

#include "common/random_source.h"
#include "prove/state/naive_state.h"
#include "prove/state/random_commands.h"
#include "state/cluster_state.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Toucandeck::testing
{

/// Applies random commands to ClusterState, NaiveState and a View that gets faulty deltas. Checks after each step that all agree and that
/// the invariants hold; the checks share no code with ClusterState.
class StateRun
{
public:
    explicit StateRun(std::uint64_t seed);

    void step();
    std::uint64_t steps() const;
    const std::map<std::string, std::uint64_t> &faults() const;
    const std::vector<std::string> &violations() const;

private:
    void apply(const wire::Command &command);
    void applyBytes(const std::string &bytes);
    void raceEdits();
    void resend();
    void restart();
    void checkEdit(const wire::EditTable &edit);
    void checkState(const wire::ViewState &before);
    void checkOwner(const std::string &item, const Owner &current);
    void updateView();
    void deliverDelta(const wire::ViewDelta &delta);
    void copyView();
    void expect(bool condition, const std::string &violation);

    SeededRandom m_random;
    RandomCommands m_commands;
    ClusterState m_state;
    NaiveState m_naive;
    View m_view;
    std::uint64_t m_index = 0;
    std::uint64_t m_steps = 0;
    std::vector<wire::Command> m_sentEdits;
    std::map<std::string, std::string> m_firstAnswers; ///< By request id, serialised.
    std::map<std::string, Owner> m_lastOwners; ///< By partition or key.
    std::map<std::string, std::uint64_t> m_lastRevisions;
    std::set<Epoch> m_usedEpochs;
    std::map<std::string, std::uint64_t> m_faults;
    std::vector<std::string> m_violations;
};

} // namespace Toucandeck::testing
