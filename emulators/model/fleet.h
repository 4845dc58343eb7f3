// The simulation of a whole deployment in virtual time: callers, routers that use the real routing code, and the
// members of the pools. Seeded and deterministic.
#pragma once

#include "admission.h"
#include "entry/outlier_detector.h"
#include "entry/retry_after.h"
#include "entry/retry_policy.h"
#include "model/engine.h"
#include "model/outcome.h"
#include "model/scenario.h"
#include "peers/fleet_inflight.h"
#include "router_core.h"

#include <boost/random/mersenne_twister.hpp>

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace yucca::model
{

/// Simulates one scenario.
class Fleet
{
public:
    Fleet(const Scenario &scenario, const router::TableOptions &table);
    /// Runs the simulation to its end. Must be called once.
    Outcome play();

private:
    /// An action at a virtual time. Actions at the same time run in the order in which they were scheduled.
    struct Event {
        Ms at;
        uint64_t order;
        std::function<void(Ms)> action;
        bool operator>(const Event &o) const
        {
            return at != o.at ? at > o.at : order > o.order;
        }
    };
    /// A pool with its members.
    struct Pool {
        const PoolModel *model = nullptr;
        std::vector<std::unique_ptr<Member>> members;
        std::vector<bool> down; ///< by member: crashed and not yet restarted
        PrefilledParts prefilledParts;
        MemberCounts counts;
    };
    /// The state of one router.
    struct Router {
        explicit Router(const router::TableOptions &options)
            : table(options)
        {
        }
        router::RoutingTable table;
        std::map<std::string, limits::RetryBudget> budgets;
        std::map<std::string, entry::OutlierDetector> outliers;
        peers::FleetInflight fleetInflight;
        Ms lastShareAt = 0; ///< time of the last share round
    };
    /// The source of the requests of one kind.
    struct Source {
        const KindModel *kind = nullptr;
        entry::Route route;
        std::vector<double> popularity; ///< of the sessions, cumulative
        std::vector<entry::PromptPart> sharedParts;
        std::vector<entry::PromptPart> sessionParts;
        std::vector<std::size_t> sharedPartOf; ///< index of the shared part of each session
    };
    /// A caller's request, over all attempts of the caller.
    struct Request {
        const Source *source = nullptr;
        std::vector<entry::PromptPart> parts;
        int64_t outputTokens = 1;
        double plainMs = 0;
        Ms sentAt = 0;
        Ms deadline = 0;
        int callerRetries = 1;
        bool ended = false;
    };
    using RequestPtr = std::shared_ptr<Request>;
    /// One attempt of a caller, at one router.
    struct CallerAttempt {
        RequestPtr request;
        std::size_t router = 0;
        entry::AttemptCount count; ///< of the router's attempts at members
        std::set<std::string> tried;
        placement::Affinity affinity;
        Ms firstAt = -1; ///< when the router received the first event or the response; -1: not yet
    };
    using CallerAttemptPtr = std::shared_ptr<CallerAttempt>;

    static Clock::time_point clockTime(Ms ms);
    static BootClock::time_point bootTime(Ms ms)
    {
        return BootClock::time_point(clockTime(ms).time_since_epoch());
    }
    void schedule(Ms at, std::function<void(Ms)> action);
    void makePools();
    void makeSources();
    void sendNextRequest(std::size_t sourceIndex, Ms now);
    double rateFactor(const KindModel &kind, Ms now) const;
    std::size_t drawSession(const Source &source, Ms now);
    void send(const RequestPtr &request, Ms now);
    void tryNextMember(const CallerAttemptPtr &callerAttempt, Ms now);
    void arriveAtMember(const CallerAttemptPtr &callerAttempt, const Endpoint &endpoint, std::size_t memberIndex, Ms now,
                        const std::optional<Endpoint> &holder);
    void finishAttempt(const CallerAttemptPtr &callerAttempt, const Endpoint &endpoint, entry::AttemptEnd end, Ms now);
    void reject(const CallerAttemptPtr &callerAttempt, Ms now);
    void finish(const CallerAttemptPtr &callerAttempt, bool served, bool rejected, Ms now);
    void countArrival(Pool &pool, std::size_t member, Ms now);
    void keepRandomSubset(std::vector<std::size_t> &list, std::size_t limit);
    void shareLoads(std::size_t router, Ms now);
    void setEvacuated(const std::string &domain, bool evacuated, Ms now);
    void crash(const Crash &crash, Ms now);
    void listRestart(const PoolModel &pool, std::size_t member, Ms now);
    std::size_t indexOfMember(const Endpoint &endpoint) const;
    double oneWayDelay(std::size_t router, std::size_t member) const;
    double uniform();
    double lognormal(double mean, double sigma);

    Scenario m_scenario;
    boost::random::mt19937_64 m_rng;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    uint64_t m_nextOrder = 0;
    uint64_t m_nextId = 1;
    std::map<std::string, Pool> m_pools;
    std::vector<Endpoint> m_endpoints; ///< as listed in the store
    std::set<std::string> m_evacuated; ///< names of failure domains
    std::vector<std::unique_ptr<Router>> m_routers;
    std::vector<Source> m_sources;
    entry::RetryAfterOptions m_retryAfterOptions;
    limits::RetryLimits m_retryLimits; ///< of one router
    Outcome m_outcome;
};

} // namespace yucca::model
