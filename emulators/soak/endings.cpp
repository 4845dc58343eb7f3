// The request of a soak under which endpoints end, and what must hold of it.
#include "endpoint_server.h"
#include "soak/fleet.h"

#include <boost/asio/detached.hpp>

namespace yucca::soak
{

namespace
{

constexpr Millis reviveAfter{1000}; ///< an endpoint is back some seconds after its end
/// Routers that were disturbed, or whose store was, are not held to time bounds for so long.
constexpr Millis contact{3000};
constexpr std::size_t endingsAllowed = 3;
constexpr std::size_t repeatsAllowed = 3; ///< after the third ending and the time of contact
constexpr std::size_t calmRepeats = 24;
constexpr Millis calmPause{300}; ///< over all repeats several times what an endpoint needs to be back

} // namespace

bool SoakFleet::inTouch(Clock::time_point now) const
{
    return m_disturbances == 0 && now - m_disturbedAt >= contact;
}

// Endpoints that ended by themselves are started anew.
Task<void> SoakFleet::reviveEndpoints()
{
    while (true) {
        co_await sleepFor(pollInterval);
        for (std::size_t n = 0; n < m_endpoints.size(); ++n) {
            auto &endpoint = m_endpoints[n];
            const auto code = endpoint.down ? std::nullopt : endpoint.process->ended();
            if (!code) {
                continue;
            }
            if (*code == emulators::endedUnderRequest) {
                noteEnding();
            } else if (*code == emulators::endedWhileCold) {
                m_broken.push_back("endpoint " + std::to_string(n) + " got more than it bears while it was cold");
            } else {
                m_broken.push_back("endpoint " + std::to_string(n) + " ended by itself with " + std::to_string(*code));
            }
            endpoint.down = true;
            asio::co_spawn(m_loop, revive(n), asio::detached);
        }
    }
}

Task<void> SoakFleet::revive(std::size_t n)
{
    co_await sleepFor(reviveAfter);
    startEndpoint(n);
}

void SoakFleet::noteEnding()
{
    const auto now = Clock::now();
    const bool late = m_endings.size() >= endingsAllowed && now - m_endings[endingsAllowed - 1] > contact;
    m_lateEndings += late && inTouch(now) ? 1 : 0;
    m_endings.push_back(now);
}

// One caller's request, whatever comes of it.
Task<void> SoakFleet::requestThatEnds(std::size_t router)
{
    http::CallOptions options;
    options.deadline = Clock::now() + callerPatience;
    const http::Address to{"127.0.0.1", routerPort(router, 4)};
    const std::string id = "ends-" + std::to_string(m_requests++);
    auto headers = callerHeaders(id, keyOf(m_acceptedVersion));
    co_await m_client.call(to, http::makeRequest("POST", endingPath, endingBody, headers), options);
}

Task<void> SoakFleet::applyToCallers(Step step)
{
    if (step.fault != Fault::RequestEndsEndpoints) {
        co_return;
    }
    const auto until = Clock::now() + step.lasts;
    for (std::size_t router = step.target; Clock::now() < until; ++router) {
        co_await requestThatEnds(router % m_routers.size());
        co_await sleepFor(endingPause);
    }
}

// Once all is calm, each router keeps the request from endpoints; where too few
// have ended yet, it does so after as many as are allowed.
Task<void> SoakFleet::checkEndings()
{
    const auto before = m_endings.size();
    for (std::size_t n = 0; n < std::max(calmRepeats, m_routers.size()); ++n) {
        co_await requestThatEnds(n % m_routers.size());
        co_await sleepFor(calmPause);
    }
    co_await sleepFor(pollInterval * 2);
    const auto allowed = endingsAllowed - std::min(endingsAllowed, before) + repeatsAllowed;
    if (m_endings.size() - before > allowed) {
        m_broken.push_back("after " + std::to_string(before) + " endpoints had ended under a request, " + std::to_string(m_endings.size() - before)
                           + " more did when all was calm");
    }
    if (m_lateEndings > repeatsAllowed) {
        m_broken.push_back(std::to_string(m_lateEndings) + " endpoints ended late under a request, of " + std::to_string(m_endings.size()));
    }
}

} // namespace yucca::soak
