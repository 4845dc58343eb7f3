// The fleet of a soak: the real programs as child processes behind proxies,
// the faults of a plan, and callers who note what they get.
#pragma once

#include "soak/child.h"
#include "soak/layout.h"
#include "soak/plan.h"
#include "soak/promises.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace yucca::soak
{

/// How a soak is run.
struct SoakOptions {
    PlanOptions plan;
    std::string programs = "build"; ///< where the programs are
    std::string directory; ///< for settings, logs and lists of runs
    uint16_t basePort = 24000;
    int callers = 9;
};

/// What a soak found.
struct SoakOutcome {
    std::size_t sent = 0;
    std::size_t served = 0;
    std::size_t faults = 0;
    std::size_t endings = 0; ///< of endpoints under a request that ends them
    std::vector<std::string> broken;
};

/// Runs one soak. One event loop.
class SoakFleet
{
public:
    explicit SoakFleet(SoakOptions options);
    SoakOutcome run();

private:
    /// A router with the proxies around it.
    struct Router {
        std::unique_ptr<Child> process;
        std::unique_ptr<Proxy> callers;
        std::unique_ptr<Proxy> store;
        std::string settingsFile;
        bool down = false; ///< ended by the soak
        int life = 0; ///< of its memory: another one after a start or a pause
    };
    /// A time in which an endpoint's answers may not have reached routers.
    struct Disturbed {
        std::size_t endpoint = 0;
        std::chrono::system_clock::time_point from;
        std::chrono::system_clock::time_point until;
    };
    /// An endpoint; its name changes with each start, as that of a new instance.
    struct Endpoint {
        std::unique_ptr<Child> process;
        std::unique_ptr<Proxy> proxy;
        int starts = 0;
        bool down = false; ///< ended by the soak
    };

    Task<bool> soak();
    Task<bool> startAll();
    void startRouter(std::size_t n);
    void startEndpoint(std::size_t n);
    void writeSettings(std::size_t n, const std::string &text) const;
    std::string settingsOf(std::size_t n) const;
    Task<bool> writeConfiguration();
    Task<bool> putConfiguration(int version);
    Task<void> changeConfiguration();
    Task<void> applyPlan();
    Task<void> apply(Step step);
    Task<void> applyToRouter(Step step);
    Task<void> applyToEndpoint(Step step);
    Task<void> applyToStore(Step step);
    Task<void> applyToCallers(Step step);
    Task<void> applyToOrders(Step step);
    Task<void> restoreStore(Step step);
    Task<void> rewriteOrders();
    std::string senderName(std::size_t router) const;
    std::string requestId(const std::string &text, std::size_t router);
    void noteLeavingWord(const std::string &sender, const http::Response &response, Clock::time_point sentAt);
    void checkRests();
    Task<bool> evacuate(std::size_t domain, bool ordered);
    Task<void> checkEvacuation();
    std::size_t runsIn(std::size_t domain) const;
    Task<void> requestThatEnds(std::size_t router);
    Task<void> reviveEndpoints();
    Task<void> revive(std::size_t n);
    void noteEnding();
    Task<void> checkEndings();
    bool inTouch(Clock::time_point now) const;
    Task<void> switchFaults(uint16_t port, const char *faults, Millis lasts);
    Task<void> callLoop(int caller);
    Task<void> request(std::string id, Kind kind, std::size_t router, std::string key);
    Task<void> checkCalm();
    Task<void> adminCall(uint16_t port, std::string path, std::string body);
    Task<unsigned> ask(std::size_t router, std::string key);
    void noteEnds();
    void readRuns();
    uint16_t routerPort(std::size_t n, int offset) const
    {
        return port(routerPorts * static_cast<int>(n + 1) + offset);
    }
    uint16_t endpointPort(std::size_t n, int offset) const
    {
        return port(routerPorts * static_cast<int>(m_routers.size() + 1) + endpointPorts * static_cast<int>(n) + offset);
    }
    uint16_t port(int offset) const
    {
        return static_cast<uint16_t>(m_options.basePort + offset);
    }

    SoakOptions m_options;
    asio::io_context m_loop{1};
    http::Client m_client;
    Promises m_promises;
    std::unique_ptr<Child> m_store;
    std::vector<Router> m_routers;
    std::vector<Endpoint> m_endpoints;
    std::vector<std::string> m_broken; ///< beside those of single requests
    int m_version = 0; ///< of the configuration
    int m_acceptedVersion = 0;
    bool m_changing = false; ///< one change at a time, so that versions are written in their order
    std::vector<int> m_evacuations = std::vector<int>(endpointDomains); ///< orders under way, by failure domain
    std::map<std::pair<std::string, std::string>, Clock::time_point> m_heardLeaving; ///< when callers got the word, by sender and endpoint
    std::vector<Disturbed> m_disturbed;
    int m_stepsUnderWay = 0;
    int m_callersUnderWay = 0;
    bool m_ending = false;
    std::size_t m_faults = 0;
    int m_requests = 0;
    std::vector<Clock::time_point> m_endings; ///< of endpoints under the request that ends them
    std::size_t m_lateEndings = 0; ///< of these, while nothing excused them
    int m_disturbances = 0; ///< of routers and the store, under way
    Clock::time_point m_disturbedAt{}; ///< the last end of one
};

} // namespace yucca::soak
