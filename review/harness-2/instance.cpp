#include "instance.h"

#include <sys/socket.h>
#include <unistd.h>

namespace Review
{

namespace
{

constexpr Milliseconds kHeartbeatInterval{ 870 };
constexpr Milliseconds kHeartbeatTimeout{ 1000 };
constexpr Milliseconds kIdleTimeout{ 10'000 };
constexpr std::size_t kRecordedBytes = 512;

std::int64_t unixMs()
{
    return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

std::string responseText(const std::string &statusLine, const std::string &requestId, const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 " + statusLine + "\r\nX-Toucandeck-Request-Id: " + requestId + "\r\n" + headers
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

Instance::Instance(const GatewayVm &vm, Recorder &recorder, Milliseconds work)
    : m_service(vm.service)
    , m_zone(vm.zone)
    , m_address(vm.backend)
    , m_control(vm.control)
    , m_recorder(recorder)
    , m_work(work)
    , m_bornMs(unixMs())
    , m_id("i-" + vm.backend.ip.substr(vm.backend.ip.rfind('.') + 1))
{
}

Instance::~Instance()
{
    exit();
    ::close(m_listener);
}

void Instance::exit()
{
    m_stopping = true;
    ::shutdown(m_listener, SHUT_RDWR);
    {
        const std::scoped_lock lock(m_mutex);
        for (const auto &it : m_connections) {
            it->shutDown();
        }
    }
    for (auto &it : m_threads) {
        it.join();
    }
    m_threads.clear();
}

void Instance::start()
{
    m_listener = listenOn(m_address);
    m_threads.emplace_back([this] { sendHeartbeats(); });
    m_threads.emplace_back([this] { acceptConnections(); });
}

void Instance::acceptConnections()
{
    std::vector<std::thread> servers;
    while (!m_stopping) {
        const int descriptor = ::accept(m_listener, nullptr, nullptr);
        if (descriptor < 0) {
            break;
        }
        const auto connection = std::make_shared<Connection>(descriptor);
        const std::scoped_lock lock(m_mutex);
        m_connections.push_back(connection);
        servers.emplace_back([this, connection] { serve(*connection); });
    }
    for (auto &it : servers) {
        it.join();
    }
}

void Instance::serve(Connection &connection)
{
    while (!m_stopping) {
        const auto request = connection.read(kIdleTimeout);
        if (!request) {
            connection.shutDown();
            return;
        }
        answer(connection, *request);
    }
}

void Instance::answer(Connection &connection, const Message &request)
{
    const auto requestId = request.header("X-Toucandeck-Request-Id");
    if (request.target() == "/health") {
        connection.send(responseText("200 OK", requestId, "X-Toucandeck-Instance-Id: " + m_id + "\r\n", {}));
        return;
    }
    const auto expected = request.header("X-Toucandeck-Expected-Instance");
    if (!expected.empty() && expected != m_id) {
        connection.send(responseText("421 Misdirected Request", requestId, "X-Toucandeck-Not-Executed: 1\r\n", {}));
        return;
    }
    if (requestId.empty()) {
        connection.send(responseText("400 Bad Request", requestId, "X-Toucandeck-Not-Executed: 1\r\n", {}));
        return;
    }
    {
        const std::scoped_lock lock(m_mutex);
        m_runs.push_back({ std::chrono::steady_clock::now(),
                           requestId,
                           request.method(),
                           request.target(),
                           request.body.substr(0, kRecordedBytes),
                           request.body.size() });
    }
    m_recorder.write(m_id + " runs " + requestId + ": " + request.method() + " " + request.target() + ", body of "
                     + std::to_string(request.body.size()) + " bytes");
    std::this_thread::sleep_for(m_work);
    const auto seal = "X-Toucandeck-Response-Seal: seal-" + requestId + "\r\n";
    if (m_failing && ++m_answered % 2 == 0) {
        m_recorder.write(m_id + " fails " + requestId + " with 503, after its work");
        connection.send(responseText("503 Service Unavailable", requestId, seal, "the ledger did not respond"));
        return;
    }
    connection.send(responseText("200 OK", requestId, seal, "done " + requestId));
}

void Instance::sendHeartbeats()
{
    while (!m_stopping) {
        heartbeat();
        const auto next = std::chrono::steady_clock::now() + kHeartbeatInterval;
        while (!m_stopping && std::chrono::steady_clock::now() < next) {
            std::this_thread::sleep_for(Milliseconds(10));
        }
    }
}

void Instance::heartbeat()
{
    ++m_sequence;
    callGateway("heartbeat",
                "{\"service\":\"" + m_service + "\",\"address\":\"" + m_address.text() + "\",\"zone\":\"" + m_zone
                    + "\",\"version\":\"v1\",\"slots\":9,\"state\":\"ready\",\"coldRemaining\":\"0ms\",\"seqNum\":"
                    + std::to_string(m_sequence) + ",\"born\":" + std::to_string(m_bornMs) + ",\"holds\":[],\"freed\":[]}");
}

std::optional<Message> Instance::callGateway(const std::string &action, const std::string &body) const
{
    const auto target = "/toucandeck/instances/" + m_id + "/" + action;
    return call(
        m_control, requestText("POST", target, { { "Host", "control" }, { "Content-Type", "application/json" } }, body), kHeartbeatTimeout);
}

void Instance::startFailing()
{
    m_failing = true;
}

bool Instance::deregister()
{
    const auto answer = callGateway("deregister", {});
    return answer && answer->status() / 100 == 2;
}

std::vector<Run> Instance::runs()
{
    const std::scoped_lock lock(m_mutex);
    return m_runs;
}

const std::string &Instance::id() const
{
    return m_id;
}

} // namespace Review
