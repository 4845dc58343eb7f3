#include "peers/fleet_membership.h"

#include <algorithm>
#include <iterator>

namespace yucca::peers
{

void FleetMembership::recordListing(const std::vector<std::string> &others, bool listsSelf, BootClock::time_point begunAt, BootClock::time_point endedAt)
{
    std::lock_guard lock(m_mutex);
    // After a long time without a listing, routers may have been added and removed in between.
    const bool settled = m_listedAt && begunAt - *m_listedAt <= settlingTime();
    if (!listsSelf) {
        m_listsSelfSince.reset();
    } else if (!m_listsSelfSince || !settled) {
        m_listsSelfSince = endedAt;
    }
    m_listedAt = begunAt;
    for (auto &[name, absentSince] : m_others) {
        absentSince = absentSince ? absentSince : std::optional(begunAt);
    }
    for (const auto &name : others) {
        m_others[name].reset();
    }
    std::erase_if(m_others, [&](const auto &other) {
        return other.second && begunAt - *other.second > settlingTime();
    });
}

std::vector<std::string> FleetMembership::mayBeRunning() const
{
    std::lock_guard lock(m_mutex);
    std::vector<std::string> names;
    std::transform(m_others.begin(), m_others.end(), std::back_inserter(names), [](const auto &other) {
        return other.first;
    });
    return names;
}

double FleetMembership::share(BootClock::time_point now) const
{
    std::lock_guard lock(m_mutex);
    const bool current = m_listedAt && now - *m_listedAt <= m_options.listingLifetime;
    const bool settled = m_listsSelfSince && now - *m_listsSelfSince > settlingTime();
    return current && settled ? 1.0 / static_cast<double>(m_others.size() + 1) : 0;
}

void FleetMembership::setLimitWindow(Millis window)
{
    std::lock_guard lock(m_mutex);
    m_options.limitWindow = window;
}

} // namespace yucca::peers
