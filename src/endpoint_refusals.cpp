#include "endpoint_refusals.h"

#include <algorithm>

namespace yucca::router
{

bool EndpointRefusals::recordLeaving(const Endpoint &endpoint, bool leaving, Clock::time_point now)
{
    const std::string key = incarnationKey(endpoint);
    return leaving ? m_leaving.insert_or_assign(key, Leaving{endpoint.id, now}).second : m_leaving.erase(key) > 0;
}

bool EndpointRefusals::backOff(const std::string &id, Clock::time_point until)
{
    const auto [it, first] = m_backOffUntil.try_emplace(id, until);
    const bool longer = until > it->second;
    it->second = std::max(it->second, until);
    return first || longer;
}

std::optional<Clock::time_point> EndpointRefusals::backOffEnd(const std::string &id, Clock::time_point now) const
{
    const auto it = m_backOffUntil.find(id);
    return it != m_backOffUntil.end() && it->second > now ? std::optional(it->second) : std::nullopt;
}

void EndpointRefusals::dropExpired(const std::map<std::string, Endpoint> &listed, Clock::time_point now)
{
    std::erase_if(m_backOffUntil, [now](const auto &entry) {
        return entry.second <= now;
    });
    for (auto &[key, leaving] : m_leaving) {
        const auto endpoint = listed.find(leaving.id);
        if (endpoint != listed.end() && incarnationKey(endpoint->second) == key) {
            leaving.at = now;
        }
    }
    std::erase_if(m_leaving, [&](const auto &entry) {
        return now - entry.second.at > m_options.unlistedRetention;
    });
}

} // namespace yucca::router
