// What the faults of a plan do to the fleet.
#include "soak/fleet.h"
#include "soak/layout.h"

#include <csignal>

namespace yucca::soak
{

namespace
{

constexpr Millis routerGrace{4500}; ///< its settings say 4 s; then it is killed
constexpr Millis endpointLinger{3200}; ///< it serves on for 1.5 s, and waits as long for its last answers

} // namespace

Task<void> SoakFleet::applyToRouter(Step step)
{
    auto &router = m_routers[std::min(step.target, m_routers.size() - 1)];
    const bool mayEnd = !router.down;
    switch (step.fault) {
    case Fault::RouterKilled:
        if (mayEnd) {
            noteEnds();
            router.down = true;
            router.process->kill();
            co_await sleepFor(step.lasts);
            startRouter(step.target);
        }
        break;
    case Fault::RouterStopped:
        if (mayEnd) {
            noteEnds();
            router.down = true;
            router.process->signal(SIGCONT);
            router.process->signal(SIGTERM);
            co_await sleepFor(routerGrace);
            router.process->kill();
            startRouter(step.target);
        }
        break;
    case Fault::RouterPaused:
        ++router.life;
        router.process->signal(SIGSTOP);
        co_await sleepFor(step.lasts);
        router.process->signal(SIGCONT);
        ++router.life;
        break;
    case Fault::RouterReloads:
        router.process->signal(SIGHUP);
        break;
    case Fault::RouterSettingsWrong:
        writeSettings(step.target, R"({"interface": "platform", "retryRatio": 9})");
        router.process->signal(SIGHUP);
        co_await sleepFor(step.lasts);
        writeSettings(step.target, settingsOf(step.target));
        router.process->signal(SIGHUP);
        break;
    case Fault::CallersDisturbed:
    case Fault::StoreDisturbed: {
        auto &proxy = step.fault == Fault::CallersDisturbed ? *router.callers : *router.store;
        proxy.disturb(step.how);
        co_await sleepFor(step.lasts);
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
        if (!endpoint.down) {
            endpoint.down = true;
            endpoint.process->kill();
            co_await sleepFor(step.lasts);
            startEndpoint(step.target);
        }
        break;
    case Fault::EndpointLeaves:
        if (!endpoint.down) {
            endpoint.down = true;
            endpoint.process->signal(SIGTERM);
            co_await sleepFor(endpointLinger);
            startEndpoint(step.target);
        }
        break;
    case Fault::EndpointPaused:
        endpoint.process->signal(SIGSTOP);
        co_await sleepFor(step.lasts);
        endpoint.process->signal(SIGCONT);
        break;
    case Fault::EndpointDisturbed: {
        const auto from = std::chrono::system_clock::now();
        endpoint.proxy->disturb(step.how);
        co_await sleepFor(step.lasts);
        endpoint.proxy->disturb(Disturbance::None);
        m_disturbed.push_back({step.target, from, std::chrono::system_clock::now()});
        break;
    }
    case Fault::EndpointAsksForRest:
        faults = R"({"shed": true, "restMs": 2000})";
        break;
    case Fault::EndpointSheds:
        faults = R"({"shed": true})";
        break;
    case Fault::EndpointLosesAnswers:
        faults = R"({"loseAnswers": true})";
        break;
    case Fault::EndpointFails:
        faults = R"({"fail": true})";
        break;
    case Fault::EndpointCutsStreams:
        faults = R"({"cutAfter": 5})";
        break;
    default:
        break;
    }
    if (faults) {
        co_await switchFaults(admin, faults, step.lasts);
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
        co_await switchFaults(port(storePort), faults, step.lasts);
    }
}

// Faults that a stand-in switches on itself, for a while.
Task<void> SoakFleet::switchFaults(uint16_t to, const char *faults, Millis lasts)
{
    co_await adminCall(to, "/admin/faults", faults);
    co_await sleepFor(lasts);
    co_await adminCall(to, "/admin/faults", "{}");
}

} // namespace yucca::soak
