// Checks of a soak test that routers respect what endpoints announce: that they are leaving, and back-off times.
#include "soak/fleet.h"
#include "soak/layout.h"

#include <fstream>

namespace yucca::soak
{

namespace
{

constexpr Millis requestArrivalTime{500}; ///< from a caller's receipt of an announcement until requests already sent have arrived
constexpr std::chrono::seconds maxBackOffDuration{4}; ///< a back-off and its possible delay

} // namespace

// Returns a router's name with its generation, as a restart or a pause may lose what the router knew.
std::string SoakFleet::senderName(std::size_t router) const
{
    return "r" + std::to_string(router) + "." + std::to_string(m_routers[router].generation);
}

std::string SoakFleet::requestId(const std::string &text, std::size_t router)
{
    return text + "-" + senderName(router) + "-" + std::to_string(m_requestCount++);
}

// Checks that a router which forwarded an endpoint's leaving announcement sends no later request to this endpoint.
void SoakFleet::checkLeavingAnnouncement(const std::string &sender, const http::Response &response, Clock::time_point sentAt)
{
    const std::string endpoint = response.header("Yuccasaddle-Instance-Id");
    if (endpoint.empty()) {
        return;
    }
    const auto received = m_leavingReceivedAt.find({sender, endpoint});
    if (received != m_leavingReceivedAt.end() && sentAt > received->second + requestArrivalTime) {
        m_violations.push_back(sender + " sent a request to " + endpoint + " after forwarding the announcement that it is leaving");
    }
    if (!response.header("Server-Leaving").empty()) {
        m_leavingReceivedAt.try_emplace({sender, endpoint}, Clock::now());
    }
}

// Endpoints log the senders that keep sending during a back-off. A sender is excused when the endpoint's responses may
// not have reached it.
void SoakFleet::checkBackOff()
{
    for (std::size_t n = 0; n < m_endpoints.size(); ++n) {
        std::ifstream log(m_options.directory + "/rests-" + std::to_string(n));
        int64_t unixMs = 0;
        for (std::string sender; log >> unixMs >> sender;) {
            const std::chrono::system_clock::time_point at{Millis(unixMs)};
            const bool excused = std::any_of(m_disturbedPeriods.begin(), m_disturbedPeriods.end(), [&](const DisturbedPeriod &d) {
                const bool concerns = !d.router || sender.starts_with("r" + std::to_string(*d.router) + ".");
                return concerns && d.endpoint == n && d.start <= at && at - maxBackOffDuration <= d.end;
            });
            if (!excused) {
                m_violations.push_back(sender + " keeps sending to endpoint " + std::to_string(n) + ", which asked it to back off");
            }
        }
    }
}

} // namespace yucca::soak
