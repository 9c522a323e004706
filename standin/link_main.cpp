// toucandeck-link: stand-in for the network between failure domains; relays loopback ports with delay and cuts.
#include "link_relay.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <fmt/format.h>
#include <map>

namespace
{

using namespace Toucandeck;

using Links = std::map<std::uint16_t, std::unique_ptr<Standin::LinkRelay>>;

std::string applyControl(Links &links, const evkeyvalq &query)
{
    const char *port = evhttp_find_header(&query, "port");
    const char *state = evhttp_find_header(&query, "state");
    const char *delay = evhttp_find_header(&query, "delay_ms");
    int changed = 0;
    for (auto &[listenPort, relay] : links) {
        if (port && std::to_string(listenPort) != port) {
            continue;
        }
        ++changed;
        if (state) {
            relay->setCut(std::string_view(state) == "cut" ? Standin::LinkCut::Both : Standin::LinkCut::None);
        }
        if (state && std::string_view(state) == "reset") {
            relay->reset();
        }
        if (delay) {
            relay->setDelay(std::chrono::milliseconds(std::strtol(delay, nullptr, 10)));
        }
    }
    return fmt::format("{} links changed\n", changed);
}

std::string countBytes(const Links &links)
{
    std::string buf;
    for (const auto &[port, relay] : links) {
        buf += fmt::format("{} {} {}\n", port, relay->bytes(), relay->packets());
    }
    return buf;
}

void onControl(evhttp_request *request, void *argument)
{
    auto &links = *static_cast<Links *>(argument);
    const auto *uri = evhttp_request_get_evhttp_uri(request);
    const char *query = evhttp_uri_get_query(uri);
    evkeyvalq fields{};
    evhttp_parse_query_str(query ? query : "", &fields);
    const bool isRead = evhttp_request_get_command(request) == EVHTTP_REQ_GET;
    const auto text = isRead ? countBytes(links) : applyControl(links, fields);
    evhttp_clear_headers(&fields);
    auto *buf = evbuffer_new();
    evbuffer_add(buf, text.data(), text.size());
    evhttp_send_reply(request, HTTP_OK, "OK", buf);
    evbuffer_free(buf);
}

void onSignal(evutil_socket_t /*signal*/, short /*what*/, void *argument)
{
    event_base_loopbreak(static_cast<event_base *>(argument));
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app{
        "Relays loopback ports with a fixed one-way delay; links can be cut by POST /?port=N&state=cut|open|reset on the control port."
    };
    std::vector<std::string> pairs;
    int delayMs = 0;
    std::uint16_t control = 0;
    app.add_option("--link", pairs, "IP:LISTEN_PORT:TARGET_PORT, may be repeated")->required();
    app.add_option("--delay-ms", delayMs, "One-way delay in ms")->capture_default_str();
    app.add_option("--control-port", control, "Port of the control interface on 127.0.0.1")->required();
    CLI11_PARSE(app, argc, argv);

    std::signal(SIGPIPE, SIG_IGN);
    auto *base = event_base_new();
    Links links;
    for (const auto &it : pairs) {
        const auto first = it.find(':');
        const auto second = it.find(':', first + 1);
        if (first == std::string::npos || second == std::string::npos) {
            fmt::print(stderr, "toucandeck-link: '{}' is not IP:LISTEN_PORT:TARGET_PORT\n", it);
            return 2;
        }
        const auto targetPort = static_cast<std::uint16_t>(std::strtoul(it.c_str() + second + 1, nullptr, 10));
        const bool started = handleError(
            [&]() -> Result<bool> {
                BOOST_LEAF_AUTO(listen, SocketAddress::parse(it.substr(0, second)));
                const SocketAddress target{ "127.0.0.1", targetPort };
                BOOST_LEAF_AUTO(relay, Standin::LinkRelay::create(base, listen, target, std::chrono::milliseconds(delayMs)));
                links[listen.port] = std::move(relay);
                return true;
            },
            [](const Error &error) {
                fmt::print(stderr, "toucandeck-link: {}\n", error.message);
                return false;
            });
        if (!started) {
            return 1;
        }
    }
    auto *http = evhttp_new(base);
    if (evhttp_bind_socket(http, "127.0.0.1", control) != 0) {
        fmt::print(stderr, "toucandeck-link: cannot listen on 127.0.0.1:{}\n", control);
        return 1;
    }
    evhttp_set_gencb(http, onControl, &links);
    auto *signalEvent = evsignal_new(base, SIGTERM, onSignal, base);
    event_add(signalEvent, nullptr);
    event_base_dispatch(base);
    event_free(signalEvent);
    evhttp_free(http);
    links.clear();
    event_base_free(base);
    return 0;
}
