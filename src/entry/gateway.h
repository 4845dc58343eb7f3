// The pipeline of a request through an entry router: identify, place,
// attempt, relay, account. It knows no interface's words: a dialect reads
// callers' requests and endpoints' answers, and writes what goes to them.
#pragma once

#include "admission.h"
#include "entry/control.h"
#include "entry/entry_metrics.h"
#include "entry/entry_settings.h"
#include "entry/line_budget.h"
#include "entry/outlier_detector.h"
#include "entry/prompt_holders.h"
#include "entry/request_profile.h"
#include "entry/retry_policy.h"
#include "http_client.h"
#include "http_server.h"
#include "log.h"
#include "router_core.h"
#include "sse.h"

#include <atomic>
#include <concepts>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>

namespace yucca::entry
{

/// What differs between the interfaces that callers and endpoints speak.
template <typename D>
concept Dialect = requires(const http::Exchange &ex, const ConfigurationPtr &configuration, Clock::time_point now, const RequestProfile &profile,
                           const ForwardOptions &options, const http::Response &response, Rejection why, Millis comeBack)
{
    {
        D::identify(ex, configuration, now)
        } -> std::same_as<std::variant<RequestProfile, Rejection>>;
    {
        D::requestId(ex)
        } -> std::same_as<std::string>;
    {
        D::forwarded(ex, profile, options)
        } -> std::same_as<http::Request>;
    {
        D::readHead(response, profile)
        } -> std::same_as<AnswerHead>;
    {
        D::rejectionHeaders(why, comeBack)
        } -> std::same_as<http::Headers>;
};

/// How the pipeline waits.
struct GatewayOptions {
    Millis connectTimeout{300}; ///< an endpoint answers a SYN in about 2 ms; a full backlog drops it for seconds
    double silencePatience = 1.0; ///< of a route's target latency, until a repeatable request goes elsewhere
    double gapPatience = 2.0; ///< of a route's event gap target, until a resumable stream goes elsewhere
    Millis newlyJoined{15000}; ///< an endpoint that joined so lately does not yet hold what its place would make it hold
    Millis comeBackAfter{100}; ///< told to callers that are turned away for now
    std::size_t routersPerConnectionCap = 16; ///< routers that share an endpoint's connection cap
    std::size_t mostKept = 32; ///< connections kept to an endpoint
    std::size_t mostAnswerBytes = 16 * 1024 * 1024; ///< of an answer that is relayed whole
};

/// Answers callers' requests through the endpoints. Runs on the traffic thread.
template <Dialect D> class Gateway
{
public:
    Gateway(const Settings &settings, const Published &published, router::RoutingTable &table, GatewayOptions options = {})
        : m_settings(settings)
        , m_published(published)
        , m_table(table)
        , m_options(options)
    {
    }

    /// Answers one request.
    Task<void> handle(http::Exchange &ex);
    /// Takes over settings that were read anew; from the traffic thread.
    void applySettings(const Settings &settings);
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
        std::string service;
        AttemptCount count;
        std::set<std::string> tried;
        http::Cancellation cancellation;
        sse::EventRelay events;
        bool headSent = false; ///< a streamed answer has begun
        bool timedOut = false;
        std::string lastEndpoint;
        std::string holder; ///< where the last endpoint was told to fetch the read prompt from
        bool atHome = false; ///< the last endpoint is the prompt's home
        unsigned lastStatus = 0; ///< of the last endpoint's own answer
        int64_t lastLoad = -1; ///< what the last endpoint reported of itself
        std::optional<KeptAnswer> failure;
        Clock::time_point firstByte{};
    };

