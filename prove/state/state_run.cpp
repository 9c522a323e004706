#include "prove/state/state_run.h"

#include <fmt/format.h>

namespace Toucandeck::testing
{

namespace
{

/// Far below the number of answers that ClusterState retains, so each resent edit must get its first answer.
constexpr std::size_t resendWindow = 500;

constexpr std::uint64_t checkedKeyHashes = 16; // covers all hashes for which RandomCommands sets overrides

} // namespace

StateRun::StateRun(std::uint64_t seed)
    : m_random(seed)
    , m_commands(m_random)
{
}

std::uint64_t StateRun::steps() const
{
    return m_steps;
}

const std::map<std::string, std::uint64_t> &StateRun::faults() const
{
    return m_faults;
}

const std::vector<std::string> &StateRun::violations() const
{
    return m_violations;
}

void StateRun::expect(bool condition, const std::string &violation)
{
    if (!condition) {
        m_violations.push_back(fmt::format("step {}: {}", m_steps, violation));
    }
}

void StateRun::step()
{
    ++m_steps;
    if (m_commands.oneIn(40)) {
        raceEdits();
    } else if (m_commands.oneIn(30) && !m_sentEdits.empty()) {
        resend();
    } else if (m_commands.oneIn(100)) {
        ++m_faults["malformed"];
        applyBytes("\xff\xff\xff");
    } else {
        apply(m_commands.next(m_state.view()));
    }
    if (m_commands.oneIn(50)) {
        restart();
    }
    updateView();
}

void StateRun::apply(const wire::Command &command)
{
    m_naive.apply(m_index + 1, command);
    applyBytes(command.SerializeAsString());
    if (command.has_edit_table()) {
        m_sentEdits.push_back(command);
        checkEdit(command.edit_table());
    } else if (command.has_register_session()) {
        expect(m_state.lastAnswer().registration.value().accepted == m_naive.isRegistrationAccepted,
               "registration differs from the naive version");
    } else if (command.has_expire_session() || command.has_close_session()) {
        m_faults["session_ends"] += m_state.lastAnswer().acceptedParts;
    } else {
        m_faults["outdated_parts"] += m_state.lastAnswer().rejectedParts;
    }
    static const std::map<wire::Command::BodyCase, std::string> names{ { wire::Command::kGrantPartitions, "grants" },
                                                                       { wire::Command::kBeginMoves, "moves" },
                                                                       { wire::Command::kReleasePartitions, "releases" },
                                                                       { wire::Command::kSetHotKey, "hot_key_changes" },
                                                                       { wire::Command::kReleaseHotKey, "hot_key_releases" } };
    if (const auto it = names.find(command.body_case()); it != names.end()) {
        m_faults[it->second] += m_state.lastAnswer().acceptedParts;
    }
}

void StateRun::applyBytes(const std::string &bytes)
{
    const auto before = m_state.view().toWire();
    // The log also holds entries that are not commands, so indices have gaps.
    m_state.apply(LogIndex{ ++m_index }, bytes);
    checkState(before);
}

void StateRun::checkEdit(const wire::EditTable &edit)
{
    const auto &answer = m_state.lastAnswer().edit.value();
    expect(answer.status() == m_naive.editStatus, "edit answer differs from the naive version: " + answer.message());
    if (!edit.request_id().empty()) {
        const auto [first, isNew] = m_firstAnswers.emplace(edit.request_id(), answer.SerializeAsString());
        expect(first->second == answer.SerializeAsString(), "a resent edit did not get its first answer");
    }
}

/// Applies two edits of the same rows that are based on the same revisions.
void StateRun::raceEdits()
{
    ++m_faults["racing_edits"];
    const auto first = m_commands.edit(m_state.view());
    auto second = first;
    second.mutable_edit_table()->set_request_id(first.edit_table().request_id() + "-rival");
    const auto before = m_state.view().toWire();
    apply(first);
    const bool isChanged = m_state.lastAnswer().edit->status() == wire::ACCEPTED && m_state.view().toWire().digest() != before.digest();
    apply(second);
    expect(!isChanged || m_state.lastAnswer().edit->status() == wire::CONFLICT, "both of two edits with equal revisions were accepted");
}

void StateRun::resend()
{
    ++m_faults["resends"];
    const auto window = std::min(m_sentEdits.size(), resendWindow);
    const auto edit = m_sentEdits[m_sentEdits.size() - 1 - m_random.below(window)];
    apply(edit);
}

/// Simulates a controller restart: the state is restored from its snapshot and the deltas are lost.
void StateRun::restart()
{
    ++m_faults["restarts"];
    const auto snapshot = m_state.snapshot();
    ClusterState restored;
    const bool ok = handleError(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(restored.restore(snapshot));
            return true;
        },
        [](const Error &) { return false; });
    expect(ok, "the snapshot cannot be restored");
    expect(restored.snapshot() == snapshot, "the snapshot of a restored state differs");
    expect(dump(restored.view()) == dump(m_state.view()), "a restored state differs");
    m_state = std::move(restored);
}

