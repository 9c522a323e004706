#pragma once

#include "http.h"

#include <array>
#include <atomic>
#include <list>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>
#include <vector>

namespace Review
{

struct InstanceOptions
{
    std::string id;
    Address listen; ///< Where it serves, beside its gateway.
    Address control; ///< Of its gateway, for heartbeats.
    std::string service;
    std::string zone;
    Milliseconds work{ 20 }; ///< A request takes this long.
    Milliseconds heartbeat{ 1500 };
    unsigned slots = 9;
    std::size_t reportBytes = 0; ///< Size of the answers to requests whose path ends in /report.
};

/// A run of a request at an instance.
struct Run
{
    std::string instance;
    std::string id; ///< X-Toucandeck-Request-Id
    std::string startLine;
    std::string body;
};

/// An instance as the pages describe it: announces itself, holds the keys that it is granted until the hold time has passed, and refuses
/// what is meant for another instance or for keys that it does not hold.
class Instance
{
public:
    Instance(InstanceOptions options, Record &record);
    ~Instance();
    Instance(const Instance &) = delete;
    Instance &operator=(const Instance &) = delete;

    bool start();
    void stop();

    const std::string &id() const;
    /// Number of heartbeats that it has sent.
    std::uint64_t beats() const;
    /// Ranges of keys that it holds at this moment, each with its fencing token.
    std::vector<std::array<std::uint64_t, 3>> holds();
    std::vector<Run> runs();

private:
    using Row = std::array<std::uint64_t, 3>;

    void acceptConnections();
    void serve(const std::shared_ptr<Socket> &socket);
    std::string respond(const Message &request);
    bool holdsKey(std::uint64_t key);
    void beat();
    void take(const nlohmann::json &answer, Clock::time_point sentAt);
    void expire();

    InstanceOptions m_options;
    Record &m_record;
    std::int64_t m_bornMs;
    Socket m_listener;
    std::atomic<bool> m_stopped{ false };
    std::thread m_acceptor;
    std::thread m_beater;
    std::mutex m_mutex;
    std::list<std::pair<std::shared_ptr<Socket>, std::thread>> m_connections;
    std::vector<Row> m_rows;
    Clock::time_point m_holdEnd;
    std::vector<nlohmann::json> m_freed; ///< Released since the last acknowledged heartbeat.
    std::uint64_t m_sequence = 0;
    std::atomic<std::uint64_t> m_beats{ 0 };
    unsigned m_running = 0;
    std::vector<Run> m_runs;
};

} // namespace Review
