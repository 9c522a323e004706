#pragma once

#include <string>
#include <vector>

namespace Toucandeck
{

/// Header line of a response that must not be delivered, with the reason.
struct InvalidHeaderLine
{
    std::string reason;
    std::string text;
};

/// Lines whose name is no token (RFC 9110, 5.6.2); each reader has to reject all of them. The last two start with white space, and are
/// invalid only as the first line: elsewhere they continue the line before (RFC 9112, 5.2).
inline std::vector<InvalidHeaderLine> invalidHeaderLines()
{
    std::vector<InvalidHeaderLine> lines{
        { "blank within the name", "X Y: 1\r\n" },
        { "blank before the colon", "X : 1\r\n" },
        { "blank before the colon of a length", "Content-Length : 1\r\n" },
        { "blank before the colon of a coding", "Transfer-Encoding : chunked\r\n" },
        { "blank before the colon of a connection option", "Connection : close\r\n" },
        { "blank in a line without a colon", "X Y\r\n" },
        { "no name", ": 1\r\n" },
        { "byte that is not ASCII", "X\x80Y: 1\r\n" },
    };
    constexpr char kFirstPrintable = ' ';
    for (char byte = 0; byte < kFirstPrintable; ++byte) {
        if (byte != '\n') { // Ends the line.
            lines.push_back({ "control byte " + std::to_string(byte), std::string("X") + byte + "Y: 1\r\n" });
        }
    }
    lines.push_back({ "control byte 127", "X\x7fY: 1\r\n" });
    lines.push_back({ "blank before the first name", " X: 1\r\n" });
    lines.push_back({ "tab before the first name", "\tX: 1\r\n" });
    return lines;
}

/// Valid names with each character of a token.
inline std::vector<std::string> unusualHeaderNames()
{
    return { "!#$%&'*+-.^_`|~", "0123456789", "a", "Z" };
}

} // namespace Toucandeck
