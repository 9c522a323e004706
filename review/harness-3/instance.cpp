#include "instance.h"

#include <algorithm>
#include <cstdlib>
#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>

namespace Review
{

namespace
{

using nlohmann::json;

constexpr Milliseconds kPoll{ 50 };
constexpr Milliseconds kAnswerLimit{ 1000 }; ///< A heartbeat is acknowledged if the answer arrives within a second.
constexpr Milliseconds kReleaseBeat{ 100 };
constexpr Milliseconds kIdleLimit{ 10000 };

std::string responseText(int status, const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + (status < 300 ? " OK" : " Refused") + "\r\n" + headers
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

Instance::Instance(InstanceOptions options, Record &record)
    : m_options(std::move(options))
    , m_record(record)
    , m_bornMs(std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
{
}

Instance::~Instance()
{
    stop();
}

bool Instance::start()
{
    m_listener = Socket::listen(m_options.listen);
    if (!m_listener.isOpen()) {
        return false;
    }
    m_acceptor = std::thread([this] { acceptConnections(); });
    m_beater = std::thread([this] {
        auto next = Clock::now();
        while (!m_stopped) {
            beat();
            const bool releasing = [this] {
                const std::lock_guard lock(m_mutex);
                return !m_freed.empty();
            }();
            next = releasing ? Clock::now() + kReleaseBeat : std::max(next + m_options.heartbeat, Clock::now());
            while (!m_stopped && Clock::now() < next) {
                std::this_thread::sleep_for(Milliseconds(5));
            }
        }
    });
    return true;
}

void Instance::stop()
{
    if (m_stopped.exchange(true)) {
        return;
    }
    if (m_acceptor.joinable()) {
        m_acceptor.join();
    }
    if (m_beater.joinable()) {
        m_beater.join();
    }
    for (auto &[socket, thread] : m_connections) {
        socket->shutdown();
        thread.join();
    }
    m_listener.close();
}

const std::string &Instance::id() const
{
    return m_options.id;
}

std::uint64_t Instance::beats() const
{
    return m_beats;
}

std::vector<Instance::Row> Instance::holds()
{
    const std::lock_guard lock(m_mutex);
    expire();
    return m_rows;
}

std::vector<Run> Instance::runs()
{
    const std::lock_guard lock(m_mutex);
    return m_runs;
}

void Instance::acceptConnections()
{
    while (!m_stopped) {
        pollfd it{ m_listener.descriptor(), POLLIN, 0 };
        if (::poll(&it, 1, static_cast<int>(kPoll.count())) <= 0) {
            continue;
        }
        const int descriptor = ::accept4(m_listener.descriptor(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (descriptor >= 0) {
            const auto socket = std::make_shared<Socket>(descriptor);
            m_connections.emplace_back(socket, std::thread([this, socket] { serve(socket); }));
        }
    }
}

void Instance::serve(const std::shared_ptr<Socket> &socket)
{
    std::string rest;
    while (!m_stopped) {
        const auto request = readMessage(*socket, rest, kIdleLimit);
        if (!request || !socket->send(respond(*request), kIdleLimit)) {
            break;
        }
    }
    socket->shutdown();
}

std::string Instance::respond(const Message &request)
{
    const auto id = request.header("x-toucandeck-request-id");
    const auto expected = request.header("x-toucandeck-expected-instance");
    const auto key = request.header("x-toucandeck-shard-key");
    const auto echo = "X-Toucandeck-Request-Id: " + id + "\r\n";
    const auto refused = echo + "X-Toucandeck-Not-Executed: 1\r\n";
    if (id.empty()) {
        return responseText(400, "X-Toucandeck-Not-Executed: 1\r\n", "");
    }
    if ((!expected.empty() && expected != m_options.id) || (!key.empty() && !holdsKey(std::strtoull(key.c_str(), nullptr, 10)))) {
        return responseText(421, refused, "");
    }
    {
        const std::lock_guard lock(m_mutex);
        if (m_running >= m_options.slots) {
            return responseText(503, refused, "");
        }
        ++m_running;
        m_runs.push_back({ m_options.id, id, request.startLine, request.body });
    }
    m_record.write(m_options.id + " runs " + (id.empty() ? "(no id)" : id) + ": " + request.startLine + ", body of "
                   + std::to_string(request.body.size()) + " bytes");
    std::this_thread::sleep_for(m_options.work);
    const std::lock_guard lock(m_mutex);
    --m_running;
    const bool isReport = request.startLine.find("/report ") != std::string::npos;
    return responseText(
        200, echo + "X-Toucandeck-Response-Seal: seal-" + id + "\r\n", isReport ? std::string(m_options.reportBytes, 'r') : "done " + id);
}

bool Instance::holdsKey(std::uint64_t key)
{
    const std::lock_guard lock(m_mutex);
    expire();
    for (const auto &it : m_rows) {
        if (it[0] <= key && key <= it[1]) {
            return true;
        }
    }
    return false;
}

void Instance::expire()
{
    if (Clock::now() >= m_holdEnd && !m_rows.empty()) {
        m_rows.clear();
        m_record.write(m_options.id + " holds nothing any more: the hold time has passed");
    }
}

void Instance::beat()
{
    json body{ { "service", m_options.service }, { "address", m_options.listen.text() },
               { "zone", m_options.zone },       { "version", "v1" },
               { "slots", m_options.slots },     { "state", "ready" },
               { "coldRemaining", "0ms" },       { "born", m_bornMs },
               { "holds", json::array() },       { "freed", json::array() } };
    std::size_t freed = 0;
    {
        const std::lock_guard lock(m_mutex);
        expire();
        body["seqNum"] = ++m_sequence;
        for (const auto &it : m_rows) {
            body["holds"].push_back(it);
        }
        body["freed"] = m_freed;
        freed = m_freed.size();
    }
    const auto text = body.dump();
    const auto sentAt = Clock::now();
    ++m_beats;
    const auto answer
        = exchange(m_options.control,
                   "POST /toucandeck/instances/" + m_options.id + "/heartbeat HTTP/1.1\r\nHost: control\r\n"
                       + "Content-Type: application/json\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text,
                   kAnswerLimit);
    if (!answer || answer->status() != 200) {
        return;
    }
    const std::lock_guard lock(m_mutex);
    m_freed.erase(m_freed.begin(), m_freed.begin() + static_cast<std::ptrdiff_t>(freed));
    take(json::parse(answer->body, nullptr, false), sentAt);
}

void Instance::take(const json &answer, Clock::time_point sentAt)
{
    if (!answer.is_object() || !answer.contains("holds") || !answer.contains("hold_time")) {
        return; // It renews nothing.
    }
    expire();
    std::vector<Row> rows;
    for (const auto &it : answer["holds"]) {
        rows.push_back({ it[0].get<std::uint64_t>(), it[1].get<std::uint64_t>(), it[2].get<std::uint64_t>() });
    }
    for (const auto &old : m_rows) {
        // Cases of this review do not shrink rows: a row is kept as it is, or released.
        if (std::find(rows.begin(), rows.end(), old) == rows.end()) {
            m_freed.push_back(json::array({ old[0], old[1], "t-" + m_options.id + "-" + std::to_string(old[2]) }));
            m_record.write(m_options.id + " releases " + std::to_string(old[0]) + "-" + std::to_string(old[1]));
        }
    }
    const auto hold = Milliseconds(std::strtol(answer["hold_time"].get<std::string>().c_str(), nullptr, 10));
    for (const auto &it : rows) {
        if (std::find(m_rows.begin(), m_rows.end(), it) == m_rows.end()) {
            m_record.write(m_options.id + " takes " + std::to_string(it[0]) + "-" + std::to_string(it[1]) + " with token "
                           + std::to_string(it[2]) + " for " + std::to_string(hold.count()) + " ms");
        }
    }
    m_rows = std::move(rows);
    m_holdEnd = sentAt + hold;
}

} // namespace Review
