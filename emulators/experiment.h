// An experiment of yucca-load: returning conversations against routers on
// loopback, with things that go wrong at set times; every answer is checked.
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

/// What to run. Times are seconds into the run; negative: never.
struct Options {
    std::string label = "run";
    std::vector<http::Address> routers;
    http::Address platform{"127.0.0.1", 7400};
    int workspaces = 10; ///< ws-0, ws-1, ...; the first few are large
    int conversations = 200;
    int turns = 4;
    int maxRequests = 2000;
    int durationS = 30;
    int concurrency = 16; ///< chat turns in flight at once
    int pauseMinMs = 50; ///< shortest pause before a conversation returns
    int pauseMaxMs = 400;
    int maxTokens = 12; ///< of an answer
    int systemTokens = 64; ///< of a workspace's system prompt
    int servicePercent = 10; ///< turns that are followed by a booking
    int drainAtS = -1; ///< when drainEngine leaves
    std::string drainEngine;
    int migrateAtS = -1; ///< when migrateClass moves to migratePool
    std::string migrateClass;
    std::string migratePool;
    int churnEveryS = 0; ///< engines leave and come back empty, one after the other
    int surgeAtS = -1; ///< when a few workspaces surge
    int surgeConversations = 0; ///< conversations the surge adds
    int outageAtS = -1; ///< when the object API goes down
    int outageForS = 0;
};

using Histogram = decltype(boost::histogram::make_histogram(boost::histogram::axis::regular<>(1, 0.0, 1.0)));

/// What was measured.
struct Tally {
    Tally();
    uint64_t served = 0;
    uint64_t failed = 0; ///< incomplete, or an error that promises nothing
    uint64_t wrong = 0; ///< not the answer to this request
    uint64_t notRun = 0;
    uint64_t unknown = 0;
    uint64_t retries = 0; ///< by callers, after a not-run answer
    uint64_t booked = 0;
    uint64_t replayed = 0;
    uint64_t returningPrompt = 0; ///< prompt tokens of returning turns
    uint64_t returningCached = 0;
    uint64_t movedPrompt = 0; ///< the same after the provider move
    uint64_t movedCached = 0;
    double skewSum = 0; ///< of sampled loads: busiest engine over the mean
    double worstSkew = 0;
    uint64_t skewSamples = 0;
    Histogram timeToFirst; ///< milliseconds
    Histogram timeBetween;
    std::vector<std::string> problems; ///< the first few, for the report
};

/// Runs one experiment on one event loop.
class Experiment
{
public:
    explicit Experiment(Options options);
    /// Runs it to its end and returns the report.
    Task<nlohmann::json> run();

private:
    /// One returning conversation.
    struct Conversation {
        int id = 0;
        std::string workspace;
        nlohmann::json messages = nlohmann::json::array();
        int turnsDone = 0;
        int pauseDivisor = 1; ///< in a surge callers come back sooner
        std::mt19937 rng;
    };
    /// One answer as the caller read it.
    struct Answer {
        unsigned status = 0;
        bool complete = false;
        bool transportFailed = false;
        std::string outcome; ///< of an answer that is no success
        double retryAfterS = 0;
        std::string id;
        std::string content;
        uint64_t promptTokens = 0;
        uint64_t cachedTokens = 0;
        std::string text; ///< start of the body, for the report
    };

    Conversation makeConversation(int id, const std::string &workspace, int pauseDivisor) const;
    Task<void> converse(Conversation conversation);
    Task<bool> turn(Conversation &conversation);
    Task<Answer> ask(http::Address router, std::string workspace, std::string requestId, std::string body, bool stream);
    Task<void> readStream(http::Response &response, Answer &answer, Clock::time_point began);
    Task<void> book(int household, int slot);
    void check(const Conversation &conversation, const Answer &answer, const std::string &requestId, const std::string &expected);

    Task<void> sampleLoads();
    Task<void> drainEngine(std::string id);
    Task<void> leaveAndReturn(Endpoint endpoint);
    Task<void> churn();
    Task<void> migrate();
    Task<void> outage();
    Task<void> surge();
    Task<void> at(int second, std::function<Task<void>()> action);

    Task<nlohmann::json> report();
    nlohmann::json reportOf(double skew, std::size_t duplicates, int64_t lateArrivals, double control, double records) const;
    Task<nlohmann::json> fetch(http::Address from, std::string path);
    Task<bool> send(http::Address to, std::string method, std::string path, nlohmann::json body);
    Task<std::vector<Endpoint>> endpoints();
    bool over() const;
    const http::Address &router(int salt) const;
    void start(Task<void> task);
    void problem(std::string text);

    Options m_o;
    asio::any_io_executor m_executor;
    http::Client m_client;
    platform::StoreClient m_platform;
    Tally m_tally;
    Clock::time_point m_started;
    int m_issued = 0;
    int m_inflight = 0;
    int m_running = 0; ///< conversations and timed actions
    bool m_moved = false;
    bool m_done = false;
};

} // namespace yucca::experiment