void StateRun::checkState(const wire::ViewState &before)
{
    const auto &view = m_state.view();
    expect(dump(view) == m_naive.dump(), fmt::format("differs from the naive version:\n{}naive:\n{}", dump(view), m_naive.dump()));
    expect(view.version().value == m_index && before.version() < m_index, "version does not follow the log");
    expect(view.digest() == view.computeDigest(), "digest differs from the recomputed one");
    for (const auto &[key, row] : view.rows()) {
        auto &last = m_lastRevisions[toString(key)];
        expect(row.revision() >= last, "revision went back");
        last = row.revision();
    }
    for (const auto &service : view.services()) {
        for (const auto &it : view.assignments(service)) {
            checkOwner(fmt::format("{}/{}", service, it.partition()), *view.ownerOf(service, PartitionId{ it.partition() }));
        }
        for (std::uint64_t hash = 0; hash < checkedKeyHashes; ++hash) {
            if (const auto owner = view.ownerOf(service, KeyHash{ hash })) {
                checkOwner(fmt::format("{}#{}", service, hash), *owner);
            }
        }
    }
}

/// Checks the change of owner of a partition, or of a key also when its override begins or ends.
void StateRun::checkOwner(const std::string &item, const Owner &current)
{
    auto &last = m_lastOwners[item];
    expect(current.epoch >= last.epoch, item + ": epoch went back");
    if (current.session && current.session != last.session) {
        const bool wasFree = !last.session || m_state.view().session(last.session) == nullptr;
        expect(wasFree || last.movingTo == current.session, item + ": owner replaced without a release");
        expect(current.epoch > last.epoch, item + ": two owners with one epoch");
        expect(m_state.view().session(current.session) != nullptr, item + ": the owner is not registered");
        expect(current.hotKey || item.find('#') != std::string::npos || m_usedEpochs.insert(current.epoch).second,
               item + ": epoch used twice");
    }
    expect(!last.session || current.session || current.crashed, item + ": an owner was lost without a trace");
    last = current;
}

void StateRun::copyView()
{
    expect(m_view.applySnapshot(m_state.view().toWire()), "a full copy does not match its digest");
}

void StateRun::updateView()
{
    if (m_commands.oneIn(3)) {
        ++m_faults["late_deltas"];
        return;
    }
    const auto deltas = m_state.deltasSince(m_view.version());
    if (!deltas) {
        ++m_faults["full_copies"];
        copyView();
    } else {
        for (const auto &it : deltas->deltas()) {
            deliverDelta(it);
        }
    }
    if (m_view.version() == m_state.view().version()) {
        expect(dump(m_view) == dump(m_state.view()), "the view differs from the state at the same version");
        expect(m_view.digest() == m_state.view().digest(), "the digest of the view differs at the same version");
    }
}

void StateRun::deliverDelta(const wire::ViewDelta &delta)
{
    const auto before = dump(m_view);
    const auto version = m_view.version();
    const bool isInSequence = delta.from_version() == version.value;
    if (m_commands.oneIn(50)) {
        ++m_faults["lost_deltas"];
        return;
    }
    if (isInSequence && m_commands.oneIn(50)) {
        ++m_faults["altered_deltas"];
        auto altered = delta;
        altered.add_removed_sessions(1);
        altered.add_rows()->set_service("drift");
        expect(!m_view.applyDelta(altered) && m_view.version() == LogIndex(), "a view that has drifted stays in use");
        copyView();
        return;
    }
    expect(m_view.applyDelta(delta) == isInSequence, "applyDelta misjudged whether the delta fits");
    expect(isInSequence || (m_view.version() == version && dump(m_view) == before), "a delta out of order changed the view");
    if (isInSequence && m_commands.oneIn(20)) {
        ++m_faults["repeated_deltas"];
        const auto after = dump(m_view);
        expect(!m_view.applyDelta(delta) && dump(m_view) == after, "a repeated delta changed the view");
    }
}

} // namespace Toucandeck::testing
