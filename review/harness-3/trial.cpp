#include "trial.h"

#include <cstdio>
#include <cstdlib>
#include <unistd.h>

namespace Review
{

namespace
{

constexpr const char *kProgram = "target/platform/toucandeck-platformd"; ///< As the deploy file runs it, in the root of the repository.
constexpr unsigned kTimeLimitSeconds = 115;

} // namespace

CaseRun::CaseRun(const std::string &folder)
    : m_record(folder + "/record.txt")
    , m_hasTrouble(std::getenv("TROUBLE") == nullptr || std::string(std::getenv("TROUBLE")) != "0")
    , m_folder(std::filesystem::temp_directory_path() / ("toucandeck-review-" + std::to_string(::getpid())))
{
    ::alarm(kTimeLimitSeconds); // Ends this process; the processes that it started end with it.
    std::filesystem::create_directories(m_folder);
}

CaseRun::~CaseRun()
{
    std::error_code ec;
    if (std::getenv("KEEP") == nullptr) {
        std::filesystem::remove_all(m_folder, ec);
    }
}

Record &CaseRun::record()
{
    return m_record;
}

bool CaseRun::hasTrouble() const
{
    return m_hasTrouble;
}

DeploymentOptions CaseRun::deployment(std::vector<std::string> services) const
{
    DeploymentOptions options;
    options.program = std::filesystem::absolute(kProgram).string();
    options.folder = m_folder.string();
    options.services = std::move(services);
    return options;
}

int CaseRun::finish(int code, const std::string &verdict)
{
    m_record.write(verdict);
    std::printf("%s\n", verdict.c_str());
    return code;
}

} // namespace Review
