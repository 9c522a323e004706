// toucandeck: the operators' command-line tool.
#include "cli/cli_run.h"
#include "cli/http_transport.h"

#include <csignal>
#include <cstdio>

using namespace Toucandeck;

namespace
{

int run(const CommandLine &line)
{
    SystemClock clock;
    SeededRandom random(systemSeed());
    NullLogger logger;
    return handleError(
        [&]() -> Result<int> {
            BOOST_LEAF_AUTO(loop, EventLoop::create(clock));
            HttpTransport transport(*loop, logger);
            const auto result = runCli(line, transport, clock, random);
            fmt::print("{}", result.output);
            fmt::print(stderr, "{}", result.errors);
            return static_cast<int>(result.exitCode);
        },
        [](const Error &error) {
            fmt::print(stderr, "toucandeck: {}\n", error.message);
            return static_cast<int>(ExitCode::Failed);
        });
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const auto parsed = parseCommandLine(arguments);
    if (const auto *end = std::get_if<CommandLineEnd>(&parsed)) {
        fmt::print(end->exitCode == 0 ? stdout : stderr, "{}", end->text);
        return end->exitCode;
    }
    return run(std::get<CommandLine>(parsed));
}
