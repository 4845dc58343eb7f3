// What the pipeline learns, counts and logs of attempts and requests.
#pragma once

#include "entry/gateway.h"
#include "text.h"

namespace yucca::entry
{

template <Dialect D> limits::RetryBudget &Gateway<D>::budgetOf(const std::string &service)
{
    const auto it = m_budgets.find(service);
    if (it != m_budgets.end()) {
        return it->second;
    }
    return m_budgets.try_emplace(service, m_options.retries).first->second;
}

// Takes one further arrival at a service from its budget.
template <Dialect D> bool Gateway<D>::takeRetry(const std::string &service)
{
    const bool taken = budgetOf(service).spend(Clock::now());
    ++(taken ? m_metrics.retries : m_metrics.retriesDenied);
    return taken;
}

// What became of a request whose last attempt needed no other.
template <Dialect D> RequestEnd Gateway<D>::endOf(const Flight &flight, AttemptEnd end)
{
    if (end == AttemptEnd::CallerGone) {
        return RequestEnd::CallerGone;
    }
    return flight.lastStatus >= 500 ? RequestEnd::EngineFailed : RequestEnd::Delivered;
}

// Learns from an attempt's end, and logs one that did not deliver.
template <Dialect D> void Gateway<D>::noteAttempt(const Flight &flight, const Endpoint &endpoint, AttemptEnd end, Clock::time_point began, bool again)
{
    const auto now = Clock::now();
    m_metrics.attemptEnded(end);
    if (end == AttemptEnd::Delivered && flight.lastStatus / 100 == 2) {
        m_quarantine.answered(contentKey(flight.profile), now);
    }
    if (end != AttemptEnd::CallerGone) {
        const bool failed = end != AttemptEnd::Delivered || flight.lastStatus >= 500;
        const auto ejection = m_outliers[flight.service].record(incarnationKey(endpoint), failed, m_table.poolSize(flight.service), now);
        if (ejection && m_table.isCurrent(endpoint)) {
            ++m_metrics.ejections;
            m_table.eject(endpoint.id, ejection->until);
            log::Line{log::Event::EndpointEjected}
                .add("endpoint", endpoint.id)
                .add("service", flight.service)
                .add("for_ms", std::chrono::duration_cast<Millis>(ejection->until - now).count())
                .add("failing_pct", static_cast<int64_t>(100 * ejection->rate))
                .add("others_pct", static_cast<int64_t>(100 * ejection->othersRate));
        }
    }
    if (end != AttemptEnd::Delivered && m_lines.take(true, now)) {
        log::Line{log::Event::AttemptEnded}
            .add("id", flight.profile.id)
            .add("content", text::hex(contentKey(flight.profile)))
            .add("endpoint", endpoint.id)
            .add("end", nameOf(attemptEndNames, end))
            .add("status", static_cast<int64_t>(flight.lastHead.status))
            .add("retry_after_ms", flight.lastHead.retryAfter ? flight.lastHead.retryAfter->count() : int64_t{-1})
            .add("ms", msSince(began))
            .add("events", static_cast<int64_t>(flight.events.lastId()))
            .add("again", again);
    }
}

template <Dialect D> void Gateway<D>::setRetryLimits(const limits::RetryLimits &limits)
{
    m_options.retries = limits;
    for (auto &[service, budget] : m_budgets) {
        budget.setLimits(limits);
    }
}

// Counts a request's end and logs its one line.
template <Dialect D> void Gateway<D>::account(const Flight &flight, RequestEnd end, int64_t status)
{
    const auto &p = flight.profile;
    const auto now = Clock::now();
    const auto seconds = [&](Clock::time_point t) {
        return std::chrono::duration<double>(t - p.arrived).count();
    };
    const double firstByte = flight.firstByte == Clock::time_point{} ? -1 : seconds(flight.firstByte);
    m_metrics.requestEnded(p.route->kind, end, seconds(now), firstByte);
    if (!m_lines.take(end != RequestEnd::Delivered, now)) {
        return;
    }
    log::Line{log::Event::RequestFinished}
        .add("id", p.id)
        .add("content", text::hex(contentKey(p)))
        .add("end", nameOf(requestEndNames, end))
        .add("status", status)
        .add("route", p.route->name)
        .add("service", flight.service)
        .add("workspace", p.workspace)
        .add("config", p.configuration->version)
        .add("endpoint", flight.lastEndpoint)
        .add("load", flight.lastLoad)
        .add("at_home", flight.home && flight.home->id == flight.lastEndpoint)
        .add("held", flight.belief.held)
        .add("holder", flight.belief.source ? flight.belief.source->id : "")
        .add("sends", int64_t{flight.count.sends})
        .add("runs", int64_t{flight.count.runs})
        .add("events", static_cast<int64_t>(flight.events.lastId()))
        .add("first_ms", firstByte < 0 ? int64_t{-1} : static_cast<int64_t>(firstByte * 1000))
        .add("ms", msSince(p.arrived));
}

} // namespace yucca::entry
