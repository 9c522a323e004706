// Stand-ins and processes for the cases of the review: a small deployment on loopback addresses, with the real programs.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <sstream>
#include <stdexcept>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace Review
{

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Exit codes of a case.
enum class Verdict {
    Held = 0,
    Broken = 1,
    CouldNotRun = 2,
};

struct Address
{
    std::string ip;
    int port = 0;

    std::string text() const
    {
        return ip + ":" + std::to_string(port);
    }
};

inline sockaddr_in toSockaddr(const Address &address)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(address.port));
    ::inet_pton(AF_INET, address.ip.c_str(), &out.sin_addr);
    return out;
}

inline void sleepFor(milliseconds time)
{
    std::this_thread::sleep_for(time);
}

/// Writes what happened, with the time since the start of the case, to a file.
class Record
{
public:
    explicit Record(const std::string &path)
        : m_out(path)
        , m_start(Clock::now())
    {
    }

    std::int64_t nowMs() const
    {
        return std::chrono::duration_cast<milliseconds>(Clock::now() - m_start).count();
    }

    void write(const std::string &line)
    {
        const std::lock_guard guard(m_mutex);
        m_out << nowMs() << " ms  " << line << std::endl;
    }

private:
    std::ofstream m_out;
    Clock::time_point m_start;
    std::mutex m_mutex;
};

struct Message
{
    std::string startLine;
    std::multimap<std::string, std::string> headers; ///< Names in lower case.
    std::string body;

    std::string header(const std::string &name) const
    {
        const auto it = headers.find(name);
        return it == headers.end() ? std::string() : it->second;
    }

    int status() const
    {
        return startLine.size() < 12 ? 0 : std::atoi(startLine.c_str() + 9);
    }
};

/// Reads HTTP/1.1 messages with a length or in chunks from a socket.
class MessageReader
{
public:
    explicit MessageReader(int descriptor)
        : m_descriptor(descriptor)
    {
    }

    /// Nothing at the end of the connection, after an error or at the deadline.
    std::optional<Message> read(Clock::time_point deadline, bool isBodyless = false)
    {
        Message message;
        if (!readLine(message.startLine, deadline)) {
            return std::nullopt;
        }
        std::string line;
        while (readLine(line, deadline)) {
            if (line.empty()) {
                return readBody(message, deadline, isBodyless) ? std::optional(message) : std::nullopt;
            }
            const auto colon = line.find(':');
            auto name = line.substr(0, colon);
            for (auto &c : name) {
                c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
            }
            const auto from = colon == std::string::npos ? std::string::npos : line.find_first_not_of(' ', colon + 1);
            message.headers.emplace(name, from == std::string::npos ? std::string() : line.substr(from));
        }
        return std::nullopt;
    }

private:
    bool fill(Clock::time_point deadline)
    {
        const auto left = std::chrono::duration_cast<milliseconds>(deadline - Clock::now()).count();
        pollfd it{ m_descriptor, POLLIN, 0 };
        if (left <= 0 || ::poll(&it, 1, static_cast<int>(left)) <= 0) {
            return false;
        }
        char buf[4096];
        const auto n = ::recv(m_descriptor, buf, sizeof(buf), 0);
        if (n <= 0) {
            return false;
        }
        m_buf.append(buf, static_cast<std::size_t>(n));
        return true;
    }

    bool readLine(std::string &line, Clock::time_point deadline)
    {
        std::size_t end = 0;
        while ((end = m_buf.find("\r\n")) == std::string::npos) {
            if (!fill(deadline)) {
                return false;
            }
        }
        line = m_buf.substr(0, end);
        m_buf.erase(0, end + 2);
        return true;
    }

    bool readBytes(std::string &out, std::size_t n, Clock::time_point deadline)
    {
        while (m_buf.size() < n) {
            if (!fill(deadline)) {
                return false;
            }
        }
        out += m_buf.substr(0, n);
        m_buf.erase(0, n);
        return true;
    }

    bool readBody(Message &message, Clock::time_point deadline, bool isBodyless)
    {
        if (isBodyless) {
            return true;
        }
        if (message.header("transfer-encoding") != "chunked") {
            return readBytes(message.body, std::strtoul(message.header("content-length").c_str(), nullptr, 10), deadline);
        }
        std::string line;
        while (readLine(line, deadline)) {
            const auto n = std::strtoul(line.c_str(), nullptr, 16);
            if (!readBytes(message.body, n, deadline) || !readLine(line, deadline)) {
                return false;
            }
            if (n == 0) {
                return true;
            }
        }
        return false;
    }

