#include "engine_server.h"

#include "decode.h"
#include "log.h"
#include "prefix.h"
#include "text.h"
#include "yucca/ring.h"

#include <algorithm>

namespace yucca::engine
{

using json = nlohmann::json;

namespace
{

constexpr Millis operationDuration{5}; ///< of one operation of a plain service
constexpr int64_t defaultDeadlineMs = 600000;
constexpr int64_t maxResponseTokens = 4096;

// GCC 12 cannot keep braced initializer lists in a coroutine frame, so JSON bodies are made in plain functions.

json makeUsage(std::size_t promptTokens, std::size_t cachedTokens, std::size_t answerTokens)
{
    return {{"prompt_tokens", promptTokens},
            {"completion_tokens", answerTokens},
            {"total_tokens", promptTokens + answerTokens},
            {"prompt_tokens_details", {{"cached_tokens", cachedTokens}}}};
}

// Returns one chunk of a streamed response.
json makeChunk(const std::string &id, const std::string &model, const std::string &token)
{
    const json choice{{"index", 0}, {"delta", {{"content", token + " "}}}};
    return {{"id", id}, {"object", "chat.completion.chunk"}, {"model", model}, {"choices", json::array({choice})}};
}

// Returns the last chunk of a streamed response.
json makeLastChunk(const std::string &id, const std::string &model, const json &usage)
{
    const json choice{{"index", 0}, {"delta", json::object()}, {"finish_reason", "stop"}};
    return {{"id", id}, {"object", "chat.completion.chunk"}, {"model", model}, {"choices", json::array({choice})}, {"usage", usage}};
}

// Returns a response that is not streamed.
json makeCompletion(const std::string &id, const std::string &model, const std::string &content, const json &usage)
{
    const json message{{"role", "assistant"}, {"content", content}};
    const json choice{{"index", 0}, {"message", message}, {"finish_reason", "stop"}};
    return {{"id", id}, {"object", "chat.completion"}, {"model", model}, {"choices", json::array({choice})}, {"usage", usage}};
}

json makeError(const std::string &reason, const char *type)
{
    return {{"error", {{"message", reason}, {"type", type}}}};
}

Order parseOrder(const json &body)
{
    return {body.value("kind", ""), body.value("argument", ""), body.value("fence", uint64_t{0}), body.value("holder", "")};
}

json makeConfirmation(const std::string &operation, const std::string &confirmation)
{
    return {{"operation", operation}, {"confirmation", confirmation}};
}

json makeApplied(const std::string &kind, uint64_t fence)
{
    return {{"applied", kind}, {"fence", fence}};
}

// Formats a server-sent event.
std::string sseEvent(uint64_t id, const json &data)
{
    return "id: " + std::to_string(id) + "\ndata: " + data.dump() + "\n\n";
}

} // namespace

EngineServer::EngineServer(const settings::EngineSettings &settings)
    : m_settings(settings)
    , m_cache(static_cast<std::size_t>(settings.cacheBlocks))
    , m_events(Millis(settings.cacheEventLagMs), settings.cacheEventLossPct)
    , m_slots(static_cast<std::size_t>(settings.slots), static_cast<std::size_t>(settings.queue))
    , m_load(Millis(settings.loadLagMs))
    , m_fencing(settings.checkFencing)
{
    m_cache.onChange = [this](bool added, uint64_t block) {
        m_events.record(added, block, Clock::now());
    };
}

Task<void> EngineServer::handle(http::Exchange &ex)
{
    const std::string path = ex.path();
    const bool post = ex.request().method() == http::bhttp::verb::post;
    if (post && path == "/v1/chat/completions") {
        co_await handleChat(ex);
    } else if (post && path.rfind("/v1/ops/", 0) == 0) {
        co_await handleOperation(ex, path.substr(8));
    } else if (post && path == "/v1/orders") {
        co_await handleOrder(ex);
    } else if (post && path == "/v1/kv/export") {
        co_await exportKv(ex);
    } else if (post && path == "/v1/kv/import") {
        co_await importKv(ex);
    } else if (path == "/v1/kv/events") {
        co_await ex.reply(200, cacheEvents(static_cast<uint64_t>(text::parseNumber(ex.query("since")).value_or(0))).dump());
    } else if (path == "/load") {
        co_await ex.reply(200, loadReport().dump());
    } else if (path == "/stats") {
        co_await ex.reply(200, stats().dump());
    } else if (path == "/v1/executions") {
        co_await ex.reply(200, executions().dump());
    } else if (post && path == "/admin/faults") {
        co_await setFaults(ex);
    } else if (post && path == "/admin/reset") {
        reset();
        co_await ex.reply(200, "{}");
    } else if (post && path == "/admin/clear-cache") {
        m_cache.clear();
        co_await ex.reply(200, "{}");
    } else if (path == "/healthz") {
        co_await ex.reply(200, R"({"ok":true})");
    } else {
        co_await ex.reply(404, R"({"error":"no such path"})");
    }
}

// Changes the number of requests in flight and records it for the load reports.
void EngineServer::updateInflight(int delta)
{
    m_inflight += delta;
    m_peakInflight = std::max(m_peakInflight, m_inflight);
    m_load.record(Clock::now(), m_inflight);
}

// Counts a request that arrived and, while draining, records the time since the drain began.
void EngineServer::recordArrival()
{
    ++m_served;
    if (m_draining) {
        m_lateArrivalsMs.push_back(std::chrono::duration_cast<Millis>(Clock::now() - m_drainStartedAt).count());
    }
}

http::Headers EngineServer::responseHeaders(const std::string &requestId)
{
    std::string echoed = requestId;
    if (m_faults.mixAnswers > 0) {
        --m_faults.mixAnswers;
        echoed = "mixed-" + requestId;
    }
    return {{"x-request-id", echoed},
            {"x-engine-id", m_settings.id},
            {"x-engine-load", std::to_string(m_load.reported(Clock::now()))},
            {"x-engine-draining", m_draining ? "true" : "false"}};
}

// Rejects a request that was not executed.
Task<void> EngineServer::reject(http::Exchange &ex, std::string reason)
{
    ++m_rejected;
    http::Headers headers = responseHeaders(ex.header("x-request-id"));
    headers.emplace_back("x-not-executed", "true");
    headers.emplace_back("Retry-After", "1");
    co_await ex.reply(503, makeError(reason, "not_executed").dump(), std::move(headers));
}

EngineServer::Generation EngineServer::parseChat(const http::Exchange &ex, const json &body)
{
    Generation g;
    const std::string prompt = prefix::promptText(body["messages"]);
    const auto tokens = prefix::tokenize(prompt);
    g.blocks = prefix::blockHashes(tokens, static_cast<std::size_t>(m_settings.blockTokens));
    g.promptTokens = tokens.size();
    g.stream = body.value("stream", false);
    g.model = body.value("model", m_model);
    g.requestId = ex.header("x-request-id");
    g.resumeAfter = static_cast<uint64_t>(std::max<int64_t>(0, text::parseNumber(ex.header("last-event-id")).value_or(0)));
    const auto count = static_cast<std::size_t>(std::clamp<int64_t>(body.value("max_tokens", int64_t{16}), 1, maxResponseTokens));
    g.answer = answerTokens(ring::hash(prompt), count);
    return g;
}

// Handles one chat completion: waits for a decode slot, prefills the prompt, then generates the tokens.
Task<void> EngineServer::handleChat(http::Exchange &ex)
{
    recordArrival();
    const json body = decode::textOrNull(ex.request().body());
    if (!body.is_object() || !body.contains("messages")) {
        co_await ex.reply(400, R"({"error":{"message":"messages required","type":"invalid_request_error"}})", responseHeaders(ex.header("x-request-id")));
        co_return;
    }
    auto g = parseChat(ex, body);
    const auto deadline = Clock::now() + Millis(text::parseNumber(ex.header("x-deadline-ms")).value_or(defaultDeadlineMs));
    updateInflight(+1);
    const bool admitted = co_await m_slots.acquire(text::parseNumber(ex.header("x-priority")).value_or(5), deadline);
    if (!admitted) {
        updateInflight(-1);
        co_await reject(ex, "queue full or deadline passed in the queue");
        co_return;
    }
    if (ex.callerDisconnected()) {
        ++m_cancelled; // the caller left the queue
    } else {
        co_await generate(ex, g);
    }
    m_slots.release();
    updateInflight(-1);
}

// Prefills the part of the prompt that is not cached, and generates the response.
Task<void> EngineServer::generate(http::Exchange &ex, Generation &g)
{
    const std::size_t cachedBlocks = m_cache.match(g.blocks);
    g.cachedTokens = cachedBlocks * static_cast<std::size_t>(m_settings.blockTokens);
    m_promptTokens += static_cast<int64_t>(g.promptTokens);
    m_cachedTokens += static_cast<int64_t>(g.cachedTokens);
    m_resumed += g.resumeAfter > 0 ? 1 : 0;
    const auto unread = static_cast<int64_t>(g.promptTokens - std::min(g.promptTokens, g.cachedTokens));
    co_await sleepFor(std::chrono::microseconds(unread * 1000000 / m_settings.prefillTokensPerS));
    m_cache.insert(g.blocks);
    const bool delivered = g.stream ? co_await streamCompletion(ex, g) : co_await sendCompletion(ex, g);
    m_cancelled += delivered ? 0 : 1;
}

// Returns the time to generate one token, which grows with the number of busy slots.
std::chrono::microseconds EngineServer::timePerToken() const
{
    const double fill = static_cast<double>(m_slots.busy()) / static_cast<double>(m_settings.slots);
    return std::chrono::microseconds(static_cast<int64_t>(1e6 * (1 + fill) / static_cast<double>(m_settings.tokensPerS)));
}

// Streams the response as server-sent events, after the last event that the caller has received. Returns false if the
// caller left before the end.
Task<bool> EngineServer::streamCompletion(http::Exchange &ex, const Generation &g)
{
    const std::string id = "chatcmpl-" + g.requestId;
    const bool cut = m_faults.cutStreams > 0;
    m_faults.cutStreams -= cut ? 1 : 0;
    int64_t sent = 0;
    co_await ex.beginStream(200, "text/event-stream", responseHeaders(g.requestId));
    for (uint64_t event = g.resumeAfter + 1; event <= g.answer.size(); ++event) {
        co_await sleepFor(timePerToken());
        if (cut && sent == m_faults.cutAfter) {
            ex.abort();
            co_return true;
        }
        const json chunk = makeChunk(id, g.model, g.answer[event - 1]);
        const bool delivered = co_await ex.sendChunk(sseEvent(event, chunk));
        if (!delivered) {
            co_return false; // the caller left: decoding stops
        }
        ++sent;
    }
    const json last = makeLastChunk(id, g.model, makeUsage(g.promptTokens, g.cachedTokens, g.answer.size()));
    co_await ex.sendChunk(sseEvent(g.answer.size() + 1, last) + "data: [DONE]\n\n");
    co_await ex.endStream();
    co_return true;
}

// Sends the response at once when it is complete. Returns false if the caller left before that.
Task<bool> EngineServer::sendCompletion(http::Exchange &ex, const Generation &g)
{
    std::string content;
    for (const auto &token : g.answer) {
        co_await sleepFor(timePerToken());
        if (ex.callerDisconnected()) {
            co_return false;
        }
        content += token + " ";
    }
    const json usage = makeUsage(g.promptTokens, g.cachedTokens, g.answer.size());
    const json answer = makeCompletion("chatcmpl-" + g.requestId, g.model, content, usage);
    co_await ex.reply(200, answer.dump(), responseHeaders(g.requestId));
    co_return true;
}

// Executes an operation of a plain service and records it.
Task<void> EngineServer::handleOperation(http::Exchange &ex, std::string operation)
{
    recordArrival();
    updateInflight(+1);
    co_await sleepFor(operationDuration);
    const std::string key = ex.header("idempotency-key");
    const auto confirmation = m_executions.execute(operation, key.empty() ? ex.header("x-request-id") : key);
    updateInflight(-1);
    if (m_faults.loseAnswers > 0) {
        --m_faults.loseAnswers;
        ex.abort(); // the operation ran; its response is lost
        co_return;
    }
    const json answer = makeConfirmation(operation, m_settings.id + "-" + std::to_string(confirmation));
    co_await ex.reply(200, answer.dump(), responseHeaders(ex.header("x-request-id")));
}

// Handles an order. An order with an old fencing token is rejected, unless the engine is set not to check it.
Task<void> EngineServer::handleOrder(http::Exchange &ex)
{
    const json body = decode::textOrNull(ex.request().body());
    if (!body.is_object()) {
        co_await ex.reply(400, R"({"error":"order must be a JSON object"})");
        co_return;
    }
    const Order o = parseOrder(body);
    auto admitted = m_fencing.admit(o);
    if (!ok(admitted)) {
        log::event(log::Event::OrderRefused, "kind=" + o.kind + " fence=" + std::to_string(o.fence));
        co_await ex.reply(409, makeError(std::get<Error>(admitted).message, "stale_fence").dump());
        co_return;
    }
    log::event(log::Event::OrderAccepted, "kind=" + o.kind + " fence=" + std::to_string(o.fence));
    applyOrder(o);
    co_await ex.reply(200, makeApplied(o.kind, std::get<uint64_t>(admitted)).dump(), responseHeaders(ex.header("x-request-id")));
}

void EngineServer::applyOrder(const Order &order)
{
    if (order.kind == "drain") {
        m_draining = true;
        m_drainStartedAt = Clock::now();
        log::event(log::Event::Draining, "id=" + m_settings.id);
    } else if (order.kind == "undrain") {
        m_draining = false;
    } else if (order.kind == "load_model") {
        m_model = order.argument;
    } else if (order.kind == "set_role") {
        m_role = order.argument;
    }
}

// Responds with the leading cached blocks of a prompt, to be imported by another engine.
Task<void> EngineServer::exportKv(http::Exchange &ex)
{
    const json body = decode::textOrNull(ex.request().body());
    json blocks = json::array();
    if (body.is_object() && body.contains("messages")) {
        const std::string prompt = prefix::promptText(body["messages"]);
        const auto tokens = prefix::tokenize(prompt);
        for (auto block : prefix::blockHashes(tokens, static_cast<std::size_t>(m_settings.blockTokens))) {
            if (!m_cache.contains(block)) {
                break;
            }
            blocks.push_back(block);
        }
    }
    json exported;
    exported["blocks"] = std::move(blocks);
    co_await ex.reply(200, exported.dump());
}

Task<void> EngineServer::importKv(http::Exchange &ex)
{
    const json body = decode::textOrNull(ex.request().body());
    if (!body.is_object() || !body.contains("blocks") || !body["blocks"].is_array()) {
        co_await ex.reply(400, R"({"error":"blocks required"})");
        co_return;
    }
    const auto blocks = body["blocks"].get<std::vector<uint64_t>>();
    m_cache.insert(blocks);
    json imported;
    imported["imported"] = blocks.size();
    co_await ex.reply(200, imported.dump());
}

Task<void> EngineServer::setFaults(http::Exchange &ex)
{
    const json body = decode::textOrNull(ex.request().body());
    if (!body.is_object()) {
        co_await ex.reply(400, R"({"error":"faults must be a JSON object"})");
        co_return;
    }
    m_faults.cutStreams = body.value("cutStreams", int64_t{0});
    m_faults.cutAfter = body.value("cutAfter", int64_t{3});
    m_faults.loseAnswers = body.value("loseAnswers", int64_t{0});
    m_faults.mixAnswers = body.value("mixAnswers", int64_t{0});
    log::event(log::Event::FaultSet, body.dump());
    co_await ex.reply(200, body.dump());
}

void EngineServer::reset()
{
    m_cache.clear();
    m_served = m_peakInflight = m_rejected = m_cancelled = m_resumed = 0;
    m_promptTokens = m_cachedTokens = 0;
    m_lateArrivalsMs.clear();
}

json EngineServer::loadReport() const
{
    return {{"id", m_settings.id},
            {"inflight", m_load.reported(Clock::now())},
            {"waiting", m_slots.waiting()},
            {"slots", m_settings.slots},
            {"model", m_model},
            {"role", m_role},
            {"draining", m_draining}};
}

json EngineServer::executions() const
{
    return {{"total", m_executions.total()}, {"duplicates", m_executions.duplicates()}};
}

json EngineServer::stats() const
{
    return {{"id", m_settings.id},
            {"model", m_model},
            {"served", m_served},
            {"refused", m_rejected},
            {"cancelled", m_cancelled},
            {"resumed", m_resumed},
            {"peakInflight", m_peakInflight},
            {"promptTokens", m_promptTokens},
            {"cachedTokens", m_cachedTokens},
            {"draining", m_draining},
            {"arrivalsAfterDrainMs", m_lateArrivalsMs},
            {"ordersApplied", m_fencing.applied().size()}};
}

json EngineServer::cacheEvents(uint64_t since) const
{
    json events = json::array();
    for (const auto &e : m_events.since(since, Clock::now())) {
        events.push_back({{"sequence", e.sequence}, {"added", e.added}, {"block", e.block}});
    }
    return {{"oldest", m_events.oldest()}, {"events", events}};
}

} // namespace yucca::engine
