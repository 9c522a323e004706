#pragma once

#include <string>
#include <vector>

namespace Toucandeck
{

/// Beginning of a response that must not be delivered, with the reason.
struct InvalidStatusLine
{
    const char *reason;
    std::string text;
};

/// Invalid beginnings of a response; each reader has to reject all of them.
inline std::vector<InvalidStatusLine> invalidStatusLines()
{
    constexpr std::size_t kEndless = 10'000; // More than any limit on interim responses.
    std::string interim;
    for (std::size_t i = 0; i < kEndless; ++i) {
        interim += "HTTP/1.1 100 Continue\r\n\r\n";
    }
    const std::string end = "Content-Length: 0\r\n\r\n";
    return {
        { "status 000", "HTTP/1.1 000 None\r\n" + end },
        { "status 000 without a reason", "HTTP/1.1 000\r\n" + end },
        { "status 000 after an interim response", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 None\r\n" + end },
        { "status 099", "HTTP/1.1 099 Low\r\n" + end },
        { "status 600", "HTTP/1.1 600 High\r\n" + end },
        { "status 999", "HTTP/1.1 999 High\r\n" + end },
        { "one digit", "HTTP/1.1 2 OK\r\n" + end },
        { "two digits", "HTTP/1.1 20 OK\r\n" + end },
        { "four digits", "HTTP/1.1 2000 OK\r\n" + end },
        { "leading zero", "HTTP/1.1 0200 OK\r\n" + end },
        { "text after the digits", "HTTP/1.1 200OK\r\n" + end },
        { "letters", "HTTP/1.1 2OO OK\r\n" + end },
        { "sign", "HTTP/1.1 +20 OK\r\n" + end },
        { "no status", "HTTP/1.1 OK\r\n" + end },
        { "other protocol version", "HTTP/2.0 200 OK\r\n" + end },
        { "unrequested 101", "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\n" + end },
        { "unrequested 101 with upgrade",
          "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\nHTTP/1.1 200 OK\r\n" + end },
        { "endless interim responses", interim + "HTTP/1.1 200 OK\r\n" + end },
    };
}

/// Valid statuses of final responses with a body that are not in common use; each reader has to deliver all of them.
inline std::vector<int> unusualStatuses()
{
    return { 207, 226, 299, 306, 399, 418, 451, 499, 511, 599 };
}

} // namespace Toucandeck
