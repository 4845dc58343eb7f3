// Chats: placed by their prompt, tried again and resumed while that does no harm.
#include "prefix.h"
#include "router_answers.h"

namespace yucca::router
{

Task<void> Router::chat(http::Exchange &ex)
{
    auto admitted = co_await admit(ex, EndpointKind::Engine);
    if (!admitted) {
        co_return;
    }
    const json body = json::parse(ex.request().body(), nullptr, false);
    if (!body.is_object() || !body.contains("messages") || !prefix::wellFormed(body["messages"])) {
        ++m_counters.notRun;
        co_await ex.reply(
            400, R"({"error":{"message":"messages required: a list of objects with role and content","type":"invalid_request_error"},"outcome":"not_run"})");
        co_return;
    }
    Chat chat;
    chat.admitted = std::move(*admitted);
    chat.stream = body.contains("stream") && body["stream"] == true;
    chat.affinity = prefix::affinity(chat.admitted.workspace, body["messages"]);
    ex.onCallerGone([&chat] {
        chat.cancellation.fire(); // closes the engine's connection: it stops working
    });
    co_await attemptChat(ex, chat);
    ex.onCallerGone({});
}

// Tries a chat at one engine after the other: a generation may be repeated,
// and a stream resumed, as long as there is time and the retry budget lasts.
Task<void> Router::attemptChat(http::Exchange &ex, Chat &chat)
{
    const std::string &pool = chat.admitted.workClass.pool;
    std::set<std::string> tried;
    std::string why = "no engine of pool '" + pool + "' could take the request";
    for (int64_t attempt = 1; attempt <= m_settings.maxAttempts; ++attempt) {
        const auto now = Clock::now();
        if (now >= chat.admitted.deadline) {
            why = "the request's time is up";
            break;
        }
        if (attempt > 1 && !m_retryBudget.spend()) {
            why = "the retry budget is spent";
            break;
        }
        const auto endpoint = m_table.acquire(pool, chat.affinity, tried, now);
        if (!endpoint) {
            break;
        }
        const PlacedRequest placed(m_table, *endpoint);
        tried.insert(endpoint->id);
        m_counters.retried += attempt > 1 ? 1 : 0;
        m_counters.resumed += chat.headSent ? 1 : 0;
        // An engine that hangs must leave time for another one.
        const bool last = attempt == m_settings.maxAttempts;
        const auto deadline = last ? chat.admitted.deadline : now + (chat.admitted.deadline - now) / 2;
        const Attempt result = chat.stream ? co_await relayStream(ex, chat, *endpoint, deadline) : co_await relayWhole(ex, chat, *endpoint, deadline);
        if (chat.cancellation.fired() || ex.callerGone()) {
            ++m_counters.abandoned;
            co_return;
        }
        if (result == Attempt::Answered) {
            noteServed(chat.admitted);
            co_return;
        }
        chat.mayHaveRun = chat.mayHaveRun || result == Attempt::MayHaveRun;
    }
    if (chat.headSent) {
        ++m_counters.cut;
        log::event(log::Event::StreamCut, "id=" + chat.admitted.requestId + " events=" + std::to_string(chat.events.lastId()));
        ex.drop(); // what was sent must not look complete
    } else if (chat.mayHaveRun) {
        co_await outcomeUnknown(ex, why);
    } else {
        co_await notRun(ex, 503, why);
    }
}

// What a call that broke off says of the request: refused a connection, it
// certainly did not run.
Router::Attempt Router::failed(const Endpoint &endpoint, const http::CallError &error)
{
    noteFailure(endpoint, error);
    return error.stage == http::CallStage::Connect ? Attempt::NotExecuted : Attempt::MayHaveRun;
}

// Forwards a chat and its answer whole.
Task<Router::Attempt> Router::relayWhole(http::Exchange &ex, Chat &chat, const Endpoint &endpoint, Clock::time_point deadline)
{
    const auto options = callOptions(deadline, http::Reuse::KeptOrAgain, &chat.cancellation);
    auto called = co_await m_client.call(addressOf(endpoint), forwarded(ex, chat.admitted), options);
    if (auto *error = std::get_if<http::CallError>(&called)) {
        co_return failed(endpoint, *error);
    }
    auto &reply = std::get<http::Reply>(called);
    if (const auto rejected = rejectedBy(endpoint, chat.admitted, reply.status, reply)) {
        co_return *rejected;
    }
    co_await ex.reply(reply.status, std::move(reply.body), answerHeaders(chat.admitted.requestId, endpoint.id));
    co_return Attempt::Answered;
}

// Forwards a chat and relays its server-sent events; a stream that an
// earlier engine broke off goes on after the last event the caller has.
Task<Router::Attempt> Router::relayStream(http::Exchange &ex, Chat &chat, const Endpoint &endpoint, Clock::time_point deadline)
{
    const auto options = callOptions(deadline, http::Reuse::KeptOrAgain, &chat.cancellation);
    auto request = forwarded(ex, chat.admitted);
    if (chat.events.lastId() > 0) {
        request.set("last-event-id", std::to_string(chat.events.lastId()));
    }
    auto opened = co_await m_client.open(addressOf(endpoint), std::move(request), options);
    if (auto *error = std::get_if<http::CallError>(&opened)) {
        co_return failed(endpoint, *error);
    }
    auto &response = *std::get<std::unique_ptr<http::Response>>(opened);
    if (const auto rejected = rejectedBy(endpoint, chat.admitted, response.status(), response)) {
        co_return *rejected;
    }
    if (response.status() != 200 && chat.headSent) {
        co_return Attempt::MayHaveRun; // it cannot go on with this stream
    }
    if (!chat.headSent) {
        chat.headSent = true;
        const auto type = response.status() == 200 ? "text/event-stream" : "application/json";
        co_await ex.beginStream(response.status(), type, answerHeaders(chat.admitted.requestId, endpoint.id));
    }
    co_return co_await relayEvents(ex, chat, response);
}

// Relays the body of a stream, event by event as they arrive.
Task<Router::Attempt> Router::relayEvents(http::Exchange &ex, Chat &chat, http::Response &response)
{
    const bool events = response.status() == 200;
    for (;;) {
        // A silent engine is given up on after a pause, not at the deadline.
        response.setDeadline(std::min(chat.admitted.deadline, Clock::now() + Millis(m_settings.streamPauseMs)));
        auto read = co_await response.read();
        if (auto *error = std::get_if<http::CallError>(&read)) {
            log::event(log::Event::EndpointUnreachable, "stream=\"" + error->message + "\"");
            chat.events.runEnded();
            co_return Attempt::MayHaveRun;
        }
        const auto &bytes = std::get<std::string>(read);
        if (bytes.empty()) {
            break;
        }
        if (!events) {
            co_await ex.sendChunk(bytes);
            continue;
        }
        for (auto &event : chat.events.push(bytes)) {
            const bool delivered = co_await ex.sendChunk(std::move(event));
            if (!delivered) {
                co_return Attempt::Answered; // the caller has gone
            }
        }
        if (chat.events.gap()) {
            co_return Attempt::MayHaveRun;
        }
    }
    if (events && !chat.events.complete()) {
        chat.events.runEnded();
        co_return Attempt::MayHaveRun; // it ended early without an error
    }
    co_await ex.endStream();
    co_return Attempt::Answered;
}

} // namespace yucca::router
