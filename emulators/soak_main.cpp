// yucca-soak: the real programs on one machine under a seeded series of faults
// from outside, while the promises to callers are checked.
#include "cli.h"
#include "soak/fleet.h"

#include <csignal>
#include <cstdio>

using namespace yucca;

namespace
{

constexpr int callersARouter = 3;

} // namespace

int main(int argc, const char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    cli::Common common;
    soak::SoakOptions options;
    int seed = 1;
    int seconds = 8;
    int port = options.basePort;
    int routers = static_cast<int>(options.plan.routers);
    int endpoints = static_cast<int>(options.plan.endpoints);
    char *directory = nullptr;
    char *programs = nullptr;
    const poptOption own[] = {
        {"seed", 0, POPT_ARG_INT, &seed, 0, "of the plan of faults", "N"},
        {"seconds", 0, POPT_ARG_INT, &seconds, 0, "of faults; the calm after them comes on top", "S"},
        {"routers", 0, POPT_ARG_INT, &routers, 0, "number of routers", "N"},
        {"endpoints", 0, POPT_ARG_INT, &endpoints, 0, "number of endpoints, half of them with streams", "N"},
        {"port", 'p', POPT_ARG_INT, &port, 0, "the first of ten ports a router and two an endpoint", "PORT"},
        {"directory", 0, POPT_ARG_STRING, &directory, 0, "for settings, logs and lists of runs; must be new", "DIR"},
        {"programs", 0, POPT_ARG_STRING, &programs, 0, "where the programs are", "DIR"},
        POPT_TABLEEND,
    };
    std::vector<std::string> rest;
    if (auto rc = cli::parse("yucca-soak", argc, argv, own, common, rest)) {
        return *rc;
    }
    if (!directory || seconds < 1 || seed < 0 || routers < 1 || endpoints < 2) {
        std::fprintf(stderr, "yucca-soak: --directory is needed, --seconds and --routers from 1, --endpoints from 2, --seed from 0\n");
        return cli::ExitUsage;
    }
    options.plan.seed = static_cast<uint64_t>(seed);
    options.plan.length = std::chrono::seconds(seconds);
    options.plan.routers = static_cast<std::size_t>(routers);
    options.plan.endpoints = static_cast<std::size_t>(endpoints);
    options.callers = callersARouter * routers;
    options.directory = directory;
    options.programs = programs ? programs : options.programs;
    options.basePort = static_cast<uint16_t>(port);
    const auto outcome = soak::SoakFleet(options).run();
    for (const auto &what : outcome.broken) {
        std::printf("broken: %s\n", what.c_str());
    }
    std::printf("seed %d: %zu faults, %zu requests, %zu served, %zu endpoints ended under a request, %zu promises broken\n", seed, outcome.faults, outcome.sent,
                outcome.served, outcome.endings, outcome.broken.size());
    return outcome.broken.empty() ? cli::ExitOk : cli::ExitFailure;
}
