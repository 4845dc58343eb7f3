// Keeps each stream at the software version that began it.
#pragma once

#include "entry/gateway.h"
#include "name_digest.h"

namespace yucca::entry
{

/// Returns the key of a stream by the caller's attempt that brought its first event, the same at all routers.
inline uint64_t streamKey(const RequestProfile &profile, const std::string &firstAttempt)
{
    return ring::hash(profile.workspace, ring::hash(firstAttempt));
}

// Returns the software that began the stream which a caller takes up; nothing if it is unknown. Where the caller doesn't name
// the attempt that began it, only a service whose streams are all of one version leaves no choice.
template <Dialect D> Task<std::optional<streams::Origin>> Gateway<D>::originOf(const RequestProfile &profile)
{
    if (!m_origins || !m_streamStore) {
        co_return std::nullopt;
    }
    const auto service = chooseService(profile);
    if (profile.resumes.empty()) {
        const auto version = co_await m_streamStore->soleVersion(service);
        co_return version ? std::optional(streams::makeOrigin(service, *version)) : std::nullopt;
    }
    const auto stream = streamKey(profile, profile.resumes);
    auto origin = co_await m_origins->locate(stream);
    if (!origin) {
        origin = co_await m_streamStore->find(stream, service);
    }
    co_return origin;
}

// Binds a stream that its caller takes up to the software that began it. Returns why it can't go on; nothing if it may.
template <Dialect D> Task<std::optional<Rejection>> Gateway<D>::bindResumption(RequestState &state)
{
    const auto &profile = state.profile;
    if (profile.resumeAfter == 0) {
        co_return std::nullopt;
    }
    state.origin = co_await originOf(profile);
    if (!state.origin) {
        co_return Rejection::VersionUnknown;
    }
    const auto &origin = *state.origin;
    const auto &destinations = profile.route->destinations;
    const auto destination = std::find_if(destinations.begin(), destinations.end(), [&origin](const Destination &candidate) {
        return names::abbreviate(candidate.service, names::maxServiceBytes) == origin.service;
    });
    const bool routed = destination != destinations.end();
    state.service = routed ? destination->service : origin.service;
    state.constraints.version = m_table.findVersion(state.service, origin.version);
    const bool mayGoOn = routed && state.constraints.version.has_value();
    co_return mayGoOn ? std::nullopt : std::optional(Rejection::VersionUnavailable);
}

// Binds a stream to the endpoint that brought its first event to this router, and informs other routers: the caller may take
// the stream up at one of them.
template <Dialect D> void Gateway<D>::recordOrigin(RequestState &state, const Endpoint &endpoint)
{
    if (!state.origin) {
        state.origin = streams::makeOrigin(endpoint.pool, endpoint.version);
        state.constraints.version = endpoint.version;
    }
    if (state.originAnnounced || !m_origins || !repeatable(*state.profile.route)) {
        return;
    }
    state.originAnnounced = true;
    const auto now = Clock::now();
    m_origins->announce({streamKey(state.profile, state.profile.id), *state.origin}, now);
    if (!state.profile.resumes.empty()) {
        m_origins->announce({streamKey(state.profile, state.profile.resumes), *state.origin}, now);
    }
}

// Logs that a stream was not continued.
template <Dialect D> void Gateway<D>::logStreamRefused(const RequestState &state, Rejection why)
{
    if (m_logLimiter.tryTake(true, Clock::now())) {
        log::Line{log::Event::StreamRefused}
            .add("id", state.profile.id)
            .add("resumes", state.profile.resumes)
            .add("why", nameOf(rejectionNames, why))
            .add("service", state.service)
            .add("version", state.origin ? state.origin->version : "")
            .add("events", static_cast<int64_t>(state.events.lastId()));
    }
}

} // namespace yucca::entry
