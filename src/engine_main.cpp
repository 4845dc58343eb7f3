// yucca-engine: the stand-in for a model engine or, with kind "service",
// for a plain service. Speaks the OpenAI-style chat completions API.
#include "cli.h"
#include "engine_core.h"
#include "http.h"
#include "log.h"
#include "prefix.h"
#include "yucca/ring.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <mutex>
#include <random>
#include <thread>

namespace
{

using namespace yucca;
using nlohmann::json;

/// The state of one engine stand-in process.
class EngineServer
{
public:
    explicit EngineServer(const settings::EngineSettings &s)
        : m_settings(s)
        , m_cache(static_cast<std::size_t>(s.cacheBlocks))
        , m_slots(static_cast<std::size_t>(s.slots))
        , m_load(std::chrono::milliseconds(s.loadLagMs))
        , m_fencing(s.checkFencing)
    {
    }

    // Routes one request to its handler.
    void handle(http::Exchange &ex)
    {
        const std::string path = ex.path();
        const auto method = ex.request().method();
        if (method == http::bhttp::verb::post && path == "/v1/chat/completions") {
            complete(ex);
        } else if (method == http::bhttp::verb::post && path.rfind("/v1/ops/", 0) == 0) {
            operate(ex, path.substr(8));
        } else if (path == "/load") {
            std::lock_guard lock(m_mutex);
            ex.reply(200, json{{"id", m_settings.id}, {"inflight", m_load.reported(engine::Clock::now())}, {"draining", m_draining.load()}}.dump());
        } else if (path == "/stats") {
            ex.reply(200, stats().dump());
        } else if (path == "/v1/executions") {
            ex.reply(200, json{{"total", m_executions.total()}, {"duplicates", m_executions.duplicates()}}.dump());
        } else if (method == http::bhttp::verb::post && path == "/admin/order") {
            order(ex);
        } else if (method == http::bhttp::verb::post && path == "/admin/reset") {
            reset();
            ex.reply(200, "{}");
        } else if (path == "/healthz") {
            ex.reply(200, R"({"ok":true})");
        } else {
            ex.reply(404, R"({"error":"no such path"})");
        }
    }

private:
    // Counts a request in or out of flight and keeps the lagged report.
    void track(int delta)
    {
        std::lock_guard lock(m_mutex);
        m_inflight += delta;
        m_peak = std::max(m_peak, m_inflight);
        m_load.record(engine::Clock::now(), m_inflight);
    }

    // Notes that a request arrived, and how long after a drain began.
    void noteArrival()
    {
        std::lock_guard lock(m_mutex);
        ++m_served;
        if (m_draining) {
            m_lateArrivalsMs.push_back(std::chrono::duration_cast<std::chrono::milliseconds>(engine::Clock::now() - m_drainSince).count());
        }
    }

    json stats()
    {
        std::lock_guard lock(m_mutex);
        return {{"id", m_settings.id},
                {"served", m_served},
                {"peakInflight", m_peak},
                {"promptTokens", m_promptTokens},
                {"cachedTokens", m_cachedTokens},
                {"draining", m_draining.load()},
                {"arrivalsAfterDrainMs", m_lateArrivalsMs},
                {"ordersApplied", m_fencing.applied().size()}};
    }

    void reset()
    {
        std::lock_guard lock(m_mutex);
        m_cache.clear();
        m_served = m_peak = m_promptTokens = m_cachedTokens = 0;
        m_lateArrivalsMs.clear();
    }

