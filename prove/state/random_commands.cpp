#include "prove/state/random_commands.h"

#include "test/state/command_builders.h"

namespace Toucandeck::testing
{

namespace
{

const std::vector<std::string> services{ "clue-svc", "hunt-svc", "judge-svc" };
const std::vector<std::string> domains{ "jm-a", "jm-b" };
const std::vector<std::string> instances{ "one", "two" };
const std::vector<std::string> keyValues{ "none", "segment:0", "segment:1", "segment:2", "header:Toucandeck-Key", "segment:x" };
constexpr std::uint32_t partitionNumberLimit = 10; // two more than the keyed services have
constexpr std::uint64_t hotKeyHashLimit = 12;

} // namespace

RandomCommands::RandomCommands(RandomSource &random)
    : m_random(random)
{
}

bool RandomCommands::oneIn(std::uint64_t n)
{
    return m_random.below(n) == 0;
}

template<class T>
const T &RandomCommands::pick(const std::vector<T> &all)
{
    return all[m_random.below(all.size())];
}

std::string RandomCommands::service()
{
    return pick(services);
}

std::uint64_t RandomCommands::session(const View &view)
{
    if (view.sessions().empty() || oneIn(10)) {
        return m_random.below(4);
    }
    return std::next(view.sessions().begin(), static_cast<long>(m_random.below(view.sessions().size())))->first.value;
}

std::uint64_t RandomCommands::sessionOf(const View &view, const std::string &service)
{
    const auto &all = view.instancesOf(service);
    return all.empty() || oneIn(8) ? session(view) : pick(all).id.value;
}

wire::Command RandomCommands::next(const View &view)
{
    switch (m_random.below(20)) {
    case 0:
    case 1:
    case 2:
        return edit(view);
    case 3:
    case 4:
    case 5:
        return registration(view);
    case 6:
        return sessionEnd(view);
    case 7:
    case 8:
    case 9:
    case 10:
        return grants(view, false);
    case 11:
    case 12:
    case 13:
        return grants(view, true);
    case 14:
    case 15:
        return release(view);
    case 16:
    case 17:
        return hotKey(view);
    case 18:
        return hotKeyRelease(view);
    default:
        return {};
    }
}

void RandomCommands::randomValues(wire::TableRow &row)
{
    if (oneIn(3)) {
        row.set_weight(static_cast<std::uint32_t>(m_random.below(oneIn(10) ? 2000 : 1001)));
    }
    if (oneIn(4)) {
        row.set_slots(static_cast<std::uint32_t>(m_random.below(20)));
    }
    if (oneIn(4)) {
        row.set_connections(static_cast<std::uint32_t>(1 + m_random.below(200)));
    }
    if (oneIn(3)) {
        row.set_state(static_cast<wire::RowState>(1 + m_random.below(3)));
    }
    if (oneIn(6)) {
        row.set_leave_time_ms(static_cast<std::int64_t>(m_random.below(2'000'000'000'000)));
    }
    if (oneIn(row.failure_domain().empty() ? 2 : 20)) {
        row.set_key(pick(keyValues));
    }
    if (oneIn(row.failure_domain().empty() ? 2 : 20)) {
        row.set_partitions(oneIn(8) ? static_cast<std::uint32_t>(m_random.below(12)) : 8);
    }
    if (oneIn(8) && row.failure_domain().empty()) {
        row.set_fenced(oneIn(2));
    }
}

wire::RowEdit RandomCommands::randomRowEdit(const View &view)
{
    wire::RowEdit edit;
    auto &row = *edit.mutable_row();
    const auto form = m_random.below(9);
    if (form != 1) {
        row.set_service(service());
    }
    if (form != 0 && form < 7) {
        row.set_failure_domain(pick(domains));
    }
    if (form == 2 || form == 3 || form == 8) {
        row.set_instance(pick(instances));
    }
    randomValues(row);
    if (oneIn(6)) {
        edit.add_clear(oneIn(8) ? "colour" : std::string(tableColumns()[m_random.below(tableColumns().size())].name));
    }
    const auto *current = view.row(keyOf(row));
    edit.set_seen_revision(oneIn(8) ? m_random.below(50) : current == nullptr ? 0 : current->revision());
    return edit;
}

wire::Command RandomCommands::edit(const View &view)
{
    wire::Command command;
    auto &edit = *command.mutable_edit_table();
    edit.set_request_id(oneIn(50) ? std::string() : "request-" + std::to_string(++m_lastRequest));
    const auto n = oneIn(30) ? 0 : oneIn(3) ? 1 + m_random.below(3) : 1;
    for (std::uint64_t i = 0; i < n; ++i) {
        *edit.add_edits() = randomRowEdit(view);
    }
    return command;
}

wire::Command RandomCommands::registration(const View &view)
{
    const auto id = oneIn(6) ? session(view) : 0x1000 + ++m_lastSession;
    auto command = registerCommand(id, service(), pick(domains), oneIn(30) ? std::string() : pick(instances));
    command.mutable_register_session()->mutable_session()->set_cold(oneIn(2));
    return command;
}

wire::Command RandomCommands::sessionEnd(const View &view)
{
    auto command = expireCommand(session(view));
    if (oneIn(3)) {
        command.mutable_close_session()->set_session(session(view));
    }
    return command;
}

wire::Command RandomCommands::grants(const View &view, bool moves)
{
    wire::Command command;
    const auto name = service();
    const auto all = view.assignments(name);
    const auto n = 1 + m_random.below(4);
    for (std::uint64_t i = 0; i < n; ++i) {
        const auto partition = static_cast<std::uint32_t>(m_random.below(partitionNumberLimit));
        const auto current = partition < all.size() ? all[partition].epoch() : 0;
        const auto epoch = oneIn(8) ? m_random.below(current + 2) : current;
        const auto receiver = moves && oneIn(10) ? 0 : sessionOf(view, name);
        auto &grant = moves ? *command.mutable_begin_moves()->add_moves() : *command.mutable_grant_partitions()->add_grants();
        fillGrant(grant, name, partition, receiver, epoch);
        grant.set_wall_time_ms(static_cast<std::int64_t>(1 + m_random.below(1'000'000)));
    }
    return command;
}

wire::Command RandomCommands::release(const View &view)
{
    const auto name = service();
    const auto all = view.assignments(name);
    const auto partition = static_cast<std::uint32_t>(m_random.below(partitionNumberLimit));
    const bool isKnown = partition < all.size() && !oneIn(6);
    const auto owner = isKnown ? all[partition].owner() : session(view);
    const auto receiver = oneIn(2) ? 0 : isKnown && !oneIn(4) ? all[partition].moving_to() : session(view);
    return releaseCommand(name, partition, owner, receiver);
}

wire::Command RandomCommands::hotKey(const View &view)
{
    const auto name = service();
    const auto hash = m_random.below(hotKeyHashLimit);
    const auto current = view.ownerOf(name, KeyHash{ hash });
    const auto epoch = current && !oneIn(6) ? current->epoch.value : m_random.below(20);
    if (oneIn(4)) {
        return hotKeyCommand(name, hash, 0, 0, epoch);
    }
    const auto owner = current && current->session && !oneIn(6) ? current->session.value : sessionOf(view, name);
    const bool isGrant = current && !current->session;
    return hotKeyCommand(name, hash, owner, isGrant || oneIn(3) ? 0 : sessionOf(view, name), epoch);
}

wire::Command RandomCommands::hotKeyRelease(const View &view)
{
    const auto name = service();
    const auto hash = m_random.below(hotKeyHashLimit);
    const auto current = view.ownerOf(name, KeyHash{ hash });
    const auto owner = current && !oneIn(6) ? current->session.value : session(view);
    return releaseHotKeyCommand(name, hash, owner, oneIn(4) ? session(view) : 0);
}

} // namespace Toucandeck::testing
