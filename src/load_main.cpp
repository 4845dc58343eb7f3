// yucca-load: the load and experiment tool. Drives returning conversations
// through the routers on loopback, bounded in count and time, checks every
// answer, and reports the brief's measures as JSON.
#include "cli.h"
#include "engine_core.h"
#include "http.h"
#include "platform_client.h"
#include "prefix.h"
#include "yucca/ring.h"

#include <boost/histogram.hpp>
#include <nlohmann/json.hpp>

#include <condition_variable>
#include <cstdio>
#include <queue>
#include <random>
#include <thread>

namespace
{

using namespace yucca;
using nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr int maxCallerRetries = 3; ///< a caller retries a not-run answer at most this often
constexpr int largeWorkspaces = 3; ///< the few large workspaces
constexpr int largeShare = 60; ///< percent of conversations in them

/// The experiment, from the command line.
struct Options {
    char *routers = nullptr; ///< "host:port,host:port"
    char *platformHost = nullptr;
    int platformPort = 7400;
    int workspaces = 10;
    int conversations = 200;
    int turns = 4;
    int maxRequests = 2000;
    int durationS = 30;
    int concurrency = 16;
    int pauseMinMs = 50;
    int pauseMaxMs = 400;
    int maxTokens = 12;
    int servicePct = 10; ///< share of turns that also book through the service
    int drainAtS = -1;
    char *drainEngine = nullptr;
    int migrateAtS = -1; ///< when the class of work moves to another pool
    char *migrateClass = nullptr;
    char *migratePool = nullptr;
    char *label = nullptr;
};

struct Target {
    std::string host;
    uint16_t port;
};

/// One returning conversation.
struct Conversation {
    int id = 0;
    std::string workspace;
    json messages = json::array();
    int turnsDone = 0;
};

/// Everything measured, guarded by one mutex.
struct Tally {
    std::mutex mutex;
    uint64_t served = 0, failed = 0, notRun = 0, unknown = 0, wrong = 0, retries = 0;
    uint64_t returningPrompt = 0, returningCached = 0;
    uint64_t movedPrompt = 0, movedCached = 0; ///< returning turns after the provider move
    uint64_t booked = 0, replayed = 0;
    decltype(boost::histogram::make_histogram(boost::histogram::axis::regular<>(300, 0.0, 3000.0))) ttft =
        boost::histogram::make_histogram(boost::histogram::axis::regular<>(300, 0.0, 3000.0));
    std::vector<std::string> problems;
};

std::vector<Target> parseTargets(const std::string &list)
{
    std::vector<Target> out;
    std::size_t at = 0;
    while (at < list.size()) {
        auto comma = list.find(',', at);
        std::string item = list.substr(at, comma == std::string::npos ? std::string::npos : comma - at);
        auto colon = item.rfind(':');
        if (colon != std::string::npos) {
            out.push_back({item.substr(0, colon), static_cast<uint16_t>(std::stoi(item.substr(colon + 1)))});
        }
        if (comma == std::string::npos) {
            break;
        }
        at = comma + 1;
    }
    return out;
}

// The quantile q of a histogram, by the upper edge of the bin that reaches it.
double quantile(const Tally &t, double q)
{
    double total = 0;
    for (auto &&x : boost::histogram::indexed(t.ttft)) {
        total += *x;
    }
    double seen = 0;
    for (auto &&x : boost::histogram::indexed(t.ttft)) {
        seen += *x;
        if (total > 0 && seen >= q * total) {
            return x.bin().upper();
        }
    }
    return 0;
}

/// Runs the experiment.
class Experiment
{
public:
    Experiment(const Options &o, std::vector<Target> routers)
        : m_o(o)
        , m_routers(std::move(routers))
        , m_platform(o.platformHost ? o.platformHost : "127.0.0.1", static_cast<uint16_t>(o.platformPort))
    {
        std::mt19937 rng(7);
        std::uniform_int_distribution<int> pct(0, 99);
        for (int c = 0; c < o.conversations; ++c) {
            Conversation conv;
            conv.id = c;
            int ws = pct(rng) < largeShare ? c % largeWorkspaces : largeWorkspaces + c % std::max(1, o.workspaces - largeWorkspaces);
            conv.workspace = "ws-" + std::to_string(ws % o.workspaces);
            conv.messages.push_back({{"role", "system"}, {"content", "You are the counsel assistant of " + conv.workspace + " for household debt questions."}});
            m_conversations.push_back(conv);
            m_due.push({Clock::now(), c});
        }
    }

