// yucca-ctl: the operators' command line tool for the catalogue.
#include "catalogue.h"
#include "cli.h"
#include "ctl.h"
#include "decode.h"
#include "explain.h"
#include "object_store.h"
#include "quarantine_store.h"

#include <nlohmann/json.hpp>

#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <fstream>

namespace
{

using namespace yucca;
using nlohmann::json;

// Returns an object in the form that yucca-ctl prints.
json toOutput(const store::Object &o)
{
    json out{{"kind", o.kind}, {"name", o.name}, {"version", o.version}, {"value", o.value}};
    if (!o.problem.empty()) {
        out["problem"] = "the value " + o.problem;
    }
    return out;
}

constexpr const char *usage = "COMMAND ...\n"
                              "  get KIND NAME              print an entry with its version\n"
                              "  list KIND                  print all entries of a kind\n"
                              "  apply FILE                 create or update the entries in FILE (JSON with comments)\n"
                              "  diff FILE                  show what apply would change\n"
                              "  edit KIND NAME PATH VALUE  set one field, e.g. edit workspace ws-0 /limits/maxInflight 32\n"
                              "  remove KIND NAME VERSION   remove an entry that is at VERSION\n"
                              "  history KIND NAME          print the audit records of an entry\n"
                              "  release CONTENT            release a request from quarantine; CONTENT as shown by: list quarantine\n"
                              "  evacuate DOMAIN            stop sending requests to the endpoints of a failure domain\n"
                              "  return DOMAIN              end the evacuation of a failure domain\n"
                              "  evacuations                print the evacuation orders with author and time\n"
                              "  explain ID FILE...         explain the outcome of a request from the routers' logs\n"
                              "KIND is workspace, class or evacuation. Every change is conditional on the version read;\n"
                              "on a conflict nothing is written and the exit code is 3.";

/// Settings of yucca-ctl: the address of the object API and the author of changes.
struct Settings {
    http::Address platform{"127.0.0.1", 7400};
    ctl::Author author;
};

Settings parseSettings(const json &doc, Findings &findings)
{
    Settings s;
    settings::Reader r(doc, "", findings);
    auto p = r.child("platform");
    p.read("host", s.platform.host);
    p.read("port", s.platform.port);
    p.finish();
    r.read("author", s.author.name);
    r.finish();
    return s;
}

int printError(const Error &e)
{
    fprintf(stderr, "yucca-ctl: %s (code %d)\n", e.message.c_str(), e.code);
    return e.code == store::Conflict ? cli::ExitConflict : cli::ExitFailure;
}

// Prints the result of a change and returns the matching exit code.
int printChange(const ctl::Change &change)
{
    const bool succeeded = change.result == ctl::ChangeResult::Applied || change.result == ctl::ChangeResult::Unchanged;
    fprintf(succeeded ? stdout : stderr, "%s%s\n", succeeded ? "" : "yucca-ctl: ", change.message.c_str());
    if (succeeded) {
        return cli::ExitOk;
    }
    return change.result == ctl::ChangeResult::LostRace ? cli::ExitConflict : cli::ExitFailure;
}

int printFindings(const std::string &what, const Findings &findings)
{
    fprintf(stderr, "%s: rejected (%zu problems):\n%s", what.c_str(), findings.items().size(), findings.report().c_str());
    return cli::ExitUsage;
}

std::optional<std::vector<ctl::Entry>> readEntries(const std::string &path)
{
    Findings findings;
    const json doc = settings::loadFile(path, findings);
    auto entries = findings.empty() ? ctl::parseEntries(doc, findings) : std::vector<ctl::Entry>{};
    if (!findings.empty()) {
        printFindings(path, findings);
        return std::nullopt;
    }
    return entries;
}

int get(platform::ObjectApi &api, const std::string &kind, const std::string &name)
{
    const auto r = runBlocking(api.get(kind, name, platform::Freshness::Current));
    if (!ok(r)) {
        return printError(std::get<Error>(r));
    }
    printf("%s\n", toOutput(std::get<platform::Object>(r)).dump(2).c_str());
    return cli::ExitOk;
}

// Returns the exit code of a command that printed a list.
int reportIncomplete(const platform::Listing &listing)
{
    if (!listing.more) {
        return cli::ExitOk;
    }
    fprintf(stderr, "the list is incomplete: the store refuses its next page\n");
    return cli::ExitFailure;
}

int list(platform::ObjectApi &api, const std::string &kind)
{
    const auto r = runBlocking(platform::listAll(api, kind));
    if (!ok(r)) {
        return printError(std::get<Error>(r));
    }
    for (const auto &object : std::get<platform::Listing>(r).items) {
        printf("%s\n", toOutput(object).dump().c_str());
    }
    return reportIncomplete(std::get<platform::Listing>(r));
}

int orderEvacuation(platform::ObjectApi &api, const std::string &domain, bool active, const ctl::Author &author)
{
    return printChange(runBlocking(ctl::applyEntry(api, ctl::evacuationEntry(domain, active, author, std::time(nullptr)), author)));
}

// Prints one line per failure domain: its state, and when and by whom it was ordered.
int printEvacuations(platform::ObjectApi &api)
{
    const auto r = runBlocking(platform::listAll(api, catalogue::evacuationKind));
    if (!ok(r)) {
        return printError(std::get<Error>(r));
    }
    for (const auto &object : std::get<platform::Listing>(r).items) {
        Findings findings;
        const auto evacuation = catalogue::parseEvacuation(object.value, "", findings);
        if (!findings.empty()) {
            printFindings(object.name, findings);
            continue;
        }
        char since[32];
        const std::time_t at = evacuation.since;
        std::strftime(since, sizeof since, "%FT%TZ", std::gmtime(&at));
        printf("%s %s since %s by %s\n", object.name.c_str(), evacuation.active ? "evacuated" : "in use", since, evacuation.author.c_str());
    }
    return reportIncomplete(std::get<platform::Listing>(r));
}

// Applies all entries of a file and returns the highest exit code.
int apply(platform::ObjectApi &api, const std::string &path, const ctl::Author &author)
{
    const auto entries = readEntries(path);
    if (!entries) {
        return cli::ExitUsage;
    }
    int worst = cli::ExitOk;
    for (const auto &entry : *entries) {
        worst = std::max(worst, printChange(runBlocking(ctl::applyEntry(api, entry, author))));
    }
    return worst;
}

int diff(platform::ObjectApi &api, const std::string &path)
{
    const auto entries = readEntries(path);
    if (!entries) {
        return cli::ExitUsage;
    }
    for (const auto &entry : *entries) {
        const auto current = runBlocking(api.get(entry.kind, entry.name, platform::Freshness::Current));
        if (!ok(current) && std::get<Error>(current).code != store::NotFound) {
            return printError(std::get<Error>(current));
        }
        const json before = ok(current) ? ctl::withoutChangeId(std::get<platform::Object>(current).value) : json();
        const auto version = ok(current) ? std::get<platform::Object>(current).version : 0;
        const std::string what = entry.kind + "/" + entry.name + " (version " + std::to_string(version) + ")";
        if (before == entry.value) {
            printf("  %s unchanged\n", what.c_str());
        } else {
            printf("~ %s\n  - %s\n  + %s\n", what.c_str(), before.dump().c_str(), entry.value.dump().c_str());
        }
    }
    return cli::ExitOk;
}

// Sets one field of an entry, given by its JSON pointer.
int edit(platform::ObjectApi &api, const std::vector<std::string> &args, const ctl::Author &author)
{
    const auto current = runBlocking(api.get(args[1], args[2], platform::Freshness::Current));
    if (!ok(current)) {
        return printError(std::get<Error>(current));
    }
    const auto &object = std::get<platform::Object>(current);
    json value = ctl::withoutChangeId(object.value);
    auto decoded = decode::text(args[4]);
    Findings findings;
    if (!ok(decoded) && std::get<Error>(decoded).code == decode::OutOfBounds) {
        findings.add(args[3], std::get<Error>(decoded).message);
        return printFindings(args[1] + "/" + args[2], findings);
    }
    const json field = ok(decoded) ? std::get<json>(decoded) : json(args[4]); // text that is not JSON is taken as a string
    try {
        value[json::json_pointer(args[3])] = field;
    } catch (const json::exception &e) {
        findings.add(args[3], e.what());
    }
    if (findings.empty()) {
        catalogue::check(args[1], value, "", findings);
    }
    if (!findings.empty()) {
        return printFindings(args[1] + "/" + args[2], findings);
    }
    return printChange(runBlocking(ctl::applyEntry(api, {args[1], args[2], value, object.version}, author)));
}

int removeEntry(platform::ObjectApi &api, const std::vector<std::string> &args)
{
    const auto r = runBlocking(api.remove(args[1], args[2], std::strtoull(args[3].c_str(), nullptr, 10)));
    if (!ok(r)) {
        return printError(std::get<Error>(r));
    }
    printf("%s/%s removed\n", args[1].c_str(), args[2].c_str());
    return cli::ExitOk;
}

int history(platform::ObjectApi &api, const std::string &kind, const std::string &name)
{
    const auto lines = runBlocking(ctl::history(api, kind, name));
    if (!ok(lines)) {
        return printError(std::get<Error>(lines));
    }
    for (const auto &line : std::get<std::vector<ctl::AuditLine>>(lines)) {
        const auto &r = line.record;
        printf("%s: version %llu by %s at %lld: %s\n  - %s\n  + %s\n", line.outcome.c_str(),
               static_cast<unsigned long long>(decode::fieldOr<uint64_t>(r, "version", 0)), decode::fieldOr<std::string>(r, "author", {}).c_str(),
               static_cast<long long>(decode::fieldOr<int64_t>(r, "at", 0)), decode::fieldOr<std::string>(r, "reason", {}).c_str(),
               r.value("before", json()).dump().c_str(), r.value("after", json()).dump().c_str());
    }
    return cli::ExitOk;
}

// Ends the quarantine of a request. Routers notice it within 30 seconds.
int release(platform::ObjectApi &api, const std::string &content, const ctl::Author &author)
{
    const auto current = runBlocking(api.get(quarantine::recordKind, content, platform::Freshness::Current));
    if (!ok(current)) {
        return printError(std::get<Error>(current));
    }
    const auto version = std::get<platform::Object>(current).version;
    const auto r = runBlocking(api.put(quarantine::recordKind, content, quarantine::makeReleaseRecord(author.name, author.reason), version));
    if (!ok(r)) {
        return printError(std::get<Error>(r));
    }
    printf("%s released\n", content.c_str());
    return cli::ExitOk;
}

int explainRequest(const std::vector<std::string> &args)
{
    explain::TimelineBuilder builder(args[1]);
    for (std::size_t i = 2; i < args.size(); ++i) {
        std::ifstream log(args[i]);
        if (!log) {
            fprintf(stderr, "yucca-ctl: cannot read %s\n", args[i].c_str());
            return cli::ExitFailure;
        }
        builder.read(log, args[i]);
    }
    const auto timeline = builder.finish();
    printf("%s", explain::format(timeline).c_str());
    return timeline.entries.empty() ? cli::ExitFailure : cli::ExitOk;
}

} // namespace

