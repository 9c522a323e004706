#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace Review
{

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/// What was sent, answered and run, one line an event, with the milliseconds since the start.
class Record
{
public:
    explicit Record(const std::string &path);

    void write(const std::string &line);

private:
    std::mutex m_mutex;
    std::ofstream m_out;
    Clock::time_point m_start = Clock::now();
};

} // namespace Review
