// Operators evacuate failure domains during a soak, and what must hold of that.
#include "soak/fleet.h"
#include "soak/layout.h"

#include <nlohmann/json.hpp>

#include <fstream>

namespace yucca::soak
{

namespace
{

constexpr Millis inForceWithin{2000}; ///< of an order given while all is calm; the bound is 3 s
constexpr int requestsARouter = 40;
constexpr Millis settled{500}; ///< a request that was sent has reached its endpoint by then

nlohmann::json orderOn(std::size_t domain)
{
    return {{"metadata", {{"name", domainName(domain)}}}, {"spec", nlohmann::json::object()}};
}

} // namespace

// Gives an order, or takes it back; false when the store did not say so.
Task<bool> SoakFleet::evacuate(std::size_t domain, bool ordered)
{
    http::CallOptions options;
    options.deadline = Clock::now() + callerPatience;
    const http::Address to{"127.0.0.1", port(storePort)};
    const std::string kind = "/api/objects/evacuations";
    const std::string order = orderOn(domain).dump();
    auto request = ordered ? http::makeRequest("POST", kind, order) : http::makeRequest("DELETE", kind + "/" + domainName(domain));
    auto written = co_await m_client.call(to, std::move(request), options);
    const auto *reply = std::get_if<http::Reply>(&written);
    const bool asWanted = reply && (reply->status == 200 || reply->status == (ordered ? 409U : 404U));
    co_return asWanted;
}

// Orders for one domain may overlap: the last one to end takes it back.
Task<void> SoakFleet::applyToOrders(Step step)
{
    if (step.fault != Fault::DomainEvacuated) {
        co_return;
    }
    ++m_evacuations[step.target];
    co_await evacuate(step.target, true);
    co_await sleepFor(step.lasts);
    bool left = --m_evacuations[step.target] > 0;
    while (!left) {
        left = co_await evacuate(step.target, false);
        if (!left) {
            co_await sleepFor(pollInterval);
        }
    }
}

// Requests that endpoints of a domain have run so far.
std::size_t SoakFleet::runsIn(std::size_t domain) const
{
    std::size_t runs = 0;
    for (std::size_t n = 0; n < m_endpoints.size(); ++n) {
        std::ifstream log(m_options.directory + "/runs-" + std::to_string(n));
        for (std::string id; domainNumber(n) == domain && std::getline(log, id);) {
            ++runs;
        }
    }
    return runs;
}

// Once all is calm, an evacuated domain gets nothing from any router.
Task<void> SoakFleet::checkEvacuation()
{
    for (std::size_t domain = 0; domain < endpointDomains; ++domain) {
        const bool ordered = co_await evacuate(domain, true);
        if (!ordered) {
            m_broken.emplace_back("the store takes no order when all is calm");
        }
        co_await sleepFor(inForceWithin);
        const auto before = runsIn(domain);
        for (std::size_t n = 0; n < m_routers.size(); ++n) {
            for (int i = 0; i < requestsARouter; ++i) {
                co_await ask(n, keyOf(m_acceptedVersion));
            }
        }
        co_await sleepFor(settled);
        const auto after = runsIn(domain);
        if (after != before) {
            m_broken.push_back(domainName(domain) + " got " + std::to_string(after - before) + " requests after it was evacuated");
        }
        co_await evacuate(domain, false);
    }
}

} // namespace yucca::soak
