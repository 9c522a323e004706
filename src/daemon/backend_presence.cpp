#include "daemon/backend_presence.h"

#include "config/settings.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Toucandeck
{

namespace
{

/// Three announcement intervals of 500 ms each.
constexpr Duration kAnnouncementTimeout = std::chrono::milliseconds(1500);

constexpr std::size_t kMaxNameLength = 64;

/// Names become parts of row keys, which separate them by '/' and use '*' for defaults.
bool isName(const nlohmann::json &value)
{
    if (!value.is_string()) {
        return false;
    }
    const auto &text = value.get_ref<const std::string &>();
    return !text.empty() && text.size() <= kMaxNameLength
        && text.find_first_not_of("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._-") == std::string::npos;
}

bool isCount(const nlohmann::json &value)
{
    constexpr std::uint64_t kMaxCount = 100'000;
    return value.is_number_unsigned() && value.get<std::uint64_t>() >= 1 && value.get<std::uint64_t>() <= kMaxCount;
}

bool isFlag(const nlohmann::json &value)
{
    return value.is_boolean();
}

bool isText(const nlohmann::json &value)
{
    return value.is_string();
}

struct FieldRule
{
    const char *name;
    bool (*matches)(const nlohmann::json &);
    const char *expected;
};

constexpr FieldRule kFields[] = {
    { "service", isName, "a name of 1 to 64 letters, digits, '.', '_' or '-'" },
    { "instance", isName, "a name of 1 to 64 letters, digits, '.', '_' or '-'" },
    { "address", isText, "\"IP:PORT\"" },
    { "slots", isCount, "an integer from 1 to 100000" },
    { "connections", isCount, "an integer from 1 to 100000" },
    { "fenced", isFlag, "true or false" },
    { "cold", isFlag, "true or false" },
};

} // namespace

Result<Announcement> parseAnnouncement(const std::string &body)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object()) {
        return fail(ErrorCode::InvalidArgument, "the announcement must be a JSON object");
    }
    for (const auto &it : kFields) {
        if (!json.contains(it.name) || !it.matches(json[it.name])) {
            return fail(ErrorCode::InvalidArgument, fmt::format("{}: expected {}", it.name, it.expected));
        }
    }
    Announcement it;
    it.service = json["service"];
    it.instance = json["instance"];
    it.address = json["address"];
    it.slots = json["slots"];
    it.connections = json["connections"];
    it.fenced = json["fenced"];
    it.cold = json["cold"];
    BOOST_LEAF_CHECK(splitHttpAddress(it.address));
    return it;
}

BackendPresence::BackendPresence(const Clock &clock, std::string service)
    : m_clock(clock)
    , m_service(std::move(service))
{
}

bool BackendPresence::mayBeReplaced() const
{
    const auto silence = m_clock.now() - m_lastAnnouncementTime;
    switch (m_state) {
    case State::Absent:
        return true;
    case State::Present:
        return silence >= kAnnouncementTimeout;
    case State::Leaving:
        return m_isDrained || silence >= kLeaveTimeout;
    }
    return true;
}

Result<void> BackendPresence::checkSender(const Announcement &announcement) const
{
    if (!m_service.empty() && announcement.service != m_service) {
        return fail(ErrorCode::Conflict,
                    fmt::format("the settings name the service {} for this VM, not {}", m_service, announcement.service));
    }
    if (!m_latestAnnouncement || mayBeReplaced()) {
        return {};
    }
    const auto &latest = *m_latestAnnouncement;
    const bool isSame
        = announcement.service == latest.service && announcement.instance == latest.instance && announcement.address == latest.address;
    if (isSame) {
        return {};
    }
    return fail(ErrorCode::Conflict,
                fmt::format("the backend server of this VM is {}/{} at {}", latest.service, latest.instance, latest.address));
}

bool BackendPresence::onAnnounced(Announcement announcement)
{
    const bool changed = m_state != State::Present || m_latestAnnouncement != announcement;
    m_latestAnnouncement = std::move(announcement);
    m_state = State::Present;
    m_isDrained = false;
    m_lastAnnouncementTime = m_clock.now();
    return changed;
}

bool BackendPresence::onWithdrawn()
{
    if (!m_latestAnnouncement || m_state == State::Absent) {
        return false;
    }
    m_state = State::Leaving;
    return true;
}

void BackendPresence::onDrained()
{
    m_isDrained = m_state == State::Leaving;
}

bool BackendPresence::markAbsent()
{
    return std::exchange(m_state, State::Absent) != State::Absent;
}

bool BackendPresence::checkAnnouncementTimeout()
{
    if (m_state != State::Present || m_clock.now() - m_lastAnnouncementTime < kAnnouncementTimeout) {
        return false;
    }
    m_state = State::Absent;
    return true;
}

BackendPresence::State BackendPresence::state() const
{
    return m_state;
}

const std::optional<Announcement> &BackendPresence::latestAnnouncement() const
{
    return m_latestAnnouncement;
}

} // namespace Toucandeck
