// yucca-soak: runs the real programs on one machine under a seeded plan of external faults, and checks the guarantees
// to callers.
#include "cli.h"
#include "soak/fleet.h"

#include <csignal>
#include <cstdio>

using namespace yucca;

namespace
{

constexpr int callersPerRouter = 3;

} // namespace

int main(int argc, const char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    cli::CommonOptions common;
    soak::SoakOptions options;
    int seed = 1;
    int seconds = 8;
    int port = options.basePort;
    int routers = static_cast<int>(options.plan.routers);
    int endpoints = static_cast<int>(options.plan.endpoints);
    int powerLoss = 0;
    int longCutsOnly = 0;
    int retries = 0;
    int pauses = 0;
    char *directory = nullptr;
    char *programs = nullptr;
    const poptOption soakOptions[] = {
        {"seed", 0, POPT_ARG_INT, &seed, 0, "seed of the fault plan", "N"},
        {"seconds", 0, POPT_ARG_INT, &seconds, 0, "duration of the fault plan; the checks afterwards take extra time", "S"},
        {"routers", 0, POPT_ARG_INT, &routers, 0, "number of routers", "N"},
        {"endpoints", 0, POPT_ARG_INT, &endpoints, 0, "number of endpoints, half of which serve streams", "N"},
        {"power-loss", 0, POPT_ARG_NONE, &powerLoss, 0, "end the plan with a loss of power of the store and all routers", nullptr},
        {"cut-routers", 0, POPT_ARG_NONE, &longCutsOnly, 0, "only cut routers off from all endpoints, a few times for seconds", nullptr},
        {"retries", 0, POPT_ARG_NONE, &retries, 0, "one service fails most requests, while routers restart, pause, are cut off and lose their list", nullptr},
        {"pauses", 0, POPT_ARG_NONE, &pauses, 0, "endpoints pause for a second or so beside planned work only; every request must get a response", nullptr},
        {"port", 'p', POPT_ARG_INT, &port, 0, "first port; each router uses ten, each endpoint two", "PORT"},
        {"directory", 0, POPT_ARG_STRING, &directory, 0, "for settings, logs and run logs; must not exist yet", "DIR"},
        {"programs", 0, POPT_ARG_STRING, &programs, 0, "directory of the programs", "DIR"},
        POPT_TABLEEND,
    };
    std::vector<std::string> arguments;
    if (auto rc = cli::parse("yucca-soak", argc, argv, soakOptions, common, arguments)) {
        return *rc;
    }
    if (!directory || seconds < 1 || seed < 0 || routers < 1 || endpoints < 2) {
        std::fprintf(stderr, "yucca-soak: --directory is required; --seconds and --routers must be at least 1, --endpoints at least 2, --seed at least 0\n");
        return cli::ExitUsage;
    }
    if (pauses && (powerLoss || longCutsOnly || retries)) {
        std::fprintf(stderr, "yucca-soak: --pauses excludes --power-loss, --cut-routers and --retries\n");
        return cli::ExitUsage;
    }
    options.plan.seed = static_cast<uint64_t>(seed);
    options.plan.duration = std::chrono::seconds(seconds);
    options.plan.routers = static_cast<std::size_t>(routers);
    options.plan.endpoints = static_cast<std::size_t>(endpoints);
    options.plan.powerLoss = powerLoss != 0;
    options.plan.longCutsOnly = longCutsOnly != 0;
    options.plan.retries = retries != 0;
    options.plan.pauses = pauses != 0;
    options.callers = callersPerRouter * routers;
    options.directory = directory;
    options.programs = programs ? programs : options.programs;
    options.basePort = static_cast<uint16_t>(port);
    const auto outcome = soak::SoakFleet(options).run();
    for (const auto &violation : outcome.violations) {
        std::printf("broken: %s\n", violation.c_str());
    }
    if (outcome.worstRetryWindow) {
        const auto &window = *outcome.worstRetryWindow;
        std::printf("worst window of retries: %zu for %zu requests, %.1f allowed\n", window.retries, window.requests, window.allowed);
    }
    std::printf("seed %d: %zu faults, %zu requests, %zu served, %zu of %zu streams taken up, %zu endpoints crashed under a request, %zu requests lost, %zu "
                "timed out, %zu on kept connections, %zu promises broken\n",
                seed, outcome.faults, outcome.sent, outcome.served, outcome.resumed, outcome.resumptions, outcome.crashes, outcome.lost, outcome.timedOut,
                outcome.onKeptConnections, outcome.violations.size());
    return outcome.violations.empty() ? cli::ExitOk : cli::ExitFailure;
}
