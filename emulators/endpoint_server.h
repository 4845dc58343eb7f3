// Emulates an endpoint of the users' platform: a model engine or a plain service that registers itself in the store.
// Tests can switch faults on.
#pragma once

#include "http_server.h"
#include "object_store.h"

#include <atomic>
#include <cstdlib>
#include <deque>
#include <fstream>
#include <functional>
#include <random>
#include <string>

namespace yucca::emulators
{

/// Settings of an emulated endpoint.
struct EndpointOptions {
    std::string id = "i-1";
    std::string service = "service-1";
    std::string zone = "zone-a";
    http::Address listen{"127.0.0.1", 7300};
    http::Address store{"127.0.0.1", 7400};
    bool streams = false; ///< responds with event streams
    int events = 5; ///< in a stream
    Millis eventGap{20}; ///< before each event of a stream
    Millis work{10}; ///< duration of a request that is not streamed
    int slots = 6; ///< requests that run at the same time; more are rejected
    uint16_t advertisedPort = 0; ///< registered port, for an endpoint behind a proxy; 0: the listen port
    std::string version; ///< of its software, which its events name; empty: "v1", and they do not
    std::string crashPart; ///< hexadecimal id of a prompt part, not the last: its requests crash the endpoint when it begins to write; empty: none
    std::string crashBody; ///< a request with this body crashes the endpoint while it runs; empty: none
    Millis coldFor{0}; ///< how long the endpoint is cold after its start
    int maxColdRequestsPerS = 0; ///< limit while cold: this many per second begun, counted since the start; more crash the endpoint
    int brittleAfter = 0; ///< states this limit in all answers, and crashes if it rejects more requests in a second for want of room; 0: none
    std::function<void(int)> crash = [](int code) {
        std::_Exit(code);
    }; ///< ends the process; tests replace it
    std::string backoffViolationLog; ///< file that lists the senders which did not respect Retry-After; empty: none
    std::string runLog; ///< file that lists the id of each request before it runs; empty: none
    std::string arrivalLog; ///< file that lists the Unix time in milliseconds and the id of each request when it arrives; empty: none
    Millis heartbeatInterval{500}; ///< between two updates of the entry in the store
    Millis stopDelay{1500}; ///< continues to serve for this time after a stop signal
    Millis lastResponsesTime{1500}; ///< after stopDelay, waits this long for the responses in progress
};

/// Exit code of an endpoint that a request crashed.
inline constexpr int exitCodeCrashRequest = 70;
/// Exit code of an endpoint that a part of a prompt crashed.
inline constexpr int exitCodeCrashPart = 73;
/// Exit code of an endpoint that crashed because it received too many requests while it was cold.
inline constexpr int exitCodeColdOverload = 71;
/// Exit code of a brittle endpoint that crashed because it had to reject too many requests.
inline constexpr int exitCodeBrittle = 72;

/// Faults, set by POST /admin/faults with a JSON object of these names. Absent names are reset.
struct EndpointFaults {
    bool shed = false; ///< rejects every request without running it
    int restMs = 0; ///< Retry-After of each rejection, in milliseconds; 0: none
    bool loseAnswers = false; ///< runs requests and closes the connection without a response
    int failPercent = 0; ///< share of the requests that run and get a response with status 500
    int cutAfter = -1; ///< closes the connection after this event of a stream; -1: never
    bool malformedResponses = false; ///< runs requests and sends answers whose heads or ends are malformed
    int silentMs = 0; ///< the requests that are running write nothing for this time, in milliseconds, and then continue
};

/// The request handlers of one endpoint. Used from one event loop.
class EndpointServer
{
public:
    explicit EndpointServer(EndpointOptions options);

    /// Responds to one request.
    Task<void> handle(http::Exchange &ex);
    /// Writes the entry of the endpoint to the store at every heartbeat interval. Never returns.
    Task<void> heartbeat();
    /// Marks the endpoint as leaving, in its entry and its responses.
    void leave()
    {
        m_leaving = true;
    }

private:
    /// The time during which a sender should send no requests, because it received Retry-After.
    struct BackoffPeriod {
        Clock::time_point from;
        Clock::time_point until;
        int requests = 0; ///< requests received in that time
    };
    void checkBackoff(const std::string &sender);
    Task<void> admin(http::Exchange &ex);
    void recordArrival(const std::string &id);
    void recordRun(const std::string &id);
    bool drawFailure();
    Millis coldRemaining() const;
    void checkColdLimit();
    void recordRejection();
    http::Headers withStatements(http::Headers headers) const;
    Task<void> reject(http::Exchange &ex, unsigned status);
    Task<void> rejectForCapacity(http::Exchange &ex);
    bool hasCrashPart(const http::Exchange &ex) const;
    Task<void> sendResponse(http::Exchange &ex);
    Task<void> sendStream(http::Exchange &ex);
    Task<void> awaitSilenceEnd(Clock::time_point requestStart);
    http::Headers responseHeaders(const http::Exchange &ex) const;

    EndpointOptions m_options;
    platform::StoreClient m_store;
    EndpointFaults m_faults;
    Clock::time_point m_silentSince{}; ///< of the requests that were running then
    Clock::time_point m_silentUntil{};
    bool m_leaving = false;
    int m_running = 0;
    int64_t m_sequence = 0;
    const Clock::time_point m_startedAt = Clock::now();
    int m_requestsWhileCold = 0;
    std::deque<Clock::time_point> m_rejections; ///< for want of room, in the last second
    /// Unix time in milliseconds.
    int64_t m_startTimeMs = std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch()).count();
    std::size_t m_malformedResponses = 0; ///< sent so far
    std::map<std::string, int> m_runs; ///< executions by request id
    std::ofstream m_runLog;
    std::ofstream m_arrivalLog;
    std::minstd_rand m_random{std::random_device{}()};
    std::map<std::string, BackoffPeriod> m_backoffs; ///< by sender
    std::ofstream m_backoffViolationLog;
};

} // namespace yucca::emulators