    int m_descriptor;
    std::string m_buf;
};

/// Connects within @p limit; negative if it cannot.
inline int connectTo(const Address &address, milliseconds limit, const std::string &source = {})
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (!source.empty()) {
        const auto own = toSockaddr({ source, 0 });
        ::bind(descriptor, reinterpret_cast<const sockaddr *>(&own), sizeof(own));
    }
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    ::fcntl(descriptor, F_SETFL, O_NONBLOCK);
    const auto sa = toSockaddr(address);
    ::connect(descriptor, reinterpret_cast<const sockaddr *>(&sa), sizeof(sa));
    pollfd it{ descriptor, POLLOUT, 0 };
    int ec = 0;
    socklen_t n = sizeof(ec);
    const bool isReady = ::poll(&it, 1, static_cast<int>(limit.count())) > 0;
    if (!isReady || ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &ec, &n) != 0 || ec != 0) {
        ::close(descriptor);
        return -1;
    }
    ::fcntl(descriptor, F_SETFL, 0);
    return descriptor;
}

inline bool sendAll(int descriptor, std::string_view data)
{
    while (!data.empty()) {
        const auto n = ::send(descriptor, data.data(), data.size(), MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        data.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

using Headers = std::vector<std::pair<std::string, std::string>>;

inline std::string formatRequest(const std::string &method, const std::string &target, const Headers &headers, const std::string &body)
{
    std::string out = method + " " + target + " HTTP/1.1\r\n";
    for (const auto &[name, value] : headers) {
        out += name + ": " + value + "\r\n";
    }
    if (!body.empty() || method != "GET") {
        out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return out + "\r\n" + body;
}

/// Sends one request on a connection of its own; nothing without a complete answer in time.
inline std::optional<Message> exchange(const Address &address, const std::string &request, milliseconds limit)
{
    const auto deadline = Clock::now() + limit;
    const int descriptor = connectTo(address, std::min(limit, milliseconds(1000)));
    if (descriptor < 0) {
        return std::nullopt;
    }
    std::optional<Message> answer;
    if (sendAll(descriptor, request)) {
        answer = MessageReader(descriptor).read(deadline);
    }
    ::close(descriptor);
    return answer;
}

/// Listens on an address and serves each connection on a thread of its own until it is stopped.
class Listener
{
public:
    using Handler = std::function<void(int descriptor, const std::atomic<bool> &stopped)>;

    Listener(const Address &address, Handler handler)
        : m_handler(std::move(handler))
    {
        m_descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(m_descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        const auto sa = toSockaddr(address);
        if (::bind(m_descriptor, reinterpret_cast<const sockaddr *>(&sa), sizeof(sa)) != 0 || ::listen(m_descriptor, 512) != 0) {
            throw std::runtime_error("cannot listen on " + address.text());
        }
        m_thread = std::thread([this] { run(); });
    }

    ~Listener()
    {
        stop();
    }

    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

    void stop()
    {
        if (m_stopped.exchange(true)) {
            return;
        }
        m_thread.join();
        ::close(m_descriptor);
        {
            const std::lock_guard guard(m_mutex);
            for (const int it : m_open) {
                ::shutdown(it, SHUT_RDWR);
            }
        }
        for (auto &it : m_workers) {
            it.join();
        }
    }

private:
    void run()
    {
        while (!m_stopped) {
            pollfd it{ m_descriptor, POLLIN, 0 };
            if (::poll(&it, 1, 50) <= 0) {
                continue;
            }
            const int accepted = ::accept4(m_descriptor, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0) {
                continue;
            }
            const int on = 1;
            ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            const std::lock_guard guard(m_mutex);
            m_open.push_back(accepted);
            m_workers.emplace_back([this, accepted] {
                m_handler(accepted, m_stopped);
                const std::lock_guard closing(m_mutex);
                m_open.remove(accepted);
                ::close(accepted);
            });
        }
    }

    Handler m_handler;
    int m_descriptor = -1;
    std::atomic<bool> m_stopped = false;
    std::mutex m_mutex;
    std::list<int> m_open;
    std::list<std::thread> m_workers;
    std::thread m_thread;
};

/// One run of a request at a server.
struct Run
{
    std::int64_t atMs = 0;
    std::string server;
    std::string service;
    std::string id;
    std::string line;
    std::string body;
    std::string caller;
    bool finished = false;
};

/// A backend server: runs requests, answers health checks, and announces itself to the gateway beside it.
class Server
{
public:
    struct Options
    {
        std::string id;
        std::string service;
        std::string zone;
        Address address;
        Address control;
        milliseconds work{ 20 };
        milliseconds heartbeat{ 1500 };
        int slots = 9;
    };

    Server(Record &record, Options options)
        : m_record(record)
        , m_options(std::move(options))
        , m_born(std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
    {
        m_listener = std::make_unique<Listener>(m_options.address,
                                                [this](int descriptor, const std::atomic<bool> &stopped) { serve(descriptor, stopped); });
        m_beats = std::thread([this] {
            while (!m_silent) {
                beat();
                const auto next = Clock::now() + m_options.heartbeat;
                while (!m_silent && Clock::now() < next) {
                    sleepFor(milliseconds(10));
                }
            }
        });
    }

    ~Server()
    {
        stop();
    }

    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    /// The process ends: connections close, whatever runs on them.
    void stop()
    {
        endHeartbeats();
        m_listener->stop();
    }

    /// Sends no more heartbeats.
    void endHeartbeats()
    {
        m_silent = true;
        if (m_beats.joinable()) {
            m_beats.join();
        }
    }

    /// The next heartbeat, not sent yet.
    std::string nextBeat(const std::string &state = "ready")
    {
        const std::lock_guard guard(m_mutex);
        std::ostringstream body;
        body << R"({"service":")" << m_options.service << R"(","address":")" << m_options.address.text() << R"(","zone":")"
             << m_options.zone << R"(","version":"v1","slots":)" << m_options.slots << R"(,"state":")" << state
             << R"(","coldRemaining":"0ms","seqNum":)" << ++m_sequence << R"(,"born":)" << m_born << "}";
        return formatRequest("POST",
                             "/toucandeck/instances/" + m_options.id + "/heartbeat",
                             { { "Host", "control" }, { "Content-Type", "application/json" } },
                             body.str());
    }

    int post(const std::string &request)
    {
        const auto answer = exchange(m_options.control, request, milliseconds(1000));
        return answer ? answer->status() : 0;
    }

    int beat()
    {
        return post(nextBeat());
    }

    int deregister()
    {
        const int status
            = post(formatRequest("POST", "/toucandeck/instances/" + m_options.id + "/deregister", { { "Host", "control" } }, {}));
        m_record.write(m_options.id + ": deregister is answered " + std::to_string(status));
        return status;
    }

    std::vector<Run> runs() const
    {
        const std::lock_guard guard(m_mutex);
        return { m_runs.begin(), m_runs.end() };
    }

    const Options &options() const
    {
        return m_options;
    }

private:
    void serve(int descriptor, const std::atomic<bool> &stopped)
    {
        MessageReader reader(descriptor);
        while (!stopped) {
            const auto request = reader.read(Clock::now() + std::chrono::seconds(60));
            if (!request || !answer(descriptor, *request, stopped)) {
                return;
            }
        }
    }

    bool answer(int descriptor, const Message &request, const std::atomic<bool> &stopped)
    {
        if (request.startLine.starts_with("GET /health ")) {
            return sendAll(descriptor, "HTTP/1.1 200 OK\r\nX-Toucandeck-Instance-Id: " + m_options.id + "\r\nContent-Length: 0\r\n\r\n");
        }
        const auto id = request.header("x-toucandeck-request-id");
        const auto expected = request.header("x-toucandeck-expected-instance");
        if (!expected.empty() && expected != m_options.id) {
            m_record.write(m_options.id + ": refuses " + id + ", which expects " + expected);
            return sendAll(descriptor,
                           "HTTP/1.1 421 Misdirected Request\r\nX-Toucandeck-Not-Executed: 1\r\nX-Toucandeck-Request-Id: " + id
                               + "\r\nContent-Length: 0\r\n\r\n");
        }
        if (id.empty()) {
            return sendAll(descriptor, "HTTP/1.1 400 Bad Request\r\nX-Toucandeck-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        }
        auto &run = begin(request, id);
        const auto end = Clock::now() + m_options.work;
        while (Clock::now() < end) {
            if (stopped) {
                return false;
            }
            sleepFor(std::min(milliseconds(5), std::chrono::duration_cast<milliseconds>(end - Clock::now()) + milliseconds(1)));
        }
        {
            const std::lock_guard guard(m_mutex);
            run.finished = true;
        }
        const auto body = m_options.id + " ran " + id + "\n";
        return sendAll(descriptor,
                       "HTTP/1.1 200 OK\r\nX-Toucandeck-Request-Id: " + id + "\r\nX-Toucandeck-Response-Seal: seal-" + id
                           + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    Run &begin(const Message &request, const std::string &id)
    {
        m_record.write(m_options.id + " (" + m_options.service + "): runs " + id + "  " + request.startLine + "  body of "
                       + std::to_string(request.body.size()) + " bytes");
        const std::lock_guard guard(m_mutex);
        return m_runs.emplace_back(Run{ m_record.nowMs(),
                                        m_options.id,
                                        m_options.service,
                                        id,
                                        request.startLine,
                                        request.body,
                                        request.header("x-toucandeck-caller-service"),
                                        false });
    }

    Record &m_record;
    Options m_options;
    std::int64_t m_born;
    std::uint64_t m_sequence = 0;
    std::atomic<bool> m_silent = false;
    mutable std::mutex m_mutex;
    std::list<Run> m_runs;
    std::unique_ptr<Listener> m_listener;
    std::thread m_beats;
};

/// A process of the system, started with the command of the deploy file.
class Process
{
public:
    Process(std::string name, std::string settings, std::string log)
        : m_name(std::move(name))
        , m_settings(std::move(settings))
        , m_log(std::move(log))
    {
        start();
    }

    ~Process()
    {
        signal(SIGKILL);
        signal(SIGCONT);
        wait();
    }

    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    void start()
    {
        const int log = ::open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
        const std::string program = "target/platform/toucandeck-platformd";
        const std::string variable = "TOUCANDECK_BOOT=" + m_settings;
        m_pid = ::fork();
        if (m_pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // The process ends with the thread that started it.
            ::dup2(log, STDOUT_FILENO);
            ::dup2(log, STDERR_FILENO);
            char *const arguments[] = { const_cast<char *>(program.c_str()), nullptr };
            char *const environment[] = { const_cast<char *>(variable.c_str()), nullptr };
            ::execve(program.c_str(), arguments, environment);
            ::_exit(127);
        }
        ::close(log);
    }

    void signal(int number) const
    {
        if (m_pid > 0) {
            ::kill(m_pid, number);
        }
    }

    void wait()
    {
        if (m_pid > 0) {
            ::waitpid(m_pid, nullptr, 0);
            m_pid = -1;
        }
    }

    bool isRunning()
    {
        if (m_pid > 0 && ::waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
            m_pid = -1;
        }
        return m_pid > 0;
    }

    const std::string &name() const
    {
        return m_name;
    }

    /// Memory that the process uses, in MB; zero if it has ended.
    int memoryMb() const
    {
        std::ifstream in("/proc/" + std::to_string(m_pid.load()) + "/statm");
        long total = 0;
        long resident = 0;
        in >> total >> resident;
        return static_cast<int>(resident * ::sysconf(_SC_PAGESIZE) >> 20);
    }

private:
    std::string m_name;
    std::string m_settings;
    std::string m_log;
    std::atomic<pid_t> m_pid = -1;
};

/// Controllers and gateways with their addresses, in a temporary folder.
class Deployment
{
public:
    struct Gateway
    {
        std::string name;
        std::string ip;
        std::string zone;
        std::string service;
        Address backend;
        Address outbound;
        Address ready;
        Address control;
    };

    Deployment(Record &record, int controllers, int tolerated, milliseconds heartbeat = milliseconds(1500))
        : m_record(record)
        , m_tolerated(tolerated)
        , m_heartbeat(heartbeat)
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        if (::mkdtemp(pattern.data()) == nullptr) {
            throw std::runtime_error("cannot create a temporary folder");
        }
        m_folder = pattern;
        choosePorts();
        for (int i = 0; i < controllers; ++i) {
            m_controllerIps.push_back(ip(1 + i));
            m_controllerZones.push_back(zone(i));
        }
        for (int i = 0; i < controllers; ++i) {
            startController(i, true);
        }
    }

    ~Deployment()
    {
        m_processes.clear();
        std::error_code ec;
        if (std::getenv("KEEP") == nullptr) {
            std::filesystem::remove_all(m_folder, ec);
        } else {
            std::cerr << "logs are in " << m_folder << "\n";
        }
    }

    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    static std::string zone(int i)
    {
        return "zone-" + std::string(1, static_cast<char>('a' + i % 4));
    }

    std::string controllerName(int i) const
    {
        return "controller-" + std::to_string(i);
    }

    Address operatorAddress(int i) const
    {
        return { m_controllerIps[static_cast<std::size_t>(i)], m_port + 2 };
    }

    int controllers() const
    {
        return static_cast<int>(m_controllerIps.size());
    }

    const std::string &controllerZone(int i) const
    {
        return m_controllerZones[static_cast<std::size_t>(i)];
    }

    /// Starts a further controller with an empty disk; returns its number.
    int addController(const std::string &zone)
    {
        const int i = controllers();
        m_controllerIps.push_back(ip(1 + i));
        m_controllerZones.push_back(zone);
        startController(i, false);
        return i;
    }

    void killController(int i)
    {
        auto &it = process(controllerName(i));
        it.signal(SIGKILL);
        it.wait();
    }

    void loseDisk(int i)
    {
        std::filesystem::remove_all(m_folder + "/disk-" + std::to_string(i));
    }

    void restartController(int i)
    {
        startController(i, false);
    }

    Gateway &addGateway(const std::string &service)
    {
        const int i = static_cast<int>(m_gateways.size());
        auto &it = m_gateways.emplace_back();
        it.name = "gateway-" + std::to_string(i);
        it.ip = ip(20 + i);
        it.zone = zone(i);
        it.service = service;
        it.backend = { it.ip, m_port + 5 };
        it.outbound = { it.ip, m_port + 3 };
        it.ready = { it.ip, m_port + 4 };
        it.control = { it.ip, m_port + 2 };
        std::ostringstream out;
        out << common(it.name, it.ip, it.zone, "gateway") << R"(,"service":")" << it.service << R"(","backend":")" << it.backend.text()
            << R"(","outbound":")" << it.outbound.text() << R"(","ready":")" << it.ready.text() << R"(","heartbeatInterval":")"
            << m_heartbeat.count() << R"(ms","shutdownLimit":"6s"})";
        startProcess(it.name, out.str());
        return it;
    }

    std::list<Gateway> &gateways()
    {
        return m_gateways;
    }

    Server::Options serverOptions(const Gateway &gateway) const
    {
        Server::Options options;
        options.id = "i-" + gateway.name;
        options.service = gateway.service;
        options.zone = gateway.zone;
        options.address = gateway.backend;
        options.control = gateway.control;
        options.heartbeat = m_heartbeat;
        return options;
    }

    Process &process(const std::string &name)
    {
        return *m_processes.at(name);
    }

    /// Sends an operator's call to the controllers in turn until one answers other than 307, 408, 429 or 5xx; zero if none does in time.
    int
    order(const std::string &method, const std::string &target, const std::string &body, milliseconds limit, std::string *answer = nullptr)
    {
        const auto end = Clock::now() + limit;
        const auto request = formatRequest(method, target, { { "Host", "control" }, { "Content-Type", "application/json" } }, body);
        for (int i = 0; Clock::now() < end; ++i) {
            const auto response = exchange(operatorAddress(i % controllers()), request, milliseconds(1000));
            const int status = response ? response->status() : 0;
            if (status != 0 && status != 307 && status != 408 && status != 429 && status < 500) {
                m_record.write("operator: " + method + " " + target + " is answered " + std::to_string(status) + " by "
                               + controllerName(i % controllers()));
                if (answer != nullptr) {
                    *answer = response->body;
                }
                return status;
            }
            sleepFor(milliseconds(50));
        }
        m_record.write("operator: " + method + " " + target + " is not answered in time");
        for (const auto &[name, it] : m_processes) {
            m_record.write(name + (it->isRunning() ? " runs" : " has ended"));
        }
        return 0;
    }

    /// The controller that answers a read of the manifest itself, thus leads; negative if none does.
    int leader()
    {
        const auto request = formatRequest("GET", "/toucandeck/config/get", { { "Host", "control" } }, {});
        for (int i = 0; i < controllers(); ++i) {
            const auto response = exchange(operatorAddress(i), request, milliseconds(500));
            if (response && response->status() == 200) {
                return i;
            }
        }
        return -1;
    }

    int awaitLeader(milliseconds limit)
    {
        const auto end = Clock::now() + limit;
        int found = -1;
        while (found < 0 && Clock::now() < end) {
            found = leader();
            sleepFor(milliseconds(100));
        }
        return found;
    }

    bool isReady(const Gateway &gateway) const
    {
        const auto response
            = exchange(gateway.ready, formatRequest("GET", "/toucandeck/ready", { { "Host", "ready" } }, {}), milliseconds(500));
        return response && response->status() == 200;
    }

    bool awaitReady(milliseconds limit)
    {
        const auto end = Clock::now() + limit;
        for (const auto &it : m_gateways) {
            while (!isReady(it)) {
                if (Clock::now() > end) {
                    return false;
                }
                sleepFor(milliseconds(100));
            }
        }
        return true;
    }

private:
    static std::string ip(int number)
    {
        const int pid = ::getpid();
        return "127." + std::to_string(1 + pid / 250 % 250) + "." + std::to_string(pid % 250) + "." + std::to_string(number);
    }

    void choosePorts()
    {
        constexpr int kPorts = 8;
        for (m_port = 17'280; m_port < 30'000; m_port += kPorts) {
            bool free = true;
            for (int i = 0; free && i < kPorts; ++i) {
                const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
                const auto sa = toSockaddr({ "0.0.0.0", m_port + i });
                free = ::bind(descriptor, reinterpret_cast<const sockaddr *>(&sa), sizeof(sa)) == 0;
                ::close(descriptor);
            }
            if (free) {
                return;
            }
        }
        throw std::runtime_error("no free ports");
    }

    std::string common(const std::string &name, const std::string &ip, const std::string &zone, const std::string &role) const
    {
        std::ostringstream out;
        out << R"({"process":")" << name << R"(","role":")" << role << R"(","ip":")" << ip << R"(","failureDomain":")" << zone
            << R"(","peerPort":)" << m_port << R"(,"metricsPort":)" << m_port + 1 << R"(,"seeds":[)";
        for (int i = 0; i < 3; ++i) {
            out << (i == 0 ? "\"" : ",\"") << operatorAddress(i).text() << "\"";
        }
        out << R"(],"control":")" << Address{ ip, m_port + 2 }.text() << "\"";
        return out.str();
    }

    void startController(int i, bool firstStart)
    {
        const auto name = controllerName(i);
        const auto disk = m_folder + "/disk-" + std::to_string(i);
        std::filesystem::create_directories(disk);
        std::ostringstream out;
        out << common(name, m_controllerIps[static_cast<std::size_t>(i)], m_controllerZones[static_cast<std::size_t>(i)], "controller")
            << R"(,"dataFolder":")" << disk << R"(","firstStart":)" << (firstStart ? "true" : "false") << R"(,"toleratedLosses":)"
            << m_tolerated << R"(,"longestHold":"10000ms"})";
        startProcess(name, out.str());
    }

    void startProcess(const std::string &name, const std::string &settings)
    {
        const auto path = m_folder + "/" + name + ".json";
        std::ofstream(path) << settings << "\n";
        m_processes[name] = std::make_unique<Process>(name, path, m_folder + "/" + name + ".log");
    }

    Record &m_record;
    int m_tolerated;
    milliseconds m_heartbeat;
    std::string m_folder;
    int m_port = 0;
    std::vector<std::string> m_controllerIps;
    std::vector<std::string> m_controllerZones;
    std::list<Gateway> m_gateways;
    std::map<std::string, std::unique_ptr<Process>> m_processes;
};

/// True unless the variable TROUBLE is 0.
inline bool hasTrouble()
{
    const char *it = std::getenv("TROUBLE");
    return it == nullptr || std::string_view(it) != "0";
}

/// Runs a case and ends the process with its verdict.
inline int runCase(const char *recordPath, const std::function<Verdict(Record &)> &body)
{
    Record record(recordPath);
    auto verdict = Verdict::CouldNotRun;
    try {
        verdict = body(record);
    } catch (const std::exception &error) {
        record.write(std::string("the case could not run: ") + error.what());
    }
    const char *const texts[] = { "the rule held", "the rule was broken", "the case could not run" };
    record.write(texts[static_cast<int>(verdict)]);
    std::cout << texts[static_cast<int>(verdict)] << "\n";
    return static_cast<int>(verdict);
}

} // namespace Review
