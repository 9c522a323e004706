#include "platform/run_audit.h"

#include <fmt/format.h>

namespace Toucandeck::Standin
{

RunAudit::RunAudit()
    : m_owners(kKeyCount)
{
}

void RunAudit::taken(const std::string &instance, KeyRange range, std::uint64_t fence)
{
    bool reported = false;
    for (auto key = range.from; key <= range.to; ++key) {
        auto &owner = m_owners[key];
        if (owner.instance != instance && fence <= owner.fence && !reported) {
            violation(fmt::format(
                "key {}: {} takes it with fencing token {}, {} had it with {}", key, instance, fence, owner.instance, owner.fence));
            reported = true;
        }
        if (fence > owner.fence) {
            owner = { fence, instance };
        }
    }
}

void RunAudit::began(const std::string &instance, const std::string &request, bool idempotent, const std::vector<std::string> &others)
{
    const int n = ++m_runs[request];
    if (n > 1 && !idempotent) {
        violation(fmt::format("request {} runs a second time, at {}", request, instance));
    }
    for (const auto &it : others) {
        violation(fmt::format("request {} runs at {} while {} holds its key too", request, instance, it));
    }
}

int RunAudit::runsOf(const std::string &request) const
{
    const auto it = m_runs.find(request);
    return it == m_runs.end() ? 0 : it->second;
}

const std::map<std::string, int> &RunAudit::runs() const
{
    return m_runs;
}

const std::vector<std::string> &RunAudit::violations() const
{
    return m_violations;
}

void RunAudit::violation(std::string text)
{
    m_violations.push_back(std::move(text));
}

} // namespace Toucandeck::Standin
