#include "soak/plan.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>
#include <array>

namespace yucca::soak
{

namespace
{

constexpr int longestGapMs = 1400; ///< between the beginnings of series: several are under way at once
constexpr int longestSeries = 4; ///< faults of a series
constexpr int longestSeriesGapMs = 900; ///< between the beginnings of a series' faults
constexpr int shortestMs = 200;
constexpr int longestMs = 2500;
/// Faults drawn for the series; those after them have draws of their own, so
/// that seeds keep the plans under which they once failed.
constexpr std::size_t seriesFaults = 21;
struct OwnDraws {
    Fault fault;
    uint64_t salt; ///< of the seed
    int longestGapMs;
};
constexpr std::array<OwnDraws, 3> ownDraws{
    {{Fault::DomainEvacuated, 0x65766163, 5000}, {Fault::EndpointAsksForRest, 0x72657374, 5000}, {Fault::StoreRestored, 0x72657475, 6000}}};

// How many things a fault can strike.
std::size_t targetsOf(Fault fault, const PlanOptions &options)
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
        return options.endpoints;
    case Fault::DomainEvacuated:
        return endpointDomains;
    default:
        return 1;
    }
}

void addOwnDraws(const OwnDraws &draws, const PlanOptions &options, std::vector<Step> &plan)
{
    boost::random::mt19937_64 random(options.seed ^ draws.salt);
    const auto draw = [&random](int least, int most) {
        return boost::random::uniform_int_distribution<int>(least, most)(random);
    };
    for (Millis at{draw(0, draws.longestGapMs)}; at < options.length; at += Millis(draw(0, draws.longestGapMs))) {
        Step step;
        step.at = at;
        step.fault = draws.fault;
        step.target = static_cast<std::size_t>(draw(0, static_cast<int>(targetsOf(draws.fault, options)) - 1));
        step.lasts = Millis(draw(shortestMs, longestMs));
        plan.push_back(step);
    }
}

} // namespace

std::vector<Step> makePlan(const PlanOptions &options)
{
    boost::random::mt19937_64 random(options.seed);
    const auto draw = [&random](int least, int most) {
        return boost::random::uniform_int_distribution<int>(least, most)(random);
    };
    std::vector<Step> plan;
    for (Millis at{draw(0, longestGapMs)}; at < options.length; at += Millis(draw(0, longestGapMs))) {
        Step step;
        step.at = at;
        step.fault = faultNames[static_cast<std::size_t>(draw(0, static_cast<int>(seriesFaults) - 1))].first;
        for (int left = draw(1, longestSeries); left > 0 && step.at < options.length; --left) {
            step.target = static_cast<std::size_t>(draw(0, static_cast<int>(targetsOf(step.fault, options)) - 1));
            step.how = disturbanceNames[static_cast<std::size_t>(draw(1, static_cast<int>(disturbanceNames.size()) - 1))].first;
            step.lasts = Millis(draw(shortestMs, longestMs));
            plan.push_back(step);
            step.at += Millis(draw(0, longestSeriesGapMs));
        }
    }
    for (const auto &draws : ownDraws) {
        addOwnDraws(draws, options, plan);
    }
    std::stable_sort(plan.begin(), plan.end(), [](const Step &a, const Step &b) {
        return a.at < b.at;
    });
    return plan;
}

} // namespace yucca::soak
