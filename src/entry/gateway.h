// The pipeline of a request through a router: identify, admit, claim, place,
// attempt, relay, account. It knows no interface's words: a dialect reads
// callers' requests and endpoints' answers, and writes what goes to them.
#pragma once

#include "admission.h"
#include "entry/come_back.h"
#include "entry/control.h"
#include "entry/entry_metrics.h"
#include "entry/entry_settings.h"
#include "entry/line_budget.h"
#include "entry/outlier_detector.h"
#include "entry/placement_rules.h"
#include "entry/request_profile.h"
#include "entry/retry_policy.h"
#include "http_client.h"
#include "http_server.h"
#include "idempotency.h"
#include "log.h"
#include "notifier.h"
#include "quarantine.h"
#include "router_core.h"
#include "sse.h"

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

/// What differs between the interfaces that callers and endpoints speak.
template <typename D>
concept Dialect = requires(D d, const http::Exchange &ex, const ConfigurationPtr &configuration, Clock::time_point now, const RequestProfile &profile,
                           const ForwardOptions &options, const http::Response &response, const Endpoint &endpoint, Rejection why, Millis comeBack)
{
    {
        d.identify(ex, configuration, now)
        } -> std::same_as<std::variant<RequestProfile, Rejection>>;
    {
        d.requestId(ex)
        } -> std::same_as<std::string>;
    {
        d.forwarded(ex, profile, options)
        } -> std::same_as<http::Request>;
    {
        d.readHead(response, profile)
        } -> std::same_as<AnswerHead>;
    {
        d.answerHeaders(response, profile, endpoint)
        } -> std::same_as<http::Headers>;
    {
        d.replayHeaders(profile)
        } -> std::same_as<http::Headers>;
    {
        d.rejection(why, comeBack)
        } -> std::same_as<RejectionAnswer>;
    // Another request's answer may stand before the one that is waited for.
    {
        D::answersMayBeLate
        } -> std::convertible_to<bool>;
    // A stream is whole only with its terminal event; else its framing tells.
    {
        D::streamsEndWithMark
        } -> std::convertible_to<bool>;
};

/// How the pipeline waits and tries again.
struct GatewayOptions {
    limits::RetryLimits retries; ///< further arrivals that a service may get from this router
    /// A router that has not heard of the store for so long may lack the newest
    /// routes and keys: one watch of 2 s, its margin and a change's way. Zero: it
    /// always knows.
    Millis outOfDateAfter{3000};
    Millis connectTimeout{300}; ///< an endpoint answers a SYN in about 2 ms; a full backlog drops it for seconds
    double silencePatience = 1.0; ///< of a route's target latency, until a repeatable request goes elsewhere
    double gapPatience = 2.0; ///< of a route's event gap target, until a resumable stream goes elsewhere
    ComeBackOptions comeBack;
    std::size_t routersPerConnectionCap = 16; ///< routers that share an endpoint's connection cap
    /// A request that may run once only goes out on a new connection: a kept
    /// one can be closed by its peer while the request is on its way. Costs a
    /// connection a request.
    bool newConnectionForSingleRuns = false;
    /// For so long after a kept connection to a service broke under a request,
    /// the service's requests that may run once only go out on new ones: its
    /// endpoints have forgotten their idle connections, and more will break.
    Millis keptDistrustedFor{10000};
    std::size_t mostKept = 32; ///< connections kept to an endpoint
    std::size_t mostAnswerBytes = 16 * 1024 * 1024; ///< of an answer that is relayed whole
    /// After an answer broke, until its endpoint is seen to have ended: an entry
    /// lapses after three heartbeats of 1.2 s, and is heard of a second later.
    Millis endingSeenWithin{6000};
    Millis endingPoll{100};
    Millis probeEvery{500}; ///< of one endpoint: connections are dear, and many answers may break
    Millis probeStaysOpenFor{100}; ///< a connection to a proxy whose server is gone is closed within milliseconds
};

/// What a gateway shares with the rest of its process.
struct GatewayParts {
    const Published &published;
    router::RoutingTable &table;
    limits::Admission &admission;
    quarantine::RequestQuarantine &quarantine;
    idempotency::Guard *claims = nullptr; ///< null: no request bears an idempotency key
};