    Task<void> reject(http::Exchange &ex, const std::string &id, Rejection why);
    Task<void> attempt(http::Exchange &ex, Flight &flight);
    Task<AttemptEnd> attemptAt(http::Exchange &ex, Flight &flight, const Endpoint &endpoint, http::Reuse reuse, bool &stale);
    Task<AttemptEnd> takeAnswer(http::Exchange &ex, Flight &flight, const Endpoint &endpoint, http::Response &response);
    Task<AttemptEnd> relayWhole(http::Exchange &ex, Flight &flight, const AnswerHead &head, http::Response &response);
    Task<AttemptEnd> relayStream(http::Exchange &ex, Flight &flight, http::Response &response);
    Task<void> giveUp(http::Exchange &ex, Flight &flight);
    Clock::time_point headDeadline(const Flight &flight, Clock::time_point now) const;
    limits::RetryBudget &budgetOf(const std::string &service);
    std::string chooseService(const RequestProfile &profile) const;
    placement::Affinity affinityOf(const RequestProfile &profile) const;
    std::optional<Endpoint> promptHolder(const Flight &flight, const Endpoint &endpoint, Clock::time_point now);
    void noteAttempt(const Flight &flight, const Endpoint &endpoint, AttemptEnd end, Clock::time_point began, bool again);
    static RequestEnd endOf(const Flight &flight, AttemptEnd end);
    bool takeRetry(const std::string &service);
    void account(const Flight &flight, RequestEnd end, int64_t status);

    Settings m_settings;
    const Published &m_published;
    router::RoutingTable &m_table;
    GatewayOptions m_options;
    http::Client m_client;
    std::map<std::string, limits::RetryBudget> m_budgets; ///< by service
    std::map<std::string, OutlierDetector> m_outliers; ///< by service
    PromptHolders m_holders;
    Metrics m_metrics;
    LineBudget m_lines;
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
    const auto configuration = m_published.configuration();
    if (!m_published.ready() || m_turningAway) {
        co_await reject(ex, D::requestId(ex), m_turningAway ? Rejection::Stopping : Rejection::NotLoaded);
        co_return;
    }
    auto identified = D::identify(ex, configuration, now);
    if (const auto *why = std::get_if<Rejection>(&identified)) {
        co_await reject(ex, D::requestId(ex), *why);
        co_return;
    }
    Flight flight;
    flight.profile = std::move(std::get<RequestProfile>(identified));
    flight.service = chooseService(flight.profile);
    flight.events.startAfter(flight.profile.resumeAfter);
    budgetOf(flight.service).earn();
    ex.onCallerGone([&flight] {
        // A request that may run only once is left to finish once it is sent:
        // half of its effect is worse than one that nobody waits for.
        const bool finishes = flight.profile.route->kind == RequestKind::NonIdempotent && flight.count.arrivals > 0;
        if (!finishes) {
            flight.cancellation.fire();
        }
    });
    co_await attempt(ex, flight);
    ex.onCallerGone({});
}

template <Dialect D> Task<void> Gateway<D>::reject(http::Exchange &ex, const std::string &id, Rejection why)
{
    const unsigned status = statusOf(why);
    m_metrics.rejected(why);
    if (m_lines.take(true, Clock::now())) {
        const auto configuration = m_published.configuration();
        log::Line{log::Event::RequestRejected}
            .add("id", id)
            .add("why", nameOf(rejectionNames, why))
            .add("status", static_cast<int64_t>(status))
            .add("config", configuration ? configuration->version : -1);
    }
    const auto headers = D::rejectionHeaders(why, m_options.comeBackAfter);
    const std::string body(nameOf(rejectionNames, why));
    co_await ex.reply(status, body, headers, "text/plain");
}