    json run()
    {
        m_started = Clock::now();
        std::vector<std::thread> workers;
        for (int w = 0; w < m_o.concurrency; ++w) {
            workers.emplace_back([this, w] {
                work(w);
            });
        }
        std::thread drainer;
        if (m_o.drainAtS >= 0 && m_o.drainEngine) {
            drainer = std::thread([this] {
                drainLater();
            });
        }
        std::thread mover;
        if (m_o.migrateAtS >= 0 && m_o.migrateClass && m_o.migratePool) {
            mover = std::thread([this] {
                migrateLater();
            });
        }
        for (auto &t : workers) {
            t.join();
        }
        m_done = true;
        if (drainer.joinable()) {
            drainer.join();
        }
        if (mover.joinable()) {
            mover.join();
        }
        return report();
    }

private:
    bool timeUp() const
    {
        return Clock::now() - m_started > std::chrono::seconds(m_o.durationS);
    }

    // Takes the next conversation whose pause is over; -1 when the run ends.
    int next()
    {
        std::unique_lock lock(m_mutex);
        for (;;) {
            if (m_issued >= m_o.maxRequests || timeUp() || m_due.empty()) {
                return -1;
            }
            auto [due, c] = m_due.top();
            if (due <= Clock::now()) {
                m_due.pop();
                ++m_issued;
                return c;
            }
            m_wake.wait_until(lock, std::min(due, Clock::now() + std::chrono::milliseconds(100)));
        }
    }

    void reschedule(int c, int rngSeed)
    {
        std::mt19937 rng(static_cast<unsigned>(rngSeed));
        std::uniform_int_distribution<int> pause(m_o.pauseMinMs, m_o.pauseMaxMs);
        std::lock_guard lock(m_mutex);
        if (m_conversations[c].turnsDone < m_o.turns) {
            m_due.push({Clock::now() + std::chrono::milliseconds(pause(rng)), c});
        }
        m_wake.notify_all();
    }

    void work(int worker)
    {
        uint64_t n = 0;
        for (int c; (c = next()) >= 0; ++n) {
            Conversation conv;
            {
                std::lock_guard lock(m_mutex);
                conv = m_conversations[c];
            }
            conv.messages.push_back({{"role", "user"}, {"content", question(conv)}});
            auto answer = turn(conv, worker + static_cast<int>(n) * m_o.concurrency);
            if (answer) {
                conv.messages.push_back({{"role", "assistant"}, {"content", *answer}});
                if (static_cast<int>(ring::hash(std::to_string(c) + "/" + std::to_string(conv.turnsDone)) % 100) < m_o.servicePct) {
                    book(conv);
                }
            } else {
                conv.messages.erase(conv.messages.size() - 1);
            }
            ++conv.turnsDone;
            {
                std::lock_guard lock(m_mutex);
                m_conversations[c] = conv;
            }
            reschedule(c, c * 131 + conv.turnsDone);
        }
    }

    static std::string question(const Conversation &conv)
    {
        std::string q = "conversation " + std::to_string(conv.id) + " turn " + std::to_string(conv.turnsDone) + " asks:";
        for (int i = 0; i < 24; ++i) {
            q += " q" + std::to_string(ring::hash(std::to_string(conv.id * 1000 + conv.turnsDone * 50 + i)) % 997);
        }
        return q;
    }

    const Target &router(int salt) const
    {
        return m_routers[static_cast<std::size_t>(salt) % m_routers.size()]; // the balancer spreads callers
    }

