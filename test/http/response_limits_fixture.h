#pragma once

#include "backend_fixture.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>

namespace Toucandeck
{

constexpr std::size_t kKiB = 1024;
constexpr std::size_t kMiB = 1024 * kKiB;

/// A request in progress, to which the backend server sends arbitrary data.
class ResponseLimitsTest : public BackendFixture
{
protected:
    ResponseLimitsTest();
    ~ResponseLimitsTest() override;

    /// Sends the start, then the unit again and again until the request ends. Returns the number of bytes sent.
    std::size_t flood(const std::string &start, const std::string &unit);
    void expectEndsWithin(std::size_t limit, const std::string &start, const std::string &unit);
    /// Sends a whole response in parts that fit into the socket.
    void answer(const std::string &text);

    std::unique_ptr<BackendConnection> m_connection;
    std::optional<BackendResult> m_result;
};

} // namespace Toucandeck
