// yucca-platform: the stand-in for the platform's object API and VM list.
// Versions, conditional writes, watches, rate limits and injected faults;
// state in memory only.
#include "cli.h"
#include "http.h"
#include "log.h"
#include "objstore.h"
#include "platform_client.h"

#include <nlohmann/json.hpp>

#include <deque>
#include <mutex>
#include <thread>

namespace
{

using namespace yucca;
using nlohmann::json;
using Clock = std::chrono::steady_clock;

/// A token bucket: rate tokens a second, a burst of one second's worth.
class TokenBucket
{
public:
    explicit TokenBucket(double rate)
        : m_rate(rate)
        , m_tokens(rate)
    {
    }
    bool take()
    {
        std::lock_guard lock(m_mutex);
        auto now = Clock::now();
        m_tokens = std::min(m_rate, m_tokens + m_rate * std::chrono::duration<double>(now - m_last).count());
        m_last = now;
        if (m_tokens < 1.0) {
            return false;
        }
        m_tokens -= 1.0;
        return true;
    }

private:
    std::mutex m_mutex;
    double m_rate;
    double m_tokens;
    Clock::time_point m_last = Clock::now();
};

/// Faults switched on through POST /admin/faults.
struct Faults {
    bool outage = false;
    int64_t slowMs = 0;
    int64_t loseAnswers = 0; ///< the next N writes take effect and get no answer
};

/// The platform stand-in's state and its HTTP handlers.
class Platform
{
public:
    explicit Platform(const settings::PlatformSettings &s)
        : m_settings(s)
        , m_store(static_cast<std::size_t>(s.watchHistory))
        , m_writes(static_cast<double>(s.writesPerS))
        , m_reads(static_cast<double>(s.readsPerS))
    {
        m_vmHistory.emplace_back(Clock::now() - std::chrono::hours(1), json::array());
    }

    void handle(http::Exchange &ex)
    {
        const std::string path = ex.path();
        if (path.rfind("/admin/", 0) == 0) {
            admin(ex, path);
            return;
        }
        Faults f;
        {
            std::lock_guard lock(m_mutex);
            f = m_faults;
        }
        if (f.outage) {
            ex.reply(503, R"({"error":"object API unavailable"})", {{"Retry-After", "1"}});
            return;
        }
        if (f.slowMs > 0) {
            std::this_thread::sleep_for(std::chrono::milliseconds(f.slowMs));
        }
        const bool write = ex.request().method() != http::bhttp::verb::get;
        if (!(write ? m_writes : m_reads).take()) {
            log::event(log::Event::RateLimited, std::string("op=") + (write ? "write" : "read"));
            ex.reply(429, R"({"error":"rate limited"})", {{"Retry-After", "1"}});
            return;
        }
        if (path.rfind("/v1/objects/", 0) == 0) {
            objects(ex, path.substr(12), write);
        } else if (path == "/v1/watch") {
            watch(ex);
        } else if (path == "/v1/vms") {
            vms(ex);
        } else if (path == "/healthz") {
            ex.reply(200, R"({"ok":true})");
        } else {
            ex.reply(404, R"({"error":"no such path"})");
        }
    }

private:
    static void replyError(http::Exchange &ex, const Error &e)
    {
        ex.reply(static_cast<unsigned>(e.code), json{{"error", e.message}}.dump());
    }

    // GET, PUT and DELETE of /v1/objects/{kind}[/{name}].
    void objects(http::Exchange &ex, const std::string &rest, bool write)
    {
        auto slash = rest.find('/');
        std::string kind = rest.substr(0, slash);
        std::string name = slash == std::string::npos ? "" : rest.substr(slash + 1);
        std::optional<uint64_t> ifVersion;
        if (auto v = ex.query("ifVersion"); !v.empty()) {
            ifVersion = std::stoull(v);
        }
        const auto method = ex.request().method();
        if (name.empty() && method == http::bhttp::verb::get) {
            auto l = m_store.list(kind);
            json items = json::array();
            for (const auto &o : l.items) {
                items.push_back(store::toJson(o));
            }
            ex.reply(200, json{{"revision", l.revision}, {"items", items}}.dump());
            return;
        }
        Result<store::Object> r = Error{400, "bad request"};
        if (method == http::bhttp::verb::get) {
            r = m_store.get(kind, name);
        } else if (method == http::bhttp::verb::put) {
            json value = json::parse(ex.request().body(), nullptr, false);
            if (value.is_discarded()) {
                replyError(ex, Error{400, "body is not JSON"});
                return;
            }
            r = m_store.put(kind, name, value, ifVersion);
        } else if (method == http::bhttp::verb::delete_) {
            r = m_store.remove(kind, name, ifVersion);
        }
        if (write && ok(r) && loseAnswer()) {
            ex.drop(); // the write took effect; its answer is lost
            return;
        }
        if (!ok(r)) {
            replyError(ex, std::get<Error>(r));
            return;
        }
        ex.reply(200, store::toJson(std::get<store::Object>(r)).dump());
    }

    bool loseAnswer()
    {
        std::lock_guard lock(m_mutex);
        if (m_faults.loseAnswers > 0) {
            --m_faults.loseAnswers;
            return true;
        }
        return false;
    }

