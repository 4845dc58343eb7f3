#include "soak/plan.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>
#include <array>

namespace yucca::soak
{

namespace
{

constexpr int maxSeriesIntervalMs = 1400; ///< between the starts of two series, so short that several overlap
constexpr int maxFaultsPerSeries = 4;
constexpr int maxFaultIntervalMs = 900; ///< between the starts of two faults of a series
constexpr int minDurationMs = 200;
constexpr int maxDurationMs = 2500;
/// The first entries of faultNames, from which series are drawn. Later entries are drawn from random generators of
/// their own, so that a seed that once failed still gives the same series.
constexpr std::size_t seriesFaultCount = 21;
struct IndependentFault {
    Fault fault;
    uint64_t salt; ///< XORed with the seed
    int maxIntervalMs; ///< between two starts
};
constexpr std::array<IndependentFault, 10> independentFaults{{{Fault::DomainEvacuated, 0x65766163, 5000},
                                                              {Fault::EndpointAsksForRest, 0x72657374, 5000},
                                                              {Fault::StoreRestored, 0x72657475, 6000},
                                                              {Fault::RouterCutOff, 0x72637574, 2500},
                                                              {Fault::DomainCutOff, 0x64637574, 6000},
                                                              {Fault::PartEndsEndpoints, 0x70617274, 6000},
                                                              {Fault::ForeignEntry, 0x666f7265, 4000},
                                                              {Fault::UnsafelyNamedEntry, 0x6f64646e, 4000},
                                                              {Fault::EndpointResponsesMalformed, 0x6f646461, 5000},
                                                              {Fault::AllRoutersKilled, 0x616c6c6b, 12000}}};
/// What happens to open connections over a path that is cut.
constexpr std::array<Disturbance, 5> cutDisturbances{Disturbance::None, Disturbance::Reset, Disturbance::MuteForth, Disturbance::MuteBack,
                                                     Disturbance::Silence};
constexpr std::array<CutScope, 4> cutScopes{CutScope::All, CutScope::All, CutScope::OneService, CutScope::Half};
constexpr Millis longCutDuration{7000};
constexpr Millis longCutInterval{8000}; ///< between the starts of two
/// The faults of the series of a retry plan. Restarts are the most frequent.
constexpr std::array<Fault, 12> retryPlanFaults{Fault::RouterKilled, Fault::RouterKilled, Fault::RouterKilled,      Fault::AllRoutersKilled,
                                                Fault::RouterPaused, Fault::RouterPaused, Fault::RouterEntriesLost, Fault::RouterCutOff,
                                                Fault::DomainCutOff, Fault::StoreDown,    Fault::StoreDisturbed,    Fault::StoreRestored};
constexpr int maxRetrySeriesIntervalMs = 5000; ///< between the starts of two series of a retry plan
constexpr int maxFaultsPerRetrySeries = 3;
constexpr Millis retryPlanLead{3000}; ///< until the first series: the routers have listed each other
constexpr int maxRetryFaultDurationMs = 1500; ///< of the other faults of a retry plan
constexpr int maxPauseMs = 4000; ///< of a router in a retry plan
constexpr uint64_t retryPlanSalt = 0x72657472; ///< XORed with the seed
/// The faults of the series of a pause plan: none that may end a request.
constexpr std::array<Fault, 12> pausePlanFaults{Fault::EndpointPaused,         Fault::EndpointPaused,         Fault::EndpointPaused,
                                                Fault::EndpointRequestsPaused, Fault::EndpointRequestsPaused, Fault::EndpointRequestsPaused,
                                                Fault::ConfigurationChanges,   Fault::ConfigurationChanges,   Fault::RouterReloads,
                                                Fault::RouterSettingsWrong,    Fault::RouterStopped,          Fault::EndpointLeaves};
constexpr uint64_t pausePlanSalt = 0x70617573; ///< XORed with the seed
constexpr uint64_t powerLossSalt = 0x706f7772; ///< XORed with the seed
constexpr Millis powerLossLead{1}; ///< before the end of the plan

// Returns the number of routers, endpoints or domains that a fault can apply to.
std::size_t targetCountOf(Fault fault, const PlanOptions &options)
{
    switch (fault) {
    case Fault::RouterKilled:
    case Fault::RouterPaused:
    case Fault::RouterStopped:
    case Fault::RouterReloads:
    case Fault::RouterSettingsWrong:
    case Fault::CallersDisturbed:
    case Fault::StoreDisturbed:
    case Fault::RequestEndsEndpoints:
    case Fault::PartEndsEndpoints:
        return options.routers;
    case Fault::EndpointKilled:
    case Fault::EndpointPaused:
    case Fault::EndpointLeaves:
    case Fault::EndpointDisturbed:
    case Fault::EndpointSheds:
    case Fault::EndpointLosesAnswers:
    case Fault::EndpointFails:
    case Fault::EndpointCutsStreams:
    case Fault::EndpointAsksForRest:
    case Fault::EndpointRequestsPaused:
    case Fault::EndpointResponsesMalformed:
        return options.endpoints;
    case Fault::DomainEvacuated:
        return endpointDomains;
    case Fault::RouterCutOff:
        return std::min(options.routers, maxCuttableRouters);
    case Fault::DomainCutOff:
        return routerDomains;
    case Fault::ForeignEntry:
        return foreignEntries;
    case Fault::UnsafelyNamedEntry:
        return unsafeNamePairs;
    default:
        return 1;
    }
}

void addIndependentFault(const IndependentFault &independent, const PlanOptions &options, std::vector<Step> &plan)
{
    boost::random::mt19937_64 random(options.seed ^ independent.salt);
    const auto draw = [&random](int min, int max) {
        return boost::random::uniform_int_distribution<int>(min, max)(random);
    };
    for (Millis at{draw(0, independent.maxIntervalMs)}; at < options.duration; at += Millis(draw(0, independent.maxIntervalMs))) {
        Step step;
        step.at = at;
        step.fault = independent.fault;
        step.target = static_cast<std::size_t>(draw(0, static_cast<int>(targetCountOf(independent.fault, options)) - 1));
        step.duration = Millis(draw(minDurationMs, maxDurationMs));
        if (step.fault == Fault::RouterCutOff || step.fault == Fault::DomainCutOff) {
            step.cut.scope = cutScopes[static_cast<std::size_t>(draw(0, static_cast<int>(cutScopes.size()) - 1))];
            step.cut.established = cutDisturbances[static_cast<std::size_t>(draw(0, static_cast<int>(cutDisturbances.size()) - 1))];
            step.cut.refusing = draw(0, 1) == 1;
        }
        plan.push_back(step);
    }
}

// Returns cuts of one router and of a whole domain, in which connections hang, are reset, or live on.
std::vector<Step> makeLongCuts()
{
    constexpr std::array<PathCut, 3> cuts{
        {{CutScope::All, Disturbance::Silence, false}, {CutScope::All, Disturbance::Reset, true}, {CutScope::All, Disturbance::None, true}}};
    std::vector<Step> plan;
    for (const auto &cut : cuts) {
        Step step;
        step.at = longCutInterval * plan.size();
        step.fault = plan.empty() ? Fault::RouterCutOff : Fault::DomainCutOff;
        step.target = plan.size();
        step.duration = longCutDuration;
        step.cut = cut;
        plan.push_back(step);
    }
    return plan;
}

// Returns overlapping series of all kinds of faults.
std::vector<Step> makeSeries(const PlanOptions &options)
{
    boost::random::mt19937_64 random(options.seed);
    const auto draw = [&random](int min, int max) {
        return boost::random::uniform_int_distribution<int>(min, max)(random);
    };
    std::vector<Step> plan;
    for (Millis at{draw(0, maxSeriesIntervalMs)}; at < options.duration; at += Millis(draw(0, maxSeriesIntervalMs))) {
        Step step;
        step.at = at;
        step.fault = faultNames[static_cast<std::size_t>(draw(0, static_cast<int>(seriesFaultCount) - 1))].first;
        for (int remaining = draw(1, maxFaultsPerSeries); remaining > 0 && step.at < options.duration; --remaining) {
            step.target = static_cast<std::size_t>(draw(0, static_cast<int>(targetCountOf(step.fault, options)) - 1));
            step.disturbance = disturbanceNames[static_cast<std::size_t>(draw(1, static_cast<int>(disturbanceNames.size()) - 1))].first;
            step.duration = Millis(draw(minDurationMs, maxDurationMs));
            plan.push_back(step);
            step.at += Millis(draw(0, maxFaultIntervalMs));
        }
    }
    for (const auto &independent : independentFaults) {
        addIndependentFault(independent, options, plan);
    }
    return plan;
}

// Returns series of faults that change which routers run, reach each other's entries, and remember what they sent, while one
// service fails most requests.
std::vector<Step> makeRetryPlan(const PlanOptions &options)
{
    boost::random::mt19937_64 random(options.seed ^ retryPlanSalt);
    const auto draw = [&random](int min, int max) {
        return boost::random::uniform_int_distribution<int>(min, max)(random);
    };
    std::vector<Step> plan;
    Step failure;
    failure.fault = Fault::ServiceFails;
    failure.duration = options.duration;
    plan.push_back(failure);
    for (Millis at{retryPlanLead}; at < options.duration; at += Millis(draw(0, maxRetrySeriesIntervalMs))) {
        Step step;
        step.at = at;
        step.fault = retryPlanFaults[static_cast<std::size_t>(draw(0, static_cast<int>(retryPlanFaults.size()) - 1))];
        const int faults = step.fault == Fault::AllRoutersKilled ? 1 : draw(1, maxFaultsPerRetrySeries);
        for (int remaining = faults; remaining > 0 && step.at < options.duration; --remaining) {
            step.target = static_cast<std::size_t>(draw(0, static_cast<int>(targetCountOf(step.fault, options)) - 1));
            step.disturbance = disturbanceNames[static_cast<std::size_t>(draw(1, static_cast<int>(disturbanceNames.size()) - 1))].first;
            step.duration = Millis(draw(minDurationMs, step.fault == Fault::RouterPaused ? maxPauseMs : maxRetryFaultDurationMs));
            step.cut.established = cutDisturbances[static_cast<std::size_t>(draw(0, static_cast<int>(cutDisturbances.size()) - 1))];
            plan.push_back(step);
            step.at += Millis(draw(0, maxFaultIntervalMs));
        }
    }
    return plan;
}

bool pausesEndpoint(Fault fault)
{
    return fault == Fault::EndpointPaused || fault == Fault::EndpointRequestsPaused;
}

// Returns series of short pauses of endpoints, which overlap with series of planned work. Each pause of an endpoint comes some time
// after the one before it, so that no request meets many.
std::vector<Step> makePausePlan(const PlanOptions &options)
{
    boost::random::mt19937_64 random(options.seed ^ pausePlanSalt);
    const auto draw = [&random](int min, int max) {
        return boost::random::uniform_int_distribution<int>(min, max)(random);
    };
    std::vector<Step> plan;
    for (Millis at{draw(0, maxSeriesIntervalMs)}; at < options.duration; at += Millis(draw(0, maxSeriesIntervalMs))) {
        Step step;
        step.at = at;
        step.fault = pausePlanFaults[static_cast<std::size_t>(draw(0, static_cast<int>(pausePlanFaults.size()) - 1))];
        const bool stops = step.fault == Fault::RouterStopped || step.fault == Fault::EndpointLeaves;
        for (int remaining = stops ? 1 : draw(1, maxFaultsPerSeries); remaining > 0 && step.at < options.duration; --remaining) {
            step.target = static_cast<std::size_t>(draw(0, static_cast<int>(targetCountOf(step.fault, options)) - 1));
            const bool pause = pausesEndpoint(step.fault);
            step.duration = pause ? Millis(draw(static_cast<int>(minEndpointPause.count()), static_cast<int>(maxEndpointPause.count())))
                                  : Millis(draw(minDurationMs, maxDurationMs));
            const bool tooClose = pause && std::any_of(plan.begin(), plan.end(), [&step](const Step &other) {
                                      return pausesEndpoint(other.fault) && other.target == step.target
                                          && step.at < other.at + other.duration + minTimeBetweenPauses
                                          && other.at < step.at + step.duration + minTimeBetweenPauses;
                                  });
            if (!tooClose) {
                plan.push_back(step);
            }
            step.at += Millis(draw(0, maxFaultIntervalMs));
        }
    }
    return plan;
}

void addPowerLoss(const PlanOptions &options, std::vector<Step> &plan)
{
    boost::random::mt19937_64 random(options.seed ^ powerLossSalt);
    Step step;
    step.at = options.duration - powerLossLead;
    step.fault = Fault::PowerLost;
    step.duration = Millis(boost::random::uniform_int_distribution<int>(minDurationMs, maxDurationMs)(random));
    plan.push_back(step);
}

} // namespace

std::vector<Step> makePlan(const PlanOptions &options)
{
    if (options.longCutsOnly) {
        return makeLongCuts();
    }
    std::vector<Step> plan = options.pauses ? makePausePlan(options) : options.retries ? makeRetryPlan(options) : makeSeries(options);
    if (options.powerLoss) {
        addPowerLoss(options, plan);
    }
    std::stable_sort(plan.begin(), plan.end(), [](const Step &a, const Step &b) {
        return a.at < b.at;
    });
    return plan;
}

} // namespace yucca::soak
