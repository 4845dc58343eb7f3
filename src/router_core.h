// The router's routing table: the endpoints by pool, the policy that places requests on them, and the endpoints that
// are currently excluded.
#pragma once

#include "cold_limit.h"
#include "endpoint_refusals.h"
#include "peers/peer_message.h"
#include "prompt_holders.h"
#include "rejection_limit.h"
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

/// What limits the choice of an endpoint besides load.
struct PlacementConstraints {
    int priority = 0; ///< 0 is the most urgent
    RegionConstraint regions;
    std::optional<std::string> version = {}; ///< of the software that began a stream; absent: any
    /// True if neither the region nor the version rules the endpoint out.
    bool allows(const Endpoint &endpoint) const
    {
        return regions.allows(endpoint.region) && (!version || *version == endpoint.version);
    }
};

/// Why no endpoint of a pool can receive a request.
enum class NoEndpointReason {
    Unusable, ///< no endpoint is listed, or all have failed recently
    Evacuated, ///< all remaining endpoints are in evacuated failure domains
    Cold, ///< all remaining endpoints are cold, and this router has used up its share of their allowance
    Region, ///< no endpoint is in an allowed region
    Version, ///< no endpoint has the version that began the stream
    Brittle, ///< all remaining endpoints may be full, and this router has used up its share of the rejections that they bear
};

/// How the table places requests.
struct TableOptions {
    Policy policy = Policy::Affinity;
    Policy servicePolicy = Policy::Affinity; ///< for pools of plain services
    placement::AffinityOptions affinity;
    placement::HomeOptions home;
    int virtualNodes = 64; ///< points per member on the ring of Policy::Bounded
    Millis suspectDuration{500}; ///< time without requests after a first failed connection; doubled by each further failure up to maxSuspectDuration
    Millis maxSuspectDuration{8000};
};

/// The listing state of an endpoint that has received requests.
enum class ListingState {
    Live,
    Leaving, ///< draining, or listed as leaving
    Restarted, ///< a later incarnation is listed
    Unlisted,
};

/// Where a prompt is likely held when an endpoint is about to receive it.
struct PromptEstimate {
    bool held = false; ///< the endpoint received the prompt recently
    std::optional<Endpoint> source; ///< if not held: another endpoint that likely holds it
};

/// What this router knows when it places a request on an endpoint, for the log.
struct PlacementView {
    std::size_t holders = 0; ///< endpoints that likely hold the prompt
    placement::LoadView load; ///< includes the request, if it has been acquired
};

/// Changes of the list of endpoints.
struct EndpointChanges {
    std::vector<Endpoint> listed; ///< endpoints that are new or may have changed
    std::vector<std::string> removed; ///< ids of endpoints that are no longer listed
};

/// The endpoints that a router may send to, grouped by pool. Thread-safe: the control thread updates it, the traffic
/// threads use it.
class RoutingTable
{
public:
    explicit RoutingTable(TableOptions options = {});

    /// Replaces the endpoints by the VM list. Endpoints that are leaving or absent receive no new requests. Returns
    /// true if the set of live endpoints changed.
    bool setEndpoints(const std::vector<Endpoint> &endpoints, Clock::time_point now = Clock::now());
    /// Applies changes of the VM list, in time that depends on their number and hardly on that of all endpoints. Returns true if the
    /// set of live endpoints changed.
    bool applyChanges(const EndpointChanges &changes, Clock::time_point now = Clock::now());
    /// The number of endpoints that are listed as live.
    std::size_t liveCount() const;
    /// Records an endpoint's own report of whether it is leaving. A leaving endpoint receives no further requests, even
    /// while the VM list shows this incarnation as live. Returns true if the state changed.
    bool recordLeaving(const Endpoint &endpoint, bool leaving, Clock::time_point now);
    /// Excludes an endpoint until the given time, as its answer requested. Returns true if this starts or extends the back-off.
    bool backOff(const Endpoint &endpoint, Clock::time_point until);
    /// Excludes an endpoint after a failed connection, for a time that doubles with each consecutive failure.
    void suspect(const std::string &id, Clock::time_point now);
    /// Withdraws the suspicion of an endpoint that another router reached, with what suspect() concluded from it.
    void withdrawSuspicion(const std::string &id);
    /// Excludes an endpoint until the given time.
    void eject(const std::string &id, Clock::time_point until);
    /// The number of endpoints of a pool that accept new requests.
    std::size_t poolSize(const std::string &pool) const;
    /// Clears the failure count and the suspicion of an endpoint that answered.
    void clearFailures(const std::string &id);
    /// Records an endpoint's own report of its requests in flight, and of its slots if it states them.
    void recordLoadReport(const std::string &id, int64_t load, Clock::time_point now, int64_t slots = 0);
    /// Records what an endpoint's answer states of the rejections in a second that each endpoint of its service bears; nothing: any
    /// number. While there is a limit, an endpoint gets a request only if it was just reported to be at most half full, or if this
    /// router's share of the limit allows that the request is rejected.
    void recordRejectionLimit(const Endpoint &endpoint, std::optional<int64_t> maxPerSecond, Clock::time_point now);
    /// Records that an endpoint accepted a request which was acquired at the given time.
    void recordAccepted(const Endpoint &endpoint, Clock::time_point sentAt);
    /// Records a load report that a peer router received. A report older than the last one is ignored.
    void mergePeerReport(const peers::LoadReport &report, Clock::time_point now);
    /// The reports that this router itself received after the given time.
    std::vector<peers::LoadReport> reportsReceivedSince(Clock::time_point then) const;
    /// The reports of endpoints at the load bound that this router got from peers after the given time and should
    /// forward to others: at most `limit`, none older than maxAge, the highest loads first.
    std::vector<peers::LoadReport> reportsToForward(Clock::time_point then, std::size_t limit, Millis maxAge, Clock::time_point now) const;

