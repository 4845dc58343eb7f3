// The fleet of a soak test: the real programs run as child processes behind proxies, a plan of faults is applied to
// them, and callers record the responses they receive.
#pragma once

#include "retry_count.h"
#include "soak/child.h"
#include "soak/endings.h"
#include "soak/invariants.h"
#include "soak/layout.h"
#include "soak/path_cuts.h"
#include "soak/plan.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace yucca::soak
{

/// The parameters of a soak test.
struct SoakOptions {
    PlanOptions plan;
    std::string programs = "build"; ///< the directory of the programs
    std::string directory; ///< for settings, logs and run logs
    uint16_t basePort = 24000;
    int callers = 9;
};

/// The result of a soak test.
struct SoakOutcome {
    std::size_t sent = 0;
    std::size_t served = 0;
    std::size_t faults = 0;
    std::size_t crashes = 0; ///< of endpoints under the crashing request or part
    std::size_t resumptions = 0; ///< broken streams that callers took up
    std::size_t resumed = 0; ///< of these, the ones that went on to their end
    std::size_t lost = 0; ///< requests that were sent whole and got neither a whole response nor a refusal
    std::size_t timedOut = 0; ///< the same at their time limit, which are not counted as lost
    std::size_t onKeptConnections = 0; ///< requests that callers sent on a connection that had carried others
    std::optional<emulators::RetryWindow> worstRetryWindow; ///< of the service that uses most of its allowance of retries
    std::vector<std::string> violations; ///< one message each
};

/// Runs one soak test on one event loop.
class SoakFleet
{
public:
    explicit SoakFleet(SoakOptions options);
    /// Starts the programs, applies the plan, runs all checks and returns the result. May be called once.
    SoakOutcome run();

private:
    /// A router and its proxies.
    struct Router {
        std::unique_ptr<Child> process;
        std::unique_ptr<Proxy> callerProxy; ///< between the callers and the router
        std::unique_ptr<Proxy> storeProxy; ///< between the router and the store
        std::string settingsFile;
        bool stopped = false; ///< by the test, so that its exit is no violation
        std::optional<Clock::time_point> stopSignal; ///< the last one for a graceful stop
        int generation = 0; ///< changes with each start and pause: the router may not know what an earlier generation received
        int pathCuts = 0; ///< in progress
        std::optional<Clock::time_point> cutOffSince; ///< from all endpoints
    };
    /// A period in which an endpoint's responses may not have reached the routers.
    struct DisturbedPeriod {
        std::size_t endpoint = 0;
        std::optional<std::size_t> router; ///< the only router that this concerns; none: all
        std::chrono::system_clock::time_point start;
        std::chrono::system_clock::time_point end;
    };
    /// Requests while routers are cut off from all endpoints for longer than pathContactTime.
    struct CutOffService {
        std::size_t sent = 0;
        std::size_t served = 0;
    };
    /// Crashes of endpoints from one cause.
    struct CrashCount {
        std::vector<Clock::time_point> crashes;
        std::size_t late = 0; ///< of these, the ones that no disturbance excuses
    };
    /// An endpoint. Each start is a new instance with a new id.
    struct Endpoint {
        std::unique_ptr<Child> process;
        std::unique_ptr<Proxy> proxy;
        int startCount = 0;
        int releases = 0; ///< each replaces its software version by the next
        bool stopped = false; ///< by the test, or waiting for its restart
    };

    Task<bool> runSoak();
    Task<bool> startFleet();
    void startRouter(std::size_t n);
    void startEndpoint(std::size_t n);
    void writeSettings(std::size_t n, const std::string &text) const;
    std::string settingsFor(std::size_t n) const;
    Task<bool> writeConfiguration();
    Task<bool> putConfiguration(int version);
    Task<void> changeConfiguration();
    Task<void> applyPlan();
    Task<void> apply(Step step);
    Task<void> applyToRouter(Step step);
    Task<void> applyToEndpoint(Step step);
    Task<void> awaitEndpointExit(std::size_t n);
    void checkGracefulExit(std::size_t n);
    Task<void> applyToService(Step step);
    Task<void> restartAllRouters(Step step);
    Task<void> removeRouterEntries(Step step);
    Task<void> applyToStore(Step step);
    Task<void> applyToCallers(Step step);
    Task<void> applyPathCut(Step step);
    bool isCutOff(std::size_t router) const;
    CutOffService *currentService(std::size_t router);
    void checkCutOffService();
    Task<void> applyEvacuation(Step step);
    Task<void> applyForeignEntry(Step step);
    Task<void> applyUnsafelyNamedEntry(Step step);
    Task<void> storeCall(std::string method, std::string target, std::string body);
    Task<void> restoreStore(Step step);
    std::vector<std::size_t> killAllRouters();
    Task<void> rewriteEvacuations();
    std::string senderName(std::size_t router) const;
    std::string requestId(const std::string &text, std::size_t router);
    void checkLeavingAnnouncement(const std::string &sender, const http::Response &response, Clock::time_point sentAt);
    void checkBackOff();
    Task<bool> setEvacuated(std::size_t domain, bool evacuated);
    Task<void> checkEvacuation();
    std::size_t runCountInDomain(std::size_t domain) const;
    Task<void> sendCrashingRequest(std::size_t router);
    Task<void> runEndpointRestarts();
    Task<void> restartEndpoint(std::size_t n);
    Task<void> sendRequestWithCrashingPart(std::size_t router);
    void recordCrash(CrashCount &count, std::size_t allowed);
    void reportCrashes(const CrashCount &count, std::size_t before, std::size_t allowed, const std::string &cause);
    Task<void> checkCrashLimit();
    bool isRecovered(Clock::time_point now) const;
    Task<void> applyEmulatorFaults(uint16_t adminPort, const char *faults, Millis duration);
    Kind kindOf(int request) const;
    Task<void> runCaller(int caller);
    Task<void> sendRequest(std::string id, Kind kind, std::size_t router, std::string key);
    Task<RequestRecord> readRecord(Kind kind, http::Response &response);
    Task<void> resumeStream(std::string first, std::string events, std::size_t router, std::string key);
    Task<void> checkServiceAfterFaults();
    Task<void> checkLastRouter();
    Task<void> adminCall(uint16_t adminPort, std::string path, std::string body);
    Task<unsigned> probe(std::size_t router, std::string key);
    void checkRouterExits();
    void readRunLogs();
    void readArrivalLogs();
    void recordEnding(const std::string &id, std::size_t router, const RequestRecord &record, bool sent, Clock::time_point sentAt);
    http::Address callerAddress(std::size_t router) const;
    Millis requestTimeout() const;
    void recordRequest(const std::string &service);
    void checkRetries(SoakOutcome &outcome);
    uint16_t routerPort(std::size_t n, int offset) const
    {
        return port(portsPerRouter * static_cast<int>(n + 1) + offset);
    }
    uint16_t endpointPort(std::size_t n, int offset) const
    {
        return port(portsPerRouter * static_cast<int>(m_routers.size() + 1) + portsPerEndpoint * static_cast<int>(n) + offset);
    }
    std::size_t cuttableRouters() const
    {
        return std::min(m_routers.size(), maxCuttableRouters);
    }
    uint16_t port(int offset) const
    {
        return static_cast<uint16_t>(m_options.basePort + offset);
    }

    SoakOptions m_options;
    asio::io_context m_loop{1};
    http::Client m_client;
    InvariantChecker m_invariants;
    EndingChecker m_endings;
    std::map<std::string, emulators::RetryCount> m_retryCounts; ///< by service
    std::unique_ptr<Child> m_store;
    std::vector<Router> m_routers;
    std::vector<Endpoint> m_endpoints;
    std::vector<std::string> m_violations; ///< other than those of single requests
    int m_configurationVersion = 0; ///< the last one written
    int m_acceptedVersion = 0; ///< the last one that the store confirmed
    bool m_changeInProgress = false; ///< one change at a time keeps the order of versions
    std::vector<int> m_activeEvacuations = std::vector<int>(endpointDomains); ///< count per failure domain
    std::map<std::pair<std::string, std::string>, Clock::time_point>
        m_leavingReceivedAt; ///< when callers first received an endpoint's leaving announcement, by sender and endpoint
    std::vector<DisturbedPeriod> m_disturbedPeriods;
    std::unique_ptr<PathCuts> m_pathCuts;
    CutOffService m_cutOffService; ///< by routers that are cut off
    CutOffService m_otherService; ///< by the other routers, at the same times
    int m_activeSteps = 0;
    int m_activeCallers = 0;
    bool m_stopping = false;
    std::size_t m_faultCount = 0;
    int m_requestCount = 0;
    CrashCount m_requestCrashes;
    CrashCount m_partCrashes;
    std::size_t m_onKeptConnections = 0;
    std::size_t m_resumptions = 0;
    std::size_t m_resumed = 0;
    int m_activeDisturbances = 0; ///< of routers and the store
    Clock::time_point m_lastDisturbanceEnd{}; ///< of routers and the store
};

} // namespace yucca::soak
