#include "execution_journal.h"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <fmt/format.h>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace Toucandeck::Standin
{

Result<std::unique_ptr<ExecutionJournal>> ExecutionJournal::open(const std::string &path)
{
    if (path.empty()) {
        return std::unique_ptr<ExecutionJournal>(new ExecutionJournal(-1));
    }
    const int file = ::open(path.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);
    if (file < 0) {
        return fail(ErrorCode::Io, fmt::format("cannot open journal '{}': {}", path, std::strerror(errno)));
    }
    return std::unique_ptr<ExecutionJournal>(new ExecutionJournal(file));
}

ExecutionJournal::ExecutionJournal(int file)
    : m_file(file)
{
}

ExecutionJournal::~ExecutionJournal()
{
    if (m_file >= 0) {
        ::close(m_file);
    }
}

void ExecutionJournal::record(const Execution &execution)
{
    if (m_file < 0) {
        return;
    }
    const auto key = execution.key.empty() ? "-" : execution.key;
    const auto line = fmt::format(
        "{} {} {} {} {} {}\n", execution.id, key, execution.epoch, execution.attempt, execution.startedNs, execution.instance);
    // One write per line: a kill between two system calls leaves whole lines only.
    if (::write(m_file, line.data(), line.size()) != static_cast<ssize_t>(line.size())) {
        fmt::print(stderr, "journal write failed: {}\n", std::strerror(errno));
    }
}

Result<std::vector<Execution>> ExecutionJournal::read(const std::string &path)
{
    std::ifstream in(path);
    if (!in) {
        return fail(ErrorCode::NotFound, fmt::format("cannot read journal '{}'", path));
    }
    std::vector<Execution> all;
    std::string line;
    while (std::getline(in, line)) {
        std::istringstream buf(line);
        Execution it;
        if (buf >> it.id >> it.key >> it.epoch >> it.attempt >> it.startedNs >> it.instance) {
            all.push_back(std::move(it));
        }
    }
    return all;
}

} // namespace Toucandeck::Standin
