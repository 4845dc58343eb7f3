#include "soak/fleet.h"
#include "soak/layout.h"

#include <boost/asio/detached.hpp>

#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>

namespace yucca::soak
{

namespace
{

constexpr int events = 12; ///< of a stream; 20 ms each
constexpr Millis calmAfter{4000}; ///< the faults, until everything must be well again
constexpr Millis startPatience{15000};
constexpr Millis startPatienceEach{200}; ///< on top, for each program
constexpr std::size_t failureDomains = 3;
constexpr double coldForS = 2.0; ///< an endpoint after a start that follows an end
constexpr double coldPerSecond = 8;
constexpr int coldMost = 17; ///< what the routers' settings make of it: 1.5 times as many, and 5

nlohmann::json route(const char *name, const char *kind, const char *service, int attempts, bool resumable)
{
    return {{"name", name},
            {"host", "h.example"},
            {"path_prefix", std::string("/") + name + "/"},
            {"kind", kind},
            {"timeout_ms", 3000},
            {"target_latency_ms", 300},
            {"gap_aim_ms", 400},
            {"priority", 1},
            {"service", service},
            {"max_attempts", attempts},
            {"resumable", resumable}};
}

nlohmann::json configuration(int version)
{
    const nlohmann::json routes{route("book", "non_idempotent", "s", 1, false), route("remind", "idempotent", "s", 2, false),
                                route("chat", "streaming", "m", 2, true), route("once", "streaming", "m", 1, false)};
    const nlohmann::json services{{{"name", "s"}, {"max_conns", 100}, {"cold_start_s", coldForS}, {"cold_per_s", coldPerSecond}},
                                  {{"name", "m"}, {"max_conns", 360}, {"cold_start_s", coldForS}, {"cold_per_s", coldPerSecond}, {"engine", {{"slots", 64}}}}};
    const nlohmann::json workspace{{"name", "north"}, {"api_keys", {keyOf(version)}}, {"priority", 1}};
    const nlohmann::json limits{{"max_header_bytes", 16384}, {"max_body_bytes", 1048576}, {"header_timeout_ms", 3000}, {"idle_timeout_ms", 15000}};
    return {{"version", version}, {"routes", routes}, {"services", services}, {"limits", limits}, {"tenants", nlohmann::json::array({workspace})}};
}

// True for a fault of a router, of its connection to the store, or of the store.
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
        return true;
    default:
        return false;
    }
}

} // namespace

SoakFleet::SoakFleet(SoakOptions options)
    : m_options(std::move(options))
    , m_promises(events)
    , m_routers(m_options.plan.routers)
    , m_endpoints(m_options.plan.endpoints)
{
}

SoakOutcome SoakFleet::run()
{
    std::filesystem::create_directories(m_options.directory);
    bool done = false;
    asio::co_spawn(m_loop, soak(), [&](std::exception_ptr, bool) {
        done = true;
        m_loop.stop();
    });
    m_loop.run();
    readRuns();
    SoakOutcome outcome{m_promises.sent(), m_promises.served(), m_faults, m_endings.size(), m_promises.broken()};
    outcome.broken.insert(outcome.broken.end(), m_broken.begin(), m_broken.end());
    if (!done) {
        outcome.broken.emplace_back("the soak itself ended early");
    }
    return outcome;
}

Task<bool> SoakFleet::soak()
{
    const bool started = co_await startAll();
    if (!started) {
        m_broken.emplace_back("the fleet did not start");
        co_return false;
    }
    for (int i = 0; i < m_options.callers; ++i) {
        asio::co_spawn(m_loop, callLoop(i), asio::detached);
    }
    asio::co_spawn(m_loop, reviveEndpoints(), asio::detached);
    co_await applyPlan();
    co_await sleepFor(calmAfter);
    m_ending = true;
    while (m_callersUnderWay > 0) {
        co_await sleepFor(pollInterval);
    }
    noteEnds();
    checkRests();
    co_await checkCalm();
    co_await checkEndings();
    co_await checkEvacuation();
    co_return true;
}