    // A long-polling watch: the changes after ?from= of ?kinds=a,b (all
    // when absent), waiting up to ?timeoutMs=.
    void watch(http::Exchange &ex)
    {
        uint64_t from = std::stoull(ex.query("from", "0"));
        auto timeout = std::chrono::milliseconds(std::min<int64_t>(std::stoll(ex.query("timeoutMs", "1000")), 30000));
        std::vector<std::string> kinds;
        std::string list = ex.query("kinds");
        for (std::size_t at = 0; !list.empty() && at <= list.size();) {
            auto comma = list.find(',', at);
            kinds.push_back(list.substr(at, comma == std::string::npos ? std::string::npos : comma - at));
            at = comma == std::string::npos ? list.size() + 1 : comma + 1;
        }
        m_store.waitPast(from, timeout, kinds);
        auto r = m_store.since(from, kinds);
        if (!ok(r)) {
            replyError(ex, std::get<Error>(r));
            return;
        }
        const auto &b = std::get<store::WatchBatch>(r);
        json events = json::array();
        for (const auto &e : b.events) {
            events.push_back({{"deleted", e.deleted}, {"revision", e.revision}, {"object", store::toJson(e.object)}});
        }
        ex.reply(200, json{{"revision", b.revision}, {"events", events}}.dump());
    }

    // The VM list, with an entity tag: a caller that names the tag it
    // holds gets 304 and no body while the list is unchanged.
    void vms(http::Exchange &ex)
    {
        std::string body = json{{"vms", laggedVms()}}.dump();
        std::string tag = "\"" + std::to_string(std::hash<std::string>{}(body)) + "\"";
        if (ex.header("if-none-match") == tag) {
            ex.reply(304, "", {{"ETag", tag}});
            return;
        }
        ex.reply(200, body, {{"ETag", tag}});
    }

    // The VM list as it stood vmListLagMs ago.
    json laggedVms()
    {
        std::lock_guard lock(m_mutex);
        auto cutoff = Clock::now() - std::chrono::milliseconds(m_settings.vmListLagMs);
        json current = m_vmHistory.front().second;
        for (const auto &[t, list] : m_vmHistory) {
            if (t <= cutoff) {
                current = list;
            }
        }
        return current;
    }

    // /admin/vms/{id} (PUT an endpoint, DELETE it) and /admin/faults.
    void admin(http::Exchange &ex, const std::string &path)
    {
        json body = json::parse(ex.request().body().empty() ? "{}" : ex.request().body(), nullptr, false);
        if (body.is_discarded()) {
            replyError(ex, Error{400, "body is not JSON"});
            return;
        }
        std::lock_guard lock(m_mutex);
        if (path == "/admin/faults") {
            m_faults.outage = body.value("outage", false);
            m_faults.slowMs = body.value("slowMs", int64_t{0});
            m_faults.loseAnswers = body.value("loseAnswers", int64_t{0});
            log::event(log::Event::FaultSet, body.dump());
            ex.reply(200, body.dump());
            return;
        }
        if (path.rfind("/admin/vms/", 0) == 0) {
            std::string id = path.substr(11);
            json list = json::array();
            for (const auto &vm : m_vmHistory.back().second) {
                if (vm.value("id", "") != id) {
                    list.push_back(vm);
                }
            }
            if (ex.request().method() == http::bhttp::verb::put) {
                body["id"] = id;
                list.push_back(platform::toJson(platform::endpointFromJson(body)));
            }
            auto now = Clock::now();
            m_vmHistory.emplace_back(now, list);
            while (m_vmHistory.size() > 2 && m_vmHistory[1].first < now - std::chrono::milliseconds(m_settings.vmListLagMs) - std::chrono::seconds(5)) {
                m_vmHistory.pop_front();
            }
            ex.reply(200, json{{"vms", list}}.dump());
            return;
        }
        replyError(ex, Error{404, "no such admin path"});
    }

    settings::PlatformSettings m_settings;
    store::ObjectStore m_store;
    TokenBucket m_writes;
    TokenBucket m_reads;
    std::mutex m_mutex;
    Faults m_faults;
    std::deque<std::pair<Clock::time_point, json>> m_vmHistory;
};

} // namespace

int main(int argc, const char **argv)
{
    cli::Common common;
    int port = -1;
    const poptOption own[] = {
        {"port", 'p', POPT_ARG_INT, &port, 0, "listen port (overrides settings)", "PORT"},
        POPT_TABLEEND,
    };
    std::vector<std::string> rest;
    if (auto rc = cli::parse("yucca-platform", argc, argv, own, common, rest)) {
        return *rc;
    }
    auto s = cli::loadSettings<settings::PlatformSettings>(common, settings::parsePlatform);
    if (!s) {
        return cli::ExitUsage;
    }
    if (port >= 0) {
        s->listen.port = static_cast<uint16_t>(port);
    }
    log::init("yucca-platform", s->logLevel);
    Platform platform(*s);
    http::Server server(s->listen.host, s->listen.port, [&](http::Exchange &ex) {
        platform.handle(ex);
    });
    auto bound = server.start();
    if (!ok(bound)) {
        fprintf(stderr, "yucca-platform: %s\n", std::get<Error>(bound).message.c_str());
        return cli::ExitFailure;
    }
    log::event(log::Event::ProgramStarted, "port=" + std::to_string(std::get<uint16_t>(bound)));
    cli::awaitStopSignal();
    server.stopAccepting();
    server.waitIdle(std::chrono::seconds(3));
    log::event(log::Event::ProgramStopped);
    return cli::ExitOk;
}
