// yucca-load: the load generator. Sends returning conversations to routers on loopback, limited in number and time, and
// prints the report as one JSON object.
#include "cli.h"
#include "experiment.h"
#include "findings.h"
#include "settings.h"
#include "text.h"

#include <cstdio>

namespace
{

using namespace yucca;

constexpr int maxSeconds = 600;
constexpr int maxRequestCount = 1000000;
constexpr int maxConcurrency = 4096;

bool isLoopback(const std::string &host)
{
    return host.rfind("127.", 0) == 0 || host == "::1";
}

// Parses a list such as "127.0.0.1:7000,127.0.0.1:7001". Items that are not loopback addresses are recorded as
// findings.
std::vector<http::Address> parseRouters(const std::string &list, Findings &findings)
{
    std::vector<http::Address> out;
    for (const auto &item : text::splitList(list)) {
        const auto colon = item.rfind(':');
        const auto port = colon == std::string::npos ? std::nullopt : text::parseNumber<uint16_t>(item.substr(colon + 1));
        if (!port) {
            findings.add("--routers", "'" + item + "' is not HOST:PORT");
            continue;
        }
        const std::string host = item.substr(0, colon);
        if (!isLoopback(host)) {
            findings.add("--routers", host + " is not a loopback address; load goes to loopback only");
        }
        out.push_back({host, *port});
    }
    if (out.empty()) {
        findings.add("--routers", "at least one router is required");
    }
    return out;
}

void checkRange(const char *option, int value, int min, int max, Findings &findings)
{
    if (value < min || value > max) {
        findings.add(option, "must be in [" + std::to_string(min) + ", " + std::to_string(max) + "], is " + std::to_string(value));
    }
}

// Parses the settings file, whose keys are the names of the options in camel case.
experiment::Options parseSettings(const nlohmann::json &doc, Findings &findings)
{
    experiment::Options o;
    settings::Reader r(doc, "", findings);
    const auto readInt = [&r](const char *key, int &out, int min, int max) {
        int64_t value = out;
        r.read(key, value, min, max);
        out = static_cast<int>(value);
    };
    std::string routers;
    r.read("routers", routers);
    if (!routers.empty()) {
        o.routers = parseRouters(routers, findings);
    }
    r.read("platformPort", o.platform.port);
    r.read("label", o.label);
    readInt("workspaces", o.workspaces, 1, maxRequestCount);
    readInt("conversations", o.conversations, 1, maxRequestCount);
    readInt("turns", o.turns, 1, maxRequestCount);
    readInt("maxTokens", o.maxTokens, 1, 4096);
    readInt("maxRequests", o.maxRequests, 1, maxRequestCount);
    readInt("duration", o.durationS, 1, maxSeconds);
    readInt("concurrency", o.concurrency, 1, maxConcurrency);
    readInt("pauseMinMs", o.pauseMinMs, 0, maxSeconds * 1000);
    readInt("pauseMaxMs", o.pauseMaxMs, 0, maxSeconds * 1000);
    readInt("servicePct", o.servicePercent, 0, 100);
    readInt("churnEvery", o.churnEveryS, 0, maxSeconds);
    readInt("surgeAt", o.surgeAtS, -1, maxSeconds);
    readInt("surgeConversations", o.surgeConversations, 0, maxRequestCount);
    readInt("outageAt", o.outageAtS, -1, maxSeconds);
    readInt("outageFor", o.outageForS, 0, maxSeconds);
    r.finish();
    return o;
}

void overrideText(std::string &out, const char *value)
{
    if (value) {
        out = value;
    }
}

} // namespace