int main(int argc, const char **argv)
{
    cli::CommonOptions common;
    char *host = nullptr;
    int port = -1;
    char *author = nullptr;
    char *reason = nullptr;
    const poptOption programOptions[] = {
        {"host", 'H', POPT_ARG_STRING, &host, 0, "object API address (overrides settings)", "ADDR"},
        {"port", 'p', POPT_ARG_INT, &port, 0, "object API port (overrides settings)", "PORT"},
        {"author", 'a', POPT_ARG_STRING, &author, 0, "who makes the change (audit trail)", "NAME"},
        {"reason", 'm', POPT_ARG_STRING, &reason, 0, "why (audit trail)", "TEXT"},
        POPT_TABLEEND,
    };
    std::vector<std::string> args;
    if (auto rc = cli::parse("yucca-ctl", argc, argv, programOptions, common, args, usage)) {
        return *rc;
    }
    auto s = cli::loadSettings<Settings>(common, parseSettings);
    if (!s) {
        return cli::ExitUsage;
    }
    if (host) {
        s->platform.host = host;
    }
    if (port >= 0) {
        s->platform.port = static_cast<uint16_t>(port);
    }
    if (author || s->author.name.empty()) {
        const char *user = getenv("USER");
        s->author.name = author ? author : (user ? user : "unknown");
    }
    s->author.reason = reason ? reason : "";
    platform::StoreClient api(s->platform);
    const std::string command = args.empty() ? "" : args[0];
    if (command == "get" && args.size() == 3) {
        return get(api, args[1], args[2]);
    }
    if (command == "list" && args.size() == 2) {
        return list(api, args[1]);
    }
    if (command == "apply" && args.size() == 2) {
        return apply(api, args[1], s->author);
    }
    if (command == "diff" && args.size() == 2) {
        return diff(api, args[1]);
    }
    if (command == "edit" && args.size() == 5) {
        return edit(api, args, s->author);
    }
    if (command == "remove" && args.size() == 4) {
        return removeEntry(api, args);
    }
    if (command == "release" && args.size() == 2) {
        return release(api, args[1], s->author);
    }
    if ((command == "evacuate" || command == "return") && args.size() == 2) {
        return orderEvacuation(api, args[1], command == "evacuate", s->author);
    }
    if (command == "evacuations" && args.size() == 1) {
        return printEvacuations(api);
    }
    if (command == "explain" && args.size() >= 3) {
        return explainRequest(args);
    }
    if (command == "history" && args.size() == 3) {
        return history(api, args[1], args[2]);
    }
    fprintf(stderr, "yucca-ctl: unknown command or wrong arguments; see --help\n");
    return cli::ExitUsage;
}
