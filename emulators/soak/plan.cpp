#include "soak/plan.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>

namespace yucca::soak
{

namespace
{

constexpr int longestGapMs = 700; ///< between the beginnings of faults: several are under way at once
constexpr int shortestMs = 200;
constexpr int longestMs = 2500;

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
        return options.routers;
    case Fault::EndpointKilled:
    case Fault::EndpointPaused:
    case Fault::EndpointLeaves:
    case Fault::EndpointDisturbed:
    case Fault::EndpointSheds:
    case Fault::EndpointLosesAnswers:
    case Fault::EndpointFails:
    case Fault::EndpointCutsStreams:
        return options.endpoints;
    default:
        return 1;
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
        step.fault = faultNames[static_cast<std::size_t>(draw(0, static_cast<int>(faultNames.size()) - 1))].first;
        step.target = static_cast<std::size_t>(draw(0, static_cast<int>(targetsOf(step.fault, options)) - 1));
        step.how = disturbanceNames[static_cast<std::size_t>(draw(1, static_cast<int>(disturbanceNames.size()) - 1))].first;
        step.lasts = Millis(draw(shortestMs, longestMs));
        plan.push_back(step);
    }
    return plan;
}

} // namespace yucca::soak