    /// This router's requests in flight on each service whose policy has a load bound.
    std::vector<peers::InflightCount> inflightCounts() const;
    /// Records the estimated requests in flight from all other routers, by service.
    void recordPeerInflight(const std::map<std::string, double> &requests, Clock::time_point now);

    /// Picks an endpoint of a pool, except those in exclude, and counts one request in flight on it. Returns nothing if
    /// no endpoint can receive the request; noEndpointReason() gives the reason.
    std::optional<Endpoint> acquire(const std::string &pool, const placement::Affinity &affinity, const std::set<std::string> &exclude, Clock::time_point now,
                                    const PlacementConstraints &constraints = {});
    /// Counts a resent request to an acquired endpoint against the limit on cold endpoints. Returns false if the
    /// endpoint must not receive a request now.
    bool acquireForResend(const Endpoint &endpoint, Clock::time_point now);
    /// True while the endpoint's back-off lasts.
    bool backsOff(const Endpoint &endpoint, Clock::time_point now) const;
    /// The earliest end of a back-off in the pool, if all endpoints that could otherwise receive the request are
    /// backing off. Returns nothing if another endpoint can receive it.
    std::optional<Clock::time_point> earliestBackOffEnd(const std::string &pool, Clock::time_point now, const PlacementConstraints &constraints = {}) const;
    /// The reason why acquire() finds no endpoint of a pool.
    NoEndpointReason noEndpointReason(const std::string &pool, const std::set<std::string> &exclude, Clock::time_point now,
                                      const PlacementConstraints &constraints = {});

    /// Replaces the set of evacuated failure domains, whose endpoints receive no requests. Endpoints of a domain that
    /// is no longer in the set are treated as cold, as if they had become cold at revokedAt.
    void setEvacuated(std::set<std::string> domains, Clock::time_point revokedAt);
    /// The evacuated failure domains.
    std::set<std::string> evacuated() const;
    /// Replaces the limits on requests to cold endpoints, by service.
    void setColdAllowances(std::map<std::string, limits::ColdAllowance> allowances);
    /// Replaces the routers that share the limits on cold endpoints; self is this router's id.
    void setRouters(const std::string &self, const std::vector<std::string> &others);
    /// Treats a listed endpoint as cold until the given time.
    void recordCold(const std::string &id, Clock::time_point until);
    /// The number of live endpoints that are treated as cold.
    std::size_t coldCount(Clock::time_point now) const;

