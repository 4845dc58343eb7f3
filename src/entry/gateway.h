// The request pipeline of a router: identify, admit, claim, place, attempt, relay, account. The
// pipeline is independent of the wire interface: a Dialect parses requests of callers and responses
// of endpoints, and formats what is sent to either side.
#pragma once

#include "admission.h"
#include "entry/control.h"
#include "entry/endpoint_activity.h"
#include "entry/entry_metrics.h"
#include "entry/entry_settings.h"
#include "entry/log_rate_limiter.h"
#include "entry/outlier_detector.h"
#include "entry/path_monitor.h"
#include "entry/placement_rules.h"
#include "entry/request_profile.h"
#include "entry/response_memory.h"
#include "entry/retry_after.h"
#include "entry/retry_policy.h"
#include "entry/route_durations.h"
#include "entry/silence_watch.h"
#include "entry/stall_monitor.h"
#include "failure.h"
#include "http_client.h"
#include "http_server.h"
#include "idempotency.h"
#include "log.h"
#include "notifier.h"
#include "peers/fleet_membership.h"
#include "quarantine.h"
#include "relay_peers.h"
#include "router_core.h"
#include "sse.h"
#include "stream_origins.h"
#include "stream_store.h"

#include <atomic>
#include <concepts>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>

namespace yucca::entry
{

/// The operations that differ between the wire interfaces of callers and endpoints.
template <typename D>
concept Dialect = requires(D d, const http::Exchange &ex, const ConfigurationPtr &configuration, Clock::time_point now, const RequestProfile &profile,
                           const ForwardOptions &options, const http::Response &response, const Endpoint &endpoint, Rejection why, Millis retryAfter)
{
    {
        d.identify(ex, configuration, now)
        } -> std::same_as<std::variant<RequestProfile, Rejection>>;
    {
        d.requestId(ex)
        } -> std::same_as<std::string>;
    {
        d.makeForwardedRequest(ex, profile, options)
        } -> std::same_as<http::Request>;
    {
        d.readHead(response, profile)
        } -> std::same_as<ResponseHead>;
    {
        d.responseHeaders(response, profile, endpoint)
        } -> std::same_as<http::Headers>;
    {
        d.replayHeaders(profile)
        } -> std::same_as<http::Headers>;
    {
        d.rejection(why, retryAfter)
        } -> std::same_as<RejectionResponse>;
    // True when a connection may carry the response to another request before the awaited one.
    {
        D::mayReceiveLateResponses
        } -> std::convertible_to<bool>;
    // True when a stream is complete only after its terminal event; otherwise the HTTP framing
    // marks its end.
    {
        D::streamsHaveTerminalEvent
        } -> std::convertible_to<bool>;
};

/// Timeouts, retry limits and connection limits of the pipeline.
struct GatewayOptions {
    limits::RetryLimits retries; ///< limits on the extra arrivals that this router may cause at a service
    /// After this time without a response from the store, the router may lack the newest routes and
    /// API keys: one watch of 2 s, its margin and the transfer time of a change. Zero: the
    /// configuration always counts as current.
    Millis maxConfigurationAge{3000};
    Millis connectTimeout{300}; ///< an endpoint answers a SYN in about 2 ms; one whose backlog is full drops SYNs for seconds
    double responseTimeoutFactor = 1.0; ///< multiple of a route's target latency after which a repeatable request is sent to another endpoint
    double eventGapTimeoutFactor = 2.0; ///< multiple of a route's event gap target after which a resumable stream moves to another endpoint
    Millis maxEndpointPause{2000}; ///< a sound endpoint may fall silent for less than this
    RetryAfterOptions retryAfter;
    std::size_t routersPerConnectionCap = 16; ///< number of routers that share the connection limit of an endpoint
    /// A path that carried a response more recently than this is taken for intact. After a longer pause, hosts acknowledge at once.
    Millis confirmAfterIdle{250};
    /// If set, non-repeatable requests always use a new connection, at the cost of one connection
    /// for each request. The peer may close a keep-alive connection while a request is in transit,
    /// and such a request can't be sent again.
    bool newConnectionForNonRepeatable = false;
    /// How long non-repeatable requests to a service use new connections only, after one of its
    /// keep-alive connections broke during a request: its endpoints have dropped their idle
    /// connections, so further ones will break.
    Millis keepAliveDistrustTime{10000};
    std::size_t maxIdleConnections = 32; ///< maximum number of keep-alive connections to an endpoint
    std::size_t maxResponseBytes = 16 * 1024 * 1024; ///< maximum body size of a response that is no stream
    ResponseMemoryOptions responseMemory; ///< for bodies that are read whole before they are relayed; longer ones are relayed in parts
    /// How long an endpoint is watched for a crash after one of its responses broke: its entry in
    /// the store expires after three heartbeats of 1.2 s, and the router learns of that up to a
    /// second later.
    Millis crashDetectionTimeout{6000};
    Millis crashPollInterval{100};
    Millis probeInterval{500}; ///< minimum interval between probes of one endpoint: connections are expensive, and many responses may break at once
    Millis probeOpenTime{100}; ///< a proxy whose server is gone closes a new connection within milliseconds
    std::size_t maxRelayPeers = 3; ///< peers that are asked for a tunnel for one attempt
    int minUnreachablePeers = 2; ///< peers that must fail to reach an endpoint before it counts as down
    Millis crashConfirmPause{300}; ///< between two such peers where a crash is in question: one that was just cut off has noticed by then
    Millis relayConnectTimeout{400}; ///< for a tunnel: the peer's own attempt at the endpoint included
    Millis relayPeerPause{1000}; ///< during which a peer that offered no tunnel is not asked
    Millis relayUnsupportedPause{30000}; ///< the same for a peer of a release without tunnels
    Millis pathProbeInterval{200}; ///< between two probes of cut paths
};

/// Objects that a gateway shares with the rest of its process; the gateway doesn't own them.
struct GatewayParts {
    const Published &published;
    router::RoutingTable &table;
    limits::Admission &admission;
    quarantine::RequestQuarantine &quarantine;
    idempotency::Guard *claims = nullptr; ///< null if requests carry no idempotency keys
    relay::RelayPeers *relayPeers = nullptr; ///< null if this router has no peers
    const peers::FleetMembership *fleet = nullptr; ///< null if this router shares no limits with others
    streams::StreamOrigins *origins = nullptr; ///< null if callers don't take up streams
    streams::StreamStore *streamStore = nullptr; ///< null if origins is
};

/// Serves requests of callers by forwarding them to endpoints. Runs on one traffic thread.
template <Dialect D> class Gateway
{
public:
    explicit Gateway(const GatewayParts &parts, GatewayOptions options = {}, D dialect = {})
        : m_published(parts.published)
        , m_table(parts.table)
        , m_admission(parts.admission)
        , m_quarantine(parts.quarantine)
        , m_claims(parts.claims)
        , m_relayPeers(parts.relayPeers)
        , m_fleet(parts.fleet)
        , m_origins(parts.origins)
        , m_streamStore(parts.streamStore)
        , m_options(options)
        , m_activity(options.maxEndpointPause)
        , m_dialect(std::move(dialect))
        , m_responseMemory(options.responseMemory)
    {
    }

    /// Serves one request: forwards it, or rejects it with a response of the router's own.
    Task<void> handle(http::Exchange &ex);
    /// Replaces the limits on retries. Must be called on the traffic thread.
    void setRetryLimits(const limits::RetryLimits &limits);
    /// Cancels the attempts at endpoints that have restarted since: their responses will never
    /// arrive, even if no connection reset reports that. Must be called on the traffic thread.
    void cancelAttemptsAtRestarted();
    /// Returns true if this router reaches the endpoint by its own path. Must be called on the traffic thread.
    bool reachesDirectly(const Endpoint &endpoint) const
    {
        return m_paths.pathTo(endpoint) == Path::Direct;
    }
    /// Returns the counters of all requests so far. Must be called on the traffic thread.
    const Metrics &metrics() const
    {
        return m_metrics;
    }
    /// Returns what responses hold that are read whole, in bytes beyond the uncounted part of each. Must be called on the traffic thread.
    std::size_t bufferedResponseBytes() const
    {
        return m_responseMemory.used();
    }
    uint64_t connectionsOpened() const
    {
        return m_client.connectionsOpened();
    }
    /// Returns the counters and histograms in the Prometheus text format. Must be called on the
    /// traffic thread.
    std::string metricsText(Gauges gauges) const
    {
        gauges.connectionsOpened = m_client.connectionsOpened();
        gauges.cutPaths = m_paths.cutCount();
        gauges.retryBudgets = retryGauges();
        return m_metrics.text(gauges);
    }
    /// Watches the event loop of its caller for pauses. Never returns.
    Task<void> runStallMonitor()
    {
        for (;;) {
            m_stalls.tick(BootClock::now());
            co_await sleepFor(StallMonitor::tickInterval);
        }
    }
    /// Rejects new requests that are not expected to end by then, because this router exits: another router can serve them. Callable
    /// from any thread.
    void stopBy(Clock::time_point end)
    {
        m_stopsAt = end;
    }
    /// Rejects all new requests from now on, because this router is about to stop.
    void rejectNewRequests()
    {
        m_rejectingNewRequests = true;
    }

    /// Ends all requests in flight, because this router exits: those without a response get one, streams are aborted. Must be
    /// called on the traffic thread.
    void endRequests();

private:
    /// A failure response of an engine, returned to the caller if no later attempt succeeds.
    struct EngineFailure {
        unsigned status = 0;
        http::Headers headers;
        std::string body;
    };
    /// The endpoint of the next attempt, with what the attempt needs.
    struct Selection {
        Endpoint endpoint;
        std::unique_ptr<router::AcquiredEndpoint> acquired;
        Clock::time_point acquiredAt{};
        limits::HeldPermit permit; ///< none for a first attempt
        limits::HeldPermit reserve = {}; ///< for one more attempt, if this endpoint rejects a stream that its caller has begun to receive
    };
    struct RequestState;
    /// Registers an attempt for the time that it is in progress, however it ends.
    class AttemptInProgress
    {
    public:
        AttemptInProgress(Gateway &gateway, RequestState &state, const Endpoint &endpoint, std::shared_ptr<SilenceWatch> watch)
            : m_gateway(gateway)
            , m_state(state)
            , m_endpointKey(incarnationKey(endpoint))
        {
            gateway.m_attempts.insert_or_assign(&state, endpoint);
            gateway.m_activity.recordSent(incarnationKey(endpoint), Clock::now());
            state.watch = std::move(watch);
        }
        ~AttemptInProgress()
        {
            if (m_state.watch) {
                m_state.watch->end();
                m_state.watch.reset();
            }
            m_gateway.m_attempts.erase(&m_state);
            m_gateway.m_activity.recordEnded(m_endpointKey, Clock::now());
        }
        AttemptInProgress(const AttemptInProgress &) = delete;
        AttemptInProgress &operator=(const AttemptInProgress &) = delete;

    private:
        Gateway &m_gateway;
        RequestState &m_state;
        std::string m_endpointKey;
    };
    /// The state of one request over all its attempts.
    struct RequestState {
        RequestProfile profile;
        router::PlacementConstraints constraints;
        std::string service;
        AttemptCount count;
        std::optional<idempotency::Claim> claim; ///< of the request's idempotency key
        std::set<std::string> tried;
        std::set<std::string> silent; ///< endpoints whose attempts ended because they were silent
        limits::HeldPermit reserve; ///< until an endpoint has accepted the request
        std::optional<Selection> successor; ///< takes over from the silent endpoint of the current attempt
        std::shared_ptr<SilenceWatch> watch; ///< of the current attempt; null if it must not be replaced
        http::Cancellation cancellation;
        sse::EventRelay events;
        std::optional<streams::Origin> origin; ///< of the stream, once an event of it is known to have reached its caller
        bool originAnnounced = false; ///< to other routers, by this request
        bool headSent = false; ///< the head of a streamed response has been sent to the caller
        bool relayedInParts = false; ///< bytes of a response that is no stream have been sent: no other attempt can continue it
        bool sendLost = false; ///< a keep-alive connection broke after the request was sent on it: the request may have run, whatever a second send returned
        bool timedOut = false;
        bool stopping = false; ///< this router is about to exit
        bool endpointRestarted = false; ///< the endpoint of the current attempt has restarted
        std::string lastEndpoint;
        std::string lastVersion; ///< of the software of the last endpoint
        Path path = Path::Direct; ///< of the last attempt
        router::PromptEstimate promptEstimate; ///< what the last endpoint likely holds of the prompt
        std::optional<Endpoint> home; ///< of the prompt, at the time of the last attempt
        std::optional<router::PlacementView> placement; ///< what was known when the last endpoint was picked
        Clock::time_point placedAt{};
        Clock::time_point acquiredAt{}; ///< when the current attempt was counted at its endpoint
        unsigned lastStatus = 0; ///< status of the last endpoint's own response
        ResponseHead lastHead; ///< head of the last attempt's response; default values if none arrived
        std::unique_ptr<limits::RetryPermit> retryPermit; ///< of the current attempt, until it has arrived
        bool retryDenied = false; ///< for want of retry budget
        std::optional<GiveUpReason> giveUpReason;
        std::optional<AttemptEnd> lastEnd; ///< of the last attempt
        Clock::time_point lastReceived{}; ///< when the endpoint of the current attempt last sent something; the begin of the attempt until then
        int64_t lastLoad = -1; ///< load that the last endpoint reported; -1: not reported
        std::optional<EngineFailure> failure;
        std::optional<router::NoEndpointReason> noEndpointReason; ///< the reason if no endpoint could take the request
        Clock::time_point firstByte{};
    };

    /// An endpoint that may have crashed while it ran requests, because responses of it broke.
    struct CrashWatch {
        std::map<uint64_t, Clock::time_point> brokeAt; ///< time of the last broken response, by crash key
        Clock::time_point probeAt{};
        std::optional<Clock::time_point> probedAt;
        bool replaced = false; ///< another instance answers at the endpoint's address
    };
    using CrashWatchPtr = std::shared_ptr<CrashWatch>;
    using OpenResult = http::CallResult<std::unique_ptr<http::Response>>;
    /// Whether a peer reaches an endpoint.
    enum class PeerView {
        Reached,
        Unreachable,
        Unknown, ///< no peer could tell
    };

    Task<std::optional<streams::Origin>> originOf(const RequestProfile &profile);
    Task<std::optional<Rejection>> bindResumption(RequestState &state);
    void recordOrigin(RequestState &state, const Endpoint &endpoint);
    void logStreamRefused(const RequestState &state, Rejection why);
    std::variant<RequestProfile, Rejection> identify(const http::Exchange &ex, Clock::time_point now);
    bool configurationMayBeStale(Clock::time_point now) const;
    bool canEndInTime(const Route &route, Clock::time_point now) const;
    std::optional<Millis> admitWithinLimits(const RequestProfile &profile, Clock::time_point now, std::optional<limits::AdmissionSlot> &slot);
    Task<bool> claimKey(http::Exchange &ex, RequestState &state);
    Task<void> settle(idempotency::Claim claim, nlohmann::json record);
    Task<void> releaseClaim(RequestState &state);
    Task<void> reject(http::Exchange &ex, const std::string &id, Rejection why, std::optional<Millis> retryAfter = std::nullopt);
    Task<void> serve(http::Exchange &ex, RequestState &state);
    Task<void> endFailed(http::Exchange &ex, RequestState &state, std::exception_ptr failure);
    Task<void> attempt(http::Exchange &ex, RequestState &state);
    Task<AttemptEnd> attemptAt(http::Exchange &ex, RequestState &state, const Endpoint &endpoint, http::ConnectionReuse reuse, bool &staleConnection);
    http::Request makeRequestFor(const http::Exchange &ex, const RequestState &state, const Endpoint &endpoint) const;
    Task<OpenResult> openDirect(http::Exchange &ex, RequestState &state, Endpoint endpoint, http::CallOptions options);
    Task<OpenResult> openRelayed(http::Exchange &ex, RequestState &state, Endpoint endpoint, http::CallOptions options);
    Task<OpenResult> openByAnyPath(http::Exchange &ex, RequestState &state, Endpoint endpoint, http::CallOptions options);
    bool shouldRelayAtOnce(const Endpoint &endpoint, Clock::time_point began) const;
    void excludeAfterRefusal(const http::Address &peer, unsigned status);
    bool mayAskPeers() const
    {
        return m_relayPeers && !m_relayPeers->empty();
    }
    Task<PeerView> askPeers(Endpoint endpoint);
    Task<void> verifyByPeer(Endpoint endpoint);
    Task<void> recordCutPath(Endpoint endpoint);
    void recordConnected(const Endpoint &endpoint);
    Task<void> probeCutPaths();
    Task<AttemptEnd> handleResponse(http::Exchange &ex, RequestState &state, const Endpoint &endpoint, http::Response &response);
    void recordReceived(RequestState &state, const Endpoint &endpoint);
    void applySelfReport(const Endpoint &endpoint, const ResponseHead &head);
    Task<AttemptEnd> relayBuffered(http::Exchange &ex, RequestState &state, const Endpoint &endpoint, const ResponseHead &head, http::Response &response);
    bool mayRelayInParts(const http::Exchange &ex, const RequestState &state, const ResponseHead &head) const;
    Task<AttemptEnd> relayInParts(http::Exchange &ex, RequestState &state, const Endpoint &endpoint, http::Response &response, http::Headers headers,
                                  std::string begun);
    Task<AttemptEnd> relayStream(http::Exchange &ex, RequestState &state, const Endpoint &endpoint, http::Response &response);
    Task<void> answerFailure(http::Exchange &ex, RequestState &state);
    Clock::time_point headDeadline(const RequestState &state, Clock::time_point now) const;
    limits::RetryBudget &retryBudgetFor(const std::string &service);
    std::string chooseService(const RequestProfile &profile) const;
    router::PromptEstimate estimatePrompt(const RequestState &state, const Endpoint &endpoint, Clock::time_point now) const;
    bool showsFault(const RequestState &state, const Endpoint &endpoint, AttemptEnd end) const;
    void recordAttempt(const RequestState &state, const Endpoint &endpoint, AttemptEnd end, Clock::time_point began, bool willRetry);
    static RequestEnd requestEndFor(const RequestState &state, AttemptEnd end);
    double slackShare() const;
    std::unique_ptr<limits::RetryPermit> takeRetryPermit(const std::string &service);
    std::variant<Selection, GiveUpReason> selectEndpoint(RequestState &state, bool hasArrived, Clock::time_point now);
    GiveUpReason noEndpointReason(RequestState &state, Clock::time_point now);
    void recordGiveUp(RequestState &state, GiveUpReason why);
    std::shared_ptr<SilenceWatch> watchSilence(RequestState &state, const Endpoint &endpoint, const asio::any_io_executor &executor);
    Task<void> replaceSilentEndpoint(RequestState &state, Endpoint endpoint, std::shared_ptr<SilenceWatch> watch);
    bool mayBeReplaced(const RequestState &state, const Endpoint &endpoint, Clock::time_point now) const;
    std::optional<Selection> selectSuccessor(RequestState &state);
    bool mayTakeOver(const RequestState &state, const Endpoint &endpoint, Clock::time_point now) const;
    Task<void> judgeSilence(RequestProfile profile, Endpoint endpoint, Clock::time_point since);
    Task<bool> connectAhead(Endpoint endpoint);
    std::size_t maxIdleConnectionsTo(const Endpoint &endpoint) const;
    Task<AttemptEnd> attemptWatched(http::Exchange &ex, RequestState &state, Endpoint endpoint);
    Task<AttemptEnd> attemptTwice(http::Exchange &ex, RequestState &state, const Endpoint &endpoint);
    std::vector<RetryGauge> retryGauges() const;
    http::ConnectionReuse reuseFor(const RequestState &state, Clock::time_point now) const;
    Task<void> closeStaleConnections(const Endpoint &endpoint);
    /// A request that the quarantine keeps from endpoints.
    struct Withheld {
        Millis remaining{};
        uint64_t key = 0; ///< the quarantined one of its crashKeys()
        std::optional<uint64_t> part; ///< id of the quarantined part of its prompt; absent: its content is quarantined
        Rejection why() const
        {
            return part ? Rejection::PartQuarantined : Rejection::Quarantined;
        }
    };
    std::optional<Withheld> withheld(const RequestProfile &profile, Clock::time_point now) const;
    void logWithheld(const RequestProfile &profile, const Withheld &withheld);
    Task<void> recordBrokenResponse(const RequestProfile &profile, Endpoint endpoint);
    CrashWatch nextWatch(const CrashWatch &watch, Clock::time_point now) const;
    Task<void> watchForCrash(Endpoint endpoint, CrashWatchPtr watch);
    void recordCrash(const Endpoint &endpoint, const CrashWatch &watch);
    void recordAlive(const Endpoint &endpoint, const CrashWatch &watch);
    void recordRequest(const RequestState &state, RequestEnd end, int64_t status);

    const Published &m_published;
    router::RoutingTable &m_table;
    limits::Admission &m_admission;
    quarantine::RequestQuarantine &m_quarantine;
    idempotency::Guard *m_claims;
    relay::RelayPeers *m_relayPeers;
    const peers::FleetMembership *m_fleet;
    streams::StreamOrigins *m_origins;
    streams::StreamStore *m_streamStore;
    GatewayOptions m_options;
    EndpointActivity m_activity;
    D m_dialect;
    http::Client m_client;
    std::map<std::string, limits::RetryBudget> m_budgets; ///< by service name
    std::map<std::string, OutlierDetector> m_outliers; ///< by service name
    std::map<std::string, Clock::time_point> m_keepAliveBrokeAt; ///< by service name: when a keep-alive connection last broke
    std::map<std::string, int64_t> m_incarnationStart; ///< by endpoint id: start of the incarnation that a request was last sent to, in Unix ms
    std::map<RequestState *, Endpoint> m_attempts; ///< current attempts and their endpoints
    std::map<std::string, CrashWatchPtr> m_crashWatches; ///< by incarnation key
    PathMonitor m_paths;
    StallMonitor m_stalls;
    std::set<std::string> m_verifying; ///< incarnation keys of endpoints about which peers are being asked
    bool m_probingPaths = false;
    Metrics m_metrics;
    LogRateLimiter m_logLimiter;
    std::minstd_rand m_random{std::random_device{}()};
    Clock::time_point m_startedAt = Clock::now();
    std::atomic<bool> m_rejectingNewRequests{false};
    std::atomic<Clock::time_point> m_stopsAt{Clock::time_point::max()};
    RouteDurations m_durations;
    ResponseMemory m_responseMemory;
    bool m_ending = false; ///< this router exits: no further attempt is made
};

/// Returns the milliseconds since a point in time, for log lines.
inline int64_t elapsedMs(Clock::time_point then)
{
    return std::chrono::duration_cast<Millis>(Clock::now() - then).count();
}

/// Returns a completion handler that logs an exception of a task which runs beside requests. id is of what it is about.
inline auto logTaskFailure(const char *task, std::string id)
{
    return [task, id = std::move(id)](std::exception_ptr failure) {
        if (failure) {
            log::Line{log::Event::TaskFailed}.add("task", task).add("id", id).add("error", describe(failure));
        }
    };
}

template <Dialect D> Task<void> Gateway<D>::handle(http::Exchange &ex)
{
    ++m_metrics.requestsRead;
    RequestState state;
    std::exception_ptr failure;
    try {
        co_await serve(ex, state);
    } catch (...) {
        failure = std::current_exception();
    }
    ex.onCallerDisconnect({});
    if (failure) {
        co_await endFailed(ex, state, failure);
    }
}

// Ends a request whose handling threw. It may have run if an attempt had begun.
template <Dialect D> Task<void> Gateway<D>::endFailed(http::Exchange &ex, RequestState &state, std::exception_ptr failure)
{
    if (!state.profile.route) {
        std::rethrow_exception(failure); // not identified: the server answers and logs it
    }
    const std::string error = describe(failure);
    log::Line{log::Event::RequestFailed}.add("id", state.profile.id).add("endpoint", state.lastEndpoint).add("error", error);
    state.giveUpReason = GiveUpReason::Failed;
    state.count.runs += state.count.attempts > 0 ? 1 : 0;
    if (ex.answered() && !state.headSent) {
        m_metrics.responseCut(GiveUpReason::Failed);
        recordRequest(state, RequestEnd::Cut, 0);
        ex.abort();
        co_return;
    }
    co_await answerFailure(ex, state);
}

// Identifies and admits a request, and makes its attempts.
template <Dialect D> Task<void> Gateway<D>::serve(http::Exchange &ex, RequestState &state)
{
    const auto now = Clock::now();
    const auto earliestSend = m_stalls.earliestSend(BootClock::now());
    auto identified = identify(ex, now);
    if (const auto *why = std::get_if<Rejection>(&identified)) {
        co_await reject(ex, m_dialect.requestId(ex), *why);
        co_return;
    }
    state.profile = std::move(std::get<RequestProfile>(identified));
    if (!canEndInTime(*state.profile.route, now)) {
        co_await reject(ex, state.profile.id, Rejection::Stopping);
        co_return;
    }
    if (const auto quarantine = withheld(state.profile, now)) {
        logWithheld(state.profile, *quarantine);
        co_await reject(ex, state.profile.id, quarantine->why(), quarantine->remaining);
        co_return;
    }
    std::optional<limits::AdmissionSlot> slot;
    const auto retryAfter = admitWithinLimits(state.profile, now, slot);
    if (retryAfter) {
        co_await reject(ex, state.profile.id, Rejection::OverLimits, retryAfter);
        co_return;
    }
    const bool mayRun = co_await claimKey(ex, state);
    if (!mayRun) {
        co_return;
    }
    state.service = chooseService(state.profile);
    state.constraints = constraintsOf(state.profile);
    state.events.setLastId(state.profile.resumeAfter);
    if (const auto why = co_await bindResumption(state)) {
        logStreamRefused(state, *why);
        co_await releaseClaim(state);
        co_await reject(ex, state.profile.id, *why);
        co_return;
    }
    retryBudgetFor(state.service).recordRequest(earliestSend);
    ex.onCallerDisconnect([&state] {
        // A request with a claimed key runs to its end: its caller will ask for the response again
        // with the same key.
        if (!state.claim) {
            state.cancellation.cancel();
        }
    });
    co_await attempt(ex, state);
}

// Records why a request gets no further attempt.
template <Dialect D> void Gateway<D>::recordGiveUp(RequestState &state, GiveUpReason why)
{
    state.giveUpReason = why;
    state.timedOut = why == GiveUpReason::TimedOut;
    state.retryDenied = why == GiveUpReason::RetryDenied;
    m_metrics.retriesDenied += state.retryDenied ? 1 : 0;
    if (why == GiveUpReason::NoVersion) {
        logStreamRefused(state, Rejection::VersionUnavailable);
    }
}

// Tries endpoints one after the other, within the limits on attempts, the deadline and the retry
// budget of the service.
template <Dialect D> Task<void> Gateway<D>::attempt(http::Exchange &ex, RequestState &state)
{
    const Route &route = *state.profile.route;
    for (;;) {
        const auto now = Clock::now();
        if (m_ending) {
            state.stopping = true;
            recordGiveUp(state, GiveUpReason::Stopping);
            break;
        }
        if (now >= state.profile.responseDeadline) {
            recordGiveUp(state, GiveUpReason::TimedOut);
            break;
        }
        auto selection = std::exchange(state.successor, std::nullopt);
        if (!selection) {
            auto selected = selectEndpoint(state, state.count.arrivals > 0, now);
            if (const auto *why = std::get_if<GiveUpReason>(&selected)) {
                recordGiveUp(state, *why == GiveUpReason::NoEndpoint ? noEndpointReason(state, now) : *why);
                break;
            }
            selection.emplace(std::move(std::get<Selection>(selected)));
        }
        const Endpoint &endpoint = selection->endpoint;
        state.retryPermit = selection->permit.take();
        if (selection->reserve) {
            state.reserve = std::move(selection->reserve);
        }
        m_metrics.retries += state.retryPermit ? 1 : 0;
        state.lastEndpoint = endpoint.id;
        state.lastVersion = endpoint.version;
        state.home = sharesPrompt(state.profile.prompt) ? m_table.homeOf(state.service, state.profile.affinity.conversation) : std::nullopt;
        state.placement = m_table.placementView(endpoint, state.profile.affinity.conversation, now, state.constraints);
        state.placedAt = now;
        state.acquiredAt = selection->acquiredAt;
        state.lastReceived = now;
        state.tried.insert(endpoint.id);
        ++state.count.attempts;
        m_metrics.resumptions += state.headSent ? 1 : 0;
        AttemptEnd end = co_await attemptWatched(ex, state, endpoint);
        state.lastEnd = end;
        state.count.runs += mayHaveRun(end) ? 1 : 0;
        const bool suspect = !state.stopping && (end == AttemptEnd::Broken || end == AttemptEnd::Silent) && showsFault(state, endpoint, end);
        if (suspect && !state.cancellation.isCancelled() && !ex.callerDisconnected()) {
            co_await recordBrokenResponse(state.profile, endpoint);
        } else if (end == AttemptEnd::Silent && !state.stopping) {
            const auto executor = co_await asio::this_coro::executor;
            asio::co_spawn(executor, judgeSilence(state.profile, endpoint, state.lastReceived), logTaskFailure("judge a silence", state.profile.id));
        }
        if (state.cancellation.isCancelled() || ex.callerDisconnected()) {
            if (end != AttemptEnd::Delivered) {
                co_await releaseClaim(state);
            }
            end = AttemptEnd::CallerGone;
        }
        const bool willRetry = !state.relayedInParts && mayRetry(route, end, state.count);
        recordAttempt(state, endpoint, end, now, willRetry);
        if (end == AttemptEnd::Delivered || end == AttemptEnd::CallerGone) {
            recordRequest(state, requestEndFor(state, end), state.lastStatus);
            co_return;
        }
        if (state.stopping) {
            recordGiveUp(state, GiveUpReason::Stopping);
            break;
        }
        if (!willRetry) {
            const bool timedOut = Clock::now() >= state.profile.responseDeadline;
            recordGiveUp(state, timedOut ? GiveUpReason::TimedOut : GiveUpReason::AttemptsUsed);
            break;
        }
    }
    co_await answerFailure(ex, state);
}

// Makes one attempt while its endpoint is watched for silence.
template <Dialect D> Task<AttemptEnd> Gateway<D>::attemptWatched(http::Exchange &ex, RequestState &state, Endpoint endpoint)
{
    const auto executor = co_await asio::this_coro::executor;
    state.lastHead = {};
    co_await closeStaleConnections(endpoint);
    AttemptEnd end = AttemptEnd::Broken;
    {
        const AttemptInProgress inProgress(*this, state, endpoint, watchSilence(state, endpoint, executor));
        end = co_await attemptTwice(ex, state, endpoint);
    }
    const bool replaced = state.successor.has_value();
    if ((replaced || state.endpointRestarted || state.stopping) && !ex.callerDisconnected()) {
        state.cancellation = http::Cancellation(); // only the attempt was cancelled, not the request
        state.endpointRestarted = false;
    }
    if (replaced && end == AttemptEnd::Broken) {
        end = AttemptEnd::Silent;
    }
    if (replaced) {
        state.silent.insert(endpoint.id);
    }
    co_return end;
}

// Makes one attempt, with a second send if a keep-alive connection broke.
template <Dialect D> Task<AttemptEnd> Gateway<D>::attemptTwice(http::Exchange &ex, RequestState &state, const Endpoint &endpoint)
{
    bool staleConnection = false;
    const AttemptEnd end = co_await attemptAt(ex, state, endpoint, reuseFor(state, Clock::now()), staleConnection);
    if (staleConnection && !state.cancellation.isCancelled() && !ex.callerDisconnected()) {
        co_await recordBrokenResponse(state.profile, endpoint); // must precede a second send, which hides how the first one ended
    }
    state.sendLost = state.sendLost || staleConnection;
    const auto now = Clock::now();
    const bool mayRepeat = staleConnection && repeatable(*state.profile.route) && !state.cancellation.isCancelled() && !withheld(state.profile, now);
    if (!mayRepeat || !m_table.acquireForResend(endpoint, now)) {
        co_return end;
    }
    state.retryPermit = takeRetryPermit(state.service);
    if (!state.retryPermit) {
        ++m_metrics.retriesDenied;
        co_return end;
    }
    ++m_metrics.retries;
    state.acquiredAt = now;
    // The keep-alive connection was closed during the request; the endpoint itself may be
    // healthy.
    co_return co_await attemptAt(ex, state, endpoint, http::ConnectionReuse::Never, staleConnection);
}

// Sends the final response to a request that no attempt could serve.
template <Dialect D> Task<void> Gateway<D>::answerFailure(http::Exchange &ex, RequestState &state)
{
    co_await releaseClaim(state);
    if (state.headSent) {
        m_metrics.responseCut(state.giveUpReason.value_or(GiveUpReason::AttemptsUsed));
        recordRequest(state, RequestEnd::Cut, 0);
        ex.abort(); // the stream must not look complete to the caller
        co_return;
    }
    if (state.failure) {
        recordRequest(state, RequestEnd::EngineFailed, state.failure->status);
        co_await ex.reply(state.failure->status, std::move(state.failure->body), std::move(state.failure->headers), "");
        co_return;
    }
    const auto now = Clock::now();
    const auto quarantine = withheld(state.profile, now);
    const auto earliestBackOffEnd = m_table.earliestBackOffEnd(state.service, now, state.constraints);
    Rejection why = Rejection::NoEndpoint;
    std::optional<Millis> retryAfter;
    if (state.count.runs > 0 || state.sendLost) {
        why = state.timedOut ? Rejection::TimedOut : Rejection::AnswerLost;
    } else if (state.stopping) {
        why = Rejection::Stopping;
    } else if (quarantine) {
        logWithheld(state.profile, *quarantine);
        why = quarantine->why();
        retryAfter = quarantine->remaining;
    } else if (earliestBackOffEnd) {
        why = Rejection::BackingOff;
        // If the back-off ends after the deadline, only another router can help: that router's
        // requests may be accepted there.
        retryAfter = *earliestBackOffEnd < state.profile.deadline ? std::optional(std::chrono::ceil<Millis>(*earliestBackOffEnd - now)) : std::nullopt;
    } else if (state.count.arrivals > 0) {
        why = Rejection::NotExecuted;
    } else if (state.noEndpointReason) {
        why = rejectionFor(*state.noEndpointReason);
    }
    recordRequest(state, RequestEnd::GivenUp, statusOf(why));
    co_await reject(ex, state.profile.id, why, retryAfter);
}

} // namespace yucca::entry

#include "entry/gateway_admit.h"
#include "entry/gateway_attempt.h"
#include "entry/gateway_crashes.h"
#include "entry/gateway_paths.h"
#include "entry/gateway_place.h"
#include "entry/gateway_silence.h"
#include "entry/gateway_statistics.h"
#include "entry/gateway_streams.h"
