// A load experiment (yucca-load): returning conversations against routers on loopback, with faults at set times. Every
// response is checked.
#pragma once

#include "http_client.h"
#include "object_store.h"
#include "sse.h"
#include "task.h"

#include <boost/histogram.hpp>
#include <nlohmann/json.hpp>

#include <functional>
#include <random>
#include <string>
#include <vector>

namespace yucca::experiment
{

/// Settings of an experiment. Times ("At") are seconds since its start; negative: never.
struct Options {
    std::string label = "run";
    std::vector<http::Address> routers;
    http::Address platform{"127.0.0.1", 7400};
    int workspaces = 10; ///< named ws-0, ws-1, ...; the first three are large
    int conversations = 200;
    int turns = 4; ///< per conversation
    int maxRequests = 2000; ///< chat turns after which the experiment ends
    int durationS = 30; ///< seconds after which the experiment ends
    int concurrency = 16; ///< maximum number of chat turns in flight
    int pauseMinMs = 50; ///< shortest pause before a conversation returns
    int pauseMaxMs = 400; ///< longest pause before a conversation returns
    int maxTokens = 12; ///< of a response
    int systemTokens = 64; ///< of a workspace's system prompt
    int servicePercent = 10; ///< percentage of turns that are followed by a booking
    int drainAtS = -1; ///< when drainEngine leaves
    std::string drainEngine;
    int migrateAtS = -1; ///< when migrateClass moves to migratePool
    std::string migrateClass;
    std::string migratePool;
    int churnEveryS = 0; ///< interval at which one engine leaves and returns with an empty cache; 0: never
    int surgeAtS = -1; ///< when a few workspaces surge
    int surgeConversations = 0; ///< conversations the surge adds
    int outageAtS = -1; ///< when the object API goes down
    int outageForS = 0;
};

using Histogram = decltype(boost::histogram::make_histogram(boost::histogram::axis::regular<>(1, 0.0, 1.0)));

/// The counters of an experiment.
struct Counters {
    Counters();
    uint64_t served = 0;
    uint64_t failed = 0; ///< incomplete responses, and errors with neither outcome not_run nor unknown
    uint64_t wrong = 0; ///< responses with unexpected content or the id of another request
    uint64_t notRun = 0; ///< outcome not_run: the request was not executed
    uint64_t unknown = 0; ///< outcome unknown: the request may have been executed
    uint64_t retries = 0; ///< by callers, after outcome not_run
    uint64_t booked = 0; ///< bookings that were executed
    uint64_t replayed = 0; ///< bookings answered with the recorded response
    uint64_t returningPrompt = 0; ///< prompt tokens of all turns but the first of each conversation
    uint64_t returningCached = 0; ///< of these, tokens found in a cache
    uint64_t movedPrompt = 0; ///< as returningPrompt, after the move to another pool
    uint64_t movedCached = 0;
    double skewSum = 0; ///< sum over the samples of: highest load divided by mean load
    double worstSkew = 0;
    uint64_t skewSamples = 0;
    Histogram timeToFirst; ///< milliseconds to the first token
    Histogram timeBetween; ///< milliseconds between two events
    std::vector<std::string> problems; ///< the first ones, for the report
};

/// Runs one experiment on one event loop.
class Experiment
{
public:
    explicit Experiment(Options options);
    /// Runs the experiment to its end. Returns the report.
    Task<nlohmann::json> run();

private:
    /// One returning conversation.
    struct Conversation {
        int id = 0;
        std::string workspace;
        nlohmann::json messages = nlohmann::json::array();
        int turnsDone = 0;
        int pauseDivisor = 1; ///< in a surge callers return sooner
        std::mt19937 rng;
    };
    /// A response as the caller read it.
    struct ChatResult {
        unsigned status = 0;
        bool complete = false;
        bool transportFailed = false;
        std::string outcome; ///< of a response that is no success
        double retryAfterS = 0;
        std::string id;
        std::string content;
        uint64_t promptTokens = 0;
        uint64_t cachedTokens = 0;
        std::string text; ///< start of the body, or the transport error, for the report
    };

    Conversation makeConversation(int id, const std::string &workspace, int pauseDivisor) const;
    Task<void> runConversation(Conversation conversation);
    Task<bool> runTurn(Conversation &conversation);
    Task<ChatResult> sendChat(http::Address router, std::string workspace, std::string requestId, std::string body, bool stream);
    Task<void> readStream(http::Response &response, ChatResult &result, Clock::time_point sentAt);
    Task<void> sendBookings(int household, int slot);
    void countResponse(const Conversation &conversation, const ChatResult &result, const std::string &requestId, const std::string &expected);

    Task<void> sampleLoads();
    Task<void> drainEngine(std::string id);
    Task<void> replaceEngine(Endpoint endpoint);
    Task<void> runChurn();
    Task<void> migrate();
    Task<void> outage();
    Task<void> surge();
    Task<void> runAt(int second, std::function<Task<void>()> action);

    Task<nlohmann::json> report();
    nlohmann::json makeReport(double skew, std::size_t duplicates, int64_t lateArrivals, double control, double records) const;
    Task<nlohmann::json> getJson(http::Address from, std::string path);
    Task<bool> sendJson(http::Address to, std::string method, std::string path, nlohmann::json body);
    Task<std::vector<Endpoint>> endpoints();
    bool isOver() const;
    const http::Address &pickRouter(int routerNumber) const;
    void spawn(Task<void> task);
    void addProblem(std::string text);

    Options m_options;
    asio::any_io_executor m_executor;
    http::Client m_client;
    platform::StoreClient m_platform;
    Counters m_counters;
    Clock::time_point m_started;
    int m_issued = 0;
    int m_inflight = 0;
    int m_runningTasks = 0; ///< conversations and timed actions
    bool m_migrated = false;
    bool m_done = false;
};

} // namespace yucca::experiment
