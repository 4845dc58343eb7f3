// Statistics and log lines of attempts and requests.
#pragma once

#include "entry/gateway.h"
#include "text.h"

#include <cmath>

namespace yucca::entry
{

template <Dialect D> limits::RetryBudget &Gateway<D>::retryBudgetFor(const std::string &service)
{
    const auto it = m_budgets.find(service);
    if (it != m_budgets.end()) {
        return it->second;
    }
    return m_budgets.try_emplace(service, m_options.retries).first->second;
}

// Returns this router's share of the slack of retry budgets.
template <Dialect D> double Gateway<D>::slackShare() const
{
    return m_fleet ? m_fleet->share(BootClock::now()) : 1;
}

// Takes a permit for one extra arrival from the retry budget of a service; returns null when the budget is used up.
template <Dialect D> std::unique_ptr<limits::RetryPermit> Gateway<D>::takeRetryPermit(const std::string &service)
{
    auto &budget = retryBudgetFor(service);
    return budget.tryRetry(BootClock::now(), slackShare()) ? std::make_unique<limits::RetryPermit>(budget) : nullptr;
}

template <Dialect D> std::vector<RetryGauge> Gateway<D>::retryGauges() const
{
    std::vector<RetryGauge> gauges;
    const auto now = BootClock::now();
    const double share = slackShare();
    for (const auto &[service, budget] : m_budgets) {
        if (gauges.size() < maxGaugedServices) {
            gauges.push_back({service, budget.usage(now, share)});
        }
    }
    return gauges;
}

// Returns the end of a request whose last attempt was final.
template <Dialect D> RequestEnd Gateway<D>::requestEndFor(const RequestState &state, AttemptEnd end)
{
    if (end == AttemptEnd::CallerGone) {
        return RequestEnd::CallerGone;
    }
    return state.lastStatus >= 500 ? RequestEnd::EngineFailed : RequestEnd::Delivered;
}

// Returns the ids of the prompt parts that other requests may share, in order.
inline std::string sharedPartsText(const Prompt &prompt)
{
    std::string ids;
    for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i) {
        ids += (ids.empty() ? "" : ",") + text::toHex(prompt.parts[i].id);
    }
    return ids;
}

// Returns true if the end of an attempt speaks against its endpoint. A silence that a sound endpoint may have does not.
template <Dialect D> bool Gateway<D>::showsFault(const RequestState &state, const Endpoint &endpoint, AttemptEnd end) const
{
    if (end == AttemptEnd::Silent) {
        return m_activity.isFault(incarnationKey(endpoint), state.lastReceived, Clock::now());
    }
    return end != AttemptEnd::Delivered || state.lastStatus >= 500;
}

// Updates statistics, quarantine and outlier detection after an attempt, and logs attempts that did
// not deliver.
template <Dialect D>
void Gateway<D>::recordAttempt(const RequestState &state, const Endpoint &endpoint, AttemptEnd end, Clock::time_point began, bool willRetry)
{
    const auto now = Clock::now();
    m_metrics.attemptEnded(end);
    if (end == AttemptEnd::Delivered && state.lastStatus / 100 == 2) {
        for (const auto key : crashKeys(state.profile)) {
            m_quarantine.recordCompleteResponse(key, now);
        }
    }
    // A failure over a cut path, or at a peer, says nothing about the endpoint.
    const bool pathAtFault = end != AttemptEnd::Delivered && m_paths.pathTo(endpoint) == Path::Relayed;
    const bool failed = showsFault(state, endpoint, end);
    const bool excused = end == AttemptEnd::Silent && !failed;
    if (end != AttemptEnd::CallerGone && !pathAtFault && !excused && !state.stopping) {
        const auto ejection = m_outliers[state.service].record(incarnationKey(endpoint), failed, m_table.poolSize(state.service), now);
        if (ejection && m_table.isCurrentIncarnation(endpoint)) {
            ++m_metrics.ejections;
            m_table.eject(endpoint.id, ejection->until);
            log::Line{log::Event::EndpointEjected}
                .add("endpoint", endpoint.id)
                .add("service", state.service)
                .add("for_ms", std::chrono::duration_cast<Millis>(ejection->until - now).count())
                .add("failing_pct", static_cast<int64_t>(100 * ejection->rate))
                .add("others_pct", static_cast<int64_t>(100 * ejection->othersRate));
        }
    }
    if (end != AttemptEnd::Delivered && m_logLimiter.tryTake(true, now)) {
        log::Line{log::Event::AttemptEnded}
            .add("id", state.profile.id)
            .add("content", text::toHex(contentKey(state.profile)))
            .add("endpoint", endpoint.id)
            .add("version", endpoint.version)
            .add("end", nameOf(attemptEndNames, end))
            .add("status", static_cast<int64_t>(state.lastHead.status))
            .add("retry_after_ms", state.lastHead.retryAfter ? state.lastHead.retryAfter->count() : int64_t{-1})
            .add("ms", elapsedMs(began))
            .add("path", nameOf(pathNames, state.path))
            .add("events", static_cast<int64_t>(state.events.lastId()))
            .add("silent_ms", elapsedMs(state.lastReceived))
            .add("parts", sharedPartsText(state.profile.prompt))
            .add("again", willRetry);
    }
}