    /// Records that an endpoint received a prompt, which it likely holds from now on.
    void recordPromptHolder(uint64_t prompt, const Endpoint &endpoint, Clock::time_point now);
    /// Records an announcement of a peer router that an endpoint received a prompt.
    void mergePeerPrompt(const peers::PromptAnnouncement &announcement, Clock::time_point now);
    /// Removes and returns the oldest prompts, at most `limit`, that this router has not yet announced to its peers.
    std::vector<peers::PromptAnnouncement> takePromptAnnouncements(std::size_t limit);
    /// At most `limit` prompts with the endpoints that likely hold them, the most recently recorded first.
    std::vector<peers::PromptAnnouncement> knownPrompts(std::size_t limit, Clock::time_point now) const;
    /// Whether the receiving endpoint likely holds a prompt and, if not, which other endpoint does.
    PromptEstimate estimatePrompt(uint64_t prompt, const Endpoint &receiver, Clock::time_point now, const PlacementConstraints &constraints = {}) const;
    /// What this router knows of a prompt's holders and of an endpoint's load. Returns nothing if the endpoint is not in
    /// a pool whose policy estimates loads against the mean of the service.
    std::optional<PlacementView> placementView(const Endpoint &endpoint, uint64_t prompt, Clock::time_point now, const PlacementConstraints &constraints = {});
    /// The home of a prompt regardless of load: the first member in the prompt's rendezvous order. Returns nothing for
    /// an empty pool.
    std::optional<Endpoint> homeOf(const std::string &pool, uint64_t prompt) const;
    /// A listed endpoint that is not suspected of having failed; may be leaving. Returns nothing otherwise.
    std::optional<Endpoint> find(const std::string &id, Clock::time_point now) const;
    /// The endpoint with this incarnation key if it may receive requests: live, not evacuated and not suspected of having failed.
    std::optional<Endpoint> findLive(const std::string &key) const;
    /// The version of all endpoints of a pool, listed as live or leaving; nothing if there is none, if there are several, or if this
    /// router has seen another one within a minute.
    std::optional<std::string> soleVersion(const std::string &pool, Clock::time_point now) const;
    /// The version of a pool's endpoints that names::abbreviate() turned into the given text; nothing if that is a digest and no listed
    /// endpoint has such a version.
    std::optional<std::string> findVersion(const std::string &pool, const std::string &abbreviated) const;
    /// The versions of the endpoints of each pool, listed as live or leaving; of its last ones for a pool without endpoints.
    std::map<std::string, std::set<std::string>> listedVersions() const;
    /// When an endpoint joined. Returns a default-constructed time point for endpoints of the first listing and for
    /// unknown ones.
    Clock::time_point joinedAt(const std::string &id) const;
    /// Counts one request in flight as ended, unless the endpoint has restarted since it was acquired.
    void release(const Endpoint &endpoint, Clock::time_point now);
    /// False once a later incarnation of the endpoint is listed. What was learned from the earlier incarnation then no
    /// longer applies.
    bool isCurrentIncarnation(const Endpoint &endpoint) const;
    /// The listing state of an endpoint that was acquired earlier.
    ListingState listingState(const Endpoint &endpoint) const;
    /// The number of restarts, under an unchanged id, of listed endpoints so far.
    uint64_t restartCount() const;

