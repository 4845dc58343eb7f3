// The router's routing table: pools of endpoints, the policy that places
// requests on them, and which endpoints are out of use for now.
#pragma once

#include "cold_limit.h"
#include "endpoint_refusals.h"
#include "load_digest.h"
#include "prompt_holders.h"
#include "task.h"
#include "yucca/placement.h"
#include "yucca/regions.h"
#include "yucca/types.h"

#include <nlohmann/json.hpp>

#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace yucca::router
{

/// What besides load bears on where a request may go.
struct Constraints {
    int priority = 0; ///< 0 is the most urgent
    RegionConstraint regions;
};

/// Why no endpoint of a pool can take a request.
enum class Obstacle {
    Unusable, ///< none is listed, or all have failed lately
    Evacuated, ///< all that are left are in evacuated failure domains
    Cold, ///< all that are left are cold, and this router's share of what they bear is used up
    Region, ///< none is in a region that the request may go to
};

/// How the table places requests.
struct TableOptions {
    Policy policy = Policy::Affinity;
    Policy servicePolicy = Policy::Affinity; ///< of pools of plain services
    placement::AffinityOptions affinity;
    placement::HomeOptions home;
    int virtualNodes = 64; ///< of Policy::Bounded
    Millis suspectFor{500}; ///< an endpoint is passed by after its first failed connection; doubled by each next
    Millis suspectForMost{8000};
};

/// How an endpoint stands that work was sent to.
enum class Standing {
    Live,
    Leaving, ///< it is draining, or listed as leaving
    Restarted, ///< a later incarnation is listed
    Unlisted,
};

/// What is believed of a prompt at the endpoint that takes it.
struct PromptBelief {
    bool held = false; ///< the endpoint took it lately
    std::optional<Endpoint> source; ///< else: another one that likely holds it
};

/// The endpoints a router may send to, grouped by pool. Written by the
/// control thread, read and counted by the traffic threads.
class RoutingTable
{
public:
    explicit RoutingTable(TableOptions options = {});

    /// Replaces the endpoint set with the VM list: live endpoints join,
    /// leaving and absent ones go. Returns true when the set changed.
    bool setEndpoints(const std::vector<Endpoint> &endpoints, Clock::time_point now = Clock::now());
    /// Notes what an endpoint says of itself: one that leaves gets nothing more
    /// from now on, whatever the listing says of this incarnation. True when that is news.
    bool noteLeaving(const Endpoint &endpoint, bool leaving, Clock::time_point now);
    /// Passes an endpoint by until a moment, as its answer asked. True when that is news.
    bool backOff(const Endpoint &endpoint, Clock::time_point until);
    /// Passes an endpoint by for a while after a failed connection.
    void suspect(const std::string &id, Clock::time_point now);
    /// Passes an endpoint by until a moment.
    void eject(const std::string &id, Clock::time_point until);
    /// The number of endpoints of a pool that take new work.
    std::size_t poolSize(const std::string &pool) const;
    /// Ends suspicion: the endpoint answered.
    void recovered(const std::string &id);
    /// Notes an endpoint's own report of the requests in flight on it.
    void reported(const std::string &id, int64_t load, Clock::time_point now);
    /// The same as another router heard it; an older report than the one held is left out.
    void toldOf(const peers::LoadReport &report);
    /// The reports that this router heard itself after a moment.
    std::vector<peers::LoadReport> heardSince(Clock::time_point then) const;

    /// Picks an endpoint of a pool, skipping those in exclude, and counts
    /// one request in flight on it.
    std::optional<Endpoint> acquire(const std::string &pool, const placement::Affinity &affinity, const std::set<std::string> &exclude, Clock::time_point now,
                                    const Constraints &constraints = {});
    /// Counts one more send to an endpoint that was acquired; false when it must get none now.
    bool acquireAgain(const Endpoint &endpoint, Clock::time_point now);
    /// True when the endpoint wants nothing for now.
    bool backsOff(const Endpoint &endpoint, Clock::time_point now) const;
    /// When the first endpoint of a pool takes requests again, where all that
    /// could take this one want none for now; nothing where another one can.
    std::optional<Clock::time_point> backOffEnds(const std::string &pool, Clock::time_point now, const Constraints &constraints = {}) const;
    /// Why acquire() finds no endpoint of a pool.
    Obstacle obstacle(const std::string &pool, const std::set<std::string> &exclude, Clock::time_point now, const Constraints &constraints = {}) const;

    /// Replaces the failure domains whose endpoints get nothing more. Those of
    /// a domain that is no longer among them are taken for cold.
    void setEvacuated(std::set<std::string> domains, Clock::time_point now);
    std::set<std::string> evacuated() const;
    /// Puts the services' limits on requests to cold endpoints in force.
    void setColdAllowances(std::map<std::string, limits::ColdAllowance> allowances);
    /// Replaces the routers that share these limits; self is this one's id.
    void setRouters(const std::string &self, const std::vector<std::string> &others);
    /// An endpoint is cold until a moment.
    void noteCold(const std::string &id, Clock::time_point until);
    /// The number of listed endpoints that are taken for cold.
    std::size_t coldCount(Clock::time_point now) const;

    /// Notes that an endpoint took a prompt: it likely holds it from now on.
    void tookPrompt(uint64_t prompt, const Endpoint &endpoint, Clock::time_point now);
    /// The same as another router tells it.
    void toldOfPrompt(const peers::PromptNews &news, Clock::time_point now);
    /// What this router knows of prompts and the others likely do not, since
    /// the last call; the oldest first, and no more than a number.
    std::vector<peers::PromptNews> takePromptNews(std::size_t most);
    /// The prompts that endpoints likely hold, the last noted first.
    std::vector<peers::PromptNews> knownPrompts(std::size_t most, Clock::time_point now) const;
    /// Whether an endpoint likely holds a prompt, and who else does.
    PromptBelief beliefOf(uint64_t prompt, const Endpoint &taker, Clock::time_point now, const Constraints &constraints = {}) const;
    /// The home of a prompt, whatever its load: the first in its rendezvous order.
    std::optional<Endpoint> homeOf(const std::string &pool, uint64_t prompt) const;
    /// An endpoint that is listed and answers, as far as known; also one that is leaving.
    std::optional<Endpoint> find(const std::string &id, Clock::time_point now) const;
    /// When an endpoint joined the ones known before; the epoch for those of the first listing.
    Clock::time_point joinedAt(const std::string &id) const;
    /// Counts one request out of flight, unless the endpoint has started again since.
    void release(const Endpoint &endpoint, Clock::time_point now);
    /// False once the endpoint is known to have started again: what is learnt
    /// of its earlier incarnation says nothing of the one that takes work now.
    bool isCurrent(const Endpoint &endpoint) const;
    Standing standingOf(const Endpoint &endpoint) const;
    /// How often a listed endpoint started again under its id, so far.
    uint64_t restarts() const;

    std::vector<Endpoint> endpoints() const;
    nlohmann::json status() const;

private:
    using Picker = std::variant<placement::PrefixAffinity, placement::OwnBound, placement::PromptHome, placement::LeastLoaded, placement::RoundRobin>;
    struct Pool {
        EndpointKind kind = EndpointKind::Engine; ///< that the picker is for
        Picker picker;
        std::vector<Endpoint> members; ///< sorted by id, as the picker keeps them
    };
    /// What is known of one endpoint besides its listing.
    struct Health {
        Clock::time_point joinedAt{};
        int failures = 0; ///< connections failed in a row
        Clock::time_point suspectUntil{};
        Clock::time_point ejectedUntil{};
        Clock::time_point coldUntil{};
        int64_t inflight = 0;
        int64_t placed = 0;
        int64_t heardLoad = 0; ///< of its last report to this router
        Clock::time_point heardAt{};
    };
    Picker makePicker(EndpointKind kind) const;
    std::optional<std::size_t> pickIn(const std::string &name, Pool &pool, const placement::Affinity &asked, const std::set<std::string> &exclude,
                                      Clock::time_point now, const Constraints &constraints);
    std::size_t allowCold(const std::string &name, const Pool &pool, const std::vector<std::size_t> &cold, int priority, std::size_t warm,
                          Clock::time_point now, placement::Usable &usable);
    bool isCold(const Endpoint &endpoint, Clock::time_point now) const;
    bool isEvacuated(const Endpoint &endpoint) const
    {
        return m_evacuated.count(endpoint.zone) > 0;
    }
    void holdCold(const std::string &id, Clock::time_point until);
    bool passedBy(const Endpoint &endpoint, Clock::time_point now) const;
    void presumeCold(const Endpoint &endpoint, Clock::time_point now);
    void forgetDropped(Clock::time_point now);
    void rebuild(const std::set<std::string> &restarted = {});
    const Endpoint *listed(const std::string &id) const;
    bool isListed(const Endpoint &endpoint) const;
    bool superseded(const Endpoint &endpoint) const;
    const Endpoint *firstInOrder(const std::string &pool, uint64_t prompt, const std::string &except, Clock::time_point now,
                                 const Constraints &constraints) const;
    std::vector<Endpoint> likelyHolders(uint64_t prompt, Clock::time_point now, const Constraints &constraints) const;
    bool suspected(const std::string &id, Clock::time_point now) const;
    Pool *poolOf(const std::string &id, std::size_t &member);
    void passOn(const std::string &id, int64_t load, Clock::time_point heardAt);

    mutable std::mutex m_mutex;
    TableOptions m_options;
    std::vector<Endpoint> m_endpoints; ///< live ones, sorted by id
    std::vector<Endpoint> m_leaving; ///< listed as leaving, sorted by id
    std::map<std::string, Pool> m_pools;
    std::map<std::string, std::string> m_poolNames; ///< by endpoint id
    std::map<std::string, Health> m_health;
    PromptHolders m_holders;
    std::deque<peers::PromptNews> m_promptNews; ///< not yet told, the oldest first
    uint64_t m_restarts = 0;
    std::set<std::string> m_evacuated; ///< failure domains
    EndpointRefusals m_refusals;
    limits::ColdLimiter m_coldLimiter;
    std::map<std::string, Clock::time_point> m_droppedAt; ///< by incarnation: when it was last listed
};

/// Holds one acquired endpoint and releases it at the end of its scope.
class PlacedRequest
{
public:
    PlacedRequest(RoutingTable &table, const Endpoint &endpoint)
        : m_table(table)
        , m_endpoint(endpoint)
    {
    }
    ~PlacedRequest()
    {
        m_table.release(m_endpoint, Clock::now());
    }
    PlacedRequest(const PlacedRequest &) = delete;
    PlacedRequest &operator=(const PlacedRequest &) = delete;

private:
    RoutingTable &m_table;
    Endpoint m_endpoint;
};

} // namespace yucca::router
