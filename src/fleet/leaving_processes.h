#pragma once

#include <peer.pb.h>
#include <string>
#include <string_view>
#include <vector>

namespace Toucandeck
{

namespace wire = ::toucandeck::wire;

/// Processes of backend servers beside one router that leave and must not be used again, by the names of their incarnations.
///
/// A name covers the earlier processes with the same id too: they have terminated. The start time in a name may be the time at which the
/// process gave notice, if its own start is not known. Several ids are recorded, because such a time says nothing about processes with
/// other ids: a late notice must displace neither that a successor leaves nor that it is used.
class LeavingProcesses
{
public:
    /// Maximum number of ids. If another one is added, the process that started first is forgotten.
    static constexpr std::size_t kMaxIds = 8;

    LeavingProcesses() = default;
    /// All that the report of a gateway, or the record of it, says to leave.
    explicit LeavingProcesses(const wire::InstanceReport &report);

    /// Adds an incarnation. Returns false if it was covered already or the name is empty.
    bool add(const std::string &incarnation);
    void add(const LeavingProcesses &other);

    /// True if the process of the incarnation leaves.
    bool covers(std::string_view incarnation) const;

    /// The one that started last; empty if there is none.
    std::string latest() const;
    const std::vector<std::string> &names() const;

    /// Writes all of them into a report.
    void addTo(wire::InstanceReport &report) const;

private:
    std::vector<std::string> m_names; ///< At most one for each id.
};

} // namespace Toucandeck
