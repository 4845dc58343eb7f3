#include "soak/fleet.h"
#include "soak/layout.h"
#include "soak/redirects.h"

#include <boost/asio/detached.hpp>

#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>

namespace yucca::soak
{

namespace
{

constexpr Millis settleTimeAfterFaults{4000}; ///< after the last fault, before service must be normal again
constexpr Millis startTimeout{15000};
constexpr Millis startTimeoutPerProgram{200}; ///< added to startTimeout
const emulators::RetryAllowance retryAllowance{0.2, 90, Millis(10000)};
constexpr double coldDurationS = 2.0; ///< of an endpoint that was restarted
constexpr double coldRequestsPerS = 8;
constexpr int maxColdRequests = 17; ///< in any second; the routers' settings allow 1.5 times coldRequestsPerS, plus 5

nlohmann::json route(const char *name, const char *kind, const char *service, int attempts, bool resumable, Millis timeout)
{
    return {{"name", name},
            {"host", "h.example"},
            {"path_prefix", std::string("/") + name + "/"},
            {"kind", kind},
            {"timeout_ms", timeout.count()},
            {"target_latency_ms", 300},
            {"gap_aim_ms", 400},
            {"priority", 1},
            {"service", service},
            {"max_attempts", attempts},
            {"resumable", resumable}};
}

nlohmann::json configuration(int version, Millis timeout)
{
    const nlohmann::json routes{route("book", "non_idempotent", "s", 1, false, timeout), route("remind", "idempotent", "s", 2, false, timeout),
                                route("chat", "streaming", "m", 2, true, timeout), route("once", "streaming", "m", 1, false, timeout)};
    const nlohmann::json services{
        {{"name", "s"}, {"max_conns", 100}, {"cold_start_s", coldDurationS}, {"cold_per_s", coldRequestsPerS}},
        {{"name", "m"}, {"max_conns", 360}, {"cold_start_s", coldDurationS}, {"cold_per_s", coldRequestsPerS}, {"engine", {{"slots", 64}}}}};
    const nlohmann::json workspace{{"name", "north"}, {"api_keys", {apiKeyFor(version)}}, {"priority", 1}};
    const nlohmann::json limits{{"max_header_bytes", 16384}, {"max_body_bytes", 1048576}, {"header_timeout_ms", 3000}, {"idle_timeout_ms", 15000}};
    return {{"version", version}, {"routes", routes}, {"services", services}, {"limits", limits}, {"tenants", nlohmann::json::array({workspace})}};
}

// Returns true for a fault of a router, of a router's connection to the store, or of the store.
bool disturbsRoutersOrStore(Fault fault)
{
    switch (fault) {
    case Fault::RouterKilled:
    case Fault::RouterPaused:
    case Fault::RouterStopped:
    case Fault::StoreDisturbed:
    case Fault::StoreDown:
    case Fault::StoreSlow:
    case Fault::StoreLosesAnswers:
    case Fault::StoreForgets:
    case Fault::StoreRestored:
    case Fault::PowerLost:
    case Fault::RouterCutOff:
    case Fault::DomainCutOff:
    case Fault::AllRoutersKilled:
        return true;
    default:
        return false;
    }
}

} // namespace

SoakFleet::SoakFleet(SoakOptions options)
    : m_options(std::move(options))
    , m_invariants(eventsPerStream)
    , m_endings({m_options.plan.pauses ? pausePlanRouteTimeout : routeTimeout, routerStopGrace})
    , m_routers(m_options.plan.routers)
    , m_endpoints(m_options.plan.endpoints)
{
}

SoakOutcome SoakFleet::run()
{
    std::filesystem::create_directories(m_options.directory);
    bool done = false;
    asio::co_spawn(m_loop, runSoak(), [&](std::exception_ptr failure, bool) {
        done = !failure;
        m_loop.stop();
    });
    m_loop.run();
    readRunLogs();
    SoakOutcome outcome;
    outcome.sent = m_invariants.sent();
    outcome.served = m_invariants.served();
    outcome.faults = m_faultCount;
    outcome.crashes = m_requestCrashes.crashes.size() + m_partCrashes.crashes.size();
    outcome.resumptions = m_resumptions;
    outcome.resumed = m_resumed;
    outcome.violations = m_invariants.violations();
    readArrivalLogs();
    checkRetries(outcome);
    const auto lost = m_endings.lost();
    outcome.lost = lost.size();
    outcome.timedOut = m_endings.timedOut();
    outcome.onKeptConnections = m_onKeptConnections;
    if (m_options.plan.pauses) {
        outcome.violations.insert(outcome.violations.end(), lost.begin(), lost.end());
    }
    outcome.violations.insert(outcome.violations.end(), m_violations.begin(), m_violations.end());
    if (!done) {
        outcome.violations.emplace_back("the soak test ended before its checks were complete");
    }
    return outcome;
}

Task<bool> SoakFleet::runSoak()
{
    const bool started = co_await startFleet();
    if (!started) {
        m_violations.emplace_back("the fleet did not start");
        co_return false;
    }
    for (int i = 0; i < m_options.callers; ++i) {
        asio::co_spawn(m_loop, runCaller(i), asio::detached);
    }
    asio::co_spawn(m_loop, runEndpointRestarts(), asio::detached);
    co_await applyPlan();
    co_await sleepFor(settleTimeAfterFaults);
    m_stopping = true;
    while (m_activeCallers > 0) {
        co_await sleepFor(pollInterval);
    }
    checkRouterExits();
    checkBackOff();
    checkCutOffService();
    co_await checkServiceAfterFaults();
    if (m_options.plan.pauses) {
        co_return true;
    }
    co_await checkCrashLimit();
    co_await checkEvacuation();
    co_await checkLastRouter();
    co_return true;
}

std::string SoakFleet::settingsFor(std::size_t n) const
{
    const auto at = [&](int offset) {
        return "127.0.0.1:" + std::to_string(routerPort(n, offset));
    };
    const nlohmann::json settings{{"interface", "platform"},
                                  {"id", "router-" + std::to_string(n)},
                                  {"failureDomain", "zone-" + std::to_string(n % routerDomains)},
                                  {"traffic", at(0)},
                                  {"readiness", at(1)},
                                  {"metrics", at(2)},
                                  {"peers", at(3)},
                                  {"store", at(5)},
                                  {"retryRatio", retryAllowance.ratio},
                                  {"retrySlack", retryAllowance.slack},
                                  {"retryWindowS", static_cast<double>(retryAllowance.window.count()) / 1000},
                                  {"evacuationBoundMs", 3000},
                                  {"stopGraceS", routerStopGrace.count() / 1000}};
    return settings.dump();
}

void SoakFleet::writeSettings(std::size_t n, const std::string &text) const
{
    std::ofstream(m_routers[n].settingsFile) << text;
}

void SoakFleet::startRouter(std::size_t n)
{
    auto &router = m_routers[n];
    const std::string name = m_options.directory + "/router-" + std::to_string(n);
    router.settingsFile = name + ".json";
    writeSettings(n, settingsFor(n));
    if (!router.process) {
        router.process =
            std::make_unique<Child>(std::vector<std::string>{m_options.programs + "/yucca-router-redirected", "--config", router.settingsFile}, name + ".jsonl",
                                    std::vector<std::string>{std::string(redirectsVariable) + "=" + m_pathCuts->redirectsFile(n)});
    }
    const auto started = router.process->start();
    if (!ok(started)) {
        m_violations.push_back(std::get<Error>(started).message);
    }
    router.stopped = false;
    ++router.generation;
}

// Starts a new instance on the same port, under a new id, as the platform does.
void SoakFleet::startEndpoint(std::size_t n)
{
    auto &endpoint = m_endpoints[n];
    const std::string name = "i-" + std::to_string(n) + "-" + std::to_string(++endpoint.startCount);
    const bool streams = serviceOfEndpoint(n) == streamService;
    // In a pause plan, neighbours of a service run different versions, so that a silent endpoint is often the only one of its version.
    const int firstVersion = static_cast<int>(m_options.plan.pauses ? n / 2 : n / 4);
    std::vector<std::string> command{m_options.programs + "/yucca-endpoint",
                                     "--id",
                                     name,
                                     "--service",
                                     serviceOfEndpoint(n),
                                     "--port",
                                     std::to_string(endpointPort(n, 0)),
                                     "--store-port",
                                     std::to_string(port(storePortOffset)),
                                     "--zone",
                                     domainNameOf(n),
                                     "--cold-ms",
                                     std::to_string(endpoint.startCount == 1 ? 0 : static_cast<int>(coldDurationS * 1000)),
                                     "--cold-most",
                                     std::to_string(maxColdRequests),
                                     "--advertise",
                                     std::to_string(endpointPort(n, 1)),
                                     "--ends-under",
                                     crashingBody,
                                     "--ends-on-part",
                                     crashingPart,
                                     "--software-version",
                                     softwareVersion((firstVersion + endpoint.releases) % softwareVersions, m_options.plan.seed),
                                     "--events",
                                     std::to_string(eventsPerStream),
                                     "--rest-log",
                                     m_options.directory + "/rests-" + std::to_string(n),
                                     "--run-log",
                                     m_options.directory + "/runs-" + std::to_string(n),
                                     "--arrival-log",
                                     m_options.directory + "/arrivals-" + std::to_string(n)};
    if (streams) {
        command.emplace_back("--streams");
    }
    if (m_options.plan.pauses) {
        command.insert(command.end(),
                       {"--event-gap-ms", std::to_string(pausePlanEventGap.count()), "--last-responses-ms", std::to_string(pausePlanRouteTimeout.count())});
    }
    endpoint.process = std::make_unique<Child>(std::move(command), m_options.directory + "/endpoint-" + std::to_string(n) + ".log");
    const auto started = endpoint.process->start();
    if (!ok(started)) {
        m_violations.push_back(std::get<Error>(started).message);
    }
    endpoint.stopped = false;
}

Task<bool> SoakFleet::startFleet()
{
    const std::string settings = m_options.directory + "/store.json";
    std::ofstream(settings) << R"({"pageEntries": 3, "replicaLagMs": 5000})"; // lists of several pages
    m_store = std::make_unique<Child>(
        std::vector<std::string>{m_options.programs + "/yucca-platform", "--config", settings, "--port", std::to_string(port(storePortOffset))},
        m_options.directory + "/store.log");
    const auto started = m_store->start();
    if (!ok(started)) {
        co_return false;
    }
    const auto until = Clock::now() + startTimeout + startTimeoutPerProgram * (m_routers.size() + m_endpoints.size());
    while (m_acceptedVersion == 0 && Clock::now() < until) {
        co_await sleepFor(pollInterval);
        co_await writeConfiguration();
    }
    for (std::size_t n = 0; n < m_endpoints.size(); ++n) {
        m_endpoints[n].proxy = std::make_unique<Proxy>(m_loop, endpointPort(n, 1), endpointPort(n, 0));
        startEndpoint(n);
    }
    const auto firstPathPort = endpointPort(m_endpoints.size(), 0);
    PathPorts paths{firstPathPort, {}};
    for (std::size_t n = 0; n < m_endpoints.size(); ++n) {
        paths.endpoints.push_back(endpointPort(n, 1));
    }
    m_pathCuts = std::make_unique<PathCuts>(m_loop, cuttableRouters(), std::move(paths), m_options.directory);
    for (std::size_t n = 0; n < m_routers.size(); ++n) {
        m_routers[n].callerProxy = std::make_unique<Proxy>(m_loop, routerPort(n, 4), routerPort(n, 0));
        m_routers[n].storeProxy = std::make_unique<Proxy>(m_loop, routerPort(n, 5), port(storePortOffset));
        startRouter(n);
    }
    for (std::size_t n = 0; n < m_routers.size(); ++n) {
        unsigned status = 0;
        while (status != 200 && Clock::now() < until) {
            co_await sleepFor(pollInterval);
            status = co_await probe(n, apiKeyFor(m_acceptedVersion));
        }
    }
    co_return Clock::now() < until;
}

// Writes the next version of the configuration, with another API key. Returns false when the store did not confirm
// the write, which may have taken effect all the same.
Task<bool> SoakFleet::writeConfiguration()
{
    const int version = ++m_configurationVersion;
    const bool accepted = co_await putConfiguration(version);
    if (accepted) {
        m_acceptedVersion = version;
    }
    co_return accepted;
}

Task<bool> SoakFleet::putConfiguration(int version)
{
    const nlohmann::json object{{"metadata", {{"name", "main"}}},
                                {"spec", configuration(version, m_options.plan.pauses ? pausePlanRouteTimeout : routeTimeout)}};
    http::CallOptions options;
    options.deadline = Clock::now() + callerTimeout;
    const std::string method = m_acceptedVersion == 0 ? "POST" : "PUT";
    const std::string path = m_acceptedVersion == 0 ? kindTarget("config") : objectTarget("config", "main");
    const http::Address to{"127.0.0.1", port(storePortOffset)};
    auto written = co_await m_client.call(to, http::makeRequest(method, path, object.dump()), options);
    const auto *reply = std::get_if<http::Reply>(&written);
    co_return reply && reply->status == 200;
}

// Changes the configuration, and retries until the store confirms a version, as an operator does.
Task<void> SoakFleet::changeConfiguration()
{
    while (m_changeInProgress) {
        co_await sleepFor(pollInterval);
    }
    m_changeInProgress = true;
    for (bool accepted = false; !accepted;) {
        accepted = co_await writeConfiguration();
        if (!accepted) {
            co_await sleepFor(pollInterval);
        }
    }
    m_changeInProgress = false;
}

Task<void> SoakFleet::adminCall(uint16_t adminPort, std::string path, std::string body)
{
    http::CallOptions options;
    options.deadline = Clock::now() + callerTimeout;
    const http::Address address{"127.0.0.1", adminPort};
    co_await m_client.call(address, http::makeRequest("POST", path, body), options);
    // The result is ignored: a target that is stopped or paused cannot answer, and other faults continue.
}

Task<void> SoakFleet::applyPlan()
{
    const auto planStart = Clock::now();
    for (const auto &step : makePlan(m_options.plan)) {
        co_await sleepFor(std::max(Clock::duration::zero(), planStart + step.at - Clock::now()));
        ++m_faultCount;
        ++m_activeSteps;
        asio::co_spawn(m_loop, apply(step), asio::detached);
    }
    while (m_activeSteps > 0) {
        co_await sleepFor(pollInterval);
    }
}

Task<void> SoakFleet::apply(Step step)
{
    const bool disturbing = disturbsRoutersOrStore(step.fault);
    m_activeDisturbances += disturbing ? 1 : 0;
    co_await applyToRouter(step);
    co_await applyToEndpoint(step);
    co_await applyToService(step);
    co_await restartAllRouters(step);
    co_await removeRouterEntries(step);
    co_await applyToStore(step);
    co_await applyToCallers(step);
    co_await applyPathCut(step);
    co_await applyEvacuation(step);
    co_await applyForeignEntry(step);
    co_await applyUnsafelyNamedEntry(step);
    co_await restoreStore(step);
    --m_activeSteps;
    if (disturbing) {
        --m_activeDisturbances;
        m_lastDisturbanceEnd = Clock::now();
    }
}

// Checks that no router has exited except those that the test stopped.
void SoakFleet::checkRouterExits()
{
    for (std::size_t n = 0; n < m_routers.size(); ++n) {
        auto &router = m_routers[n];
        const auto code = router.stopped ? std::nullopt : router.process->pollExit();
        if (code) {
            m_violations.push_back("router " + std::to_string(n) + " exited unexpectedly with " + std::to_string(*code));
        }
    }
}

// Compares the arrivals at endpoints with the requests of callers.
void SoakFleet::checkRetries(SoakOutcome &outcome)
{
    for (std::size_t n = 0; n < m_endpoints.size(); ++n) {
        std::ifstream arrivals(m_options.directory + "/arrivals-" + std::to_string(n));
        auto &count = m_retryCounts.try_emplace(serviceOfEndpoint(n), retryAllowance).first->second;
        int64_t unixMs = 0;
        for (std::string id; arrivals >> unixMs >> id;) {
            count.recordArrival(id, Millis(unixMs));
        }
    }
    for (const auto &[service, count] : m_retryCounts) {
        const auto worst = count.worstWindow();
        if (!worst) {
            continue;
        }
        if (!outcome.worstRetryWindow || worst->used() > outcome.worstRetryWindow->used()) {
            outcome.worstRetryWindow = worst;
        }
        if (worst->used() > 1) {
            m_violations.push_back("service " + service + " got " + std::to_string(worst->retries) + " retries for " + std::to_string(worst->requests)
                                   + " requests in the window from Unix time " + std::to_string(worst->start.count()) + " ms, "
                                   + std::to_string(static_cast<int>(worst->allowed)) + " are allowed");
        }
    }
}

void SoakFleet::recordRequest(const std::string &service)
{
    m_retryCounts.try_emplace(service, retryAllowance).first->second.recordRequest(unixTime());
}

void SoakFleet::readRunLogs()
{
    for (std::size_t n = 0; n < m_endpoints.size(); ++n) {
        std::ifstream runs(m_options.directory + "/runs-" + std::to_string(n));
        for (std::string id; std::getline(runs, id);) {
            m_invariants.recordRun(id);
        }
    }
}

// Records the requests that reached endpoints.
void SoakFleet::readArrivalLogs()
{
    for (std::size_t n = 0; n < m_endpoints.size(); ++n) {
        std::ifstream arrivals(m_options.directory + "/arrivals-" + std::to_string(n));
        int64_t unixMs = 0;
        for (std::string id; arrivals >> unixMs >> id;) {
            m_endings.recordArrival(id);
        }
    }
}

} // namespace yucca::soak