    // One chat turn, retried by the caller after a not-run answer. Returns
    // the answer when it came whole and right.
    std::optional<std::string> turn(const Conversation &conv, int salt)
    {
        const bool stream = (salt % 2) == 0;
        const std::string prompt = prefix::promptText(conv.messages);
        std::string expected;
        for (const auto &t : engine::answerTokens(ring::hash(prompt), static_cast<std::size_t>(m_o.maxTokens))) {
            expected += t + " ";
        }
        json body{{"model", "counsel"}, {"messages", conv.messages}, {"max_tokens", m_o.maxTokens}, {"stream", stream}};
        const std::string rid = "r" + std::to_string(conv.id) + "-" + std::to_string(conv.turnsDone) + "-" + std::to_string(salt);
        for (int attempt = 0; attempt <= maxCallerRetries; ++attempt) {
            const auto &t = router(salt + attempt);
            auto began = Clock::now();
            std::optional<Clock::time_point> first;
            std::string raw;
            unsigned status = 0;
            http::Request req{http::bhttp::verb::post, "/v1/chat/completions", 11};
            req.set("x-workspace", conv.workspace);
            req.set("x-request-id", rid);
            req.set(http::bhttp::field::content_type, "application/json");
            req.body() = body.dump();
            std::string retryAfter;
            auto r = http::stream(
                t.host, t.port, std::move(req), std::chrono::seconds(20),
                [&](const http::bhttp::response_header<> &h) {
                    status = h.result_int();
                    retryAfter = std::string(h["retry-after"]);
                },
                [&](std::string_view d) {
                    if (!first) {
                        first = Clock::now();
                    }
                    raw += d;
                    return true;
                });
            std::lock_guard lock(m_tally.mutex);
            if (auto *err = std::get_if<http::CallError>(&r); err || status == 0) {
                ++m_tally.failed;
                m_tally.problems.push_back(rid + ": transport error " + (err ? err->message : std::string()));
                return std::nullopt;
            }
            if (status != 200) {
                auto j = json::parse(raw, nullptr, false);
                std::string outcome = j.is_object() ? j.value("outcome", "") : "";
                if (outcome == "not_run" && attempt < maxCallerRetries) {
                    ++m_tally.notRun;
                    ++m_tally.retries;
                    m_tally.mutex.unlock();
                    std::this_thread::sleep_for(std::chrono::milliseconds(200));
                    m_tally.mutex.lock();
                    continue;
                }
                ++(outcome == "not_run" ? m_tally.notRun : m_tally.failed);
                m_tally.problems.push_back(rid + ": status " + std::to_string(status) + " " + raw.substr(0, 120));
                return std::nullopt;
            }
            auto got = stream ? parseStream(raw) : parseWhole(raw);
            if (!got.complete) {
                ++m_tally.failed;
                m_tally.problems.push_back(rid + ": incomplete answer");
                return std::nullopt;
            }
            if (got.content != expected || got.id != "chatcmpl-" + rid) {
                ++m_tally.wrong;
                m_tally.problems.push_back(rid + ": wrong answer (id " + got.id + ")");
                return std::nullopt;
            }
            ++m_tally.served;
            m_tally.ttft(std::chrono::duration<double, std::milli>(first.value_or(Clock::now()) - began).count());
            if (conv.turnsDone > 0) {
                m_tally.returningPrompt += got.promptTokens;
                m_tally.returningCached += got.cachedTokens;
                if (m_moved) {
                    m_tally.movedPrompt += got.promptTokens;
                    m_tally.movedCached += got.cachedTokens;
                }
            }
            return got.content;
        }
        return std::nullopt;
    }

    struct Parsed {
        bool complete = false;
        std::string id;
        std::string content;
        uint64_t promptTokens = 0;
        uint64_t cachedTokens = 0;
    };

    static void readUsage(const json &u, Parsed &p)
    {
        p.promptTokens = u.value("prompt_tokens", uint64_t{0});
        p.cachedTokens = u.contains("prompt_tokens_details") ? u["prompt_tokens_details"].value("cached_tokens", uint64_t{0}) : 0;
    }

    static Parsed parseWhole(const std::string &raw)
    {
        Parsed p;
        auto j = json::parse(raw, nullptr, false);
        if (!j.is_object() || !j.contains("choices")) {
            return p;
        }
        p.id = j.value("id", "");
        p.content = j["choices"][0]["message"].value("content", "");
        readUsage(j.value("usage", json::object()), p);
        p.complete = true;
        return p;
    }

