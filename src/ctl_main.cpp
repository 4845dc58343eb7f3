// yucca-ctl: the operators' command line for the catalogue. Every change
// is a conditional update; a lost race is reported with the current
// version, never overwritten. Each accepted change leaves an audit record.
#include "catalogue.h"
#include "cli.h"
#include "platform_client.h"

#include <nlohmann/json.hpp>

#include <cstdio>
#include <cstring>
#include <unistd.h>

namespace
{

using namespace yucca;
using nlohmann::json;

constexpr const char *usage = "COMMAND ...\n"
                              "  get KIND NAME          print an entry with its version\n"
                              "  list KIND              print all entries of a kind\n"
                              "  apply FILE             create or update the entries in FILE (JSON with comments)\n"
                              "  diff FILE              show what apply would change\n"
                              "  history KIND NAME      print the audit records of an entry";

/// Options of yucca-ctl.
struct Options {
    char *host = nullptr;
    int port = 7400;
    char *author = nullptr;
    char *reason = nullptr;
};

/// One entry of an apply file. ifVersion: absent = take the current version
/// when the entry was read by diff/get; 0 = must not exist yet.
struct Entry {
    std::string kind;
    std::string name;
    json value;
    std::optional<uint64_t> ifVersion;
};

// Reads and checks an apply file; every problem is reported together.
std::optional<std::vector<Entry>> readEntries(const std::string &path)
{
    Findings findings;
    json doc = settings::loadFile(path, findings);
    std::vector<Entry> out;
    json list = doc.is_array() ? doc : json::array({doc});
    for (std::size_t i = 0; i < list.size() && findings.empty(); ++i) {
        const auto &j = list[i];
        std::string where = "/" + std::to_string(i);
        if (!j.is_object()) {
            findings.add(where, "must be an object");
            continue;
        }
        Entry e;
        e.kind = j.value("kind", "");
        e.name = j.value("name", "");
        e.value = j.contains("value") ? j["value"] : json();
        if (j.contains("ifVersion")) {
            e.ifVersion = j["ifVersion"].get<uint64_t>();
        }
        for (auto it = j.begin(); it != j.end(); ++it) {
            if (it.key() != "kind" && it.key() != "name" && it.key() != "value" && it.key() != "ifVersion") {
                findings.add(where + "/" + it.key(), "unknown key");
            }
        }
        if (e.name.empty()) {
            findings.add(where + "/name", "required");
        }
        catalogue::check(e.kind, e.value, where + "/value", findings);
        out.push_back(std::move(e));
    }
    if (!findings.empty()) {
        fprintf(stderr, "%s: rejected (%zu problems):\n%s", path.c_str(), findings.items().size(), findings.report().c_str());
        return std::nullopt;
    }
    return out;
}

int printError(const Error &e)
{
    fprintf(stderr, "yucca-ctl: %s (code %d)\n", e.message.c_str(), e.code);
    return e.code == store::Conflict ? cli::ExitConflict : cli::ExitFailure;
}

// Writes the audit record of an accepted change; the name is unique per version.
void audit(platform::ObjectApi &api, const Entry &e, const platform::Object &written, const json &before, const Options &o)
{
    json record{{"kind", e.kind},
                {"name", e.name},
                {"version", written.version},
                {"before", before},
                {"after", e.value},
                {"author", o.author ? o.author : (getenv("USER") ? getenv("USER") : "unknown")},
                {"reason", o.reason ? o.reason : ""},
                {"at", std::time(nullptr)}};
    std::string name = e.kind + "." + e.name + "." + std::to_string(written.version);
    auto r = api.put(catalogue::auditKind, name, record, 0);
    if (!ok(r)) {
        fprintf(stderr, "yucca-ctl: warning: audit record %s not written: %s\n", name.c_str(), std::get<Error>(r).message.c_str());
    }
}

int apply(platform::ObjectApi &api, const std::vector<Entry> &entries, const Options &o, bool dryRun)
{
    int rc = cli::ExitOk;
    for (const auto &e : entries) {
        auto current = api.get(e.kind, e.name);
        json before;
        uint64_t version = 0;
        if (ok(current)) {
            before = std::get<platform::Object>(current).value;
            version = std::get<platform::Object>(current).version;
        } else if (std::get<Error>(current).code != store::NotFound) {
            return printError(std::get<Error>(current));
        }
        if (dryRun) {
            if (before == e.value) {
                printf("  %s/%s unchanged (version %llu)\n", e.kind.c_str(), e.name.c_str(), static_cast<unsigned long long>(version));
            } else {
                printf("~ %s/%s version %llu\n  - %s\n  + %s\n", e.kind.c_str(), e.name.c_str(), static_cast<unsigned long long>(version),
                       before.dump().c_str(), e.value.dump().c_str());
            }
            continue;
        }
        if (before == e.value) {
            printf("%s/%s unchanged at version %llu\n", e.kind.c_str(), e.name.c_str(), static_cast<unsigned long long>(version));
            continue;
        }
        // The write is conditional on the version read (or the file's own).
        uint64_t expected = e.ifVersion.value_or(version);
        auto r = api.put(e.kind, e.name, e.value, expected);
        if (!ok(r)) {
            const auto &err = std::get<Error>(r);
            if (err.code == store::Conflict) {
                fprintf(stderr, "yucca-ctl: %s/%s was changed by someone else: %s; nothing written. Read it again (get), then apply.\n", e.kind.c_str(),
                        e.name.c_str(), err.message.c_str());
                rc = cli::ExitConflict;
                continue;
            }
            if (err.code == store::AnswerLost) {
                fprintf(stderr, "yucca-ctl: %s/%s: the answer was lost; the change may have been applied. Run get to see.\n", e.kind.c_str(), e.name.c_str());
                rc = cli::ExitFailure;
                continue;
            }
            return printError(err);
        }
        const auto &written = std::get<platform::Object>(r);
        audit(api, e, written, before, o);
        printf("%s/%s applied at version %llu\n", e.kind.c_str(), e.name.c_str(), static_cast<unsigned long long>(written.version));
    }
    return rc;
}

int history(platform::ObjectApi &api, const std::string &kind, const std::string &name)
{
    auto r = api.list(catalogue::auditKind);
    if (!ok(r)) {
        return printError(std::get<Error>(r));
    }
    auto items = std::get<platform::Listing>(r).items;
    std::sort(items.begin(), items.end(), [](const auto &a, const auto &b) {
        return a.value.value("version", 0ull) < b.value.value("version", 0ull);
    });
    for (const auto &a : items) {
        if (a.value.value("kind", "") == kind && a.value.value("name", "") == name) {
            printf("version %llu by %s at %lld: %s\n  %s\n", static_cast<unsigned long long>(a.value.value("version", 0ull)),
                   a.value.value("author", "").c_str(), static_cast<long long>(a.value.value("at", 0ll)), a.value.value("reason", "").c_str(),
                   a.value["after"].dump().c_str());
        }
    }
    return cli::ExitOk;
}

} // namespace

