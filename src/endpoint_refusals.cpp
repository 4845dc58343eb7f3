#include "endpoint_refusals.h"

namespace yucca::router
{

bool EndpointRefusals::noteLeaving(const Endpoint &endpoint, bool leaving, Clock::time_point now)
{
    const std::string key = incarnationKey(endpoint);
    return leaving ? m_leaving.insert_or_assign(key, now).second : m_leaving.erase(key) > 0;
}

void EndpointRefusals::forgetUnlisted(const std::vector<Endpoint> &listed, Clock::time_point now)
{
    if (m_leaving.empty()) {
        return;
    }
    for (const auto &endpoint : listed) {
        const auto it = m_leaving.find(incarnationKey(endpoint));
        if (it != m_leaving.end()) {
            it->second = now;
        }
    }
    std::erase_if(m_leaving, [&](const auto &entry) {
        return now - entry.second > m_options.rememberedUnlisted;
    });
}

} // namespace yucca::router