    // Reads server-sent events; complete only when [DONE] arrived.
    static Parsed parseStream(const std::string &raw)
    {
        Parsed p;
        std::size_t at = 0;
        while (at < raw.size()) {
            auto end = raw.find("\n\n", at);
            if (end == std::string::npos) {
                break;
            }
            std::string event = raw.substr(at, end - at);
            at = end + 2;
            if (event.rfind("data: ", 0) != 0) {
                continue;
            }
            std::string data = event.substr(6);
            if (data == "[DONE]") {
                p.complete = true;
                break;
            }
            auto j = json::parse(data, nullptr, false);
            if (!j.is_object()) {
                continue;
            }
            p.id = j.value("id", p.id);
            const auto &delta = j["choices"][0]["delta"];
            if (delta.contains("content")) {
                p.content += delta["content"].get<std::string>();
            }
            if (j.contains("usage")) {
                readUsage(j["usage"], p);
            }
        }
        return p;
    }

    // A booking through the plain service, with an Idempotency-Key; the
    // caller sends it twice (a retry after a lost answer), which must run once.
    void book(const Conversation &conv)
    {
        const std::string key = std::string(m_o.label ? m_o.label : "run") + "-book-" + std::to_string(conv.id) + "-" + std::to_string(conv.turnsDone);
        json body{{"household", conv.id}, {"slot", conv.turnsDone}};
        for (int copy = 0; copy < 2; ++copy) {
            const auto &t = router(conv.id + copy);
            auto r = http::call(t.host, t.port, "POST", "/v1/ops/book", body.dump(), std::chrono::seconds(10),
                                {{"x-workspace", "scheduler"}, {"idempotency-key", key}});
            std::lock_guard lock(m_tally.mutex);
            auto *reply = std::get_if<http::Reply>(&r);
            if (!reply || reply->status != 200) {
                std::string outcome = reply ? json::parse(reply->body, nullptr, false).value("outcome", "") : "";
                ++(outcome == "not_run" ? m_tally.notRun : (outcome == "unknown" ? m_tally.unknown : m_tally.failed));
                m_tally.problems.push_back(key + ": booking status " + std::to_string(reply ? reply->status : 0));
                continue;
            }
            ++(reply->header("x-idempotent-replay") == "true" ? m_tally.replayed : m_tally.booked);
        }
    }

    // The scenario's engine leaving: the drain order to the engine, and the
    // platform's VM list marking it as leaving.
    void drainLater()
    {
        if (!sleepUntil(m_o.drainAtS)) {
            return;
        }
        auto vms = m_platform.vms();
        if (!ok(vms)) {
            return;
        }
        for (auto e : std::get<std::vector<Endpoint>>(vms)) {
            if (e.id != m_o.drainEngine) {
                continue;
            }
            // The fencing number grows with time, as a lease's would.
            auto fence =
                static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
            http::call(e.host, e.port, "POST", "/admin/order", json{{"kind", "drain"}, {"fence", fence}, {"holder", "yucca-load"}}.dump(),
                       std::chrono::seconds(2));
            e.state = EndpointState::Leaving;
            http::call(m_o.platformHost ? m_o.platformHost : "127.0.0.1", static_cast<uint16_t>(m_o.platformPort), "PUT", "/admin/vms/" + e.id,
                       platform::toJson(e).dump(), std::chrono::seconds(2));
            fprintf(stderr, "yucca-load: engine %s told to drain at %ds\n", e.id.c_str(), m_o.drainAtS);
        }
    }

