// Emulates a model engine with an OpenAI-style chat API, or a plain service whose operations are not idempotent.
#pragma once

#include "engine_core.h"
#include "http_server.h"
#include "settings.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace yucca::engine
{

/// The state and the request handlers of one emulated engine. Used from one event loop.
class EngineServer
{
public:
    explicit EngineServer(const settings::EngineSettings &settings);
    /// Responds to one request.
    Task<void> handle(http::Exchange &ex);

private:
    /// A parsed chat request.
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
    /// Faults, set by POST /admin/faults with a JSON object of these names.
    struct Faults {
        int64_t cutStreams = 0; ///< the connections of the next N streams are closed after cutAfter events
        int64_t cutAfter = 3;
        int64_t loseAnswers = 0; ///< the next N operations run and get no response
        int64_t mixAnswers = 0; ///< the next N responses carry another request's id
    };

    Task<void> handleChat(http::Exchange &ex);
    Task<void> generate(http::Exchange &ex, Generation &g);
    Task<bool> streamCompletion(http::Exchange &ex, const Generation &g);
    Task<bool> sendCompletion(http::Exchange &ex, const Generation &g);
    Task<void> handleOperation(http::Exchange &ex, std::string operation);
    Task<void> handleOrder(http::Exchange &ex);
    Task<void> exportKv(http::Exchange &ex);
    Task<void> importKv(http::Exchange &ex);
    Task<void> reject(http::Exchange &ex, std::string reason);
    Task<void> setFaults(http::Exchange &ex);

    Generation parseChat(const http::Exchange &ex, const nlohmann::json &body);
    http::Headers responseHeaders(const std::string &requestId);
    std::chrono::microseconds timePerToken() const;
    void updateInflight(int delta);
    void recordArrival();
    void applyOrder(const Order &order);
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
    Clock::time_point m_drainStartedAt;
    std::vector<int64_t> m_lateArrivalsMs; ///< arrivals while draining, in milliseconds since the drain began
    int64_t m_inflight = 0;
    int64_t m_peakInflight = 0;
    int64_t m_served = 0;
    int64_t m_rejected = 0;
    int64_t m_cancelled = 0;
    int64_t m_resumed = 0;
    int64_t m_promptTokens = 0;
    int64_t m_cachedTokens = 0;
};

} // namespace yucca::engine
