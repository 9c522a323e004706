#include "backend_server.h"

#include <charconv>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Toucandeck::Standin
{

namespace
{

constexpr Duration kAnnounceInterval = std::chrono::milliseconds(500);
constexpr Duration kAnnounceTimeout = std::chrono::milliseconds(400);
constexpr Duration kDefaultNestedTimeout = std::chrono::seconds(2);

template<class Number>
std::optional<Number> numberHeader(const HttpRequest &request, std::string_view name)
{
    const auto text = request.header(name);
    if (!text) {
        return std::nullopt;
    }
    Number value{};
    const auto [end, ec] = std::from_chars(text->data(), text->data() + text->size(), value);
    if (ec != std::errc() || end != text->data() + text->size()) {
        return std::nullopt;
    }
    return value;
}

std::string textHeader(const HttpRequest &request, std::string_view name)
{
    return std::string(request.header(name).value_or(""));
}

BackendRequest toModelRequest(const HttpRequest &request)
{
    BackendRequest it;
    it.partition = numberHeader<std::uint32_t>(request, "Toucandeck-Partition");
    it.epoch = numberHeader<std::uint64_t>(request, "Toucandeck-Epoch").value_or(0);
    if (const auto until = numberHeader<std::int64_t>(request, "Toucandeck-Grant-Until")) {
        it.grantUntil = TimePoint(Duration(*until));
    }
    if (const auto deadline = numberHeader<std::int64_t>(request, "Toucandeck-Deadline-Ms")) {
        it.deadline = std::chrono::milliseconds(*deadline);
    }
    return it;
}

HttpResponse textResponse(int status, std::string body)
{
    return { status, { { "Content-Type", "text/plain" } }, std::move(body) };
}

/// Refusal before the work began; without the header a router must assume that the work may have run.
HttpResponse notRun(int status, std::string body)
{
    auto response = textResponse(status, std::move(body));
    setHeader(response.headers, "Toucandeck-Verdict", std::string(toString(Verdict::NotRun)));
    return response;
}

HttpResponse jsonResponse(std::string body)
{
    return { 200, { { "Content-Type", "application/json" } }, std::move(body) };
}

} // namespace

/// One request that occupies a slot.
struct BackendServer::Work
{
    std::shared_ptr<HttpExchange> exchange;
    EventLoop::Watch timer;
    std::optional<HttpClient::RequestId> nestedCall;
};

Result<std::unique_ptr<BackendServer>>
BackendServer::create(EventLoop &loop, BackendServerOptions options, RandomSource &random, Logger &logger)
{
    auto server = std::unique_ptr<BackendServer>(new BackendServer(loop, std::move(options), random, logger));
    BOOST_LEAF_ASSIGN(server->m_journal, ExecutionJournal::open(server->m_options.journal));
    HttpServerOptions http;
    http.port = server->m_options.port;
    BOOST_LEAF_ASSIGN(server->m_server, HttpServer::create(loop, http, logger));
    auto *self = server.get();
    server->m_server->setHandler([self](const std::shared_ptr<HttpExchange> &exchange) { self->handle(exchange); });
    server->announce();
    server->m_announceTimer = loop.every(kAnnounceInterval, [self] { self->announce(); });
    return server;
}

BackendServer::BackendServer(EventLoop &loop, BackendServerOptions options, RandomSource &random, Logger &logger)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_logger(logger)
    , m_model(m_options.model, loop.clock(), random)
    , m_client(loop, {}, logger)
{
}

BackendServer::~BackendServer() = default;

std::string BackendServer::address() const
{
    return m_server->address();
}

void BackendServer::stop(std::function<void()> done)
{
    m_stopping = true;
    m_announceTimer.cancel();
    const auto finish = [this, done = std::move(done)](const HttpResult &) { m_server->stop(done); };
    m_client.send(m_options.router, announcement("DELETE"), kAnnounceTimeout, finish);
}

void BackendServer::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    const auto path = exchange->request().path();
    if (path == "/standin/status") {
        exchange->respond(jsonResponse(status()));
    } else if (path == "/standin/load") {
        exchange->respond(jsonResponse(load()));
    } else if (path == "/standin/control") {
        control(*exchange);
    } else {
        startWork(exchange);
    }
}

void BackendServer::startWork(const std::shared_ptr<HttpExchange> &exchange)
{
    const auto &request = exchange->request();
    const auto modelRequest = toModelRequest(request);
    switch (m_model.begin(modelRequest)) {
    case BackendDecision::Shed:
        exchange->respond(notRun(503, "shed\n"));
        return;
    case BackendDecision::StaleGrant:
        exchange->respond(notRun(412, "stale grant\n"));
        return;
    case BackendDecision::DeadlinePassed:
        exchange->respond(notRun(504, "deadline passed\n"));
        return;
    case BackendDecision::Run:
        break;
    }
    Execution execution;
    execution.id = textHeader(request, "Toucandeck-Load-Id");
    execution.key = textHeader(request, "Toucandeck-Load-Key");
    execution.epoch = modelRequest.epoch;
    execution.attempt = numberHeader<std::uint32_t>(request, "Toucandeck-Load-Attempt").value_or(0);
    execution.startedNs = m_loop.clock().now().time_since_epoch().count();
    execution.instance = m_options.instance;
    m_journal->record(execution);

    auto work = std::make_shared<Work>();
    work->exchange = exchange;
    m_work.insert(work);
    work->timer = m_loop.after(m_model.nextServiceTime(), [this, work] { workTimeOver(work); });
    exchange->onClosed([this, work] {
        if (work->nestedCall) {
            m_client.cancel(*work->nestedCall);
        }
        finishWork(work, 499, "");
    });
}

