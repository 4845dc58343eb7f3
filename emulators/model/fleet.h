// A whole deployment in virtual time: callers, routers that decide with the
// product's own code, and the members of the pools. Seeded and deterministic.
#pragma once

#include "admission.h"
#include "entry/come_back.h"
#include "entry/outlier_detector.h"
#include "entry/retry_policy.h"
#include "model/engine.h"
#include "model/outcome.h"
#include "model/scenario.h"
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

/// Plays one day of a scenario.
class Fleet
{
public:
    Fleet(const Scenario &scenario, const router::TableOptions &table);
    Outcome play();

private:
    /// One event of virtual time.
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
        std::vector<bool> down;
        PartsRead partsRead;
        MemberCounts counts;
    };
    /// What one router knows.
    struct Router {
        explicit Router(const router::TableOptions &options)
            : table(options)
        {
        }
        router::RoutingTable table;
        std::map<std::string, limits::RetryBudget> budgets;
        std::map<std::string, entry::OutlierDetector> outliers;
        Ms toldUpTo = 0; ///< which reports its peers know
    };
    /// What a kind draws its requests from.
    struct Source {
        const KindModel *kind = nullptr;
        entry::Route route;
        std::vector<double> popularity; ///< of the sessions, summed up
        std::vector<entry::PromptPart> sharedParts;
        std::vector<entry::PromptPart> sessionParts;
        std::vector<std::size_t> sharedPartOf; ///< of each session
    };
    /// One request of a caller, over the caller's attempts.
    struct Request {
        const Source *source = nullptr;
        std::vector<entry::PromptPart> parts;
        int64_t tokensToMake = 1;
        double plainMs = 0;
        Ms sentAt = 0;
        Ms deadline = 0;
        int callerRetries = 1;
        bool ended = false;
    };
    using RequestPtr = std::shared_ptr<Request>;
    /// One attempt of a caller at one router.
    struct Flight {
        RequestPtr request;
        std::size_t router = 0;
        entry::AttemptCount count;
        std::set<std::string> tried;
        placement::Affinity affinity;
        Ms firstAt = -1; ///< the first event, or the answer
    };
    using FlightPtr = std::shared_ptr<Flight>;

    static Clock::time_point timeOf(Ms ms);
    void schedule(Ms at, std::function<void(Ms)> action);
    void makePools();
    void makeSources();
    void arrive(std::size_t source, Ms now);
    double rateFactor(const KindModel &kind, Ms now) const;
    std::size_t drawSession(const Source &source, Ms now);
    void send(const RequestPtr &request, Ms now);
    void attempt(const FlightPtr &flight, Ms now);
    void reach(const FlightPtr &flight, const Endpoint &endpoint, std::size_t member, Ms now, const std::optional<Endpoint> &holder);
    void ended(const FlightPtr &flight, const Endpoint &endpoint, entry::AttemptEnd end, Ms now);
    void refuse(const FlightPtr &flight, Ms now);
    void finish(const FlightPtr &flight, bool served, bool refused, Ms now);
    void noteArrival(Pool &pool, std::size_t member, Ms now);
    void drawSome(std::vector<std::size_t> &list, std::size_t most);
    void shareLoads(std::size_t router, Ms now);
    void crash(const Crash &crash, Ms now);
    void restarted(const PoolModel &pool, std::size_t member, Ms now);
    std::size_t memberOf(const Endpoint &endpoint) const;
    double oneWay(std::size_t router, std::size_t member) const;
    double unit();
    double spread(double mean, double sigma);

    Scenario m_scenario;
    boost::random::mt19937_64 m_random;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    uint64_t m_order = 0;
    uint64_t m_nextId = 1;
    std::map<std::string, Pool> m_pools;
    std::vector<Endpoint> m_listed; ///< as the store lists them
    std::vector<std::unique_ptr<Router>> m_routers;
    std::vector<Source> m_sources;
    entry::ComeBackOptions m_comeBack;
    limits::RetryLimits m_retries; ///< of one router
    Outcome m_outcome;
};

} // namespace yucca::model
