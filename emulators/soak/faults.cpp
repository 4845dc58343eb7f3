// Applies the faults of a plan to the fleet.
#include "soak/fleet.h"
#include "soak/layout.h"

#include <csignal>

namespace yucca::soak
{

namespace
{

constexpr Millis routerStopTimeout{4500}; ///< the settings allow 4 s; then the router is killed
constexpr Millis endpointStopTime{3200}; ///< an endpoint accepts requests for 1.5 s more, and waits as long for its last responses

constexpr Millis releaseTimeout{12000}; ///< of an endpoint in a pause plan: its time of service, its last responses, and a pause

} // namespace

Task<void> SoakFleet::applyToRouter(Step step)
{
    auto &router = m_routers[std::min(step.target, m_routers.size() - 1)];
    const bool isRunning = !router.stopped;
    switch (step.fault) {
    case Fault::RouterKilled:
        if (isRunning) {
            checkRouterExits();
            router.stopped = true;
            router.process->kill();
            co_await sleepFor(step.duration);
            startRouter(step.target);
        }
        break;
    case Fault::RouterStopped:
        if (isRunning) {
            checkRouterExits();
            router.stopped = true;
            router.process->signal(SIGCONT);
            router.process->signal(SIGTERM);
            router.stopSignal = Clock::now();
            co_await sleepFor(routerStopTimeout);
            checkGracefulExit(step.target);
            router.process->kill();
            startRouter(step.target);
        }
        break;
    case Fault::RouterPaused:
        ++router.generation;
        router.process->signal(SIGSTOP);
        co_await sleepFor(step.duration);
        router.process->signal(SIGCONT);
        ++router.generation;
        break;
    case Fault::RouterReloads:
        router.process->signal(SIGHUP);
        break;
    case Fault::RouterSettingsWrong:
        writeSettings(step.target, R"({"interface": "platform", "retryRatio": 9})");
        router.process->signal(SIGHUP);
        co_await sleepFor(step.duration);
        writeSettings(step.target, settingsFor(step.target));
        router.process->signal(SIGHUP);
        break;
    case Fault::CallersDisturbed:
    case Fault::StoreDisturbed: {
        auto &proxy = step.fault == Fault::CallersDisturbed ? *router.callerProxy : *router.storeProxy;
        proxy.disturb(step.disturbance);
        co_await sleepFor(step.duration);
        proxy.disturb(Disturbance::None);
        break;
    }
    default:
        break;
    }
}

Task<void> SoakFleet::applyToEndpoint(Step step)
{
    auto &endpoint = m_endpoints[std::min(step.target, m_endpoints.size() - 1)];
    const uint16_t admin = endpointPort(std::min(step.target, m_endpoints.size() - 1), 0);
    const char *faults = nullptr;
    switch (step.fault) {
    case Fault::EndpointKilled:
        if (!endpoint.stopped) {
            endpoint.stopped = true;
            endpoint.process->kill();
            co_await sleepFor(step.duration);
            startEndpoint(step.target);
        }
        break;
    case Fault::EndpointLeaves:
        if (!endpoint.stopped) {
            endpoint.stopped = true;
            endpoint.process->signal(SIGTERM);
            if (m_options.plan.pauses) {
                co_await awaitEndpointExit(step.target);
            } else {
                co_await sleepFor(endpointStopTime);
            }
            ++endpoint.releases;
            startEndpoint(step.target);
        }
        break;
    case Fault::EndpointPaused:
        endpoint.process->signal(SIGSTOP);
        co_await sleepFor(step.duration);
        endpoint.process->signal(SIGCONT);
        break;
    case Fault::EndpointRequestsPaused:
        co_await adminCall(admin, "/admin/faults", "{\"silentMs\": " + std::to_string(step.duration.count()) + "}");
        break;
    case Fault::EndpointDisturbed: {
        const auto start = std::chrono::system_clock::now();
        endpoint.proxy->disturb(step.disturbance);
        co_await sleepFor(step.duration);
        endpoint.proxy->disturb(Disturbance::None);
        m_disturbedPeriods.push_back({step.target, std::nullopt, start, std::chrono::system_clock::now()});
        break;
    }
    case Fault::EndpointAsksForRest:
        faults = R"({"shed": true, "restMs": 2000})";
        break;
    case Fault::EndpointResponsesMalformed:
        faults = R"({"malformedResponses": true})";
        break;
    case Fault::EndpointSheds:
        faults = R"({"shed": true})";
        break;
    case Fault::EndpointLosesAnswers:
        faults = R"({"loseAnswers": true})";
        break;
    case Fault::EndpointFails:
        faults = R"({"failPercent": 100})";
        break;
    case Fault::EndpointCutsStreams:
        faults = R"({"cutAfter": 5})";
        break;
    default:
        break;
    }
    if (faults) {
        co_await applyEmulatorFaults(admin, faults, step.duration);
    }
}

// Checks in a pause plan that a router which was asked to stop has ended by itself.
void SoakFleet::checkGracefulExit(std::size_t n)
{
    if (!m_options.plan.pauses) {
        return;
    }
    const auto code = m_routers[n].process->pollExit();
    if (!code) {
        m_violations.push_back("router " + std::to_string(n) + " still runs after its grace period");
    } else if (*code < 0) {
        m_violations.push_back("router " + std::to_string(n) + " was ended by signal " + std::to_string(-*code) + " while it stopped");
    }
}

// Waits until an endpoint has finished its last responses and exited.
Task<void> SoakFleet::awaitEndpointExit(std::size_t n)
{
    const auto until = Clock::now() + releaseTimeout;
    while (!m_endpoints[n].process->pollExit()) {
        if (Clock::now() >= until) {
            m_violations.push_back("endpoint " + std::to_string(n) + " did not finish its last responses");
            co_return;
        }
        co_await sleepFor(pollInterval);
    }
}

// Lets all endpoints of the service without streams fail most requests.
Task<void> SoakFleet::applyToService(Step step)
{
    if (step.fault != Fault::ServiceFails) {
        co_return;
    }
    const auto until = Clock::now() + step.duration;
    while (Clock::now() < until) { // endpoints that were restarted are told again
        for (std::size_t n = 0; n < m_endpoints.size(); ++n) {
            if (serviceOfEndpoint(n) == plainService) {
                co_await adminCall(endpointPort(n, 0), "/admin/faults", R"({"failPercent": 80})");
            }
        }
        co_await sleepFor(pollInterval * 5);
    }
    for (std::size_t n = 0; n < m_endpoints.size(); ++n) {
        co_await adminCall(endpointPort(n, 0), "/admin/faults", "{}");
    }
}

// Kills all routers at the same moment, and starts them again.
Task<void> SoakFleet::restartAllRouters(Step step)
{
    if (step.fault != Fault::AllRoutersKilled) {
        co_return;
    }
    const auto killed = killAllRouters();
    co_await sleepFor(step.duration);
    for (const auto n : killed) {
        startRouter(n);
    }
}

// Removes the entries of all routers from the store. Each router announces itself again with its next listing.
Task<void> SoakFleet::removeRouterEntries(Step step)
{
    if (step.fault != Fault::RouterEntriesLost) {
        co_return;
    }
    for (std::size_t n = 0; n < m_routers.size(); ++n) {
        http::CallOptions options;
        options.deadline = Clock::now() + callerTimeout;
        const http::Address store{"127.0.0.1", port(storePortOffset)};
        co_await m_client.call(store, http::makeRequest("DELETE", objectTarget("router", "router-" + std::to_string(n))), options);
        // The result is ignored: the store may be down, and a router may not be listed yet.
    }
}

Task<void> SoakFleet::applyToStore(Step step)
{
    const char *faults = nullptr;
    switch (step.fault) {
    case Fault::StoreDown:
        faults = R"({"outage": true})";
        break;
    case Fault::StoreSlow:
        faults = R"({"slowMs": 250})";
        break;
    case Fault::StoreLosesAnswers:
        faults = R"({"loseAnswers": 5})";
        break;
    case Fault::StoreForgets:
        faults = R"({"compact": true})";
        break;
    case Fault::ConfigurationChanges:
        co_await changeConfiguration();
        break;
    default:
        break;
    }
    if (faults) {
        co_await applyEmulatorFaults(port(storePortOffset), faults, step.duration);
    }
}

// Sets faults through an emulator's admin interface, and clears them after a duration.
Task<void> SoakFleet::applyEmulatorFaults(uint16_t adminPort, const char *faults, Millis duration)
{
    co_await adminCall(adminPort, "/admin/faults", faults);
    co_await sleepFor(duration);
    co_await adminCall(adminPort, "/admin/faults", "{}");
}

} // namespace yucca::soak
