#pragma once

#include "deployment.h"

#include <filesystem>
#include <string>

namespace Review
{

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

/// What all cases share: the record, a temporary folder, and whether the disruption takes place.
class CaseRun
{
public:
    /// @param folder of the case, for record.txt.
    explicit CaseRun(const std::string &folder);
    ~CaseRun();
    CaseRun(const CaseRun &) = delete;
    CaseRun &operator=(const CaseRun &) = delete;

    Record &record();
    bool hasTrouble() const;
    /// Options with the program of the deploy file and a temporary folder.
    DeploymentOptions deployment(std::vector<std::string> services) const;
    /// Writes the verdict and returns the exit code.
    int finish(int code, const std::string &verdict);

private:
    Record m_record;
    bool m_hasTrouble;
    std::filesystem::path m_folder;
};

} // namespace Review