std::string SoakFleet::settingsOf(std::size_t n) const
{
    const auto at = [&](int offset) {
        return "127.0.0.1:" + std::to_string(routerPort(n, offset));
    };
    const nlohmann::json settings{{"interface", "platform"},
                                  {"id", "router-" + std::to_string(n)},
                                  {"failureDomain", "zone-" + std::to_string(n % failureDomains)},
                                  {"traffic", at(0)},
                                  {"readiness", at(1)},
                                  {"metrics", at(2)},
                                  {"peers", at(3)},
                                  {"store", at(5)},
                                  {"evacuationBoundMs", 3000},
                                  {"stopGraceS", 4}};
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
    writeSettings(n, settingsOf(n));
    if (!router.process) {
        router.process =
            std::make_unique<Child>(std::vector<std::string>{m_options.programs + "/yucca-router", "--config", router.settingsFile}, name + ".jsonl");
    }
    const auto started = router.process->start();
    if (!ok(started)) {
        m_broken.push_back(std::get<Error>(started).message);
    }
    router.down = false;
    ++router.life;
}

// A new instance at the same place: another id, as the platform gives it.
void SoakFleet::startEndpoint(std::size_t n)
{
    auto &endpoint = m_endpoints[n];
    const std::string name = "i-" + std::to_string(n) + "-" + std::to_string(++endpoint.starts);
    const bool streams = n % 2 == 1;
    std::vector<std::string> command{m_options.programs + "/yucca-endpoint",
                                     "--id",
                                     name,
                                     "--service",
                                     streams ? "m" : "s",
                                     "--port",
                                     std::to_string(endpointPort(n, 0)),
                                     "--store-port",
                                     std::to_string(port(storePort)),
                                     "--zone",
                                     domainOf(n),
                                     "--cold-ms",
                                     std::to_string(endpoint.starts == 1 ? 0 : static_cast<int>(coldForS * 1000)),
                                     "--cold-most",
                                     std::to_string(coldMost),
                                     "--advertise",
                                     std::to_string(endpointPort(n, 1)),
                                     "--ends-under",
                                     endingBody,
                                     "--events",
                                     std::to_string(events),
                                     "--rest-log",
                                     m_options.directory + "/rests-" + std::to_string(n),
                                     "--run-log",
                                     m_options.directory + "/runs-" + std::to_string(n)};
    if (streams) {
        command.emplace_back("--streams");
    }
    endpoint.process = std::make_unique<Child>(std::move(command), m_options.directory + "/endpoint-" + std::to_string(n) + ".log");
    const auto started = endpoint.process->start();
    if (!ok(started)) {
        m_broken.push_back(std::get<Error>(started).message);
    }
    endpoint.down = false;
}

Task<bool> SoakFleet::startAll()
{
    m_store = std::make_unique<Child>(std::vector<std::string>{m_options.programs + "/yucca-platform", "--port", std::to_string(port(storePort))},
                                      m_options.directory + "/store.log");
    const auto started = m_store->start();
    if (!ok(started)) {
        co_return false;
    }
    const auto until = Clock::now() + startPatience + startPatienceEach * (m_routers.size() + m_endpoints.size());
    while (m_acceptedVersion == 0 && Clock::now() < until) {
        co_await sleepFor(pollInterval);
        co_await writeConfiguration();
    }
    for (std::size_t n = 0; n < m_endpoints.size(); ++n) {
        m_endpoints[n].proxy = std::make_unique<Proxy>(m_loop, endpointPort(n, 1), endpointPort(n, 0));
        startEndpoint(n);
    }
    for (std::size_t n = 0; n < m_routers.size(); ++n) {
        m_routers[n].callers = std::make_unique<Proxy>(m_loop, routerPort(n, 4), routerPort(n, 0));
        m_routers[n].store = std::make_unique<Proxy>(m_loop, routerPort(n, 5), port(storePort));
        startRouter(n);
    }
    for (std::size_t n = 0; n < m_routers.size(); ++n) {
        unsigned status = 0;
        while (status != 200 && Clock::now() < until) {
            co_await sleepFor(pollInterval);
            status = co_await ask(n, keyOf(m_acceptedVersion));
        }
    }
    co_return Clock::now() < until;
}