/// Answers callers' requests through the endpoints. Runs on one traffic thread.
template <Dialect D> class Gateway
{
public:
    explicit Gateway(const GatewayParts &parts, GatewayOptions options = {}, D dialect = {})
        : m_published(parts.published)
        , m_table(parts.table)
        , m_admission(parts.admission)
        , m_quarantine(parts.quarantine)
        , m_claims(parts.claims)
        , m_options(options)
        , m_dialect(std::move(dialect))
    {
    }

    /// Answers one request.
    Task<void> handle(http::Exchange &ex);
    /// Puts other limits on retries in force; from the traffic thread.
    void setRetryLimits(const limits::RetryLimits &limits);
    /// Ends attempts at endpoints that have started again since: nothing more
    /// comes of them, also where no reset tells. From the traffic thread.
    void endAttemptsAtRestarted();
    /// What became of the requests so far; from the traffic thread.
    const Metrics &metrics() const
    {
        return m_metrics;
    }
    uint64_t connectionsOpened() const
    {
        return m_client.connectionsOpened();
    }
    /// The counters and histograms as text; from the traffic thread.
    std::string metricsText(Gauges gauges) const
    {
        gauges.connectionsOpened = m_client.connectionsOpened();
        return m_metrics.text(gauges);
    }
    /// From now on new requests are turned away: this router is about to end.
    void turnAway()
    {
        m_turningAway = true;
    }

private:
    /// An engine's own failure, kept in case no other attempt does better.
    struct KeptAnswer {
        unsigned status = 0;
        http::Headers headers;
        std::string body;
    };
    /// A request on its way through one or more attempts.
    struct Flight {
        RequestProfile profile;
        router::Constraints constraints;
        std::string service;
        AttemptCount count;
        std::optional<idempotency::Claim> claim; ///< of its idempotency key
        std::set<std::string> tried;
        http::Cancellation cancellation;
        sse::EventRelay events;
        bool headSent = false; ///< a streamed answer has begun
        bool sendLost = false; ///< sent on a kept connection that broke: it may have run, whatever became of the next send
        bool timedOut = false;
        bool endpointRestarted = false; ///< under the attempt that goes on
        std::string lastEndpoint;
        router::PromptBelief belief; ///< of the prompt at the last endpoint
        std::optional<Endpoint> home; ///< of the prompt, at the last attempt
        unsigned lastStatus = 0; ///< of the last endpoint's own answer
        AnswerHead lastHead; ///< of the last attempt; empty when nothing came back
        int64_t lastLoad = -1; ///< what the last endpoint reported of itself
        std::optional<KeptAnswer> failure;
        std::optional<router::Obstacle> obstacle; ///< why no endpoint could take it at last
        Clock::time_point firstByte{};
    };

    /// An endpoint that may have ended under requests whose answers broke.
    struct EndingWatch {
        std::map<uint64_t, Clock::time_point> brokeAt; ///< when an answer to it broke last, by content
        Clock::time_point probeAt{};
        std::optional<Clock::time_point> probedAt;
        bool replaced = false; ///< another instance answers at its address
    };
    using EndingWatchPtr = std::shared_ptr<EndingWatch>;

    std::variant<RequestProfile, Rejection> identify(const http::Exchange &ex, Clock::time_point now);
    bool outOfDate(Clock::time_point now) const;
    std::optional<Millis> overLimits(const RequestProfile &profile, Clock::time_point now, std::optional<limits::AdmissionSlot> &slot);
    Task<bool> claimKey(http::Exchange &ex, Flight &flight);
    Task<void> settle(idempotency::Claim claim, nlohmann::json record);
    Task<void> releaseClaim(Flight &flight);
    Task<void> reject(http::Exchange &ex, const std::string &id, Rejection why, std::optional<Millis> comeBack = std::nullopt);
    Task<void> attempt(http::Exchange &ex, Flight &flight);
    Task<AttemptEnd> attemptAt(http::Exchange &ex, Flight &flight, const Endpoint &endpoint, http::Reuse reuse, bool &stale);
    Task<AttemptEnd> takeAnswer(http::Exchange &ex, Flight &flight, const Endpoint &endpoint, http::Response &response);
    void takeRefusals(const Endpoint &endpoint, const AnswerHead &head);
    Task<AttemptEnd> relayWhole(http::Exchange &ex, Flight &flight, const Endpoint &endpoint, const AnswerHead &head, http::Response &response);
    Task<AttemptEnd> relayStream(http::Exchange &ex, Flight &flight, const Endpoint &endpoint, http::Response &response);
    Task<void> giveUp(http::Exchange &ex, Flight &flight);
    Clock::time_point headDeadline(const Flight &flight, Clock::time_point now) const;
    limits::RetryBudget &budgetOf(const std::string &service);
    std::string chooseService(const RequestProfile &profile) const;
    router::PromptBelief beliefOf(const Flight &flight, const Endpoint &endpoint, Clock::time_point now) const;
    void noteAttempt(const Flight &flight, const Endpoint &endpoint, AttemptEnd end, Clock::time_point began, bool again);
    static RequestEnd endOf(const Flight &flight, AttemptEnd end);
    bool takeRetry(const std::string &service);
    http::Reuse reuseFor(const Flight &flight, Clock::time_point now) const;
    Task<void> forgetEarlier(const Endpoint &endpoint);
    std::optional<Millis> quarantinedFor(const RequestProfile &profile, Clock::time_point now) const;
    Task<void> noteBroken(uint64_t content, Endpoint endpoint);
    EndingWatch successor(const EndingWatch &watch, Clock::time_point now) const;
    Task<void> watchForEnding(Endpoint endpoint, EndingWatchPtr watch);
    void noteEnding(const Endpoint &endpoint, const EndingWatch &watch);
    void noteLives(const Endpoint &endpoint, const EndingWatch &watch);
    void account(const Flight &flight, RequestEnd end, int64_t status);

    const Published &m_published;
    router::RoutingTable &m_table;
    limits::Admission &m_admission;
    quarantine::RequestQuarantine &m_quarantine;
    idempotency::Guard *m_claims;
    GatewayOptions m_options;
    D m_dialect;
    http::Client m_client;
    std::map<std::string, limits::RetryBudget> m_budgets; ///< by service
    std::map<std::string, OutlierDetector> m_outliers; ///< by service
    std::map<std::string, Clock::time_point> m_keptBrokeAt; ///< by service: the last time that a kept connection broke
    std::map<std::string, int64_t> m_born; ///< by endpoint: the start of the incarnation that was last sent to
    std::map<Flight *, Endpoint> m_attempts; ///< that go on, and where
    std::map<std::string, EndingWatchPtr> m_endingWatches; ///< by incarnation
    Metrics m_metrics;
    LineBudget m_lines;
    std::minstd_rand m_random{std::random_device{}()};
    Clock::time_point m_startedAt = Clock::now();
    std::atomic<bool> m_turningAway{false};
};