    // Serves one chat completion: prefix cache lookup, a decode slot, then
    // tokens at the set rate, whole or as server-sent events.
    void complete(http::Exchange &ex)
    {
        noteArrival();
        json body = json::parse(ex.request().body(), nullptr, false);
        if (!body.is_object() || !body.contains("messages")) {
            ex.reply(400, R"({"error":{"message":"messages required","type":"invalid_request_error"}})");
            return;
        }
        const std::string prompt = prefix::promptText(body["messages"]);
        const auto toks = prefix::tokens(prompt);
        const auto blocks = prefix::blockHashes(toks, static_cast<std::size_t>(m_settings.blockTokens));
        const auto maxTokens = static_cast<std::size_t>(std::clamp<int64_t>(body.value("max_tokens", 16), 1, 4096));
        const bool stream = body.value("stream", false);
        const int priority = body.value("priority", 0);
        std::string requestId = ex.header("x-request-id");
        if (requestId.empty()) {
            requestId = std::to_string(ring::hash(prompt));
        }

        std::size_t cachedBlocks;
        {
            std::lock_guard lock(m_mutex);
            cachedBlocks = m_cache.match(blocks);
            m_promptTokens += static_cast<int64_t>(toks.size());
            m_cachedTokens += static_cast<int64_t>(cachedBlocks * m_settings.blockTokens);
        }
        track(+1);
        m_slots.acquire(priority);
        const auto answer = engine::answerTokens(ring::hash(prompt), maxTokens);
        const auto perToken = std::chrono::microseconds(1000000 / m_settings.tokensPerS);
        const json usage{{"prompt_tokens", toks.size()},
                         {"completion_tokens", answer.size()},
                         {"total_tokens", toks.size() + answer.size()},
                         {"prompt_tokens_details", {{"cached_tokens", cachedBlocks * m_settings.blockTokens}}}};
        const std::string id = "chatcmpl-" + requestId;
        const http::Headers headers{{"x-request-id", requestId}, {"x-engine-id", m_settings.id}, {"x-engine-draining", m_draining ? "true" : "false"}};
        std::string content;
        bool delivered = true;
        if (stream) {
            ex.beginStream(200, "text/event-stream", headers);
            for (const auto &t : answer) {
                std::this_thread::sleep_for(perToken);
                std::string piece = t + " ";
                content += piece;
                json chunk{{"id", id}, {"object", "chat.completion.chunk"}, {"choices", json::array({{{"index", 0}, {"delta", {{"content", piece}}}}})}};
                if (!ex.sendChunk("data: " + chunk.dump() + "\n\n")) {
                    delivered = false; // the caller cancelled: stop decoding
                    break;
                }
            }
            if (delivered) {
                json last{{"id", id},
                          {"object", "chat.completion.chunk"},
                          {"choices", json::array({{{"index", 0}, {"delta", json::object()}, {"finish_reason", "stop"}}})},
                          {"usage", usage}};
                ex.sendChunk("data: " + last.dump() + "\n\n");
                ex.sendChunk("data: [DONE]\n\n");
                ex.endStream();
            }
        } else {
            std::this_thread::sleep_for(perToken * answer.size());
            for (const auto &t : answer) {
                content += t + " ";
            }
            json res{{"id", id},
                     {"object", "chat.completion"},
                     {"model", body.value("model", "stand-in")},
                     {"choices", json::array({{{"index", 0}, {"message", {{"role", "assistant"}, {"content", content}}}, {"finish_reason", "stop"}}})},
                     {"usage", usage}};
            ex.reply(200, res.dump(), headers);
        }
        m_slots.release();
        track(-1);
        // The answer joins the cache: the next turn's prompt starts with it.
        const std::string withAnswer = prompt + "assistant: " + content;
        const auto allToks = prefix::tokens(withAnswer);
        std::lock_guard lock(m_mutex);
        m_cache.insert(prefix::blockHashes(allToks, static_cast<std::size_t>(m_settings.blockTokens)));
    }

    // A plain service call: records the execution; it does not deduplicate,
    // so any repeat the router lets through shows in /v1/executions.
    void operate(http::Exchange &ex, const std::string &operation)
    {
        noteArrival();
        track(+1);
        const std::string key = ex.header("idempotency-key");
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
        auto n = m_executions.execute(operation, key);
        track(-1);
        ex.reply(200, json{{"operation", operation}, {"confirmation", operation + "-" + std::to_string(n)}, {"key", key}}.dump(),
                 {{"x-engine-id", m_settings.id}, {"x-engine-draining", m_draining ? "true" : "false"}});
    }

