// One attempt at an endpoint: send the request, check the response, relay it.
#pragma once

#include "entry/gateway.h"
#include "text.h"

namespace yucca::entry
{

/// Maximum number of endpoints whose last incarnation is stored: twice the fleet size projected in
/// two years.
inline constexpr std::size_t maxTrackedIncarnations = 4096;

// Returns the time after which another endpoint is sought for a request whose endpoint has not begun its response.
template <Dialect D> Clock::time_point Gateway<D>::headDeadline(const RequestState &state, Clock::time_point now) const
{
    const Route &route = *state.profile.route;
    const auto end = state.profile.responseDeadline;
    const auto responseTimeout = Millis(static_cast<int64_t>(static_cast<double>(route.targetLatency.count()) * m_options.responseTimeoutFactor));
    return std::min(now + responseTimeout, now + (end - now) / 2);
}

// Selects whether a request may use a keep-alive connection. If the peer has closed or dropped that
// connection, a request that may run only once is lost.
template <Dialect D> http::ConnectionReuse Gateway<D>::reuseFor(const RequestState &state, Clock::time_point now) const
{
    if (repeatable(*state.profile.route)) {
        return http::ConnectionReuse::KeepAlive;
    }
    const auto broke = m_keepAliveBrokeAt.find(state.service);
    const bool distrusted = broke != m_keepAliveBrokeAt.end() && now - broke->second < m_options.keepAliveDistrustTime;
    return m_options.newConnectionForNonRepeatable || distrusted ? http::ConnectionReuse::Never : http::ConnectionReuse::KeepAlive;
}

// Closes the keep-alive connections to an earlier incarnation of an endpoint: they lead to a
// process that is gone.
template <Dialect D> Task<void> Gateway<D>::closeStaleConnections(const Endpoint &endpoint)
{
    const auto ex = co_await asio::this_coro::executor;
    const auto [it, first] = m_incarnationStart.try_emplace(endpoint.id, endpoint.startedAtMs);
    if (!first && it->second != endpoint.startedAtMs) {
        it->second = endpoint.startedAtMs;
        m_client.closeIdleConnections(asio::query(ex, asio::execution::context), {endpoint.host, endpoint.port});
    }
    if (m_incarnationStart.size() > maxTrackedIncarnations) {
        m_incarnationStart.clear(); // costs at most one stale connection for each endpoint
    }
}

// Returns the number of idle connections that this router may keep to an endpoint.
template <Dialect D> std::size_t Gateway<D>::maxIdleConnectionsTo(const Endpoint &endpoint) const
{
    const auto configuration = m_published.configuration();
    const auto *service = configuration ? configuration->service(endpoint.pool) : nullptr;
    const std::size_t share = service ? static_cast<std::size_t>(service->maxConnections) / m_options.routersPerConnectionCap : 1;
    return std::clamp<std::size_t>(share, 2, m_options.maxIdleConnections);
}

template <Dialect D> void Gateway<D>::cancelAttemptsAtRestarted()
{
    std::vector<RequestState *> affected;
    for (const auto &[state, endpoint] : m_attempts) {
        if (!m_table.isCurrentIncarnation(endpoint)) {
            affected.push_back(state);
        }
    }
    for (auto *state : affected) {
        if (m_attempts.count(state)) { // cancelling one attempt may have ended another
            state->endpointRestarted = true;
            state->cancellation.cancel();
        }
    }
}

template <Dialect D> void Gateway<D>::endRequests()
{
    m_ending = true;
    std::vector<RequestState *> inFlight;
    for (const auto &[state, endpoint] : m_attempts) {
        inFlight.push_back(state);
    }
    for (auto *state : inFlight) {
        if (m_attempts.count(state)) { // cancelling one attempt may have ended another
            state->stopping = true;
            state->cancellation.cancel();
        }
    }
}

// Sends the request to one endpoint and relays its response. Sets staleConnection if a keep-alive
// connection broke before any byte of the response arrived.
template <Dialect D>
Task<AttemptEnd> Gateway<D>::attemptAt(http::Exchange &ex, RequestState &state, const Endpoint &endpoint, http::ConnectionReuse reuse, bool &staleConnection)
{
    const auto now = Clock::now();
    http::CallOptions options;
    options.deadline = state.profile.responseDeadline;
    options.reuse = reuse;
    options.cancellation = &state.cancellation;
    options.connectTimeout = m_options.connectTimeout;
    options.confirmAfterIdle = m_options.confirmAfterIdle;
    options.maxIdleConnections = maxIdleConnectionsTo(endpoint);
    state.promptEstimate = estimatePrompt(state, endpoint, now);
    staleConnection = false;
    auto opened = co_await openByAnyPath(ex, state, endpoint, options);
    if (const auto *error = std::get_if<http::CallError>(&opened)) {
        if (error->stage == http::CallStage::Connect) {
            if (state.retryPermit) {
                state.retryPermit->cancel();
            }
            state.retryPermit.reset();
            if (!state.cancellation.isCancelled() && Clock::now() < options.deadline) {
                m_table.suspect(endpoint.id, Clock::now());
            }
            co_return AttemptEnd::Unreached;
        }
        state.retryPermit.reset();
        ++state.count.arrivals;
        staleConnection = error->reused && Clock::now() < options.deadline && !state.successor;
        if (staleConnection && !state.cancellation.isCancelled()) {
            m_keepAliveBrokeAt[state.service] = Clock::now();
        }
        co_return Clock::now() >= options.deadline ? AttemptEnd::Silent : AttemptEnd::Broken;
    }
    state.retryPermit.reset();
    ++state.count.arrivals;
    auto &response = *std::get<std::unique_ptr<http::Response>>(opened);
    co_return co_await handleResponse(ex, state, endpoint, response);
}

template <Dialect D> void Gateway<D>::recordReceived(RequestState &state, const Endpoint &endpoint)
{
    state.lastReceived = Clock::now();
    m_activity.recordReceived(incarnationKey(endpoint), state.lastReceived);
}

// Applies what an endpoint reports about itself, even if it comes with the response to another
// request.
template <Dialect D> void Gateway<D>::applySelfReport(const Endpoint &endpoint, const ResponseHead &head)
{
    if (head.retryAfter && m_table.backOff(endpoint, Clock::now() + *head.retryAfter)) {
        ++m_metrics.backOffs;
        log::Line{log::Event::EndpointBacksOff}.add("endpoint", endpoint.id).add("service", endpoint.pool).add("for_ms", head.retryAfter->count());
    }
    if (head.leaving && m_table.recordLeaving(endpoint, *head.leaving, Clock::now())) {
        log::Line{log::Event::Draining}.add("endpoint", endpoint.id).add("draining", *head.leaving);
    }
}

// Checks the head of a response and relays the response to the caller. The response to another
// request may precede this one on the connection.
template <Dialect D> Task<AttemptEnd> Gateway<D>::handleResponse(http::Exchange &ex, RequestState &state, const Endpoint &endpoint, http::Response &response)
{
    constexpr int maxForeignResponses = D::mayReceiveLateResponses ? 3 : 0;
    recordReceived(state, endpoint);
    ResponseHead head = m_dialect.readHead(response, state.profile);
    applySelfReport(endpoint, head);
    for (int foreignResponses = 0; !head.matchesRequest && !head.notExecuted && !head.wrongInstance; ++foreignResponses) {
        log::Line{log::Event::AnswerMismatched}.add("id", state.profile.id).add("endpoint", endpoint.id);
        if (foreignResponses == maxForeignResponses) {
            co_return AttemptEnd::Broken;
        }
        const auto failed = co_await response.skipToNextResponse();
        if (failed) {
            co_return AttemptEnd::Broken;
        }
        head = m_dialect.readHead(response, state.profile);
        applySelfReport(endpoint, head);
    }
    if (state.watch) {
        state.watch->suspend();
    }
    state.lastHead = head;
    const bool current = m_table.isCurrentIncarnation(endpoint);
    if (current) {
        m_table.clearFailures(endpoint.id);
    }
    state.lastLoad = head.load;
    if (head.load >= 0 && current) {
        m_table.recordLoadReport(endpoint.id, head.load, Clock::now(), head.slots);
    }
    if (current && !head.wrongInstance && (head.notExecuted || head.authentic)) {
        m_table.recordRejectionLimit(endpoint, head.rejectionLimit, Clock::now());
    }
    if (!head.notExecuted && !head.wrongInstance) {
        m_table.recordAccepted(endpoint, state.acquiredAt);
    }
    if (head.wrongInstance) {
        m_table.recordLeaving(endpoint, true, Clock::now());
        const auto watch = m_crashWatches.find(incarnationKey(endpoint));
        if (watch != m_crashWatches.end()) {
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
    state.reserve.giveBack();
    const auto now = Clock::now();
    state.firstByte = state.firstByte == Clock::time_point{} ? now : state.firstByte;
    state.lastStatus = head.status;
    if (sharesPrompt(state.profile.prompt)) {
        m_table.recordPromptHolder(promptKey(state.profile.prompt), endpoint, now);
    }
    const bool streams = state.profile.route->kind == RequestKind::Stream && head.status == 200;
    // GCC 12 evaluates both arms of a conditional expression if each contains co_await.
    if (streams) {
        co_return co_await relayStream(ex, state, endpoint, response);
    }
    co_return co_await relayBuffered(ex, state, endpoint, head, response);
}

// Reads the whole response before relaying any of it, so that a truncated one can be requested from
// another endpoint. A response for which there is no memory is relayed in parts.
template <Dialect D>
Task<AttemptEnd> Gateway<D>::relayBuffered(http::Exchange &ex, RequestState &state, const Endpoint &endpoint, const ResponseHead &head,
                                           http::Response &response)
{
    if (text::parseNumber<uint64_t>(response.header("content-length")).value_or(0) > m_options.maxResponseBytes) {
        co_return AttemptEnd::Broken; // it would be cut off after a part of it had been relayed
    }
    auto headers = m_dialect.responseHeaders(response, state.profile, endpoint);
    ResponseMemory::Reservation memory(m_responseMemory);
    std::string body;
    for (bool more = true; more;) {
        auto read = co_await response.read();
        if (std::holds_alternative<http::CallError>(read)) {
            co_return Clock::now() >= state.profile.responseDeadline ? AttemptEnd::Silent : AttemptEnd::Broken;
        }
        const auto &bytes = std::get<std::string>(read);
        recordReceived(state, endpoint);
        more = !bytes.empty();
        body += bytes;
        if (body.size() > m_options.maxResponseBytes) {
            co_return AttemptEnd::Broken;
        }
        if (!memory.growTo(body.size())) {
            if (!mayRelayInParts(ex, state, head)) {
                co_return AttemptEnd::Broken;
            }
            co_return co_await relayInParts(ex, state, endpoint, response, std::move(headers), std::move(body));
        }
    }
    if (state.headSent) {
        co_return AttemptEnd::EngineFailed; // this response can't continue the stream that has begun
    }
    if (head.status >= 500 && repeatable(*state.profile.route)) {
        state.failure = EngineFailure{head.status, std::move(headers), std::move(body)};
        co_return AttemptEnd::EngineFailed;
    }
    if (state.claim) {
        auto record = idempotency::Guard::completed(*state.claim, head.status, body);
        co_await settle(*state.claim, std::move(record));
    }
    co_await ex.reply(head.status, std::move(body), std::move(headers), "");
    co_return AttemptEnd::Delivered;
}

// A failure that another endpoint may avoid, and a response that must be recorded, are needed whole. Only HTTP/1.1 has a framing
// that tells a part from a whole body of unknown length.
template <Dialect D> bool Gateway<D>::mayRelayInParts(const http::Exchange &ex, const RequestState &state, const ResponseHead &head) const
{
    const bool retried = head.status >= 500 && repeatable(*state.profile.route);
    return !state.headSent && !state.claim && !retried && ex.request().version() >= 11;
}

// Relays a response as it arrives, after the part that has been read.
template <Dialect D>
Task<AttemptEnd> Gateway<D>::relayInParts(http::Exchange &ex, RequestState &state, const Endpoint &endpoint, http::Response &response, http::Headers headers,
                                          std::string begun)
{
    state.headSent = true;
    state.relayedInParts = true;
    std::size_t total = begun.size();
    co_await ex.beginStream(response.status(), "", std::move(headers));
    bool delivered = co_await ex.sendChunk(std::move(begun));
    while (delivered) {
        auto read = co_await response.read();
        if (ex.callerDisconnected()) {
            break;
        }
        if (std::holds_alternative<http::CallError>(read)) {
            co_return Clock::now() >= state.profile.responseDeadline ? AttemptEnd::Silent : AttemptEnd::Broken;
        }
        auto &bytes = std::get<std::string>(read);
        recordReceived(state, endpoint);
        if (bytes.empty()) {
            co_await ex.endStream();
            co_return AttemptEnd::Delivered;
        }
        total += bytes.size();
        if (total > m_options.maxResponseBytes) {
            co_return AttemptEnd::Broken;
        }
        delivered = co_await ex.sendChunk(std::move(bytes));
    }
    co_return AttemptEnd::CallerGone;
}

// Relays a stream event by event as the events arrive.
template <Dialect D> Task<AttemptEnd> Gateway<D>::relayStream(http::Exchange &ex, RequestState &state, const Endpoint &endpoint, http::Response &response)
{
    const Route &route = *state.profile.route;
    if (!state.headSent) {
        auto headers = m_dialect.responseHeaders(response, state.profile, endpoint);
        state.headSent = true;
        co_await ex.beginStream(response.status(), "", std::move(headers));
    }
    const auto eventGapTimeout = Millis(static_cast<int64_t>(static_cast<double>(route.eventGapTarget.count()) * m_options.eventGapTimeoutFactor));
    for (;;) {
        if (state.watch) {
            state.watch->expectBy(Clock::now() + eventGapTimeout);
        }
        auto read = co_await response.read();
        if (state.watch) {
            state.watch->suspend(); // the endpoint is not silent while the caller is slow to read
        }
        if (ex.callerDisconnected()) {
            co_return AttemptEnd::CallerGone;
        }
        if (std::holds_alternative<http::CallError>(read)) {
            state.events.discardPartialEvent();
            co_return Clock::now() >= state.profile.responseDeadline ? AttemptEnd::Silent : AttemptEnd::Broken;
        }
        const auto &bytes = std::get<std::string>(read);
        recordReceived(state, endpoint);
        if (bytes.empty()) {
            break;
        }
        std::string completeEvents;
        for (auto &event : state.events.push(bytes)) {
            completeEvents += event;
        }
        if (!completeEvents.empty()) {
            recordOrigin(state, endpoint);
            const bool delivered = co_await ex.sendChunk(std::move(completeEvents));
            if (!delivered) {
                co_return AttemptEnd::CallerGone;
            }
        }
        if (state.events.hasGap()) {
            co_return AttemptEnd::Broken;
        }
    }
    const bool complete = D::streamsHaveTerminalEvent ? state.events.isComplete() : !state.events.hasPartialEvent();
    if (!complete) {
        state.events.discardPartialEvent();
        co_return AttemptEnd::Broken; // the stream ended early without a transport error
    }
    co_await ex.endStream();
    co_return AttemptEnd::Delivered;
}

} // namespace yucca::entry