/// Milliseconds since a moment, for log lines.
inline int64_t msSince(Clock::time_point then)
{
    return std::chrono::duration_cast<Millis>(Clock::now() - then).count();
}

template <Dialect D> Task<void> Gateway<D>::handle(http::Exchange &ex)
{
    const auto now = Clock::now();
    auto identified = identify(ex, now);
    if (const auto *why = std::get_if<Rejection>(&identified)) {
        co_await reject(ex, m_dialect.requestId(ex), *why);
        co_return;
    }
    Flight flight;
    flight.profile = std::move(std::get<RequestProfile>(identified));
    const auto heldFor = quarantinedFor(flight.profile, now);
    if (heldFor) {
        co_await reject(ex, flight.profile.id, Rejection::Quarantined, heldFor);
        co_return;
    }
    std::optional<limits::AdmissionSlot> slot;
    const auto comeBack = overLimits(flight.profile, now, slot);
    if (comeBack) {
        co_await reject(ex, flight.profile.id, Rejection::OverLimits, comeBack);
        co_return;
    }
    const bool mayRun = co_await claimKey(ex, flight);
    if (!mayRun) {
        co_return;
    }
    flight.service = chooseService(flight.profile);
    flight.constraints = constraintsOf(flight.profile);
    flight.events.startAfter(flight.profile.resumeAfter);
    budgetOf(flight.service).earn(now);
    ex.onCallerGone([&flight] {
        // A claimed request is left to finish: its caller is owed the answer
        // when it asks again with the same key.
        if (!flight.claim) {
            flight.cancellation.fire();
        }
    });
    co_await attempt(ex, flight);
    ex.onCallerGone({});
}

