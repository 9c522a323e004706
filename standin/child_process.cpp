#include "child_process.h"

#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <fmt/format.h>
#include <spawn.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace Toucandeck::Standin
{

Result<std::unique_ptr<ChildProcess>> ChildProcess::start(const std::vector<std::string> &arguments, const std::string &logFile)
{
    std::vector<char *> argv;
    argv.reserve(arguments.size() + 1);
    for (const auto &it : arguments) {
        argv.push_back(const_cast<char *>(it.c_str()));
    }
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, logFile.c_str(), O_WRONLY | O_APPEND | O_CREAT, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDERR_FILENO, STDOUT_FILENO);
    pid_t pid = 0;
    const int ec = posix_spawn(&pid, argv[0], &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (ec != 0) {
        return fail(ErrorCode::Io, fmt::format("cannot start '{}': {}", arguments[0], std::strerror(ec)));
    }
    return std::unique_ptr<ChildProcess>(new ChildProcess(pid));
}

ChildProcess::ChildProcess(pid_t pid)
    : m_pid(pid)
{
}

ChildProcess::~ChildProcess()
{
    if (isRunning()) {
        signal(SIGKILL);
        waitForEnd(std::chrono::seconds(5));
    }
}

void ChildProcess::signal(int number)
{
    if (isRunning()) {
        ::kill(m_pid, number);
    }
}

bool ChildProcess::waitForEnd(Duration timeout)
{
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (isRunning() && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    return !isRunning();
}

bool ChildProcess::isRunning()
{
    if (!m_ended && ::waitpid(m_pid, &m_status, WNOHANG) == m_pid) {
        m_ended = true;
    }
    return !m_ended;
}

pid_t ChildProcess::pid() const
{
    return m_pid;
}

int ChildProcess::exitCode() const
{
    return m_ended && WIFEXITED(m_status) ? WEXITSTATUS(m_status) : -1;
}

} // namespace Toucandeck::Standin
