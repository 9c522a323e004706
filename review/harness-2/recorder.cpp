#include "recorder.h"

#include <iomanip>

namespace Review
{

Recorder::Recorder(const std::string &path)
    : m_out(path)
    , m_start(std::chrono::steady_clock::now())
{
    m_out << std::fixed << std::setprecision(3);
}

void Recorder::write(const std::string &text)
{
    const std::scoped_lock lock(m_mutex);
    const std::chrono::duration<double> age = std::chrono::steady_clock::now() - m_start;
    m_out << std::setw(8) << age.count() << "  " << text << std::endl; // Flushed, so that a run that is cut off leaves its record.
}

} // namespace Review