    // Sleeps until `seconds` into the run; false when the run ended first.
    bool sleepUntil(int seconds)
    {
        while (!m_done && Clock::now() - m_started < std::chrono::seconds(seconds)) {
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
        return !m_done;
    }

    // The provider move: the class of work is pointed at another pool by a
    // conditional catalogue write, as an operator's yucca-ctl apply would.
    void migrateLater()
    {
        if (!sleepUntil(m_o.migrateAtS)) {
            return;
        }
        platform::HttpObjectApi api(m_o.platformHost ? m_o.platformHost : "127.0.0.1", static_cast<uint16_t>(m_o.platformPort));
        auto current = api.get("class", m_o.migrateClass);
        if (!ok(current)) {
            fprintf(stderr, "yucca-load: class %s not found; no move\n", m_o.migrateClass);
            return;
        }
        auto obj = std::get<platform::Object>(current);
        obj.value["pool"] = m_o.migratePool;
        auto r = api.put("class", m_o.migrateClass, obj.value, obj.version);
        m_moved = ok(r);
        fprintf(stderr, "yucca-load: class %s moved to pool %s at %ds: %s\n", m_o.migrateClass, m_o.migratePool, m_o.migrateAtS, m_moved ? "ok" : "refused");
    }

    json report()
    {
        json engines = json::array();
        std::vector<double> served;
        int64_t duplicates = 0;
        int64_t lateArrivals = 0;
        auto vms = m_platform.vms();
        if (ok(vms)) {
            for (const auto &e : std::get<std::vector<Endpoint>>(vms)) {
                auto path = e.kind == EndpointKind::Engine ? "/stats" : "/v1/executions";
                auto r = http::call(e.host, e.port, "GET", path, "", std::chrono::seconds(2));
                if (auto *reply = std::get_if<http::Reply>(&r)) {
                    auto j = json::parse(reply->body, nullptr, false);
                    if (e.kind == EndpointKind::Engine) {
                        // Skew is over the engines that stayed: one that left mid-run served less by design.
                        if (!j.value("draining", false)) {
                            served.push_back(j.value("served", 0.0));
                        }
                        for (auto ms : j.value("arrivalsAfterDrainMs", std::vector<int64_t>{})) {
                            lateArrivals += ms > 3000 ? 1 : 0;
                        }
                    } else {
                        duplicates += static_cast<int64_t>(j.value("duplicates", json::array()).size());
                    }
                    engines.push_back(j);
                }
            }
        }
        double mean = 0, peak = 0;
        for (auto s : served) {
            mean += s / static_cast<double>(served.size());
            peak = std::max(peak, s);
        }
        double control = 0, records = 0;
        for (const auto &t : m_routers) {
            auto r = http::call(t.host, t.port, "GET", "/status", "", std::chrono::seconds(2));
            if (auto *reply = std::get_if<http::Reply>(&r)) {
                auto j = json::parse(reply->body, nullptr, false);
                control += j.value("controlBytesPerS", 0.0) / static_cast<double>(m_routers.size());
                records += j.value("recordBytesPerS", 0.0) / static_cast<double>(m_routers.size());
            }
        }
        std::lock_guard lock(m_tally.mutex);
        json out{{"label", m_o.label ? m_o.label : ""},
                 {"served", m_tally.served},
                 {"failed", m_tally.failed + m_tally.wrong},
                 {"wrong", m_tally.wrong},
                 {"not_run", m_tally.notRun},
                 {"unknown", m_tally.unknown},
                 {"caller_retries", m_tally.retries},
                 {"booked", m_tally.booked},
                 {"replayed", m_tally.replayed},
                 {"duplicates", duplicates},
                 {"arrivals_3s_after_drain", lateArrivals},
                 {"cache_reuse", m_tally.returningPrompt ? static_cast<double>(m_tally.returningCached) / static_cast<double>(m_tally.returningPrompt) : 0.0},
                 {"cache_reuse_after_move", m_tally.movedPrompt ? static_cast<double>(m_tally.movedCached) / static_cast<double>(m_tally.movedPrompt) : 0.0},
                 {"moved", m_moved.load()},
                 {"skew", mean > 0 ? peak / mean : 0.0},
                 {"control_bytes_per_s_per_router", control},
                 {"record_bytes_per_s_per_router", records},
                 {"ttft_ms", {{"p50", quantile(m_tally, 0.5)}, {"p95", quantile(m_tally, 0.95)}, {"p99", quantile(m_tally, 0.99)}}},
                 {"elapsed_s", std::chrono::duration<double>(Clock::now() - m_started).count()}};
        json problems = json::array();
        for (std::size_t i = 0; i < m_tally.problems.size() && i < 10; ++i) {
            problems.push_back(m_tally.problems[i]);
        }
        out["first_problems"] = problems;
        return out;
    }

    Options m_o;
    std::vector<Target> m_routers;
    platform::HttpObjectApi m_platform;
    std::vector<Conversation> m_conversations;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::priority_queue<std::pair<Clock::time_point, int>, std::vector<std::pair<Clock::time_point, int>>, std::greater<>> m_due;
    int m_issued = 0;
    Tally m_tally;
    Clock::time_point m_started;
    std::atomic<bool> m_done{false};
    std::atomic<bool> m_moved{false};
};

} // namespace

int main(int argc, const char **argv)
{
    cli::Common common;
    Options o;
    const poptOption own[] = {
        {"routers", 'r', POPT_ARG_STRING, &o.routers, 0, "routers to send to, as 127.0.0.1:PORT,...", "LIST"},
        {"platform-port", 0, POPT_ARG_INT, &o.platformPort, 0, "object API port, for the VM list and engine figures", "PORT"},
        {"workspaces", 'w', POPT_ARG_INT, &o.workspaces, 0, "workspaces (ws-0 ...; the first three are large)", "N"},
        {"conversations", 'n', POPT_ARG_INT, &o.conversations, 0, "returning conversations", "N"},
        {"turns", 't', POPT_ARG_INT, &o.turns, 0, "turns per conversation", "N"},
        {"max-requests", 0, POPT_ARG_INT, &o.maxRequests, 0, "stop after this many chat turns", "N"},
        {"duration", 'd', POPT_ARG_INT, &o.durationS, 0, "stop after this many seconds", "S"},
        {"concurrency", 'j', POPT_ARG_INT, &o.concurrency, 0, "callers at once", "N"},
        {"pause-min-ms", 0, POPT_ARG_INT, &o.pauseMinMs, 0, "shortest pause before a conversation returns", "MS"},
        {"pause-max-ms", 0, POPT_ARG_INT, &o.pauseMaxMs, 0, "longest pause before a conversation returns", "MS"},
        {"service-pct", 0, POPT_ARG_INT, &o.servicePct, 0, "percent of turns followed by a booking", "PCT"},
        {"drain-at", 0, POPT_ARG_INT, &o.drainAtS, 0, "seconds into the run when --drain-engine leaves", "S"},
        {"drain-engine", 0, POPT_ARG_STRING, &o.drainEngine, 0, "engine id that leaves mid-run", "ID"},
        {"migrate-at", 0, POPT_ARG_INT, &o.migrateAtS, 0, "seconds into the run when --migrate-class moves", "S"},
        {"migrate-class", 0, POPT_ARG_STRING, &o.migrateClass, 0, "class of work that moves to another pool mid-run", "NAME"},
        {"migrate-pool", 0, POPT_ARG_STRING, &o.migratePool, 0, "the pool it moves to", "POOL"},
        {"label", 'l', POPT_ARG_STRING, &o.label, 0, "label in the report", "TEXT"},
        POPT_TABLEEND,
    };
    std::vector<std::string> rest;
    if (auto rc = cli::parse("yucca-load", argc, argv, own, common, rest)) {
        return *rc;
    }
    auto routers = parseTargets(o.routers ? o.routers : "");
    Findings f;
    if (routers.empty()) {
        f.add("--routers", "at least one router is required");
    }
    for (const auto &t : routers) {
        if (t.host.rfind("127.", 0) != 0 && t.host != "::1") {
            f.add("--routers", t.host + " is not a loopback address; load goes to loopback only");
        }
    }
    if (o.durationS < 1 || o.durationS > 600) {
        f.add("--duration", "must be in [1, 600]");
    }
    if (o.maxRequests < 1 || o.maxRequests > 1000000) {
        f.add("--max-requests", "must be in [1, 1000000]");
    }
    if (o.concurrency < 1 || o.concurrency > 256) {
        f.add("--concurrency", "must be in [1, 256]");
    }
    if (o.conversations < 1 || o.workspaces < 1 || o.turns < 1) {
        f.add("--conversations", "conversations, workspaces and turns must be positive");
    }
    if (!f.empty()) {
        fprintf(stderr, "yucca-load: rejected:\n%s", f.report().c_str());
        return cli::ExitUsage;
    }
    Experiment e(o, routers);
    json out = e.run();
    printf("%s\n", out.dump().c_str());
    bool clean = out["failed"] == 0 && out["duplicates"] == 0;
    return clean ? cli::ExitOk : cli::ExitFailure;
}