// Tries one endpoint after the other for as long as that is allowed, there
// is time and the service's retry budget lasts.
template <Dialect D> Task<void> Gateway<D>::attempt(http::Exchange &ex, Flight &flight)
{
    const Route &route = *flight.profile.route;
    const auto affinity = affinityOf(flight.profile);
    for (;;) {
        const auto now = Clock::now();
        if (now >= flight.profile.answerBy) {
            flight.timedOut = true;
            break;
        }
        if (flight.count.arrivals > 0 && !takeRetry(flight.service)) {
            break;
        }
        const auto endpoint = m_table.acquire(flight.service, affinity, flight.tried, now);
        if (!endpoint) {
            break;
        }
        const router::PlacedRequest placed(m_table, *endpoint);
        flight.lastEndpoint = endpoint->id;
        const auto home = sharesPrompt(flight.profile.prompt) ? m_table.homeOf(flight.service, affinity.conversation, "") : std::nullopt;
        flight.atHome = home && home->id == endpoint->id;
        flight.tried.insert(endpoint->id);
        ++flight.count.sends;
        bool stale = false;
        AttemptEnd end = co_await attemptAt(ex, flight, *endpoint, http::Reuse::Kept, stale);
        if (stale && repeatable(route) && !flight.cancellation.fired() && takeRetry(flight.service)) {
            // The kept connection was closed under the request: the endpoint itself may be well.
            end = co_await attemptAt(ex, flight, *endpoint, http::Reuse::Never, stale);
        }
        if (flight.cancellation.fired() || ex.callerGone()) {
            end = AttemptEnd::CallerGone;
        }
        flight.count.runs += mayHaveRun(end) ? 1 : 0;
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
    Rejection why = Rejection::NoEndpoint;
    if (flight.count.runs > 0) {
        why = flight.timedOut ? Rejection::TimedOut : Rejection::AnswerLost;
    } else if (flight.count.arrivals > 0) {
        why = Rejection::NotExecuted;
    }
    account(flight, RequestEnd::GivenUp, statusOf(why));
    co_await reject(ex, flight.profile.id, why);
}

// Until when an endpoint may take to begin its answer: a repeatable request
// that has an attempt left does not wait for a silent endpoint to the end.
template <Dialect D> Clock::time_point Gateway<D>::headDeadline(const Flight &flight, Clock::time_point now) const
{
    const Route &route = *flight.profile.route;
    const auto end = flight.profile.answerBy;
    if (!repeatable(route) || flight.count.runs + 1 >= route.maxAttempts) {
        return end;
    }
    const auto patience = Millis(static_cast<int64_t>(static_cast<double>(route.targetLatency.count()) * m_options.silencePatience));
    return std::min(now + patience, now + (end - now) / 2);
}

// Sends the request to one endpoint and relays its answer. Sets stale when a
// kept connection broke before anything came back on it.
template <Dialect D> Task<AttemptEnd> Gateway<D>::attemptAt(http::Exchange &ex, Flight &flight, const Endpoint &endpoint, http::Reuse reuse, bool &stale)
{
    const auto now = Clock::now();
    const auto *service = flight.profile.configuration->service(flight.service);
    http::CallOptions options;
    options.deadline = headDeadline(flight, now);
    options.reuse = reuse;
    options.cancellation = &flight.cancellation;
    options.connectTimeout = m_options.connectTimeout;
    const std::size_t share = service ? static_cast<std::size_t>(service->maxConnections) / m_options.routersPerConnectionCap : 1;
    options.mostKept = std::clamp<std::size_t>(share, 2, m_options.mostKept);
    const auto left = std::chrono::duration_cast<Millis>(flight.profile.answerBy - now);
    ForwardOptions forward{endpoint, left, flight.events.lastId(), promptHolder(flight, endpoint, now)};
    flight.holder = forward.promptHolder ? forward.promptHolder->id : "";
    auto request = D::forwarded(ex, flight.profile, forward);
    const http::Address address{endpoint.host, endpoint.port};
    stale = false;
    auto opened = co_await m_client.open(address, std::move(request), options);
    if (const auto *error = std::get_if<http::CallError>(&opened)) {
        if (error->stage == http::CallStage::Connect) {
            m_table.suspect(endpoint.id, Clock::now());
            co_return AttemptEnd::Unreached;
        }
        ++flight.count.arrivals;
        stale = error->reused && Clock::now() < options.deadline;
        co_return Clock::now() >= options.deadline ? AttemptEnd::Silent : AttemptEnd::Broken;
    }
    ++flight.count.arrivals;
    auto &response = *std::get<std::unique_ptr<http::Response>>(opened);
    co_return co_await takeAnswer(ex, flight, endpoint, response);
}

// Judges the head of an answer and relays what belongs to the caller. An
// answer to another request may stand before this one's on the connection.
template <Dialect D> Task<AttemptEnd> Gateway<D>::takeAnswer(http::Exchange &ex, Flight &flight, const Endpoint &endpoint, http::Response &response)
{
    constexpr int mostForeignAnswers = 3;
    AnswerHead head = D::readHead(response, flight.profile);
    for (int foreign = 0; !head.ownAnswer && !head.notExecuted && !head.wrongInstance; ++foreign) {
        log::Line{log::Event::AnswerMismatched}.add("id", flight.profile.id).add("endpoint", endpoint.id);
        if (foreign == mostForeignAnswers) {
            co_return AttemptEnd::Broken;
        }
        const auto failed = co_await response.skipToNext();
        if (failed) {
            co_return AttemptEnd::Broken;
        }
        head = D::readHead(response, flight.profile);
    }
    m_table.recovered(endpoint.id);
    flight.lastLoad = head.load;
    if (head.load >= 0) {
        m_table.reported(endpoint.id, head.load, Clock::now());
    }
    if (head.wrongInstance) {
        m_table.setDraining(endpoint.id, true);
        co_return AttemptEnd::NotExecuted;
    }
    if (head.notExecuted) {
        co_return AttemptEnd::NotExecuted;
    }
    if (!head.authentic) {
        co_return AttemptEnd::Broken;
    }
    flight.firstByte = Clock::now();
    flight.lastStatus = head.status;
    if (sharesPrompt(flight.profile.prompt)) {
        m_holders.note(promptKey(flight.profile.prompt), endpoint, flight.firstByte);
    }
    const bool streams = flight.profile.route->kind == RequestKind::Stream && head.status == 200;
    // GCC 12 evaluates both arms of a conditional with co_await in each.
    if (streams) {
        co_return co_await relayStream(ex, flight, response);
    }
    co_return co_await relayWhole(ex, flight, head, response);
}

// Takes an answer whole before any of it goes on, so that one that breaks
// off can still be asked for elsewhere.
template <Dialect D> Task<AttemptEnd> Gateway<D>::relayWhole(http::Exchange &ex, Flight &flight, const AnswerHead &head, http::Response &response)
{
    auto headers = response.endToEndHeaders();
    response.setDeadline(flight.profile.answerBy);
    std::string body;
    for (bool more = true; more;) {
        auto read = co_await response.read();
        if (std::holds_alternative<http::CallError>(read)) {
            co_return Clock::now() >= flight.profile.answerBy ? AttemptEnd::Silent : AttemptEnd::Broken;
        }
        const auto &bytes = std::get<std::string>(read);
        more = !bytes.empty();
        body += bytes;
        if (body.size() > m_options.mostAnswerBytes) {
            co_return AttemptEnd::Broken;
        }
    }
    if (flight.headSent) {
        co_return AttemptEnd::EngineFailed; // it cannot go on with the stream
    }
    if (head.status >= 500 && repeatable(*flight.profile.route)) {
        flight.failure = KeptAnswer{head.status, std::move(headers), std::move(body)};
        co_return AttemptEnd::EngineFailed;
    }
    co_await ex.reply(head.status, std::move(body), std::move(headers), "");
    co_return AttemptEnd::Delivered;
}

// Relays a stream event by event as they arrive.
template <Dialect D> Task<AttemptEnd> Gateway<D>::relayStream(http::Exchange &ex, Flight &flight, http::Response &response)
{
    const Route &route = *flight.profile.route;
    if (!flight.headSent) {
        flight.headSent = true;
        auto headers = response.endToEndHeaders();
        co_await ex.beginStream(response.status(), "", std::move(headers));
    }
    const auto patience = Millis(static_cast<int64_t>(static_cast<double>(route.eventGapTarget.count()) * m_options.gapPatience));
    const bool mayResume = repeatable(route) && flight.count.runs + 1 < route.maxAttempts;
    for (;;) {
        response.setDeadline(mayResume ? std::min(flight.profile.answerBy, Clock::now() + patience) : flight.profile.answerBy);
        auto read = co_await response.read();
        if (ex.callerGone()) {
            co_return AttemptEnd::CallerGone;
        }
        if (std::holds_alternative<http::CallError>(read)) {
            flight.events.runEnded();
            co_return AttemptEnd::Broken;
        }
        const auto &bytes = std::get<std::string>(read);
        if (bytes.empty()) {
            break;
        }
        std::string whole;
        for (auto &event : flight.events.push(bytes)) {
            whole += event;
        }
        if (!whole.empty()) {
            const bool delivered = co_await ex.sendChunk(std::move(whole));
            if (!delivered) {
                co_return AttemptEnd::CallerGone;
            }
        }
        if (flight.events.gap()) {
            co_return AttemptEnd::Broken;
        }
    }
    if (flight.events.midEvent()) {
        flight.events.runEnded();
        co_return AttemptEnd::Broken; // it ended in the middle of an event
    }
    co_await ex.endStream();
    co_return AttemptEnd::Delivered;
}

template <Dialect D> limits::RetryBudget &Gateway<D>::budgetOf(const std::string &service)
{
    const auto it = m_budgets.find(service);
    if (it != m_budgets.end()) {
        return it->second;
    }
    const double reserve = static_cast<double>(m_settings.retrySlack) / static_cast<double>(m_options.routersPerConnectionCap);
    return m_budgets.try_emplace(service, m_settings.retryRatio, reserve).first->second;
}

// A split route's requests are dealt by their affinity key, so that requests
// that share a prompt stay together; without one, by their id.
template <Dialect D> std::string Gateway<D>::chooseService(const RequestProfile &profile) const
{
    const auto &ways = profile.route->destinations;
    if (ways.size() == 1) {
        return ways.front().service;
    }
    double total = 0;
    for (const auto &way : ways) {
        total += way.weight;
    }
    const double unit = static_cast<double>(ring::hash(profile.id) >> 11) * 0x1.0p-53;
    double at = unit * total;
    for (const auto &way : ways) {
        at -= way.weight;
        if (at < 0) {
            return way.service;
        }
    }
    return ways.empty() ? std::string() : ways.back().service;
}

// Requests that share their prompt up to their own last part have one home.
template <Dialect D> placement::Affinity Gateway<D>::affinityOf(const RequestProfile &profile) const
{
    const uint64_t key = sharesPrompt(profile.prompt) ? promptKey(profile.prompt) : ring::hash(profile.id);
    return {key, key};
}

// Another endpoint that likely holds the prompt, when the one it goes to
// likely does not: the one this router last sent it to; else the prompt's
// home; for an endpoint that is the home because it has just joined, the
// home before that.
template <Dialect D> std::optional<Endpoint> Gateway<D>::promptHolder(const Flight &flight, const Endpoint &endpoint, Clock::time_point now)
{
    if (!sharesPrompt(flight.profile.prompt)) {
        return std::nullopt;
    }
    const uint64_t prompt = promptKey(flight.profile.prompt);
    const auto last = m_holders.find(prompt, now);
    const auto alive = last ? m_table.find(last->id, now) : std::nullopt;
    if (alive) {
        return alive->id == endpoint.id ? std::nullopt : alive;
    }
    const auto home = m_table.homeOf(flight.service, prompt, "");
    if (home && home->id != endpoint.id) {
        return home;
    }
    if (now - m_table.joinedAt(endpoint.id) > m_options.newlyJoined) {
        return std::nullopt;
    }
    return m_table.homeOf(flight.service, prompt, endpoint.id);
}

// What became of a request whose last attempt needed no other.
template <Dialect D> RequestEnd Gateway<D>::endOf(const Flight &flight, AttemptEnd end)
{
    if (end == AttemptEnd::CallerGone) {
        return RequestEnd::CallerGone;
    }
    return flight.lastStatus >= 500 ? RequestEnd::EngineFailed : RequestEnd::Delivered;
}

// Takes one further arrival at a service from its budget.
template <Dialect D> bool Gateway<D>::takeRetry(const std::string &service)
{
    const bool taken = budgetOf(service).spend();
    ++(taken ? m_metrics.retries : m_metrics.retriesDenied);
    return taken;
}

// Learns from an attempt's end, and logs one that did not deliver.
template <Dialect D> void Gateway<D>::noteAttempt(const Flight &flight, const Endpoint &endpoint, AttemptEnd end, Clock::time_point began, bool again)
{
    const auto now = Clock::now();
    m_metrics.attemptEnded(end);
    if (end != AttemptEnd::CallerGone) {
        const bool failed = end != AttemptEnd::Delivered || flight.lastStatus >= 500;
        const auto ejection = m_outliers[flight.service].record(endpoint.id, failed, m_table.poolSize(flight.service), now);
        if (ejection) {
            ++m_metrics.ejections;
            m_table.eject(endpoint.id, ejection->until);
            log::Line{log::Event::EndpointEjected}
                .add("endpoint", endpoint.id)
                .add("service", flight.service)
                .add("for_ms", std::chrono::duration_cast<Millis>(ejection->until - now).count())
                .add("failing_pct", static_cast<int64_t>(100 * ejection->rate))
                .add("others_pct", static_cast<int64_t>(100 * ejection->othersRate));
        }
    }
    if (end != AttemptEnd::Delivered && m_lines.take(true, now)) {
        log::Line{log::Event::AttemptEnded}
            .add("id", flight.profile.id)
            .add("endpoint", endpoint.id)
            .add("end", nameOf(attemptEndNames, end))
            .add("ms", msSince(began))
            .add("events", static_cast<int64_t>(flight.events.lastId()))
            .add("again", again);
    }
}

template <Dialect D> void Gateway<D>::applySettings(const Settings &settings)
{
    m_settings = settings;
    m_budgets.clear(); // made anew with the new ratio and slack
}

// Counts a request's end and logs its one line.
template <Dialect D> void Gateway<D>::account(const Flight &flight, RequestEnd end, int64_t status)
{
    const auto &p = flight.profile;
    const auto now = Clock::now();
    const auto seconds = [&](Clock::time_point t) {
        return std::chrono::duration<double>(t - p.arrived).count();
    };
    const double firstByte = flight.firstByte == Clock::time_point{} ? -1 : seconds(flight.firstByte);
    m_metrics.requestEnded(p.route->kind, end, seconds(now), firstByte);
    if (!m_lines.take(end != RequestEnd::Delivered, now)) {
        return;
    }
    log::Line{log::Event::RequestFinished}
        .add("id", p.id)
        .add("end", nameOf(requestEndNames, end))
        .add("status", status)
        .add("route", p.route->name)
        .add("service", flight.service)
        .add("workspace", p.workspace)
        .add("config", p.configuration->version)
        .add("endpoint", flight.lastEndpoint)
        .add("load", flight.lastLoad)
        .add("at_home", flight.atHome)
        .add("holder", flight.holder)
        .add("sends", int64_t{flight.count.sends})
        .add("runs", int64_t{flight.count.runs})
        .add("events", static_cast<int64_t>(flight.events.lastId()))
        .add("first_ms", static_cast<int64_t>(firstByte * 1000))
        .add("ms", msSince(p.arrived));
}

} // namespace yucca::entry
