// Evacuations of failure domains during a soak test, and the check that an evacuated domain receives no requests.
#include "soak/fleet.h"
#include "soak/layout.h"

#include <nlohmann/json.hpp>

#include <fstream>

namespace yucca::soak
{

namespace
{

constexpr Millis evacuationWait{2000}; ///< until an evacuation must have taken effect without faults; the routers' bound is 3 s
constexpr int requestsPerRouter = 40;
constexpr Millis requestArrivalTime{500}; ///< by then a request that was sent has reached its endpoint

nlohmann::json evacuationObject(std::size_t domain)
{
    return {{"metadata", {{"name", domainName(domain)}}}, {"spec", nlohmann::json::object()}};
}

} // namespace

// Creates or deletes the evacuation of a domain. Returns false when the store did not confirm it.
Task<bool> SoakFleet::setEvacuated(std::size_t domain, bool evacuated)
{
    http::CallOptions options;
    options.deadline = Clock::now() + callerTimeout;
    const http::Address to{"127.0.0.1", port(storePortOffset)};
    const std::string object = evacuationObject(domain).dump();
    auto request =
        evacuated ? http::makeRequest("POST", kindTarget("evacuations"), object) : http::makeRequest("DELETE", objectTarget("evacuations", domainName(domain)));
    auto written = co_await m_client.call(to, std::move(request), options);
    const auto *reply = std::get_if<http::Reply>(&written);
    const bool isApplied = reply && (reply->status == 200 || reply->status == (evacuated ? 409U : 404U));
    co_return isApplied;
}

// Evacuations of one domain may overlap; the last one to end deletes the object.
Task<void> SoakFleet::applyEvacuation(Step step)
{
    if (step.fault != Fault::DomainEvacuated) {
        co_return;
    }
    ++m_activeEvacuations[step.target];
    co_await setEvacuated(step.target, true);
    co_await sleepFor(step.duration);
    bool done = --m_activeEvacuations[step.target] > 0;
    while (!done) {
        done = co_await setEvacuated(step.target, false);
        if (!done) {
            co_await sleepFor(pollInterval);
        }
    }
}

// Returns the number of requests that the endpoints of a domain have run so far.
std::size_t SoakFleet::runCountInDomain(std::size_t domain) const
{
    std::size_t count = 0;
    for (std::size_t n = 0; n < m_endpoints.size(); ++n) {
        std::ifstream log(m_options.directory + "/runs-" + std::to_string(n));
        for (std::string id; domainIndexOf(n) == domain && std::getline(log, id);) {
            ++count;
        }
    }
    return count;
}

// Checks after the last fault that an evacuated domain receives no request from any router.
Task<void> SoakFleet::checkEvacuation()
{
    for (std::size_t domain = 0; domain < endpointDomains; ++domain) {
        const bool evacuated = co_await setEvacuated(domain, true);
        if (!evacuated) {
            m_violations.emplace_back("the store accepts no evacuation after the last fault");
        }
        co_await sleepFor(evacuationWait);
        const auto before = runCountInDomain(domain);
        for (std::size_t n = 0; n < m_routers.size(); ++n) {
            for (int i = 0; i < requestsPerRouter; ++i) {
                co_await probe(n, apiKeyFor(m_acceptedVersion));
            }
        }
        co_await sleepFor(requestArrivalTime);
        const auto after = runCountInDomain(domain);
        if (after != before) {
            m_violations.push_back(domainName(domain) + " received " + std::to_string(after - before) + " requests after it was evacuated");
        }
        co_await setEvacuated(domain, false);
    }
}

} // namespace yucca::soak