    /// The live endpoints, sorted by id.
    std::vector<Endpoint> endpoints() const;
    /// The live endpoints with their states, for the status page.
    nlohmann::json status() const;

private:
    using Picker = std::variant<placement::PrefixAffinity, placement::BoundedLoadHashing, placement::PromptHome, placement::LeastLoaded, placement::RoundRobin>;
    /// Changes of one pool's members.
    struct PoolUpdate {
        std::set<std::string> added;
        std::set<std::string> removed; ///< a member that is in both has restarted, or changed its kind
    };
    /// What a batch of changes does to the pools.
    struct Batch {
        Clock::time_point now{};
        bool firstListing = false; ///< no endpoint was live before
        bool changed = false; ///< the set of live endpoints
        std::map<std::string, PoolUpdate> pools;
        std::set<std::string> versionsOf; ///< pools whose endpoints' versions may have changed
    };
    /// State of one endpoint beyond its listing.
    struct Health {
        Clock::time_point joinedAt{};
        int failures = 0; ///< consecutive failed connections
        Clock::time_point suspectUntil{};
        Clock::time_point coldUntilBefore{}; ///< coldUntil before the first of the failures
        Clock::time_point ejectedUntil{};
        Clock::time_point coldUntil{};
        int64_t inflight = 0;
        int64_t placed = 0;
        int64_t slots = 0; ///< 0: not stated
        int64_t reportedLoad = 0; ///< load in the last report that this router itself received
        Clock::time_point receivedAt{};
        int64_t peerLoad = 0; ///< load in the newest report that a peer received
        Clock::time_point peerReceivedAt{}; ///< when the peer received it
        Clock::time_point peerMergedAt{}; ///< when this router got it from a peer
    };
    struct Pool {
        EndpointKind kind = EndpointKind::Engine; ///< kind that the picker was made for
        Picker picker;
        std::vector<const Endpoint *> members; ///< of m_endpoints; sorted by id, like the picker's members
        std::vector<Health *> health; ///< of m_health, in the order of the members
    };
    /// The software versions of a pool's endpoints.
    struct PoolVersions {
        std::map<std::string, std::size_t> counts; ///< of endpoints, by version
        std::set<std::string> versions; ///< of the last endpoints that were listed
        Clock::time_point mixedAt = Clock::time_point::min(); ///< when there were last several, or another one
    };
    void listLive(Endpoint endpoint, Batch &batch);
    void listLeaving(const Endpoint &endpoint, Batch &batch);
    void unlist(const std::string &id, Batch &batch);
    void removeLive(const std::string &id, Batch &batch);
    void removeLeaving(const std::string &id, Batch &batch);
    void applyBatch(const Batch &batch);
    void updatePool(const std::string &name, const PoolUpdate &update);
    bool acceptsRequests(const Endpoint &endpoint) const
    {
        return !m_refusals.isLeaving(endpoint) && !isEvacuated(endpoint);
    }
    void countVersion(const Endpoint &endpoint, int difference, Batch &batch);
    void recordListed(const Endpoint &endpoint, bool listed);
    const std::string &idOf(const std::string &received) const;
    std::map<std::string, Pool>::iterator findPoolByReceivedName(const std::string &received);
    void recordVersions(const Batch &batch);
    Picker makePicker(EndpointKind kind) const;
    std::optional<std::size_t> pickMember(const std::string &name, Pool &pool, const placement::Affinity &requestAffinity, const std::set<std::string> &exclude,
                                          Clock::time_point now, const PlacementConstraints &constraints);
    std::size_t allowCold(const std::string &name, const Pool &pool, const std::vector<std::size_t> &cold, int priority, std::size_t warm,
                          Clock::time_point now, placement::Usable &usable);
    static bool areAtBound(const Pool &pool, const placement::Usable &members, Clock::time_point now);
    bool isCold(const Endpoint &endpoint, Clock::time_point now) const;
    bool mayRiskRejection(const Endpoint &endpoint, Clock::time_point now);
    static bool hasRoom(const Health &health, Clock::time_point now);
    bool isEvacuated(const Endpoint &endpoint) const
    {
        return m_evacuated.count(endpoint.zone) > 0;
    }
    void extendCold(const std::string &id, Clock::time_point until);
    bool isFailedOrLeaving(const Endpoint &endpoint, Clock::time_point now) const;
    void assumeCold(const Endpoint &endpoint, Clock::time_point now);
    void pruneUnlisted(Clock::time_point now);
    template <typename P> static void setPickerMembers(P &picker, const Pool &pool, const std::vector<std::string> &restarted);
    void updateIdleCount(const std::string &name, Pool &pool);
    void rebuildPools();
    const Endpoint *findListed(const std::string &id) const;
    bool isListed(const Endpoint &endpoint) const;
    bool isSuperseded(const Endpoint &endpoint) const;
    const Endpoint *firstInOrder(const std::string &pool, uint64_t prompt, const std::string &excluded, Clock::time_point now,
                                 const PlacementConstraints &constraints) const;
    std::vector<Endpoint> likelyHolders(uint64_t prompt, Clock::time_point now, const PlacementConstraints &constraints) const;
    bool isSuspected(const std::string &id, Clock::time_point now) const;
    Pool *findPool(const std::string &id, std::size_t &member);
    std::map<std::string, int64_t> inflightByPool() const;
    void applyReport(const std::string &id, int64_t load, Clock::time_point receivedAt);

    mutable std::mutex m_mutex;
    TableOptions m_options;
    std::map<std::string, Endpoint> m_endpoints; ///< live endpoints, by id
    std::map<std::string, Endpoint> m_leaving; ///< endpoints listed as leaving, by id
    std::map<std::string, Pool> m_pools; ///< none is empty
    std::map<std::string, Health> m_health; ///< by endpoint id; every member of a pool has one
    std::set<std::string> m_busy; ///< ids of the endpoints on which this router has requests in flight
    PromptHolders m_holders;
    std::deque<peers::PromptAnnouncement> m_promptAnnouncements; ///< not yet announced, oldest first
    uint64_t m_restarts = 0;
    std::set<std::string> m_evacuated; ///< failure domains
    EndpointRefusals m_refusals;
    limits::ColdLimiter m_coldLimiter;
    limits::RejectionLimiter m_rejections;
    std::map<std::string, PoolVersions> m_versions; ///< by pool
    std::map<std::string, std::string> m_idsOfDigests; ///< of listed endpoints whose ids are too long for datagrams, by digest
    std::map<std::string, Clock::time_point> m_unlistedAt; ///< by incarnation: when it was last listed
};

/// Releases an acquired endpoint at the end of its scope.
class AcquiredEndpoint
{
public:
    AcquiredEndpoint(RoutingTable &table, const Endpoint &endpoint)
        : m_table(table)
        , m_endpoint(endpoint)
    {
    }
    ~AcquiredEndpoint()
    {
        m_table.release(m_endpoint, Clock::now());
    }
    AcquiredEndpoint(const AcquiredEndpoint &) = delete;
    AcquiredEndpoint &operator=(const AcquiredEndpoint &) = delete;

private:
    RoutingTable &m_table;
    Endpoint m_endpoint;
};

} // namespace yucca::router
