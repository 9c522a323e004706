#pragma once

#include "fleet/key_rows.h"

#include <map>
#include <string>
#include <vector>

namespace Toucandeck::Standin
{

/// Checks what the stand-in backend servers observe against the guarantees: who holds which key, and which requests ran.
class RunAudit
{
public:
    RunAudit();

    /// A backend server takes keys with a fencing token.
    void taken(const std::string &instance, KeyRange range, std::uint64_t fence);
    /// A request begins to run. @p others are the other live backend servers that hold its key.
    void began(const std::string &instance, const std::string &request, bool idempotent, const std::vector<std::string> &others);

    int runsOf(const std::string &request) const;
    const std::map<std::string, int> &runs() const;
    const std::vector<std::string> &violations() const;
    void violation(std::string text);

private:
    struct Owner
    {
        std::uint64_t fence = 0;
        std::string instance;
    };

    std::vector<Owner> m_owners; ///< By key.
    std::map<std::string, int> m_runs; ///< By request id.
    std::vector<std::string> m_violations;
};

} // namespace Toucandeck::Standin
