// The control side of an entry router: follows the configuration and the endpoints in the store,
// and publishes them to the traffic threads.
#pragma once

#include "entry/configuration.h"
#include "entry/evacuation_orders.h"
#include "findings.h"
#include "follower.h"
#include "router_core.h"

#include <atomic>
#include <concepts>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace yucca::entry
{

/// How a platform encodes its objects: the kinds that hold the configuration, the endpoints and the
/// evacuation orders, and the parsers. A parser returns nothing for a malformed object and records
/// the reasons in the findings.
template <typename C> concept Codec = requires(const nlohmann::json &value, const std::string &name, Findings &findings)
{
    {
        C::configurationKind
        } -> std::convertible_to<std::string>;
    {
        C::configurationName
        } -> std::convertible_to<std::string>;
    {
        C::endpointKind
        } -> std::convertible_to<std::string>;
    {
        C::evacuationKind
        } -> std::convertible_to<std::string>;
    {
        C::configuration(value, findings)
        } -> std::same_as<std::optional<Configuration>>;
    {
        C::endpoint(name, value, findings)
        } -> std::same_as<std::optional<Endpoint>>;
};

/// Properties of a deployment's failure domains, and limits on requests to cold endpoints.
struct PublishedOptions {
    bool evacuations = false; ///< failure domains may be evacuated: no request is sent before the evacuation orders are known
    double coldOvershoot = 1.5; ///< see Settings::coldOvershoot and Settings::coldSlack
    double coldSlack = 5;
    Regions regions; ///< region of each failure domain
};

/// The configuration and the endpoints in effect, published by the control thread to the traffic
/// threads. A configuration is never replaced by an older version.
class Published
{
public:
    explicit Published(router::RoutingTable &table, PublishedOptions options = {})
        : m_table(table)
        , m_options(std::move(options))
    {
    }
    /// Returns the configuration in effect; null until the first one is known.
    ConfigurationPtr configuration() const
    {
        return m_configuration.load();
    }
    /// Returns when the configuration in effect was applied.
    Clock::time_point configurationAppliedAt() const
    {
        return m_configurationAppliedAt.load();
    }
    /// Returns true once requests can be served.
    bool ready() const
    {
        return m_endpointsUsable && m_configuration.load() != nullptr && (!m_options.evacuations || m_evacuationsKnown);
    }
    /// Returns true once all endpoints have been listed.
    bool endpointsKnown() const
    {
        return m_endpointsKnown;
    }

    /// Applies a configuration; one that is not newer than the configuration in effect is ignored.
    void apply(Configuration configuration);
    /// Applies a configuration without a version check; the caller is responsible for the order.
    void applyUnchecked(Configuration configuration);
    /// Replaces all endpoints with a complete listing.
    void replaceEndpoints(std::map<std::string, Endpoint> endpoints);
    /// Adds the endpoints of one page of the initial listing, so that requests can be served before
    /// the listing is complete. When a large fleet of routers starts at once, the last page
    /// arrives more than a second after the first.
    void applyPartialListing(const std::map<std::string, Endpoint> &endpoints);
    /// Adds the endpoints of a listing whose rest cannot be had: no more than these and those that change will be known.
    void applyIncompleteListing(const std::map<std::string, Endpoint> &endpoints);
    /// Applies an entry that was written since the last listing.
    void setEndpoint(const Endpoint &endpoint);
    void removeEndpoint(const std::string &id);
    /// Removes an endpoint at once, even while endpoints with expired entries are retained: its
    /// entry can't be parsed, so it must not be used.
    void discardEndpoint(const std::string &id);
    /// Replaces the set of evacuated failure domains with a complete listing.
    void replaceEvacuated(std::set<std::string> domains);
    void setEvacuated(const std::string &domain, bool evacuated);
    /// Called when the store answers again after an outage. Endpoints whose heartbeats it could not
    /// accept have expired in it although they are alive, and their entries return within about two
    /// seconds. Until then, missing endpoints are retained.
    void onStoreRecovered(Clock::duration outageDuration, Clock::time_point now);
    /// Called when the store has been restored from a backup. Until the entries have been
    /// written again, endpoints that it lacks are retained, and endpoints that are known to be gone
    /// stay excluded.
    void onEndpointsRestored(Clock::time_point now);
    /// Called when the store has been restored from a backup: evacuations that it lacks stay
    /// in effect until they have been written again, see EvacuationOrders.
    void onEvacuationsRestored(Clock::time_point now);
    /// Records that the store confirmed at a time that no evacuation order is missing.
    void recordEvacuationsConfirmed(Clock::time_point at);
    /// Ends the retention periods that have passed: removes endpoints that are still missing, and
    /// readmits endpoints that are still listed after a restore.
    void endExpiredRetention(Clock::time_point now);
    /// Returns when the store last answered.
    Clock::time_point lastContact() const
    {
        return m_lastContact.load();
    }
    void recordContact(Clock::time_point now)
    {
        m_lastContact = now;
    }
    /// Records that the store confirmed to another router, at the given time, that this router's
    /// data is complete.
    void recordConfirmation(Clock::time_point at)
    {
        m_lastContact = std::max(m_lastContact.load(), at);
    }
    std::size_t endpointCount() const
    {
        return m_endpointCount;
    }
    /// Passes the endpoints that have changed to the routing table.
    void publishEndpoints();
    /// Returns the number of endpoint records that were passed to the routing table since the start.
    uint64_t publishedRecords() const
    {
        return m_publishedRecords;
    }

private:
    /// The last known state of an incarnation that is no longer listed.
    struct RemovedIncarnation {
        bool leaving = false;
        Clock::time_point at{};
    };
    /// Where an entry was read. A change shows that the endpoint was running after the listing.
    enum class EntrySource {
        Listing,
        Change,
    };
    void applyEntry(const Endpoint &endpoint, EntrySource source);
    void logEndpointChange(const Endpoint &endpoint) const;
    bool mustStayExcluded(const Endpoint &endpoint, EntrySource source, Clock::time_point now);
    void recordRemoval(const Endpoint &endpoint);
    void admitReappeared();
    void applyEvacuated(Clock::time_point revokedAt);
    void applyColdAllowances(const Configuration &configuration);
    EndpointKind kindOf(const std::string &service) const;
    void markChangedKinds(const Configuration *before);

    router::RoutingTable &m_table;
    PublishedOptions m_options;
    std::atomic<ConfigurationPtr> m_configuration;
    std::atomic<Clock::time_point> m_configurationAppliedAt{};
    std::atomic<bool> m_evacuationsKnown{false};
    EvacuationOrders m_evacuations;
    std::set<std::string> m_evacuated; ///< names of evacuated failure domains, as last applied
    std::vector<std::pair<std::string, Clock::time_point>> m_coldUntil; ///< endpoint ids and the ends of their cold periods, read since the last publication
    std::atomic<bool> m_endpointsUsable{false};
    std::atomic<bool> m_endpointsKnown{false};
    std::map<std::string, Endpoint> m_endpoints;
    std::set<std::string> m_changed; ///< ids of entries that were written or removed since the last publication
    std::atomic<uint64_t> m_publishedRecords{0};
    std::set<std::string> m_expired; ///< ids in m_endpoints that are no longer listed but retained for now
    Clock::time_point m_retainExpiredUntil{};
    std::map<std::string, RemovedIncarnation> m_removed; ///< by incarnation key
    Clock::time_point m_restoringUntil{}; ///< until then, lost entries are written again and outdated ones expire
    std::set<std::string> m_reappeared; ///< ids in m_endpoints that were removed before the restore; excluded until they are known to be alive
    std::atomic<Clock::time_point> m_lastContact{};
    std::atomic<std::size_t> m_endpointCount{0};
};

/// How long endpoints that expired during a store outage are retained after it. Their entries
/// return within about two seconds; an endpoint that left during the outage must get no work two
/// seconds after that is known.
inline constexpr Millis expiredEntryRetention{1800};
/// Entries don't expire during an outage shorter than this: they live for three heartbeats of 1.2 s
/// each.
inline constexpr Millis minOutageForExpiry{2500};

/// Time after a restore of the store from a backup until its list of endpoints is reliable:
/// endpoints write lost entries again within about two seconds, and the entry of a dead endpoint
/// expires after three heartbeats of 1.2 s each.
inline constexpr Millis restoreSettleTime{6000};
/// How long removed incarnations are stored: a store that is restored from a backup may list
/// them again. Backups are seconds old.
inline constexpr Millis removedRetention{std::chrono::minutes(10)};

inline constexpr Millis storePollInterval{1000}; ///< a change must be in effect 2 s after it is made, even if a watch has silently failed
inline constexpr Millis storeRetryInterval{200}; ///< while the store doesn't answer, so that its return is noticed soon

/// Maximum silence of the store while other routers share its confirmations, which arrive with a
/// delay.
inline constexpr Millis sharedSilenceTimeout{2000};

/// Maximum number of malformed entries that are logged, each of them once; further ones add no
/// information.
inline constexpr std::size_t maxReportedEntries = 256;

/// Replicas shared with other routers, by kind; null if this router follows the store alone.
struct SharedKinds {
    replica::SharedReplica *configuration = nullptr;
    replica::SharedReplica *endpoints = nullptr;
    replica::SharedReplica *evacuations = nullptr;
};

/// Follows the objects of one platform in the store and publishes them.
template <Codec C> class Control
{
public:
    /// domains are the names of the failure domains that may be evacuated.
    Control(platform::ObjectApi &api, Published &published, SharedKinds shared = {}, std::vector<std::string> domains = {})
        : m_api(api)
        , m_published(published)
        , m_shared(shared)
        , m_configurationSink{published}
        , m_endpointSink{published}
        , m_evacuationSink{published, shared.evacuations != nullptr}
        , m_configurations(api, C::configurationKind, m_configurationSink, followerOptions(shared.configuration, {C::configurationName}))
        , m_endpoints(api, C::endpointKind, m_endpointSink, followerOptions(shared.endpoints))
        , m_evacuations(api, C::evacuationKind, m_evacuationSink, followerOptions(shared.evacuations, std::move(domains)))
    {
        for (auto *replica : {shared.configuration, shared.endpoints, shared.evacuations}) {
            if (replica) {
                auto &confirmedAt = m_confirmedAt[replica->kind()];
                replica->onConfirmed = [this, &confirmedAt, evacuations = replica == m_shared.evacuations](Clock::time_point at) {
                    confirmedAt = at;
                    m_published.recordConfirmation(at);
                    if (evacuations) {
                        m_published.recordEvacuationsConfirmed(at);
                    }
                };
            }
        }
    }
    Task<void> followConfiguration()
    {
        return m_configurations.run();
    }
    Task<void> followEndpoints()
    {
        return m_endpoints.run();
    }
    Task<void> followEvacuations()
    {
        return m_evacuations.run();
    }
    /// Performs one listing or watch of the configuration; returns false if the store was unreachable.
    Task<bool> stepConfiguration()
    {
        return m_configurations.step();
    }
    /// Performs one listing or watch of the evacuation orders; returns false if the store was
    /// unreachable.
    Task<bool> stepEvacuations()
    {
        return m_evacuations.step();
    }
    /// Performs one listing or watch of the endpoints; returns false if the store was unreachable.
    Task<bool> stepEndpoints()
    {
        return m_endpoints.step();
    }
    /// As Follower::catchUp(), for the endpoints.
    Task<bool> catchUpEndpoints(Clock::time_point until)
    {
        return m_endpoints.catchUp(until);
    }
    /// Polls the store until stopped. Once it answers after an outage, all watches are restarted:
    /// changes that they wait for may have been lost.
    Task<void> watchStore()
    {
        bool answered = true;
        while (!m_stopping) {
            co_await sleepFor(answered ? storePollInterval : storeRetryInterval);
            const auto now = Clock::now();
            if (polledByOthers(now)) {
                answered = true;
                continue;
            }
            if (answered && now - m_published.lastContact() < (shared(now) ? sharedSilenceTimeout : storePollInterval)) {
                continue; // a watch was answered recently
            }
            const bool answers = co_await m_api.isReachable(C::configurationKind);
            if (answers && !answered) {
                m_configurations.restartWatch();
                m_endpoints.restartWatch();
                m_evacuations.restartWatch();
            }
            answered = answers;
        }
    }
    /// Returns when the store last confirmed the state of each shared kind; callable from any thread.
    std::map<std::string, Clock::time_point> confirmedAt() const
    {
        return {m_confirmedAt.begin(), m_confirmedAt.end()};
    }
    void stop()
    {
        m_stopping = true;
        m_configurations.stop();
        m_endpoints.stop();
        m_evacuations.stop();
    }

private:
    bool shared(Clock::time_point now) const
    {
        return m_shared.endpoints && m_shared.endpoints->hasActivePeers(now);
    }
    // Each call has a cost, also one to an unavailable store: a few routers poll it and inform the
    // others.
    bool polledByOthers(Clock::time_point now) const
    {
        return shared(now) && m_shared.endpoints->rank(now) >= maxProbingRouters;
    }

    // Parses an object's value; what could not even be decoded is a finding too.
    template <typename T, typename Parse> static std::optional<T> parseObject(const platform::Object &object, Findings &findings, Parse parse)
    {
        if (!object.problem.empty()) {
            findings.add("", object.problem);
            return std::nullopt;
        }
        return parse(object.value, findings);
    }

    struct ConfigurationSink {
        Published &published;
        void onListing(const platform::Listing &listing, platform::Freshness)
        {
            for (const auto &object : listing.items) {
                onChange(object, false);
            }
        }
        void onPartialListing(const platform::Listing &)
        {
        }
        void onIncompleteListing(const platform::Listing &listing)
        {
            onListing(listing, platform::Freshness::MayLag);
        }
        void onChange(const platform::Object &object, bool deleted)
        {
            if (deleted || object.name != C::configurationName) {
                return; // if the configuration is deleted, the last one stays in effect
            }
            Findings findings;
            auto parsed = parseObject<Configuration>(object, findings, &C::configuration);
            if (parsed) {
                published.apply(std::move(*parsed));
            } else {
                log::Line{log::Event::ConfigurationRejected}.add("problems", findings.report());
            }
        }
        void onBatchEnd()
        {
            published.recordContact(Clock::now());
        }
        void onStoreRecovered(Clock::duration)
        {
        }
        void onStoreRestored()
        {
        }
    };
    struct EndpointSink {
        Published &published;
        std::set<std::string> reportedEntries{}; ///< names of entries that were malformed when last read
        void onListing(const platform::Listing &listing, platform::Freshness freshness)
        {
            if (freshness == platform::Freshness::Current) {
                published.recordContact(Clock::now());
            }
            published.replaceEndpoints(parsed(listing));
        }
        void onPartialListing(const platform::Listing &listing)
        {
            published.applyPartialListing(parsed(listing));
        }
        void onIncompleteListing(const platform::Listing &listing)
        {
            published.applyIncompleteListing(parsed(listing));
        }
        std::map<std::string, Endpoint> parsed(const platform::Listing &listing)
        {
            std::map<std::string, Endpoint> endpoints;
            for (const auto &object : listing.items) {
                if (auto endpoint = parse(object)) {
                    endpoints.emplace(object.name, std::move(*endpoint));
                } else {
                    published.discardEndpoint(object.name);
                }
            }
            return endpoints;
        }
        void onChange(const platform::Object &object, bool deleted)
        {
            if (deleted) {
                reportedEntries.erase(object.name);
                published.removeEndpoint(object.name);
            } else if (const auto endpoint = parse(object)) {
                published.setEndpoint(*endpoint);
            } else {
                published.discardEndpoint(object.name);
            }
        }
        void onBatchEnd()
        {
            published.recordContact(Clock::now());
            published.publishEndpoints();
        }
        void onStoreRecovered(Clock::duration outageDuration)
        {
            published.onStoreRecovered(outageDuration, Clock::now());
        }
        void onStoreRestored()
        {
            published.onEndpointsRestored(Clock::now());
        }
        // Other programs write entries too: a malformed one yields no endpoint, is logged once, and
        // doesn't affect the others.
        std::optional<Endpoint> parse(const platform::Object &object)
        {
            Findings findings;
            auto endpoint = parseObject<Endpoint>(object, findings, [&object](const nlohmann::json &value, Findings &problems) {
                return C::endpoint(object.name, value, problems);
            });
            if (endpoint) {
                reportedEntries.erase(object.name);
            } else if (reportedEntries.size() < maxReportedEntries && reportedEntries.insert(object.name).second) {
                log::Line{log::Event::CatalogueEntryRejected}.add("endpoint", object.name).add("problems", findings.report());
            }
            return endpoint;
        }
    };

    // The name of an evacuation order is its failure domain and its value is not needed: a
    // malformed order is still in effect.
    struct EvacuationSink {
        Published &published;
        bool shared; ///< a replica shared with other routers reports the confirmations
        void onListing(const platform::Listing &listing, platform::Freshness)
        {
            std::set<std::string> domains;
            for (const auto &object : listing.items) {
                domains.insert(object.name);
            }
            published.replaceEvacuated(std::move(domains));
        }
        void onPartialListing(const platform::Listing &)
        {
        }
        // All known domains are among the essential names: what is missing beyond them concerns no endpoint.
        void onIncompleteListing(const platform::Listing &listing)
        {
            onListing(listing, platform::Freshness::Current);
        }
        void onChange(const platform::Object &object, bool deleted)
        {
            published.setEvacuated(object.name, !deleted);
        }
        void onBatchEnd()
        {
            const auto now = Clock::now();
            published.recordContact(now);
            if (!shared) {
                published.recordEvacuationsConfirmed(now);
            }
        }
        void onStoreRecovered(Clock::duration)
        {
        }
        void onStoreRestored()
        {
            published.onEvacuationsRestored(Clock::now());
        }
    };

    FollowerOptions followerOptions(replica::SharedReplica *shared, std::vector<std::string> essentialNames = {})
    {
        FollowerOptions options;
        options.essentialNames = std::move(essentialNames);
        options.sharedReplica = shared;
        return options;
    }

    platform::ObjectApi &m_api;
    Published &m_published;
    SharedKinds m_shared;
    std::map<std::string, std::atomic<Clock::time_point>> m_confirmedAt; ///< by kind; the keys never change after the construction
    bool m_stopping = false;
    ConfigurationSink m_configurationSink;
    EndpointSink m_endpointSink;
    EvacuationSink m_evacuationSink;
    Follower<ConfigurationSink> m_configurations;
    Follower<EndpointSink> m_endpoints;
    Follower<EvacuationSink> m_evacuations;
};

} // namespace yucca::entry
