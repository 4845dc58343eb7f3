// Cuts routers of a soak test off from endpoints, and checks that their callers are served nevertheless.
#include "soak/fleet.h"
#include "soak/layout.h"

namespace yucca::soak
{

namespace
{

/// Routers that are cut off must serve at least this share of what the others serve, as shares of the requests to them.
constexpr double minRelativeService = 2.0 / 3;
/// Failures at routers that are cut off that are tolerated in any case: this many, and a share of all requests.
constexpr double toleratedFailures = 10;
constexpr double toleratedFailureShare = 1.0 / 50;

bool isTarget(const Step &step, std::size_t router)
{
    return step.fault == Fault::DomainCutOff ? router % routerDomains == step.target : router == step.target;
}

} // namespace

Task<void> SoakFleet::applyPathCut(Step step)
{
    if (step.fault != Fault::RouterCutOff && step.fault != Fault::DomainCutOff) {
        co_return;
    }
    const auto start = std::chrono::system_clock::now();
    std::vector<std::size_t> targets;
    for (std::size_t n = 0; n < cuttableRouters(); ++n) {
        if (isTarget(step, n)) {
            targets.push_back(n);
        }
    }
    for (const auto n : targets) {
        ++m_routers[n].pathCuts;
        m_pathCuts->cut(n, step.cut);
        m_routers[n].cutOffSince = step.cut.scope == CutScope::All ? std::optional(Clock::now()) : std::nullopt;
    }
    co_await sleepFor(step.duration);
    for (const auto n : targets) {
        m_routers[n].cutOffSince.reset();
        if (--m_routers[n].pathCuts == 0) {
            m_pathCuts->heal(n);
        }
        for (std::size_t endpoint = 0; endpoint < m_endpoints.size(); ++endpoint) {
            m_disturbedPeriods.push_back({endpoint, n, start, std::chrono::system_clock::now()});
        }
    }
}

bool SoakFleet::isCutOff(std::size_t router) const
{
    const auto &since = m_routers[router].cutOffSince;
    return since && Clock::now() - *since > pathContactTime;
}

// Returns the counts that a request sent to a router now belongs to; null while no router is cut off.
SoakFleet::CutOffService *SoakFleet::currentService(std::size_t router)
{
    bool anyCutOff = false;
    for (std::size_t n = 0; n < m_routers.size(); ++n) {
        anyCutOff = anyCutOff || isCutOff(n);
    }
    if (!anyCutOff) {
        return nullptr;
    }
    return isCutOff(router) ? &m_cutOffService : &m_otherService;
}

void SoakFleet::checkCutOffService()
{
    const auto rateOf = [](const CutOffService &service) {
        return service.sent == 0 ? 1 : static_cast<double>(service.served) / static_cast<double>(service.sent);
    };
    const auto failures = static_cast<double>(m_cutOffService.sent - m_cutOffService.served);
    const auto all = static_cast<double>(m_cutOffService.sent + m_otherService.sent);
    const bool rare = rateOf(m_cutOffService) < minRelativeService * rateOf(m_otherService);
    if (rare && failures > toleratedFailures + toleratedFailureShare * all) {
        m_violations.push_back("routers that are cut off from all endpoints served " + std::to_string(m_cutOffService.served) + " of "
                               + std::to_string(m_cutOffService.sent) + " requests, the others " + std::to_string(m_otherService.served) + " of "
                               + std::to_string(m_otherService.sent));
    }
}

} // namespace yucca::soak
