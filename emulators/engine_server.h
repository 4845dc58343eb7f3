// The engine stand-in: a model engine that speaks the OpenAI-style chat
// API, or a plain service whose operations are not idempotent.
#pragma once

#include "engine_core.h"
#include "http_server.h"
#include "settings.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace yucca::engine
{

/// The state of one engine stand-in and its HTTP handlers. One event loop.
class EngineServer
{
public:
    explicit EngineServer(const settings::EngineSettings &settings);
    /// Answers one request.
    Task<void> handle(http::Exchange &ex);

private:
    /// A chat request as it was read.
    struct Generation {
        std::string requestId;
        std::string model;
        std::vector<uint64_t> blocks;
        std::size_t promptTokens = 0;
        std::size_t cachedTokens = 0;
        std::vector<std::string> answer;
        uint64_t resumeAfter = 0; ///< Last-Event-Id of a resumed stream
        bool stream = false;
    };
    /// Faults switched on through POST /admin/faults.
    struct Faults {
        int64_t cutStreams = 0; ///< the next N streams break off after cutAfter events
        int64_t cutAfter = 3;
        int64_t loseAnswers = 0; ///< the next N operations run and get no answer
        int64_t mixAnswers = 0; ///< the next N answers carry another request's id
    };

    Task<void> complete(http::Exchange &ex);
    Task<void> generate(http::Exchange &ex, Generation &g);
    Task<bool> streamAnswer(http::Exchange &ex, const Generation &g);
    Task<bool> wholeAnswer(http::Exchange &ex, const Generation &g);
    Task<void> operate(http::Exchange &ex, std::string operation);
    Task<void> order(http::Exchange &ex);
    Task<void> exportKv(http::Exchange &ex);
    Task<void> importKv(http::Exchange &ex);
    Task<void> refuse(http::Exchange &ex, std::string why);
    Task<void> setFaults(http::Exchange &ex);

    Generation parse(const http::Exchange &ex, const nlohmann::json &body);
    http::Headers answerHeaders(const std::string &requestId);
    std::chrono::microseconds tokenPace() const;
    void track(int delta);
    void noteArrival();
    void apply(const Order &order);
    void reset();
    nlohmann::json loadReport() const;
    nlohmann::json stats() const;
    nlohmann::json executions() const;
    nlohmann::json cacheEvents(uint64_t since) const;

    settings::EngineSettings m_settings;
    PrefixCache m_cache;
    CacheEvents m_events;
    SlotPool m_slots;
    LoadHistory m_load;
    FencingGate m_fencing;
    ExecutionLog m_executions;
    Faults m_faults;
    std::string m_model = "counsel";
    std::string m_role = "unified";
    bool m_draining = false;
    Clock::time_point m_drainSince;
    std::vector<int64_t> m_lateArrivalsMs;
    int64_t m_inflight = 0;
    int64_t m_peak = 0;
    int64_t m_served = 0;
    int64_t m_refused = 0;
    int64_t m_cancelled = 0;
    int64_t m_resumed = 0;
    int64_t m_promptTokens = 0;
    int64_t m_cachedTokens = 0;
};

} // namespace yucca::engine
