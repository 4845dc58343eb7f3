// The stand-in for an endpoint on the users' platform: a model engine or a
// plain service that registers itself in the store, with faults a test can
// switch.
#pragma once

#include "http_server.h"
#include "object_store.h"

#include <atomic>
#include <fstream>
#include <string>

namespace yucca::emulators
{

/// What an endpoint is.
struct EndpointOptions {
    std::string id = "i-1";
    std::string service = "service-1";
    std::string zone = "zone-a";
    http::Address listen{"127.0.0.1", 7300};
    http::Address store{"127.0.0.1", 7400};
    bool streams = false; ///< answers with an event stream
    int events = 5; ///< of a stream
    Millis eventGap{20};
    Millis work{10}; ///< of a plain call
    int slots = 6;
    uint16_t advertisedPort = 0; ///< that callers are told, where a proxy stands before it; 0: its own
    std::string endsUnder; ///< a request with this body ends the process in the middle of its answer; empty: none
    Millis coldFor{0}; ///< after its start
    int coldMost = 0; ///< requests in any second that it bears while it is cold; more of them end the process
    std::string restLog; ///< a file that gets a line with a sender that goes on in spite of a rest that was asked for; empty: none
    std::string runLog; ///< a file that gets a line with a request's id before it runs; empty: none
    Millis heartbeat{500};
    Millis linger{1500}; ///< serves on after a stop signal
};

/// Exit code of an endpoint that a request ended.
inline constexpr int endedUnderRequest = 70;
/// Exit code of an endpoint that got more than it bears while it was cold.
inline constexpr int endedWhileCold = 71;

/// Faults, switched by POST /admin/faults with a JSON object of these names.
struct EndpointFaults {
    bool shed = false; ///< refuses every request without running it
    int restMs = 0; ///< that it asks for with each refusal; 0: none
    bool loseAnswers = false; ///< runs requests and closes without an answer
    bool fail = false; ///< runs requests and answers 500
    int cutAfter = -1; ///< breaks off streams after this event; -1: never
};

/// One endpoint's handlers. One event loop.
class EndpointServer
{
public:
    explicit EndpointServer(EndpointOptions options);

    Task<void> handle(http::Exchange &ex);
    /// Registers the endpoint and keeps its entry fresh until told to leave.
    Task<void> heartbeat();
    /// From now on the entry says that the endpoint is leaving.
    void leave()
    {
        m_leaving = true;
    }

private:
    /// A time for which a sender was asked to send nothing.
    struct Rest {
        Clock::time_point from;
        Clock::time_point until;
        int got = 0; ///< requests meanwhile
    };
    void countWhileResting(const std::string &sender);
    Task<void> admin(http::Exchange &ex);
    void noteRun(const std::string &id);
    Millis coldLeft() const;
    void countWhileCold();
    Task<void> refuse(http::Exchange &ex, unsigned status);
    Task<void> turnAway(http::Exchange &ex);
    Task<void> answerCall(http::Exchange &ex);
    Task<void> answerStream(http::Exchange &ex);
    http::Headers answerHeaders(const http::Exchange &ex) const;

    EndpointOptions m_options;
    platform::StoreClient m_store;
    EndpointFaults m_faults;
    bool m_leaving = false;
    int m_running = 0;
    int64_t m_sequence = 0;
    const Clock::time_point m_startedAt = Clock::now();
    int m_requestsWhileCold = 0;
    int64_t m_born = std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch()).count(); ///< Unix ms
    std::map<std::string, int> m_runs; ///< by request id
    std::ofstream m_runLog;
    std::map<std::string, Rest> m_rests; ///< by sender
    std::ofstream m_restLog;
};

} // namespace yucca::emulators
