// The pipeline's attempt at one endpoint: send, judge the answer, relay it.
#pragma once

#include "entry/gateway.h"

namespace yucca::entry
{

/// Endpoints whose last incarnation is remembered: twice those of the two-year size.
inline constexpr std::size_t mostBornKept = 4096;

// Until when an endpoint may take to begin its answer: a repeatable request
// that has an attempt left does not wait for a silent endpoint to the end.
template <Dialect D> Clock::time_point Gateway<D>::headDeadline(const Flight &flight, Clock::time_point now) const
{
    const Route &route = *flight.profile.route;
    const auto end = flight.profile.answerBy;
    if (!repeatable(route) || flight.count.runs + 1 >= route.maxAttempts) {
        return end;
    }
    const auto patience = Millis(static_cast<int64_t>(static_cast<double>(route.targetLatency.count()) * m_options.silencePatience));
    return std::min(now + patience, now + (end - now) / 2);
}

// Which connection a request may go out on. One that may run once only is
// lost with a kept connection that its peer has closed or forgotten.
template <Dialect D> http::Reuse Gateway<D>::reuseFor(const Flight &flight, Clock::time_point now) const
{
    if (repeatable(*flight.profile.route)) {
        return http::Reuse::Kept;
    }
    const auto broke = m_keptBrokeAt.find(flight.service);
    const bool distrusted = broke != m_keptBrokeAt.end() && now - broke->second < m_options.keptDistrustedFor;
    return m_options.newConnectionForSingleRuns || distrusted ? http::Reuse::Never : http::Reuse::Kept;
}

// Closes what is kept of an endpoint's earlier incarnation: its connections
// lead to a process that has gone.
template <Dialect D> Task<void> Gateway<D>::forgetEarlier(const Endpoint &endpoint)
{
    const auto ex = co_await asio::this_coro::executor;
    const auto [it, first] = m_born.try_emplace(endpoint.id, endpoint.born);
    if (!first && it->second != endpoint.born) {
        it->second = endpoint.born;
        m_client.closeKept(asio::query(ex, asio::execution::context), {endpoint.host, endpoint.port});
    }
    if (m_born.size() > mostBornKept) {
        m_born.clear(); // costs a stale connection at most
    }
}

template <Dialect D> void Gateway<D>::endAttemptsAtRestarted()
{
    std::vector<Flight *> ended;
    for (const auto &[flight, endpoint] : m_attempts) {
        if (!m_table.isCurrent(endpoint)) {
            ended.push_back(flight);
        }
    }
    for (auto *flight : ended) {
        if (m_attempts.count(flight)) { // ending one may have ended another
            flight->endpointRestarted = true;
            flight->cancellation.fire();
        }
    }
}

// Sends the request to one endpoint and relays its answer. Sets stale when a
// kept connection broke before anything came back on it.
template <Dialect D> Task<AttemptEnd> Gateway<D>::attemptAt(http::Exchange &ex, Flight &flight, const Endpoint &endpoint, http::Reuse reuse, bool &stale)
{
    const auto now = Clock::now();
    const auto *service = flight.profile.configuration->service(flight.service);
    http::CallOptions options;
    options.deadline = headDeadline(flight, now);
    options.reuse = reuse;
    options.cancellation = &flight.cancellation;
    options.connectTimeout = m_options.connectTimeout;
    const std::size_t share = service ? static_cast<std::size_t>(service->maxConnections) / m_options.routersPerConnectionCap : 1;
    options.mostKept = std::clamp<std::size_t>(share, 2, m_options.mostKept);
    const auto left = std::chrono::duration_cast<Millis>(flight.profile.answerBy - now);
    flight.belief = beliefOf(flight, endpoint, now);
    ForwardOptions forward{endpoint, left, flight.events.lastId(), flight.belief.source};
    auto request = m_dialect.forwarded(ex, flight.profile, forward);
    const http::Address address{endpoint.host, endpoint.port};
    stale = false;
    auto opened = co_await m_client.open(address, std::move(request), options);
    if (const auto *error = std::get_if<http::CallError>(&opened)) {
        if (error->stage == http::CallStage::Connect) {
            m_table.suspect(endpoint.id, Clock::now());
            co_return AttemptEnd::Unreached;
        }
        ++flight.count.arrivals;
        stale = error->reused && Clock::now() < options.deadline;
        if (stale && !flight.cancellation.fired()) {
            m_keptBrokeAt[flight.service] = Clock::now();
        }
        co_return Clock::now() >= options.deadline ? AttemptEnd::Silent : AttemptEnd::Broken;
    }
    ++flight.count.arrivals;
    auto &response = *std::get<std::unique_ptr<http::Response>>(opened);
    co_return co_await takeAnswer(ex, flight, endpoint, response);
}

// Notes what an endpoint says of itself, also beside another request's answer.
template <Dialect D> void Gateway<D>::takeRefusals(const Endpoint &endpoint, const AnswerHead &head)
{
    if (head.retryAfter && m_table.backOff(endpoint, Clock::now() + *head.retryAfter)) {
        ++m_metrics.backOffs;
        log::Line{log::Event::EndpointBacksOff}.add("endpoint", endpoint.id).add("service", endpoint.pool).add("for_ms", head.retryAfter->count());
    }
    if (head.leaving && m_table.noteLeaving(endpoint, *head.leaving, Clock::now())) {
        log::Line{log::Event::Draining}.add("endpoint", endpoint.id).add("draining", *head.leaving);
    }
}

// Judges the head of an answer and relays what belongs to the caller. An
// answer to another request may stand before this one's on the connection.
template <Dialect D> Task<AttemptEnd> Gateway<D>::takeAnswer(http::Exchange &ex, Flight &flight, const Endpoint &endpoint, http::Response &response)
{
    constexpr int mostForeignAnswers = D::answersMayBeLate ? 3 : 0;
    AnswerHead head = m_dialect.readHead(response, flight.profile);
    takeRefusals(endpoint, head);
    for (int foreign = 0; !head.ownAnswer && !head.notExecuted && !head.wrongInstance; ++foreign) {
        log::Line{log::Event::AnswerMismatched}.add("id", flight.profile.id).add("endpoint", endpoint.id);
        if (foreign == mostForeignAnswers) {
            co_return AttemptEnd::Broken;
        }
        const auto failed = co_await response.skipToNext();
        if (failed) {
            co_return AttemptEnd::Broken;
        }
        head = m_dialect.readHead(response, flight.profile);
        takeRefusals(endpoint, head);
    }
    flight.lastHead = head;
    const bool current = m_table.isCurrent(endpoint);
    if (current) {
        m_table.recovered(endpoint.id);
    }
    flight.lastLoad = head.load;
    if (head.load >= 0 && current) {
        m_table.reported(endpoint.id, head.load, Clock::now());
    }
    if (head.wrongInstance) {
        m_table.noteLeaving(endpoint, true, Clock::now());
        const auto watch = m_endingWatches.find(incarnationKey(endpoint));
        if (watch != m_endingWatches.end()) {
            watch->second->replaced = true;
        }
        co_return AttemptEnd::NotExecuted;
    }
    if (head.notExecuted) {
        co_return AttemptEnd::NotExecuted;
    }
    if (!head.authentic) {
        co_return AttemptEnd::Broken;
    }
    const auto now = Clock::now();
    flight.firstByte = flight.firstByte == Clock::time_point{} ? now : flight.firstByte;
    flight.lastStatus = head.status;
    if (sharesPrompt(flight.profile.prompt)) {
        m_table.tookPrompt(promptKey(flight.profile.prompt), endpoint, now);
    }
    const bool streams = flight.profile.route->kind == RequestKind::Stream && head.status == 200;
    // GCC 12 evaluates both arms of a conditional with co_await in each.
    if (streams) {
        co_return co_await relayStream(ex, flight, endpoint, response);
    }
    co_return co_await relayWhole(ex, flight, endpoint, head, response);
}

// Takes an answer whole before any of it goes on, so that one that breaks
// off can still be asked for elsewhere.
template <Dialect D>
Task<AttemptEnd> Gateway<D>::relayWhole(http::Exchange &ex, Flight &flight, const Endpoint &endpoint, const AnswerHead &head, http::Response &response)
{
    auto headers = m_dialect.answerHeaders(response, flight.profile, endpoint);
    response.setDeadline(flight.profile.answerBy);
    std::string body;
    for (bool more = true; more;) {
        auto read = co_await response.read();
        if (std::holds_alternative<http::CallError>(read)) {
            co_return Clock::now() >= flight.profile.answerBy ? AttemptEnd::Silent : AttemptEnd::Broken;
        }
        const auto &bytes = std::get<std::string>(read);
        more = !bytes.empty();
        body += bytes;
        if (body.size() > m_options.mostAnswerBytes) {
            co_return AttemptEnd::Broken;
        }
    }
    if (flight.headSent) {
        co_return AttemptEnd::EngineFailed; // it cannot go on with the stream
    }
    if (head.status >= 500 && repeatable(*flight.profile.route)) {
        flight.failure = KeptAnswer{head.status, std::move(headers), std::move(body)};
        co_return AttemptEnd::EngineFailed;
    }
    if (flight.claim) {
        auto record = idempotency::Guard::completed(*flight.claim, head.status, body);
        co_await settle(*flight.claim, std::move(record));
    }
    co_await ex.reply(head.status, std::move(body), std::move(headers), "");
    co_return AttemptEnd::Delivered;
}

// Relays a stream event by event as they arrive.
template <Dialect D> Task<AttemptEnd> Gateway<D>::relayStream(http::Exchange &ex, Flight &flight, const Endpoint &endpoint, http::Response &response)
{
    const Route &route = *flight.profile.route;
    if (!flight.headSent) {
        flight.headSent = true;
        auto headers = m_dialect.answerHeaders(response, flight.profile, endpoint);
        co_await ex.beginStream(response.status(), "", std::move(headers));
    }
    const auto patience = Millis(static_cast<int64_t>(static_cast<double>(route.eventGapTarget.count()) * m_options.gapPatience));
    const bool mayResume = repeatable(route) && flight.count.runs + 1 < route.maxAttempts;
    for (;;) {
        response.setDeadline(mayResume ? std::min(flight.profile.answerBy, Clock::now() + patience) : flight.profile.answerBy);
        auto read = co_await response.read();
        if (ex.callerGone()) {
            co_return AttemptEnd::CallerGone;
        }
        if (std::holds_alternative<http::CallError>(read)) {
            flight.events.runEnded();
            co_return AttemptEnd::Broken;
        }
        const auto &bytes = std::get<std::string>(read);
        if (bytes.empty()) {
            break;
        }
        std::string whole;
        for (auto &event : flight.events.push(bytes)) {
            whole += event;
        }
        if (!whole.empty()) {
            const bool delivered = co_await ex.sendChunk(std::move(whole));
            if (!delivered) {
                co_return AttemptEnd::CallerGone;
            }
        }
        if (flight.events.gap()) {
            co_return AttemptEnd::Broken;
        }
    }
    const bool whole = D::streamsEndWithMark ? flight.events.complete() : !flight.events.midEvent();
    if (!whole) {
        flight.events.runEnded();
        co_return AttemptEnd::Broken; // it ended early, without an error
    }
    co_await ex.endStream();
    co_return AttemptEnd::Delivered;
}

} // namespace yucca::entry
