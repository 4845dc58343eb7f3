// Selection of the service of a request, and of the prompt information that is passed to its
// endpoint.
#pragma once

#include "entry/gateway.h"

namespace yucca::entry
{

// The requests of a split route are distributed by a hash of their ids, so that the shares follow
// the weights even if few distinct prompts occur.
template <Dialect D> std::string Gateway<D>::chooseService(const RequestProfile &profile) const
{
    const auto &destinations = profile.route->destinations;
    if (destinations.size() == 1) {
        return destinations.front().service;
    }
    double total = 0;
    for (const auto &destination : destinations) {
        total += destination.weight;
    }
    const double unit = static_cast<double>(ring::hash(profile.id) >> 11) * 0x1.0p-53;
    double remainder = unit * total;
    for (const auto &destination : destinations) {
        remainder -= destination.weight;
        if (remainder < 0) {
            return destination.service;
        }
    }
    return destinations.empty() ? std::string() : destinations.back().service;
}

// Returns what the endpoint likely holds of the prompt, and from which endpoint it may fetch the
// prompt.
template <Dialect D> router::PromptEstimate Gateway<D>::estimatePrompt(const RequestState &state, const Endpoint &endpoint, Clock::time_point now) const
{
    return sharesPrompt(state.profile.prompt) ? m_table.estimatePrompt(promptKey(state.profile.prompt), endpoint, now, state.constraints)
                                              : router::PromptEstimate();
}

} // namespace yucca::entry