int main(int argc, const char **argv)
{
    // Options override the settings file, whose name is an option itself: the command line is parsed once for that
    // name, and again after the file was read.
    cli::CommonOptions common;
    std::vector<std::string> arguments;
    experiment::Options o;
    char *routers = nullptr;
    char *label = nullptr;
    char *drainEngine = nullptr;
    char *migrateClass = nullptr;
    char *migratePool = nullptr;
    int platformPort = -1;
    const poptOption programOptions[] = {
        {"routers", 'r', POPT_ARG_STRING, &routers, 0, "routers to send to, as 127.0.0.1:PORT,...", "LIST"},
        {"platform-port", 0, POPT_ARG_INT, &platformPort, 0, "object API port, for the VM list and the faults", "PORT"},
        {"label", 'l', POPT_ARG_STRING, &label, 0, "label of the report and prefix of request ids", "TEXT"},
        {"workspaces", 'w', POPT_ARG_INT, &o.workspaces, 0, "workspaces (ws-0 ...; the first three are large)", "N"},
        {"conversations", 'n', POPT_ARG_INT, &o.conversations, 0, "returning conversations", "N"},
        {"turns", 't', POPT_ARG_INT, &o.turns, 0, "turns per conversation", "N"},
        {"max-tokens", 0, POPT_ARG_INT, &o.maxTokens, 0, "tokens of an answer", "N"},
        {"max-requests", 0, POPT_ARG_INT, &o.maxRequests, 0, "stop after this many chat turns", "N"},
        {"duration", 'd', POPT_ARG_INT, &o.durationS, 0, "stop after this many seconds", "S"},
        {"concurrency", 'j', POPT_ARG_INT, &o.concurrency, 0, "chat turns in flight at once", "N"},
        {"pause-min-ms", 0, POPT_ARG_INT, &o.pauseMinMs, 0, "shortest pause before a conversation returns", "MS"},
        {"pause-max-ms", 0, POPT_ARG_INT, &o.pauseMaxMs, 0, "longest pause before a conversation returns", "MS"},
        {"service-pct", 0, POPT_ARG_INT, &o.servicePercent, 0, "percent of turns followed by a booking", "PCT"},
        {"drain-at", 0, POPT_ARG_INT, &o.drainAtS, 0, "second of the run when --drain-engine leaves", "S"},
        {"drain-engine", 0, POPT_ARG_STRING, &drainEngine, 0, "engine that leaves mid-run", "ID"},
        {"migrate-at", 0, POPT_ARG_INT, &o.migrateAtS, 0, "second of the run when --migrate-class moves", "S"},
        {"migrate-class", 0, POPT_ARG_STRING, &migrateClass, 0, "work class that moves to another pool", "NAME"},
        {"migrate-pool", 0, POPT_ARG_STRING, &migratePool, 0, "pool that --migrate-class moves to", "POOL"},
        {"churn-every", 0, POPT_ARG_INT, &o.churnEveryS, 0, "interval in seconds at which one engine leaves and returns with an empty cache (0: never)", "S"},
        {"surge-at", 0, POPT_ARG_INT, &o.surgeAtS, 0, "second of the run when three workspaces surge", "S"},
        {"surge-conversations", 0, POPT_ARG_INT, &o.surgeConversations, 0, "conversations the surge adds", "N"},
        {"outage-at", 0, POPT_ARG_INT, &o.outageAtS, 0, "second of the run when the object API goes down", "S"},
        {"outage-for", 0, POPT_ARG_INT, &o.outageForS, 0, "duration of the outage in seconds", "S"},
        POPT_TABLEEND,
    };
    if (auto rc = cli::parse("yucca-load", argc, argv, programOptions, common, arguments)) {
        return *rc;
    }
    auto loaded = cli::loadSettings<experiment::Options>(common, parseSettings);
    if (!loaded) {
        return cli::ExitUsage;
    }
    o = *loaded;
    if (auto rc = cli::parse("yucca-load", argc, argv, programOptions, common, arguments)) {
        return *rc;
    }
    Findings findings;
    if (routers || o.routers.empty()) {
        o.routers = parseRouters(routers ? routers : "", findings);
    }
    platformPort = platformPort < 0 ? o.platform.port : platformPort;
    checkRange("--platform-port", platformPort, 1, 65535, findings);
    checkRange("--duration", o.durationS, 1, maxSeconds, findings);
    checkRange("--max-requests", o.maxRequests, 1, maxRequestCount, findings);
    checkRange("--concurrency", o.concurrency, 1, maxConcurrency, findings);
    checkRange("--conversations", o.conversations, 1, maxRequestCount, findings);
    checkRange("--workspaces", o.workspaces, 1, maxRequestCount, findings);
    checkRange("--turns", o.turns, 1, maxRequestCount, findings);
    checkRange("--pause-min-ms", o.pauseMinMs, 0, o.pauseMaxMs, findings);
    checkRange("--service-pct", o.servicePercent, 0, 100, findings);
    if (!findings.empty()) {
        fprintf(stderr, "yucca-load: rejected:\n%s", findings.report().c_str());
        return cli::ExitUsage;
    }
    o.platform.port = static_cast<uint16_t>(platformPort);
    overrideText(o.label, label);
    overrideText(o.drainEngine, drainEngine);
    overrideText(o.migrateClass, migrateClass);
    overrideText(o.migratePool, migratePool);
    experiment::Experiment experiment(o);
    const nlohmann::json report = runBlocking(experiment.run());
    printf("%s\n", report.dump().c_str());
    const bool clean = report["failed"] == 0 && report["duplicates"] == 0;
    return clean ? cli::ExitOk : cli::ExitFailure;
}
