#include "daemon/daemon.h"

#include "daemon/events.h"
#include "runtime/descriptor_limit.h"

#include <CLI/CLI.hpp>
#include <csignal>

using namespace Toucandeck;

namespace
{

constexpr const char *kExitCodes
    = "Exit codes: 0 success, 1 the process could not start or continue, 2 wrong options, 3 the settings are not valid,\n"
      "4 the graceful shutdown timed out with work unfinished.\n"
      "Signals: SIGTERM and SIGINT shut down gracefully, SIGHUP reads log level, limits, tokens and allowed keys again.";

int printError(const std::string &file, const Error &error, ExitCode code)
{
    fmt::print(stderr, "toucandeckd: {}\n{}\n", file, error.message);
    return static_cast<int>(code);
}

int checkSettings(const std::string &file)
{
    return handleError(
        [&file]() -> Result<int> {
            BOOST_LEAF_CHECK(loadSettings(file));
            fmt::print("{}: valid\n", file);
            return 0;
        },
        [&file](const Error &error) { return printError(file, error, ExitCode::BadSettings); });
}

int runDaemon(const std::string &file)
{
    std::optional<Settings> settings;
    const int ec = handleError(
        [&]() -> Result<int> {
            BOOST_LEAF_ASSIGN(settings, loadSettings(file));
            return 0;
        },
        [&file](const Error &error) { return printError(file, error, ExitCode::BadSettings); });
    if (ec != 0) {
        return ec;
    }
    return handleError(
        [&]() -> Result<int> {
            BOOST_LEAF_AUTO(daemon, Daemon::create(std::move(*settings), file));
            return static_cast<int>(daemon->run());
        },
        [&file](const Error &error) { return printError(file, error, ExitCode::Failed); });
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("toucandeckd: the daemon of toucandeck, with the role router, controller or both.");
    std::string settingsFile;
    std::string checkedFile;
    auto *config = app.add_option("--config", settingsFile, "Run with the settings in this file")->type_name("FILE");
    auto *check = app.add_option("--check-config", checkedFile, "Check the settings in this file and exit")->type_name("FILE");
    config->excludes(check);
    app.set_version_flag("--version", std::string("toucandeckd ") + TOUCANDECK_VERSION);
    app.footer(kExitCodes);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? 0 : static_cast<int>(ExitCode::Usage);
    }
    if (!checkedFile.empty()) {
        return checkSettings(checkedFile);
    }
    if (settingsFile.empty()) {
        fmt::print(stderr, "toucandeckd: --config FILE is required; see --help\n");
        return static_cast<int>(ExitCode::Usage);
    }
    std::signal(SIGPIPE, SIG_IGN);
    raiseDescriptorLimit();
    return runDaemon(settingsFile);
}
