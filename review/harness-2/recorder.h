#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace Review
{

/// Writes what was sent, answered and run to a text file, one line for each event, with the seconds since the start.
class Recorder
{
public:
    explicit Recorder(const std::string &path);

    void write(const std::string &text);

private:
    std::mutex m_mutex;
    std::ofstream m_out;
    std::chrono::steady_clock::time_point m_start;
};

} // namespace Review