// Writes the next version of the configuration, with another key. False when
// the store did not say that it took it: it may have.
Task<bool> SoakFleet::writeConfiguration()
{
    const int version = ++m_version;
    const bool accepted = co_await putConfiguration(version);
    if (accepted) {
        m_acceptedVersion = version;
    }
    co_return accepted;
}

Task<bool> SoakFleet::putConfiguration(int version)
{
    const nlohmann::json object{{"metadata", {{"name", "main"}}}, {"spec", configuration(version)}};
    http::CallOptions options;
    options.deadline = Clock::now() + callerPatience;
    const std::string method = m_acceptedVersion == 0 ? "POST" : "PUT";
    const std::string path = std::string("/api/objects/config") + (m_acceptedVersion == 0 ? "" : "/main");
    const http::Address to{"127.0.0.1", port(storePort)};
    auto written = co_await m_client.call(to, http::makeRequest(method, path, object.dump()), options);
    const auto *reply = std::get_if<http::Reply>(&written);
    co_return reply && reply->status == 200;
}

// Changes the configuration as an operator does: until the store says so.
Task<void> SoakFleet::changeConfiguration()
{
    while (m_changing) {
        co_await sleepFor(pollInterval);
    }
    m_changing = true;
    for (bool accepted = false; !accepted;) {
        accepted = co_await writeConfiguration();
        if (!accepted) {
            co_await sleepFor(pollInterval);
        }
    }
    m_changing = false;
}

Task<void> SoakFleet::adminCall(uint16_t to, std::string path, std::string body)
{
    http::CallOptions options;
    options.deadline = Clock::now() + callerPatience;
    const http::Address address{"127.0.0.1", to};
    co_await m_client.call(address, http::makeRequest("POST", path, body), options);
    // A target that is down or paused takes no order: other faults go on.
}

Task<void> SoakFleet::applyPlan()
{
    const auto began = Clock::now();
    for (const auto &step : makePlan(m_options.plan)) {
        co_await sleepFor(std::max(Clock::duration::zero(), began + step.at - Clock::now()));
        ++m_faults;
        ++m_stepsUnderWay;
        asio::co_spawn(m_loop, apply(step), asio::detached);
    }
    while (m_stepsUnderWay > 0) {
        co_await sleepFor(pollInterval);
    }
}

Task<void> SoakFleet::apply(Step step)
{
    const bool disturbs = disturbsRoutersOrStore(step.fault);
    m_disturbances += disturbs ? 1 : 0;
    co_await applyToRouter(step);
    co_await applyToEndpoint(step);
    co_await applyToStore(step);
    co_await applyToCallers(step);
    co_await applyToOrders(step);
    co_await restoreStore(step);
    --m_stepsUnderWay;
    if (disturbs) {
        --m_disturbances;
        m_disturbedAt = Clock::now();
    }
}

// Programs that the soak did not end must run.
void SoakFleet::noteEnds()
{
    for (std::size_t n = 0; n < m_routers.size(); ++n) {
        auto &router = m_routers[n];
        const auto code = router.down ? std::nullopt : router.process->ended();
        if (code) {
            m_broken.push_back("router " + std::to_string(n) + " ended by itself with " + std::to_string(*code));
        }
    }
}

void SoakFleet::readRuns()
{
    for (std::size_t n = 0; n < m_endpoints.size(); ++n) {
        std::ifstream runs(m_options.directory + "/runs-" + std::to_string(n));
        for (std::string id; std::getline(runs, id);) {
            m_promises.ran(id);
        }
    }
}

} // namespace yucca::soak
