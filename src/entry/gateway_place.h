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

// Another endpoint that likely holds the prompt, when the one it goes to
// likely does not: the one this router last sent it to; else the prompt's
// home; for an endpoint that is the home because it has just joined, the
// home before that.
template <Dialect D> std::optional<Endpoint> Gateway<D>::promptHolder(const Flight &flight, const Endpoint &endpoint, Clock::time_point now)
{
    if (!sharesPrompt(flight.profile.prompt)) {
        return std::nullopt;
    }
    const uint64_t prompt = promptKey(flight.profile.prompt);
    const auto last = m_holders.find(prompt, now);
    const auto alive = last ? m_table.find(last->id, now) : std::nullopt;
    if (alive) {
        return alive->id == endpoint.id ? std::nullopt : alive;
    }
    if (flight.home && flight.home->id != endpoint.id) {
        return flight.home;
    }
    if (now - m_table.joinedAt(endpoint.id) > m_options.newlyJoined) {
        return std::nullopt;
    }
    return m_table.homeOf(flight.service, prompt, endpoint.id);
}

} // namespace yucca::entry
