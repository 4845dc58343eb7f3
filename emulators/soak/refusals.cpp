// What endpoints say of themselves in a soak, and whether routers keep to it.
#include "soak/fleet.h"
#include "soak/layout.h"

#include <fstream>

namespace yucca::soak
{

namespace
{

constexpr Millis bindsAfter{500}; ///< a caller has got the word: requests that were on their way by then have arrived
constexpr std::chrono::seconds restLasts{4}; ///< a rest and what may delay it

} // namespace

// A router's name and the life of its memory: a start or a pause excuses it.
std::string SoakFleet::senderName(std::size_t router) const
{
    return "r" + std::to_string(router) + "." + std::to_string(m_routers[router].life);
}

std::string SoakFleet::requestId(const std::string &text, std::size_t router)
{
    return text + "-" + senderName(router) + "-" + std::to_string(m_requests++);
}

// A router that has handed on an endpoint's word that it leaves sends it no
// request that comes later.
void SoakFleet::noteLeavingWord(const std::string &sender, const http::Response &response, Clock::time_point sentAt)
{
    const std::string endpoint = response.header("Yuccasaddle-Instance-Id");
    if (endpoint.empty()) {
        return;
    }
    const auto heard = m_heardLeaving.find({sender, endpoint});
    if (heard != m_heardLeaving.end() && sentAt > heard->second + bindsAfter) {
        m_broken.push_back(sender + " sent a request to " + endpoint + " after it had handed on that it leaves");
    }
    if (!response.header("Server-Leaving").empty()) {
        m_heardLeaving.try_emplace({sender, endpoint}, Clock::now());
    }
}

// Endpoints write down who goes on sending while they rest. Where their answers
// may not have arrived, nobody was told.
void SoakFleet::checkRests()
{
    for (std::size_t n = 0; n < m_endpoints.size(); ++n) {
        std::ifstream rests(m_options.directory + "/rests-" + std::to_string(n));
        int64_t unixMs = 0;
        for (std::string sender; rests >> unixMs >> sender;) {
            const std::chrono::system_clock::time_point at{Millis(unixMs)};
            const bool excused = std::any_of(m_disturbed.begin(), m_disturbed.end(), [&](const Disturbed &d) {
                return d.endpoint == n && d.from <= at && at - restLasts <= d.until;
            });
            if (!excused) {
                m_broken.push_back(sender + " goes on sending to endpoint " + std::to_string(n) + ", which asked it for rest");
            }
        }
    }
}

} // namespace yucca::soak
