#include "record.h"

namespace Review
{

Record::Record(const std::string &path)
    : m_out(path)
{
}

void Record::write(const std::string &line)
{
    const std::lock_guard lock(m_mutex);
    const auto ms = std::chrono::duration_cast<Milliseconds>(Clock::now() - m_start).count();
    m_out << ms << " ms  " << line << '\n' << std::flush;
}

} // namespace Review
