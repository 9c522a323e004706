#pragma once

#include "state/cluster_state.h"
#include "state/table_columns.h"

#include <initializer_list>
#include <string>
#include <vector>

namespace Toucandeck::testing
{

/// Edit of one row from text. Throws on an invalid edit; tests set invalid values in the message directly.
inline wire::RowEdit rowEdit(const std::string &key, std::vector<std::string> columns, std::uint64_t expectedRevision = 0)
{
    return handleError([&] { return parseRowEdit(key, columns, Revision{ expectedRevision }); },
                       [](const Error &error) -> wire::RowEdit { throw std::runtime_error(error.message); });
}

inline wire::Command editCommand(const std::string &requestId, std::initializer_list<wire::RowEdit> edits)
{
    wire::Command command;
    command.mutable_edit_table()->set_request_id(requestId);
    for (const auto &it : edits) {
        *command.mutable_edit_table()->add_edits() = it;
    }
    return command;
}

inline wire::Command registerCommand(std::uint64_t id, const std::string &service, const std::string &domain, const std::string &instance)
{
    wire::Command command;
    auto &session = *command.mutable_register_session()->mutable_session();
    session.set_session(id);
    session.set_service(service);
    session.set_failure_domain(domain);
    session.set_instance(instance);
    session.set_message_address("tcp://127.0.0.1:" + std::to_string(5000 + id % 1000));
    session.set_backend_ready(true);
    return command;
}

inline wire::Command expireCommand(std::uint64_t id)
{
    wire::Command command;
    command.mutable_expire_session()->set_session(id);
    return command;
}

inline void
fillGrant(wire::PartitionGrant &grant, const std::string &service, std::uint32_t partition, std::uint64_t session, std::uint64_t epoch)
{
    grant.set_service(service);
    grant.set_partition(partition);
    grant.set_session(session);
    grant.set_previous_epoch(epoch);
    grant.set_wall_time_ms(1'000'000);
}

inline wire::Command grantCommand(const std::string &service, std::uint32_t partition, std::uint64_t session, std::uint64_t epoch)
{
    wire::Command command;
    fillGrant(*command.mutable_grant_partitions()->add_grants(), service, partition, session, epoch);
    return command;
}

inline wire::Command moveCommand(const std::string &service, std::uint32_t partition, std::uint64_t session, std::uint64_t epoch)
{
    wire::Command command;
    fillGrant(*command.mutable_begin_moves()->add_moves(), service, partition, session, epoch);
    return command;
}

inline wire::Command releaseCommand(const std::string &service, std::uint32_t partition, std::uint64_t session, std::uint64_t receiver = 0)
{
    wire::Command command;
    auto &release = *command.mutable_release_partitions();
    release.set_service(service);
    release.set_session(session);
    release.add_partitions(partition);
    release.set_receiver(receiver);
    return command;
}

inline wire::Command
hotKeyCommand(const std::string &service, std::uint64_t hash, std::uint64_t owner, std::uint64_t movingTo, std::uint64_t epoch)
{
    wire::Command command;
    auto &set = *command.mutable_set_hot_key();
    set.set_previous_epoch(epoch);
    set.mutable_hot_key()->set_service(service);
    set.mutable_hot_key()->set_key_hash(hash);
    set.mutable_hot_key()->set_owner(owner);
    set.mutable_hot_key()->set_moving_to(movingTo);
    set.mutable_hot_key()->set_crash_granted_ms(2'000'000);
    return command;
}

inline wire::Command releaseHotKeyCommand(const std::string &service, std::uint64_t hash, std::uint64_t session, std::uint64_t receiver = 0)
{
    wire::Command command;
    auto &release = *command.mutable_release_hot_key();
    release.set_service(service);
    release.set_key_hash(hash);
    release.set_session(session);
    release.set_receiver(receiver);
    return command;
}

/// Applies commands to a ClusterState at consecutive log indexes.
class StateHarness
{
public:
    const CommandAnswer &apply(const wire::Command &command)
    {
        state.apply(LogIndex{ ++lastIndex }, command.SerializeAsString());
        return state.lastAnswer();
    }

    wire::EditAnswer edit(const std::string &requestId, std::initializer_list<wire::RowEdit> edits)
    {
        return apply(editCommand(requestId, edits)).edit.value();
    }

    const View &view() const
    {
        return state.view();
    }

    ClusterState state;
    std::uint64_t lastIndex = 0;
};

} // namespace Toucandeck::testing