// Tries one endpoint after the other for as long as that is allowed, there
// is time and the service's retry budget lasts.
template <Dialect D> Task<void> Gateway<D>::attempt(http::Exchange &ex, Flight &flight)
{
    const Route &route = *flight.profile.route;
    for (;;) {
        const auto now = Clock::now();
        if (now >= flight.profile.answerBy) {
            flight.timedOut = true;
            break;
        }
        if (quarantinedFor(flight.profile, now)) {
            break; // an endpoint has ended under it meanwhile
        }
        const auto endpoint = m_table.acquire(flight.service, flight.profile.affinity, flight.tried, now, flight.constraints);
        if (!endpoint) {
            flight.obstacle = m_table.obstacle(flight.service, flight.tried, now, flight.constraints);
            break;
        }
        const router::PlacedRequest placed(m_table, *endpoint);
        if (flight.count.arrivals > 0 && !takeRetry(flight.service)) {
            break;
        }
        flight.lastEndpoint = endpoint->id;
        flight.home = sharesPrompt(flight.profile.prompt) ? m_table.homeOf(flight.service, flight.profile.affinity.conversation) : std::nullopt;
        flight.tried.insert(endpoint->id);
        ++flight.count.sends;
        m_metrics.resumptions += flight.headSent ? 1 : 0;
        bool stale = false;
        flight.lastHead = {};
        co_await forgetEarlier(*endpoint);
        m_attempts.insert_or_assign(&flight, *endpoint);
        AttemptEnd end = co_await attemptAt(ex, flight, *endpoint, reuseFor(flight, now), stale);
        if (stale && !flight.cancellation.fired() && !ex.callerGone()) {
            co_await noteBroken(contentKey(flight.profile), *endpoint); // before a second send hides how the first one ended
        }
        flight.sendLost = flight.sendLost || stale;
        const bool mayRepeat = stale && repeatable(route) && !flight.cancellation.fired() && !quarantinedFor(flight.profile, Clock::now());
        if (mayRepeat && m_table.acquireAgain(*endpoint, Clock::now()) && takeRetry(flight.service)) {
            // The kept connection was closed under the request: the endpoint itself may be well.
            end = co_await attemptAt(ex, flight, *endpoint, http::Reuse::Never, stale);
        }
        m_attempts.erase(&flight);
        if (flight.endpointRestarted && !ex.callerGone()) {
            flight.cancellation = http::Cancellation(); // the attempt ended, not the request
            flight.endpointRestarted = false;
        }
        flight.count.runs += mayHaveRun(end) ? 1 : 0;
        if ((end == AttemptEnd::Broken || end == AttemptEnd::Silent) && !flight.cancellation.fired() && !ex.callerGone()) {
            co_await noteBroken(contentKey(flight.profile), *endpoint);
        }
        if (flight.cancellation.fired() || ex.callerGone()) {
            if (end != AttemptEnd::Delivered) {
                co_await releaseClaim(flight);
            }
            end = AttemptEnd::CallerGone;
        }
        const bool again = mayTryAgain(route, end, flight.count);
        noteAttempt(flight, *endpoint, end, now, again);
        if (end == AttemptEnd::Delivered || end == AttemptEnd::CallerGone) {
            account(flight, endOf(flight, end), flight.lastStatus);
            co_return;
        }
        if (!again) {
            flight.timedOut = Clock::now() >= flight.profile.answerBy;
            break;
        }
    }
    co_await giveUp(ex, flight);
}

// The last answer to a request that no attempt could serve.
template <Dialect D> Task<void> Gateway<D>::giveUp(http::Exchange &ex, Flight &flight)
{
    co_await releaseClaim(flight);
    if (flight.headSent) {
        account(flight, RequestEnd::Cut, 0);
        ex.drop(); // what was sent must not look complete
        co_return;
    }
    if (flight.failure) {
        account(flight, RequestEnd::EngineFailed, flight.failure->status);
        co_await ex.reply(flight.failure->status, std::move(flight.failure->body), std::move(flight.failure->headers), "");
        co_return;
    }
    const auto now = Clock::now();
    const auto heldFor = quarantinedFor(flight.profile, now);
    const auto backOffEnds = m_table.backOffEnds(flight.service, now, flight.constraints);
    Rejection why = Rejection::NoEndpoint;
    std::optional<Millis> comeBack;
    if (flight.count.runs > 0 || flight.sendLost) {
        why = flight.timedOut ? Rejection::TimedOut : Rejection::AnswerLost;
    } else if (heldFor) {
        why = Rejection::Quarantined;
        comeBack = heldFor;
    } else if (backOffEnds) {
        why = Rejection::BackingOff;
        // Later than that, only another router can help: it may be welcome there.
        comeBack = *backOffEnds < flight.profile.deadline ? std::optional(std::chrono::ceil<Millis>(*backOffEnds - now)) : std::nullopt;
    } else if (flight.count.arrivals > 0) {
        why = Rejection::NotExecuted;
    } else if (flight.obstacle) {
        why = rejectionFor(*flight.obstacle);
    }
    account(flight, RequestEnd::GivenUp, statusOf(why));
    co_await reject(ex, flight.profile.id, why, comeBack);
}

} // namespace yucca::entry

#include "entry/gateway_account.h"
#include "entry/gateway_admit.h"
#include "entry/gateway_attempt.h"
#include "entry/gateway_endings.h"
#include "entry/gateway_place.h"