    // An order with a fencing number: refused when old, if this engine checks.
    void order(http::Exchange &ex)
    {
        json body = json::parse(ex.request().body(), nullptr, false);
        if (!body.is_object()) {
            ex.reply(400, R"({"error":"order must be a JSON object"})");
            return;
        }
        engine::Order o{body.value("kind", ""), body.value("argument", ""), body.value("fence", uint64_t{0}), body.value("holder", "")};
        std::lock_guard lock(m_mutex);
        auto r = m_fencing.admit(o);
        if (!ok(r)) {
            log::event(log::Event::OrderRefused, "kind=" + o.kind + " fence=" + std::to_string(o.fence));
            ex.reply(409, json{{"error", std::get<Error>(r).message}}.dump());
            return;
        }
        log::event(log::Event::OrderAccepted, "kind=" + o.kind + " fence=" + std::to_string(o.fence));
        if (o.kind == "drain") {
            m_draining = true;
            m_drainSince = engine::Clock::now();
            log::event(log::Event::Draining, "id=" + m_settings.id);
        } else if (o.kind == "undrain") {
            m_draining = false;
        }
        ex.reply(200, json{{"applied", o.kind}, {"fence", std::get<uint64_t>(r)}}.dump());
    }

    settings::EngineSettings m_settings;
    std::mutex m_mutex;
    engine::PrefixCache m_cache;
    engine::SlotPool m_slots;
    engine::LoadHistory m_load;
    engine::FencingGate m_fencing;
    engine::ExecutionLog m_executions;
    std::atomic<bool> m_draining{false};
    engine::Clock::time_point m_drainSince;
    std::vector<int64_t> m_lateArrivalsMs;
    int64_t m_inflight = 0;
    int64_t m_peak = 0;
    int64_t m_served = 0;
    int64_t m_promptTokens = 0;
    int64_t m_cachedTokens = 0;
};

} // namespace

int main(int argc, const char **argv)
{
    cli::Common common;
    int port = -1;
    char *id = nullptr;
    char *kind = nullptr;
    const poptOption own[] = {
        {"port", 'p', POPT_ARG_INT, &port, 0, "listen port (overrides settings)", "PORT"},
        {"id", 0, POPT_ARG_STRING, &id, 0, "engine id (overrides settings)", "ID"},
        {"kind", 0, POPT_ARG_STRING, &kind, 0, "engine or service (overrides settings)", "KIND"},
        POPT_TABLEEND,
    };
    std::vector<std::string> rest;
    if (auto rc = cli::parse("yucca-engine", argc, argv, own, common, rest)) {
        return *rc;
    }
    auto s = cli::loadSettings<settings::EngineSettings>(common, settings::parseEngine);
    if (!s) {
        return cli::ExitUsage;
    }
    if (port >= 0) {
        s->listen.port = static_cast<uint16_t>(port);
    }
    if (id) {
        s->id = id;
    }
    if (kind) {
        auto k = parseName(endpointKindNames, kind);
        if (!k) {
            fprintf(stderr, "yucca-engine: --kind must be engine or service\n");
            return cli::ExitUsage;
        }
        s->kind = *k;
    }
    log::init("yucca-engine", s->logLevel);
    EngineServer engine(*s);
    http::Server server(s->listen.host, s->listen.port, [&](http::Exchange &ex) {
        engine.handle(ex);
    });
    auto bound = server.start();
    if (!ok(bound)) {
        fprintf(stderr, "yucca-engine: %s\n", std::get<Error>(bound).message.c_str());
        return cli::ExitFailure;
    }
    log::event(log::Event::ProgramStarted,
               "id=" + s->id + " port=" + std::to_string(std::get<uint16_t>(bound)) + " kind=" + std::string(nameOf(endpointKindNames, s->kind)));
    cli::awaitStopSignal();
    log::event(log::Event::StopRequested, "inflight=" + std::to_string(server.inflight()));
    server.stopAccepting();
    bool idle = server.waitIdle(std::chrono::seconds(30));
    log::event(log::Event::ProgramStopped, std::string("clean=") + (idle ? "true" : "false"));
    return cli::ExitOk;
}
