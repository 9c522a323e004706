// bench_proxy: a bare HTTP proxy hop without ownership, limits or retries; the naive version in added_latency and requests_per_core_s.
#include "runtime/http_client.h"
#include "runtime/http_server.h"

#include <csignal>
#include <cstdlib>
#include <fmt/format.h>

using namespace Toucandeck;

namespace
{

constexpr Duration kTimeout = std::chrono::seconds(5);

Result<int> serve(std::uint16_t port, const std::string &target)
{
    SystemClock clock;
    NullLogger logger;
    BOOST_LEAF_AUTO(loop, EventLoop::create(clock));
    HttpServerOptions options;
    options.port = port;
    BOOST_LEAF_AUTO(server, HttpServer::create(*loop, options, logger));
    HttpClient client(*loop, {}, logger);
    server->setHandler([&](const std::shared_ptr<HttpExchange> &exchange) {
        client.send(target, exchange->request(), kTimeout, [exchange](const HttpResult &result) {
            exchange->respond(result.response.value_or(HttpResponse{ 502, {}, result.error }));
        });
    });
    const auto terminate = loop->onSignal(SIGTERM, [&] { loop->stop(); });
    loop->run();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        fmt::print(stderr, "usage: bench_proxy PORT TARGET\n");
        return 2;
    }
    const auto port = static_cast<std::uint16_t>(std::strtoul(argv[1], nullptr, 10));
    return handleError([&] { return serve(port, argv[2]); },
                       [](const Error &error) {
                           fmt::print(stderr, "bench_proxy: {}\n", error.message);
                           return 1;
                       });
}
