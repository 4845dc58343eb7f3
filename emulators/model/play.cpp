#include "model/play.h"

#include "cli.h"
#include "model/fleet.h"
#include "settings.h"

#include <popt.h>

#include <cstdio>

namespace yucca::model
{

namespace
{

// Returns the routing options of an entry router, with the given policy for model engines.
router::TableOptions makeTableOptions(Policy policy)
{
    router::TableOptions options;
    options.policy = policy;
    options.servicePolicy = Policy::LeastLoaded;
    return options;
}

} // namespace

int runPlay(int argc, const char **argv)
{
    const char *policyName = nullptr;
    int seed = -1;
    double rate = -1;
    int asJson = 0;
    const poptOption options[] = {
        {"policy", 0, POPT_ARG_STRING, &policyName, 0, "policy for model engines: home (the default), affinity, bounded, leastloaded, roundrobin", "POLICY"},
        {"seed", 0, POPT_ARG_INT, &seed, 0, "random seed (overrides the scenario)", "N"},
        {"rate", 0, POPT_ARG_DOUBLE, &rate, 0, "factor on the rates of all kinds (overrides the scenario)", "X"},
        {"json", 0, POPT_ARG_NONE, &asJson, 0, "print the outcome as JSON", nullptr},
        POPT_AUTOHELP POPT_TABLEEND,
    };
    poptContext context = poptGetContext("yucca-sim play", argc, argv, options, 0);
    poptSetOtherOptionHelp(context, "SCENARIO");
    int rc;
    while ((rc = poptGetNextOpt(context)) > 0) { }
    const char *path = rc < -1 ? nullptr : poptGetArg(context);
    const std::string file = path ? path : "";
    poptFreeContext(context);
    const auto policy = parseName(policyNames, policyName ? policyName : nameOf(policyNames, Policy::Home));
    if (file.empty() || !policy) {
        std::fprintf(stderr, "yucca-sim play: a scenario file is required, and the policy must be one of those in --help\n");
        return cli::ExitUsage;
    }
    Findings findings;
    auto scenario = parseScenario(settings::loadFile(file, findings), findings);
    if (!findings.empty()) {
        std::fprintf(stderr, "%s\n", findings.report().c_str());
        return cli::ExitUsage;
    }
    scenario.seed = seed >= 0 ? seed : scenario.seed;
    scenario.rate = rate >= 0 ? rate : scenario.rate;
    const auto outcome = Fleet(scenario, makeTableOptions(*policy)).play();
    std::printf("%s", asJson ? (toJson(outcome).dump(2) + "\n").c_str() : table(outcome).c_str());
    return cli::ExitOk;
}

} // namespace yucca::model