void BackendServer::workTimeOver(const std::shared_ptr<Work> &work)
{
    const bool wantsCall = work->exchange->request().header("Toucandeck-Load-Nested").has_value();
    if (wantsCall && !m_options.calls.empty()) {
        callOtherService(work);
        return;
    }
    finishWork(work, 200, "");
}

void BackendServer::callOtherService(const std::shared_ptr<Work> &work)
{
    const auto &outer = work->exchange->request();
    HttpRequest request;
    request.target = fmt::format("/{}/lookup", m_options.calls);
    for (const char *name : { "Toucandeck-Depth", "Toucandeck-Deadline-Ms", "traceparent" }) {
        if (const auto value = outer.header(name)) {
            setHeader(request.headers, name, std::string(*value));
        }
    }
    setHeader(request.headers, "Toucandeck-Load-Id", textHeader(outer, "Toucandeck-Load-Id") + "-nested");
    const auto deadline = numberHeader<std::int64_t>(outer, "Toucandeck-Deadline-Ms");
    const Duration timeout = deadline ? Duration(std::chrono::milliseconds(*deadline)) : kDefaultNestedTimeout;
    work->nestedCall = m_client.send(m_options.router, std::move(request), timeout, [this, work](const HttpResult &result) {
        work->nestedCall.reset();
        finishWork(work, 200, result.response ? std::to_string(result.response->status) : result.error);
    });
}

void BackendServer::finishWork(const std::shared_ptr<Work> &work, int status, const std::string &nested)
{
    if (m_work.erase(work) == 0) {
        return;
    }
    work->timer.cancel();
    m_model.end();
    const auto &request = work->exchange->request();
    auto response = textResponse(status, request.body);
    setHeader(response.headers, "Toucandeck-Load-Id", textHeader(request, "Toucandeck-Load-Id"));
    setHeader(response.headers, "Toucandeck-Load-Instance", m_options.instance);
    if (!nested.empty()) {
        setHeader(response.headers, "Toucandeck-Load-Nested", nested);
    }
    if (response.body.empty()) {
        response.body = textHeader(request, "Toucandeck-Load-Id");
    }
    work->exchange->respond(std::move(response));
}

void BackendServer::control(HttpExchange &exchange)
{
    const auto json = nlohmann::json::parse(exchange.request().body, nullptr, false);
    if (!json.is_object()) {
        exchange.respond(textResponse(400, "the body must be a JSON object with cold or slow_factor\n"));
        return;
    }
    if (json.value("cold", false)) {
        m_model.turnCold();
    }
    if (json.contains("slow_factor") && json["slow_factor"].is_number()) {
        m_model.setSlowFactor(json["slow_factor"].get<double>());
    }
    exchange.respond(jsonResponse(status()));
}

std::string BackendServer::status() const
{
    const nlohmann::json json = {
        { "service", m_options.service },
        { "instance", m_options.instance },
        { "running", m_model.running() },
        { "bearable", m_model.bearable() },
        { "cold", m_model.isCold() },
        { "started", m_model.started() },
        { "shed", m_model.shed() },
        { "stale_grants", m_model.staleGrants() },
        { "connections", m_server->inFlight() },
    };
    return json.dump();
}

std::string BackendServer::load()
{
    const auto now = m_loop.clock().now();
    if (now - m_reportedAt >= m_options.reportLag) {
        m_reportedLoad = m_model.running();
        m_reportedAt = now;
    }
    const auto slots = m_options.model.slots;
    const auto shown = m_options.misleadingReports ? slots - std::min(m_reportedLoad, slots) : m_reportedLoad;
    return nlohmann::json{ { "running", shown }, { "slots", slots } }.dump();
}

void BackendServer::announce()
{
    if (m_stopping) {
        return;
    }
    m_client.send(m_options.router, announcement("POST"), kAnnounceTimeout, [](const HttpResult &) {});
}

HttpRequest BackendServer::announcement(const std::string &method) const
{
    const nlohmann::json json = {
        { "service", m_options.service },   { "instance", m_options.instance },       { "address", m_server->address() },
        { "slots", m_options.model.slots }, { "connections", m_options.connections }, { "fenced", m_options.model.fenced },
        { "cold", m_model.isCold() },
    };
    HttpRequest request;
    request.method = method;
    request.target = "/toucandeck/announce";
    setHeader(request.headers, "Content-Type", "application/json");
    request.body = json.dump();
    return request;
}

} // namespace Toucandeck::Standin
