// Events during an experiment (engines that leave, a move to another pool, a store outage, a surge), and the sampling
// of loads.
#include "decode.h"
#include "experiment.h"
#include "experiment_calls.h"
#include "uri.h"

#include <algorithm>

namespace yucca::experiment
{

using json = nlohmann::json;

namespace
{

constexpr int surgePauseDivisor = 4;
constexpr Millis sampleInterval{200};
constexpr Millis replacementDelay{1500}; ///< from the drain of an engine to its return with an empty cache

json orderBody(const char *kind)
{
    return {{"kind", kind}, {"fence", UINT32_MAX}, {"holder", "yucca-load"}};
}

std::string vmTarget(const std::string &id)
{
    return uri::Target("/admin/vms").segment(id).text();
}

json outageFault()
{
    return {{"outage", true}};
}

} // namespace

Task<json> Experiment::getJson(http::Address from, std::string path)
{
    const auto options = callOptions(probeTimeout, http::ConnectionReuse::KeepAliveWithRetry);
    auto called = co_await m_client.call(std::move(from), http::makeRequest("GET", path), options);
    auto *reply = std::get_if<http::Reply>(&called);
    json parsed = reply ? decode::textOrNull(reply->body) : json();
    co_return parsed.is_object() ? std::move(parsed) : json::object();
}

Task<bool> Experiment::sendJson(http::Address to, std::string method, std::string path, json body)
{
    const auto options = callOptions(probeTimeout, http::ConnectionReuse::Never);
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

// Samples the engines' loads for the skew until the experiment is done.
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
            const json load = co_await getJson(addressOf(e), "/load");
            if (load.value("draining", true)) {
                continue;
            }
            const double inflight = load.value("inflight", 0.0);
            total += inflight;
            peak = std::max(peak, inflight);
            ++n;
        }
        // With less than one request per engine the ratio is meaningless.
        if (n > 0 && total >= n) {
            const double skew = peak / (total / n);
            m_counters.skewSum += skew;
            m_counters.worstSkew = std::max(m_counters.worstSkew, skew);
            ++m_counters.skewSamples;
        }
    }
}

// Orders an engine to drain and marks it as leaving in the VM list.
Task<void> Experiment::drainEngine(std::string id)
{
    const auto known = co_await endpoints();
    for (auto e : known) {
        if (e.id != id) {
            continue;
        }
        co_await sendJson(addressOf(e), "POST", "/v1/orders", orderBody("drain"));
        e.state = EndpointState::Leaving;
        co_await sendJson(m_options.platform, "PUT", vmTarget(e.id), platform::toJson(e));
        fprintf(stderr, "yucca-load: ordered engine %s to drain\n", e.id.c_str());
    }
}

// Drains an engine and brings it back with an empty cache, like a new engine in its place.
Task<void> Experiment::replaceEngine(Endpoint e)
{
    const http::Address address = addressOf(e);
    co_await drainEngine(e.id);
    co_await sleepFor(replacementDelay);
    co_await sendJson(address, "POST", "/v1/orders", orderBody("undrain"));
    co_await sendJson(address, "POST", "/admin/clear-cache", json::object());
    e.state = EndpointState::Live;
    co_await sendJson(m_options.platform, "PUT", vmTarget(e.id), platform::toJson(e));
}

// Replaces the engines one after the other.
Task<void> Experiment::runChurn()
{
    if (m_options.churnEveryS <= 0) {
        co_return;
    }
    for (std::size_t turn = 0; !m_done; ++turn) {
        const auto next = Clock::now() + std::chrono::seconds(m_options.churnEveryS);
        while (!m_done && Clock::now() < next) {
            co_await sleepFor(pollInterval);
        }
        auto known = co_await endpoints();
        std::erase_if(known, [](const Endpoint &e) {
            return e.kind != EndpointKind::Engine || e.state != EndpointState::Live;
        });
        if (!m_done && known.size() > 1) {
            co_await replaceEngine(known[turn % known.size()]);
        }
    }
}

// Moves a work class to another pool by a conditional write to the catalogue, as yucca-ctl does.
Task<void> Experiment::migrate()
{
    auto current = co_await m_platform.get("class", m_options.migrateClass, platform::Freshness::Current);
    if (!ok(current)) {
        fprintf(stderr, "yucca-load: class %s not found; it is not moved to another pool\n", m_options.migrateClass.c_str());
        co_return;
    }
    auto object = std::get<platform::Object>(current);
    object.value["pool"] = m_options.migratePool;
    auto moved = co_await m_platform.put("class", m_options.migrateClass, object.value, object.version);
    m_migrated = ok(moved);
    fprintf(stderr, "yucca-load: class %s moved to pool %s: %s\n", m_options.migrateClass.c_str(), m_options.migratePool.c_str(),
            m_migrated ? "ok" : "refused");
}

// Makes the object API unavailable for outageForS seconds.
Task<void> Experiment::outage()
{
    co_await sendJson(m_options.platform, "POST", "/admin/faults", outageFault());
    co_await sleepFor(std::chrono::seconds(m_options.outageForS));
    co_await sendJson(m_options.platform, "POST", "/admin/faults", json::object());
}

// Starts a surge of a few workspaces: more conversations, with shorter pauses.
Task<void> Experiment::surge()
{
    for (int i = 0; i < m_options.surgeConversations; ++i) {
        const int workspace = m_options.workspaces - 1 - i % std::min(largeWorkspaces, m_options.workspaces);
        spawn(runConversation(makeConversation(m_options.conversations + i, "ws-" + std::to_string(workspace), surgePauseDivisor)));
    }
    co_return;
}

} // namespace yucca::experiment
