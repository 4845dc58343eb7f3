// What happens to the fleet during an experiment: engines that leave, a move
// to another provider, an outage, a surge; and the sampling of loads.
#include "experiment.h"
#include "experiment_calls.h"

#include <algorithm>

namespace yucca::experiment
{

using json = nlohmann::json;

namespace
{

constexpr int surgePauseDivisor = 4;
constexpr Millis sampleInterval{200};
constexpr Millis churnAway{1500}; ///< an engine that leaves comes back empty after this

json orderBody(const char *kind)
{
    return {{"kind", kind}, {"fence", UINT32_MAX}, {"holder", "yucca-load"}};
}

json outageFault()
{
    return {{"outage", true}};
}

} // namespace

Task<json> Experiment::fetch(http::Address from, std::string path)
{
    const auto options = callOptions(probeTimeout, http::Reuse::KeptOrAgain);
    auto called = co_await m_client.call(std::move(from), http::makeRequest("GET", path), options);
    auto *reply = std::get_if<http::Reply>(&called);
    json parsed = reply ? json::parse(reply->body, nullptr, false) : json();
    co_return parsed.is_object() ? std::move(parsed) : json::object();
}

Task<bool> Experiment::send(http::Address to, std::string method, std::string path, json body)
{
    const auto options = callOptions(probeTimeout, http::Reuse::Never);
    auto called = co_await m_client.call(std::move(to), http::makeRequest(method, path, body.dump()), options);
    auto *reply = std::get_if<http::Reply>(&called);
    co_return reply && reply->status == 200;
}

Task<std::vector<Endpoint>> Experiment::endpoints()
{
    std::vector<Endpoint> out;
    auto listed = co_await platform::listAll(m_platform, platform::vmKind);
    if (ok(listed)) {
        for (const auto &object : std::get<platform::Listing>(listed).items) {
            out.push_back(platform::endpointFromJson(object.value));
        }
    }
    co_return out;
}

// Samples the engines' loads for the skew, while the callers run.
Task<void> Experiment::sampleLoads()
{
    auto known = co_await endpoints();
    for (int round = 0; !m_done; ++round) {
        co_await sleepFor(sampleInterval);
        if (round % 10 == 0) {
            known = co_await endpoints();
        }
        double total = 0;
        double peak = 0;
        int n = 0;
        for (const auto &e : known) {
            if (e.kind != EndpointKind::Engine || e.state != EndpointState::Live) {
                continue;
            }
            const json load = co_await fetch(addressOf(e), "/load");
            if (load.value("draining", true)) {
                continue;
            }
            const double inflight = load.value("inflight", 0.0);
            total += inflight;
            peak = std::max(peak, inflight);
            ++n;
        }
        // Below one request an engine the ratio says nothing.
        if (n > 0 && total >= n) {
            const double skew = peak / (total / n);
            m_tally.skewSum += skew;
            m_tally.worstSkew = std::max(m_tally.worstSkew, skew);
            ++m_tally.skewSamples;
        }
    }
}

// An engine leaves: it is told to drain, and the VM list marks it leaving.
Task<void> Experiment::drainEngine(std::string id)
{
    const auto known = co_await endpoints();
    for (auto e : known) {
        if (e.id != id) {
            continue;
        }
        co_await send(addressOf(e), "POST", "/v1/orders", orderBody("drain"));
        e.state = EndpointState::Leaving;
        co_await send(m_o.platform, "PUT", "/admin/vms/" + e.id, platform::toJson(e));
        fprintf(stderr, "yucca-load: engine %s told to drain\n", e.id.c_str());
    }
}

// An engine leaves and comes back empty, as its replacement would.
Task<void> Experiment::leaveAndReturn(Endpoint e)
{
    const http::Address address = addressOf(e);
    co_await drainEngine(e.id);
    co_await sleepFor(churnAway);
    co_await send(address, "POST", "/v1/orders", orderBody("undrain"));
    co_await send(address, "POST", "/admin/clear-cache", json::object());
    e.state = EndpointState::Live;
    co_await send(m_o.platform, "PUT", "/admin/vms/" + e.id, platform::toJson(e));
}

// Engines leave and come back, one after the other.
Task<void> Experiment::churn()
{
    if (m_o.churnEveryS <= 0) {
        co_return;
    }
    for (std::size_t turn = 0; !m_done; ++turn) {
        const auto next = Clock::now() + std::chrono::seconds(m_o.churnEveryS);
        while (!m_done && Clock::now() < next) {
            co_await sleepFor(pollInterval);
        }
        auto known = co_await endpoints();
        std::erase_if(known, [](const Endpoint &e) {
            return e.kind != EndpointKind::Engine || e.state != EndpointState::Live;
        });
        if (!m_done && known.size() > 1) {
            co_await leaveAndReturn(known[turn % known.size()]);
        }
    }
}

// The provider move: the class of work is pointed at another pool by a
// conditional catalogue write, as an operator's yucca-ctl would.
Task<void> Experiment::migrate()
{
    auto current = co_await m_platform.get("class", m_o.migrateClass, platform::Freshness::Current);
    if (!ok(current)) {
        fprintf(stderr, "yucca-load: class %s not found; no move\n", m_o.migrateClass.c_str());
        co_return;
    }
    auto object = std::get<platform::Object>(current);
    object.value["pool"] = m_o.migratePool;
    auto moved = co_await m_platform.put("class", m_o.migrateClass, object.value, object.version);
    m_moved = ok(moved);
    fprintf(stderr, "yucca-load: class %s moved to pool %s: %s\n", m_o.migrateClass.c_str(), m_o.migratePool.c_str(), m_moved ? "ok" : "refused");
}

// The object API is down for a while.
Task<void> Experiment::outage()
{
    co_await send(m_o.platform, "POST", "/admin/faults", outageFault());
    co_await sleepFor(std::chrono::seconds(m_o.outageForS));
    co_await send(m_o.platform, "POST", "/admin/faults", json::object());
}

// A few workspaces surge at once: more conversations, shorter pauses.
Task<void> Experiment::surge()
{
    for (int i = 0; i < m_o.surgeConversations; ++i) {
        const int workspace = m_o.workspaces - 1 - i % std::min(largeWorkspaces, m_o.workspaces);
        start(converse(makeConversation(m_o.conversations + i, "ws-" + std::to_string(workspace), surgePauseDivisor)));
    }
    co_return;
}

} // namespace yucca::experiment
