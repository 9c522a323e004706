#pragma once

#include "common/result.h"
#include "common/time.h"

#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

namespace Toucandeck::Standin
{

/// A process started for a run on loopback. The destructor ends it by its process id.
class ChildProcess
{
public:
    /// Starts @p arguments[0] with its standard error appended to @p logFile.
    static Result<std::unique_ptr<ChildProcess>> start(const std::vector<std::string> &arguments, const std::string &logFile);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /// Sends a signal; no effect after the process has ended.
    void signal(int number);
    /// Waits until the process has ended; false if it still runs after @p timeout.
    bool waitForEnd(Duration timeout);
    bool isRunning();
    pid_t pid() const;
    /// Exit code after a normal end, otherwise -1.
    int exitCode() const;

private:
    explicit ChildProcess(pid_t pid);

    pid_t m_pid;
    bool m_ended = false;
    int m_status = 0;
};

} // namespace Toucandeck::Standin
