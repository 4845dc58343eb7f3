#include "router_traffic.h"

#include "log.h"
#include "prefix.h"
#include "text.h"

namespace yucca::router
{

using json = nlohmann::json;

namespace
{

constexpr std::string_view chatPath = "/v1/chat/completions";
constexpr std::string_view operationPrefix = "/v1/ops/";
constexpr Millis settleBeforeAnswer{500}; ///< how long an answer waits for its record to be stored

// True when an endpoint's answer says that it did not run the request.
bool notExecuted(unsigned status, const std::string &flag)
{
    return flag == "true" && (status == 503 || status == 429 || status == 421);
}

// Whole seconds, rounded up, as the Retry-After header has them.
int64_t secondsUp(Clock::duration d)
{
    return std::chrono::ceil<std::chrono::seconds>(d).count();
}

// GCC 12 cannot keep braced lists in a coroutine's frame, so JSON bodies and
// headers are made in plain functions.

// The body of an answer that is no endpoint's.
json refusalBody(const std::string &why, const char *type, Outcome outcome, int64_t retryAfterS)
{
    const json error{{"message", why}, {"type", type}};
    return {{"error", error}, {"outcome", nameOf(outcomeNames, outcome)}, {"retry_after_s", retryAfterS}};
}

http::Headers refusalHeaders(Outcome outcome, int64_t retryAfterS)
{
    return {{"Retry-After", std::to_string(retryAfterS)}, {"x-outcome", std::string(nameOf(outcomeNames, outcome))}};
}

// The headers of an endpoint's answer on its way to the caller.
http::Headers answerHeaders(const std::string &requestId, const std::string &endpoint)
{
    return {{"x-request-id", requestId}, {"x-engine-id", endpoint}};
}

http::Headers replayHeaders(const std::string &requestId)
{
    return {{"x-idempotent-replay", "true"}, {"x-request-id", requestId}};
}

http::CallOptions callOptions(Clock::time_point deadline, http::Reuse reuse, http::Cancellation *cancellation = nullptr)
{
    return {deadline, reuse, cancellation};
}

json readiness(bool ready)
{
    return {{"ready", ready}};
}

http::Address addressOf(const Endpoint &e)
{
    return {e.host, e.port};
}

} // namespace

Router::Router(const settings::RouterSettings &settings, platform::ObjectApi &records, const http::ByteCounter *controlBytes,
               const http::ByteCounter *recordBytes, RoutingTable &table, const Control &control)
    : m_settings(settings)
    , m_controlBytes(controlBytes)
    , m_recordBytes(recordBytes)
    , m_table(table)
    , m_control(control)
    , m_guard(records, settings.id)
    , m_retryBudget(settings.retryRatio, static_cast<double>(settings.retryReserve))
    , m_started(Clock::now())
{
}

Task<void> Router::handle(http::Exchange &ex)
{
    const std::string path = ex.path();
    const bool post = ex.request().method() == http::bhttp::verb::post;
    if (post && path == chatPath) {
        co_await chat(ex);
    } else if (post && path.rfind(operationPrefix, 0) == 0) {
        co_await operate(ex);
    } else if (path == "/healthz") {
        co_await ex.reply(200, R"({"ok":true})");
    } else if (path == "/readyz") {
        const bool ready = m_control.ready() && !m_stopping;
        co_await ex.reply(ready ? 200 : 503, readiness(ready).dump());
    } else if (path == "/status") {
        co_await ex.reply(200, status().dump(2));
    } else {
        co_await ex.reply(404, R"({"error":{"message":"no such path","type":"not_run"},"outcome":"not_run"})");
    }
}

// Answers that the request was not run, and when to come back.
Task<void> Router::notRun(http::Exchange &ex, unsigned status, std::string why, Clock::duration retryAfter)
{
    ++m_counters.notRun;
    log::event(log::Event::RequestNotRun, "status=" + std::to_string(status) + " why=\"" + why + "\"");
    const int64_t seconds = std::max(m_settings.retryAfterS, secondsUp(retryAfter));
    const json body = refusalBody(why, "not_run", Outcome::NotRun, seconds);
    co_await ex.reply(status, body.dump(), refusalHeaders(Outcome::NotRun, seconds));
}

// Answers that the request may have run; a retry with its key finds out.
Task<void> Router::outcomeUnknown(http::Exchange &ex, std::string why)
{
    ++m_counters.unknown;
    log::event(log::Event::RequestOutcomeUnknown, "why=\"" + why + "\"");
    const json body = refusalBody(why, "outcome_unknown", Outcome::Unknown, m_settings.retryAfterS);
    co_await ex.reply(502, body.dump(), refusalHeaders(Outcome::Unknown, m_settings.retryAfterS));
}

// Finds the class of work of a request's workspace and admits it under the
// workspace's limits; answers the request itself when it may not go on.
Task<std::optional<Router::Admitted>> Router::admit(http::Exchange &ex, EndpointKind wanted)
{
    Admitted a;
    a.began = Clock::now();
    a.workspace = ex.header("x-workspace");
    const auto snapshot = m_control.snapshot();
    if (!m_control.ready()) {
        co_await notRun(ex, 503, "the catalogue is not loaded yet");
        co_return std::nullopt;
    }
    const auto *workspace = snapshot->workspace(a.workspace);
    if (!workspace) {
        co_await notRun(ex, 404, "unknown workspace '" + a.workspace + "'");
        co_return std::nullopt;
    }
    const auto *workClass = snapshot->workClass(workspace->workClass);
    if (!workClass || workClass->kind != wanted) {
        co_await notRun(ex, 404, "workspace '" + a.workspace + "' has no class of work of this kind");
        co_return std::nullopt;
    }
    Clock::duration retryAfter{};
    const auto verdict = m_admission.admit(a.workspace, workspace->limits, a.began, retryAfter);
    if (verdict != limits::Verdict::Admitted) {
        co_await notRun(ex, 429, "workspace '" + a.workspace + "' is over its limits: " + std::string(nameOf(limits::verdictNames, verdict)), retryAfter);
        co_return std::nullopt;
    }
    a.slot = std::make_unique<limits::AdmissionSlot>(m_admission, a.workspace);
    a.workClass = *workClass;
    a.requestId = ex.header("x-request-id");
    if (a.requestId.empty()) {
        a.requestId = m_settings.id + "-" + std::to_string(++m_requests);
    }
    const int64_t longest = m_settings.requestTimeoutMs;
    a.deadline = a.began + Millis(std::clamp<int64_t>(text::number(ex.header("x-deadline-ms")).value_or(longest), 1, longest));
    m_retryBudget.earn();
    co_return std::move(a);
}

// The request as it goes to an endpoint: the caller's body, and the headers
// that tell the endpoint whose it is, how urgent, and how long it may take.
http::Request Router::forwarded(const http::Exchange &ex, const Admitted &admitted) const
{
    const auto left = std::chrono::duration_cast<Millis>(admitted.deadline - Clock::now());
    const auto target = ex.request().target();
    http::Headers headers{{"x-request-id", admitted.requestId},
                          {"x-workspace", admitted.workspace},
                          {"x-priority", std::to_string(admitted.workClass.priority)},
                          {"x-deadline-ms", std::to_string(std::max<int64_t>(1, left.count()))}};
    return http::makeRequest("POST", {target.data(), target.size()}, ex.request().body(), headers);
}

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

// Learns from the head of an endpoint's answer: its load, and that it is leaving.
template <typename Answer> void Router::noteHead(const Endpoint &endpoint, const Answer &answer)
{
    m_table.recovered(endpoint.id);
    if (const auto load = text::number(answer.header("x-engine-load"))) {
        m_table.reported(endpoint.id, *load, Clock::now());
    }
    const std::string draining = answer.header("x-engine-draining");
    if (!draining.empty() && m_table.setDraining(endpoint.id, draining == "true")) {
        log::event(log::Event::Draining, "id=" + endpoint.id + " draining=" + draining);
    }
}

// What a call that broke off says of the request: refused a connection, it
// certainly did not run.
Router::Attempt Router::failed(const Endpoint &endpoint, const http::CallError &error)
{
    noteFailure(endpoint, error);
    return error.stage == http::CallStage::Connect ? Attempt::NotExecuted : Attempt::MayHaveRun;
}

// Learns from the head of an engine's answer, and says why it may not be
// handed on, if so: the engine did not run the request, or the answer is
// another request's.
template <typename Answer>
std::optional<Router::Attempt> Router::rejectedBy(const Endpoint &endpoint, const Admitted &admitted, unsigned status, const Answer &answer)
{
    noteHead(endpoint, answer);
    if (notExecuted(status, answer.header("x-not-executed"))) {
        return Attempt::NotExecuted;
    }
    const std::string requestId = answer.header("x-request-id");
    if (requestId != admitted.requestId) {
        log::event(log::Event::AnswerMismatched, "engine=" + endpoint.id + " want=" + admitted.requestId + " got=" + requestId);
        return Attempt::MayHaveRun;
    }
    return std::nullopt;
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

// A plain service call. With an Idempotency-Key it runs at most once over
// all routers: the claim is taken in the object API before the call is sent.
Task<void> Router::operate(http::Exchange &ex)
{
    auto admitted = co_await admit(ex, EndpointKind::Service);
    if (!admitted) {
        co_return;
    }
    if (ex.header("idempotency-key").empty()) {
        co_await runOnce(ex, *admitted, nullptr);
        co_return;
    }
    idempotency::Claim claim;
    const bool mine = co_await claimed(ex, *admitted, claim);
    if (mine) {
        co_await runOnce(ex, *admitted, &claim);
    }
}

// Claims a call's idempotency key; false when the call was answered here.
Task<bool> Router::claimed(http::Exchange &ex, const Admitted &admitted, idempotency::Claim &claim)
{
    const std::string key = ex.header("idempotency-key");
    const uint64_t requestHash = ring::hash(ex.path() + "\n" + ex.request().body());
    claim = co_await m_guard.claim(admitted.workspace, key, requestHash);
    switch (claim.decision) {
    case idempotency::Decision::Run:
        co_return true;
    case idempotency::Decision::Replay: {
        ++m_counters.replayed;
        log::event(log::Event::IdempotentReplay, "key=" + key);
        co_await ex.reply(claim.storedStatus, claim.storedBody, replayHeaders(admitted.requestId));
        break;
    }
    case idempotency::Decision::InProgress:
        co_await outcomeUnknown(ex, "an earlier attempt with this key is in progress or its outcome is unknown");
        break;
    case idempotency::Decision::Mismatch:
        ++m_counters.notRun;
        co_await ex.reply(422, R"({"error":{"message":"this Idempotency-Key was used for a different request","type":"not_run"},"outcome":"not_run"})");
        break;
    case idempotency::Decision::NotRun:
        co_await notRun(ex, 503, "the object API could not record the idempotency key");
        break;
    }
    co_return false;
}

// Sends a call that must not be repeated: to another endpoint only while it
// certainly reached none. A caller that leaves does not stop it, since its
// retry is owed the answer.
Task<void> Router::runOnce(http::Exchange &ex, const Admitted &admitted, const idempotency::Claim *claim)
{
    const std::string &pool = admitted.workClass.pool;
    const std::string key = ex.header("idempotency-key");
    placement::Affinity affinity;
    affinity.shared = affinity.conversation = ring::hash(key.empty() ? admitted.requestId : key);
    std::set<std::string> tried;
    for (int64_t attempt = 1; attempt <= m_settings.maxAttempts && Clock::now() < admitted.deadline; ++attempt) {
        if (attempt > 1 && !m_retryBudget.spend()) {
            break;
        }
        const auto endpoint = m_table.acquire(pool, affinity, tried, Clock::now());
        if (!endpoint) {
            break;
        }
        const PlacedRequest placed(m_table, *endpoint);
        tried.insert(endpoint->id);
        m_counters.retried += attempt > 1 ? 1 : 0;
        auto request = forwarded(ex, admitted);
        if (!key.empty()) {
            request.set("idempotency-key", key);
        }
        const auto options = callOptions(admitted.deadline, http::Reuse::Never);
        auto called = co_await m_client.call(addressOf(*endpoint), std::move(request), options);
        if (auto *error = std::get_if<http::CallError>(&called)) {
            noteFailure(*endpoint, *error);
            if (error->stage == http::CallStage::Connect) {
                continue;
            }
            // The claim stays "started": the call is never sent again.
            co_await outcomeUnknown(ex, "the service's answer was lost: " + error->message);
            co_return;
        }
        auto &reply = std::get<http::Reply>(called);
        noteHead(*endpoint, reply);
        if (notExecuted(reply.status, reply.header("x-not-executed"))) {
            continue;
        }
        if (claim) {
            co_await settle(*claim, idempotency::Guard::completed(*claim, reply.status, reply.body));
        }
        co_await ex.reply(reply.status, std::move(reply.body), answerHeaders(admitted.requestId, endpoint->id));
        noteServed(admitted);
        co_return;
    }
    if (claim) {
        co_await settle(*claim, idempotency::Guard::released(*claim));
    }
    co_await notRun(ex, 503, "no endpoint of pool '" + pool + "' could take the call");
}

// Stores a claim's final record: at once when the store answers, else in the
// background for as long as the store is away.
Task<void> Router::settle(idempotency::Claim claim, json record)
{
    struct State {
        explicit State(const asio::any_io_executor &ex)
            : timer(ex, settleBeforeAnswer)
        {
        }
        asio::steady_timer timer;
        bool done = false;
    };
    const auto ex = co_await asio::this_coro::executor;
    auto state = std::make_shared<State>(ex);
    asio::co_spawn(ex, m_guard.settleEventually(std::move(claim), std::move(record)), [state](std::exception_ptr, bool settled) {
        if (!settled) {
            log::event(log::Event::RecordNotSettled);
        }
        state->done = true;
        state->timer.cancel();
    });
    boost::system::error_code ec;
    if (state->done) {
        co_return;
    }
    co_await state->timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

void Router::noteFailure(const Endpoint &endpoint, const http::CallError &error)
{
    log::event(log::Event::EndpointUnreachable, "id=" + endpoint.id + " error=\"" + error.message + "\"");
    if (error.stage == http::CallStage::Connect) {
        m_table.suspect(endpoint.id, Clock::now());
    }
}

void Router::noteServed(const Admitted &admitted)
{
    ++m_counters.served;
    m_latency.add(std::chrono::duration<double, std::milli>(Clock::now() - admitted.began).count());
}

json Router::status() const
{
    const double uptime = std::chrono::duration<double>(Clock::now() - m_started).count();
    const auto total = [](const http::ByteCounter *c) {
        return c ? c->total() : uint64_t{0};
    };
    const auto perSecond = [uptime](uint64_t bytes) {
        return uptime > 0 ? static_cast<double>(bytes) / uptime : 0.0;
    };
    const auto snapshot = m_control.snapshot();
    return {{"id", m_settings.id},
            {"policy", nameOf(policyNames, m_settings.policy)},
            {"ready", m_control.ready()},
            {"catalogueRevision", snapshot->revision},
            {"served", m_counters.served.load()},
            {"notRun", m_counters.notRun.load()},
            {"unknown", m_counters.unknown.load()},
            {"replayed", m_counters.replayed.load()},
            {"retried", m_counters.retried.load()},
            {"resumed", m_counters.resumed.load()},
            {"cut", m_counters.cut.load()},
            {"abandoned", m_counters.abandoned.load()},
            {"connectionsOpened", m_client.connectionsOpened()},
            {"latency", m_latency.toJson()},
            {"controlBytes", total(m_controlBytes)},
            {"uptimeS", uptime},
            {"controlBytesPerS", perSecond(total(m_controlBytes))},
            {"recordBytesPerS", perSecond(total(m_recordBytes))},
            {"endpoints", m_table.status()}};
}

} // namespace yucca::router
