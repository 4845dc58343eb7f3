// The pipeline's choice of a service, and what an endpoint is told of a prompt.
#pragma once

#include "entry/gateway.h"

namespace yucca::entry
{

// A split route's requests are dealt by a hash of their id: in the parts that
// the weights ask for, however few prompts they share.
template <Dialect D> std::string Gateway<D>::chooseService(const RequestProfile &profile) const
{
    const auto &ways = profile.route->destinations;
    if (ways.size() == 1) {
        return ways.front().service;
    }
    double total = 0;
    for (const auto &way : ways) {
        total += way.weight;
    }
    const double unit = static_cast<double>(ring::hash(profile.id) >> 11) * 0x1.0p-53;
    double at = unit * total;
    for (const auto &way : ways) {
        at -= way.weight;
        if (at < 0) {
            return way.service;
        }
    }
    return ways.empty() ? std::string() : ways.back().service;
}

// What the endpoint likely holds of the prompt, and where it may fetch it from.
template <Dialect D> router::PromptBelief Gateway<D>::beliefOf(const Flight &flight, const Endpoint &endpoint, Clock::time_point now) const
{
    return sharesPrompt(flight.profile.prompt) ? m_table.beliefOf(promptKey(flight.profile.prompt), endpoint, now, flight.constraints) : router::PromptBelief();
}

} // namespace yucca::entry
