#include "cli/cli_run.h"

#include "cli/bootstrap.h"
#include "cli/operator_client.h"
#include "cli/output.h"

#include <fmt/format.h>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

namespace Toucandeck
{

namespace
{

Result<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::string content{ std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
    if (!file.is_open() || file.bad()) {
        return fail(ErrorCode::InvalidArgument, fmt::format("file \"{}\" cannot be read", path));
    }
    return content;
}

Result<std::string> readToken(const std::string &path)
{
    if (path.empty()) {
        return std::string();
    }
    BOOST_LEAF_AUTO(text, readFile(path));
    auto token = text.substr(0, text.find_last_not_of(" \t\r\n") + 1);
    if (token.empty() || token.find_first_of("\r\n") != std::string::npos) {
        return fail(ErrorCode::InvalidArgument, fmt::format("token file \"{}\" must hold one line that is not empty", path));
    }
    return token;
}

bool isEdit(CliAction action)
{
    return action == CliAction::TableSet || action == CliAction::TableImport;
}

bool isInfeasiblePlan(const std::string &body)
{
    const auto parsed = nlohmann::json::parse(body, nullptr, false);
    return !parsed.is_object() || !parsed.contains("fits") || parsed["fits"] != true;
}

/// Version that --wait waits for: the revision of the accepted edit, or the version of the table.
std::uint64_t versionToAwait(const std::string &body)
{
    const auto parsed = nlohmann::json::parse(body, nullptr, false);
    for (const auto *name : { "revision", "version" }) {
        if (parsed.is_object() && parsed.contains(name) && parsed[name].is_number_unsigned()) {
            return parsed[name].get<std::uint64_t>();
        }
    }
    return 0;
}

class Run
{
public:
    Run(const CommandLine &line, OperatorTransport &transport, const Clock &clock, RandomSource &random)
        : m_line(line)
        , m_transport(transport)
        , m_clock(clock)
        , m_requestId(line.requestId.empty() ? fmt::format("cli-{:016x}{:016x}", random.next(), random.next()) : line.requestId)
    {
    }

    CliResult run()
    {
        handleError([this]() -> Result<void> { return execute(); },
                    [this](const Error &error) {
                        m_result.exitCode = m_isAccepted ? ExitCode::NotApplied : exitCodeOf(error.code);
                        m_result.errors += error.message + '\n';
                        if (isEdit(m_line.action) && error.verdict != Verdict::NotRun) {
                            m_result.errors
                                += fmt::format("the edit may have been accepted; repeat it with --request-id {}\n", m_requestId);
                        }
                    });
        return m_result;
    }

private:
    Result<void> execute()
    {
        BOOST_LEAF_AUTO(token, readToken(m_line.tokenFile));
        if (m_line.action == CliAction::ControllersBootstrap) {
            BOOST_LEAF_ASSIGN(m_result.output, bootstrapControllers(m_transport, m_line.controllers, token, m_line.timeout));
            return {};
        }
        std::string content;
        if (m_line.action == CliAction::TableImport) {
            BOOST_LEAF_ASSIGN(content, readFile(m_line.file));
        }
        BOOST_LEAF_AUTO(request, requestOf(m_line, m_requestId, content));
        OperatorClient client(m_transport, m_clock, m_line.controllers, token, m_line.timeout);
        BOOST_LEAF_AUTO(body, client.send(request));
        BOOST_LEAF_ASSIGN(m_result.output, outputOf(m_line, body));
        if (m_line.action == CliAction::LeavePlan && isInfeasiblePlan(body)) {
            m_result.exitCode = ExitCode::Refused;
        }
        if (m_line.wait) {
            m_isAccepted = true;
            BOOST_LEAF_CHECK(client.waitUntilApplied(versionToAwait(body)));
            m_result.output += "applied everywhere\n";
        }
        return {};
    }

    const CommandLine &m_line;
    OperatorTransport &m_transport;
    const Clock &m_clock;
    std::string m_requestId;
    bool m_isAccepted = false;
    CliResult m_result;
};

} // namespace

CliResult runCli(const CommandLine &line, OperatorTransport &transport, const Clock &clock, RandomSource &random)
{
    return Run(line, transport, clock, random).run();
}

} // namespace Toucandeck