template <Dialect D> void Gateway<D>::setRetryLimits(const limits::RetryLimits &limits)
{
    m_options.retries = limits;
    for (auto &[service, budget] : m_budgets) {
        budget.setLimits(limits);
    }
}

// Adds to a log line what was known when a request was placed. Loads are in tenths of a request.
inline void addPlacement(log::Line &line, const router::PlacementView &placement)
{
    const auto tenths = [](double load) {
        return static_cast<int64_t>(std::lround(10 * load));
    };
    const auto age = placement.load.reportAge;
    line.add("holders", static_cast<int64_t>(placement.holders))
        .add("estimate_tenths", tenths(placement.load.estimate))
        .add("mean_tenths", tenths(placement.load.mean))
        .add("report_age_ms", age ? std::chrono::duration_cast<Millis>(*age).count() : int64_t{-1});
}

// Counts a finished request and writes its log line.
template <Dialect D> void Gateway<D>::recordRequest(const RequestState &state, RequestEnd end, int64_t status)
{
    const auto &p = state.profile;
    const auto now = Clock::now();
    const auto seconds = [&](Clock::time_point t) {
        return std::chrono::duration<double>(t - p.arrived).count();
    };
    const double firstByte = state.firstByte == Clock::time_point{} ? -1 : seconds(state.firstByte);
    m_metrics.requestEnded(p.route->kind, end, seconds(now), firstByte);
    if (end == RequestEnd::Delivered) {
        m_durations.record(*p.route, now - p.arrived, now);
    }
    if (!m_logLimiter.tryTake(end != RequestEnd::Delivered, now)) {
        return;
    }
    log::Line line{log::Event::RequestFinished};
    line.add("id", p.id)
        .add("content", text::toHex(contentKey(p)))
        .add("end", nameOf(requestEndNames, end))
        .add("status", status)
        .add("route", p.route->name)
        .add("service", state.service)
        .add("workspace", p.workspace)
        .add("config", p.configuration->version)
        .add("endpoint", state.lastEndpoint)
        .add("version", state.lastVersion)
        .add("resumes", p.resumes)
        .add("path", nameOf(pathNames, state.path))
        .add("load", state.lastLoad)
        .add("at_home", state.home && state.home->id == state.lastEndpoint)
        .add("held", state.promptEstimate.held)
        .add("holder", state.promptEstimate.source ? state.promptEstimate.source->id : "")
        .add("sends", int64_t{state.count.attempts})
        .add("runs", int64_t{state.count.runs})
        .add("retry_denied", state.retryDenied)
        .add("why", state.giveUpReason ? nameOf(giveUpReasonNames, *state.giveUpReason) : "")
        .add("last_end", state.lastEnd ? nameOf(attemptEndNames, *state.lastEnd) : "")
        .add("silent_ms", state.lastEnd ? elapsedMs(state.lastReceived) : int64_t{-1})
        .add("config_ms", elapsedMs(m_published.configurationAppliedAt()))
        .add("events", static_cast<int64_t>(state.events.lastId()))
        .add("first_ms", firstByte < 0 ? int64_t{-1} : static_cast<int64_t>(firstByte * 1000))
        .add("ms", elapsedMs(p.arrived));
    if (state.placement) {
        line.add("prompt", text::toHex(p.affinity.conversation)).add("placed_ms", std::chrono::duration_cast<Millis>(state.placedAt - p.arrived).count());
        addPlacement(line, *state.placement);
    }
}

} // namespace yucca::entry