int main(int argc, const char **argv)
{
    cli::Common common;
    Options o;
    const poptOption own[] = {
        {"host", 'H', POPT_ARG_STRING, &o.host, 0, "object API address (default 127.0.0.1)", "ADDR"},
        {"port", 'p', POPT_ARG_INT, &o.port, 0, "object API port (default 7400)", "PORT"},
        {"author", 'a', POPT_ARG_STRING, &o.author, 0, "who makes the change (audit trail)", "NAME"},
        {"reason", 'm', POPT_ARG_STRING, &o.reason, 0, "why (audit trail)", "TEXT"},
        POPT_TABLEEND,
    };
    std::vector<std::string> args;
    if (auto rc = cli::parse("yucca-ctl", argc, argv, own, common, args, usage)) {
        return *rc;
    }
    if (args.empty()) {
        fprintf(stderr, "yucca-ctl: a command is required; see --help\n");
        return cli::ExitUsage;
    }
    platform::HttpObjectApi api(o.host ? o.host : "127.0.0.1", static_cast<uint16_t>(o.port));
    const std::string &cmd = args[0];
    if (cmd == "get" && args.size() == 3) {
        auto r = api.get(args[1], args[2]);
        if (!ok(r)) {
            return printError(std::get<Error>(r));
        }
        printf("%s\n", store::toJson(std::get<platform::Object>(r)).dump(2).c_str());
        return cli::ExitOk;
    }
    if (cmd == "list" && args.size() == 2) {
        auto r = api.list(args[1]);
        if (!ok(r)) {
            return printError(std::get<Error>(r));
        }
        for (const auto &obj : std::get<platform::Listing>(r).items) {
            printf("%s\n", store::toJson(obj).dump().c_str());
        }
        return cli::ExitOk;
    }
    if ((cmd == "apply" || cmd == "diff") && args.size() == 2) {
        auto entries = readEntries(args[1]);
        if (!entries) {
            return cli::ExitUsage;
        }
        return apply(api, *entries, o, cmd == "diff");
    }
    if (cmd == "history" && args.size() == 3) {
        return history(api, args[1], args[2]);
    }
    fprintf(stderr, "yucca-ctl: unknown command or wrong arguments: %s; see --help\n", cmd.c_str());
    return cli::ExitUsage;
}
