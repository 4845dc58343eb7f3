// The request of a soak test that crashes every endpoint that runs it, and the check of how many crashes routers allow.
#include "endpoint_server.h"
#include "soak/fleet.h"

#include <boost/asio/detached.hpp>

namespace yucca::soak
{

namespace
{

constexpr Millis restartDelay{1000}; ///< between an endpoint's crash and its restart
/// Time bounds do not apply to routers for this long after a disturbance of a router or the store.
constexpr Millis recoveryTime{3000};
constexpr std::size_t maxCrashes = 3; ///< after these, routers must quarantine the request
constexpr std::size_t maxPartCrashes = 5; ///< after these, routers must quarantine the part
constexpr std::size_t maxLateCrashes = 3; ///< crashes that may follow the last allowed one by more than recoveryTime
constexpr std::size_t crashRequestsAfterFaults = 24;
constexpr Millis crashRequestDelayAfterFaults{300}; ///< all requests together take several times as long as an endpoint's restart

} // namespace

bool SoakFleet::isRecovered(Clock::time_point now) const
{
    return m_activeDisturbances == 0 && now - m_lastDisturbanceEnd >= recoveryTime;
}

// Detects endpoints that the test did not stop but that exited, and restarts them.
Task<void> SoakFleet::runEndpointRestarts()
{
    while (true) {
        co_await sleepFor(pollInterval);
        for (std::size_t n = 0; n < m_endpoints.size(); ++n) {
            auto &endpoint = m_endpoints[n];
            const auto code = endpoint.stopped ? std::nullopt : endpoint.process->pollExit();
            if (!code) {
                continue;
            }
            if (*code == emulators::exitCodeCrashRequest) {
                recordCrash(m_requestCrashes, maxCrashes);
            } else if (*code == emulators::exitCodeCrashPart) {
                recordCrash(m_partCrashes, maxPartCrashes);
            } else if (*code == emulators::exitCodeColdOverload) {
                m_violations.push_back("endpoint " + std::to_string(n) + " received more requests than its limit while it was cold");
            } else {
                m_violations.push_back("endpoint " + std::to_string(n) + " exited unexpectedly with " + std::to_string(*code));
            }
            endpoint.stopped = true;
            asio::co_spawn(m_loop, restartEndpoint(n), asio::detached);
        }
    }
}

Task<void> SoakFleet::restartEndpoint(std::size_t n)
{
    co_await sleepFor(restartDelay);
    startEndpoint(n);
}

void SoakFleet::recordCrash(CrashCount &count, std::size_t allowed)
{
    const auto now = Clock::now();
    const bool late = count.crashes.size() >= allowed && now - count.crashes[allowed - 1] > recoveryTime;
    count.late += late && isRecovered(now) ? 1 : 0;
    count.crashes.push_back(now);
}

// Sends the crashing request once and ignores its result.
Task<void> SoakFleet::sendCrashingRequest(std::size_t router)
{
    http::CallOptions options;
    options.deadline = Clock::now() + callerTimeout;
    const http::Address to{"127.0.0.1", routerPort(router, 4)};
    const std::string id = "ends-" + std::to_string(m_requestCount++);
    auto headers = callerHeaders(id, apiKeyFor(m_acceptedVersion));
    recordRequest(streamService);
    co_await m_client.call(to, http::makeRequest("POST", crashingPath, crashingBody, headers), options);
}

// Sends a request that shares with others of its kind only the part that crashes endpoints, and ignores its result.
Task<void> SoakFleet::sendRequestWithCrashingPart(std::size_t router)
{
    http::CallOptions options;
    options.deadline = Clock::now() + callerTimeout;
    const http::Address to{"127.0.0.1", routerPort(router, 4)};
    const int number = m_requestCount++;
    auto headers = callerHeaders("part-" + std::to_string(number), apiKeyFor(m_acceptedVersion));
    headers.emplace_back("Yuccasaddle-Prompt-Prefix", promptParts(crashingPart, number));
    recordRequest(streamService);
    const std::string body = "{\"n\":" + std::to_string(number) + "}";
    co_await m_client.call(to, http::makeRequest("POST", crashingPath, body, headers), options);
}

Task<void> SoakFleet::applyToCallers(Step step)
{
    if (step.fault != Fault::RequestEndsEndpoints && step.fault != Fault::PartEndsEndpoints) {
        co_return;
    }
    const auto until = Clock::now() + step.duration;
    for (std::size_t n = step.target; Clock::now() < until; ++n) {
        const auto router = n % m_routers.size();
        if (step.fault == Fault::PartEndsEndpoints) {
            co_await sendRequestWithCrashingPart(router);
        } else {
            co_await sendCrashingRequest(router);
        }
        co_await sleepFor(crashingRequestDelay);
    }
}

void SoakFleet::reportCrashes(const CrashCount &count, std::size_t before, std::size_t allowed, const std::string &cause)
{
    const auto after = count.crashes.size() - before;
    if (after > allowed - std::min(allowed, before) + maxLateCrashes) {
        m_violations.push_back("after " + std::to_string(before) + " endpoints had crashed under " + cause + ", " + std::to_string(after)
                               + " more did after the last fault");
    }
    if (count.late > maxLateCrashes) {
        m_violations.push_back(std::to_string(count.late) + " endpoints crashed late under " + cause + ", of " + std::to_string(count.crashes.size()));
    }
}

// Checks after the last fault that the routers reject the request, and those with the part, after at most the allowed number of
// further crashes, and that few crashes of the whole run were late.
Task<void> SoakFleet::checkCrashLimit()
{
    const auto requestCrashes = m_requestCrashes.crashes.size();
    const auto partCrashes = m_partCrashes.crashes.size();
    for (std::size_t n = 0; n < std::max(crashRequestsAfterFaults, m_routers.size()); ++n) {
        co_await sendCrashingRequest(n % m_routers.size());
        co_await sendRequestWithCrashingPart(n % m_routers.size());
        co_await sleepFor(crashRequestDelayAfterFaults);
    }
    co_await sleepFor(pollInterval * 2);
    reportCrashes(m_requestCrashes, requestCrashes, maxCrashes, "a request");
    reportCrashes(m_partCrashes, partCrashes, maxPartCrashes, "a part of prompts");
}

} // namespace yucca::soak
