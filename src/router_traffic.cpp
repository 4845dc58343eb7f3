#include "router_traffic.h"

#include <boost/asio/execution/context.hpp>
#include <boost/asio/post.hpp>

namespace yucca::router
{

using json = nlohmann::json;

namespace
{

constexpr Millis recordsCheckInterval{200}; ///< between two checks for a store that was restored from a backup; a check makes no call
constexpr Millis connectTimeout{1000}; ///< allows for one lost SYN to an endpoint in another region
constexpr std::size_t maxIdleConnections = 32; ///< idle connections kept per endpoint; no limit is specified here

entry::GatewayOptions optionsOf(const settings::RouterSettings &settings)
{
    entry::GatewayOptions options;
    options.retries.ratio = settings.retryRatio;
    options.retries.slack = static_cast<double>(settings.retryReserve);
    options.maxConfigurationAge = Millis(0); // no age limit: a watch waits longer than callers do, and the catalogue is changed by hand
    options.connectTimeout = connectTimeout;
    options.eventGapTimeoutFactor = 1.0; // the setting is the full pause
    options.maxIdleConnections = maxIdleConnections;
    options.newConnectionForNonRepeatable = true;
    return options;
}

json readinessBody(bool ready)
{
    return {{"ready", ready}};
}

} // namespace

Router::Router(const settings::RouterSettings &settings, platform::ObjectApi &records, const http::ByteCounter *controlBytes,
               const http::ByteCounter *recordBytes, RoutingTable &table, const Control &control, quarantine::RequestQuarantine &quarantine)
    : m_settings(settings)
    , m_controlBytes(controlBytes)
    , m_recordBytes(recordBytes)
    , m_table(table)
    , m_control(control)
    , m_quarantine(quarantine)
    , m_guard(records, settings.id)
    , m_started(Clock::now())
{
}

// The gateway of the traffic thread that runs the executor's loop, created at its first request.
Router::Gateway &Router::gatewayOf(const asio::any_io_executor &ex)
{
    auto *loop = &asio::query(ex, asio::execution::context);
    std::lock_guard lock(m_mutex);
    auto &gateway = m_gateways[loop];
    if (!gateway) {
        // The ids that the router assigns must differ between its threads.
        const std::string id = m_gateways.size() == 1 ? m_settings.id : m_settings.id + "." + std::to_string(m_gateways.size());
        const entry::GatewayParts parts{m_control.published(), m_table, m_admission, m_quarantine, &m_guard};
        gateway = std::make_unique<Gateway>(parts, optionsOf(m_settings), NativeDialect(id, m_settings.retryAfterS));
    }
    return *gateway;
}

void Router::endRequests()
{
    std::lock_guard lock(m_mutex);
    for (const auto &[loop, gateway] : m_gateways) {
        asio::post(*static_cast<asio::io_context *>(loop), [&gateway = *gateway] {
            gateway.endRequests();
        });
    }
}

Task<void> Router::maintainRecords(const platform::ObjectApi &control)
{
    while (!m_stopping) {
        m_guard.recordEpoch(control.epoch(), Clock::now());
        co_await m_guard.rewriteLostRecords();
        co_await sleepFor(recordsCheckInterval);
    }
}

Task<void> Router::handle(http::Exchange &ex)
{
    const std::string path = ex.path();
    const bool post = ex.request().method() == http::bhttp::verb::post;
    if (post && (path == chatPath || path.rfind(operationPrefix, 0) == 0)) {
        const auto executor = co_await asio::this_coro::executor;
        co_await gatewayOf(executor).handle(ex);
    } else if (path == "/healthz") {
        co_await ex.reply(200, R"({"ok":true})");
    } else if (path == "/readyz") {
        const bool ready = m_control.ready() && !m_stopping;
        co_await ex.reply(ready ? 200 : 503, readinessBody(ready).dump());
    } else if (path == "/status") {
        co_await ex.reply(200, status().dump(2));
    } else {
        co_await ex.reply(404, R"({"error":{"message":"no such path","type":"not_run"},"outcome":"not_run"})");
    }
}

json Router::status()
{
    const double uptime = std::chrono::duration<double>(Clock::now() - m_started).count();
    const auto total = [](const http::ByteCounter *c) {
        return c ? c->total() : uint64_t{0};
    };
    const auto perSecond = [uptime](uint64_t bytes) {
        return uptime > 0 ? static_cast<double>(bytes) / uptime : 0.0;
    };
    json threads = json::array();
    {
        std::lock_guard lock(m_mutex);
        for (const auto &[loop, gateway] : m_gateways) {
            const auto &m = gateway->metrics();
            threads.push_back({{"served", m.ended(entry::RequestEnd::Delivered)},
                               {"notRun", m.rejectedAs(Outcome::NotRun)},
                               {"unknown", m.rejectedAs(Outcome::Unknown)},
                               {"replayed", m.replays},
                               {"retried", m.retries},
                               {"resumed", m.resumptions},
                               {"cut", m.ended(entry::RequestEnd::Cut)},
                               {"abandoned", m.ended(entry::RequestEnd::CallerGone)},
                               {"connectionsOpened", gateway->connectionsOpened()},
                               {"latency", m.latency().toJson()}});
        }
    }
    const auto snapshot = m_control.snapshot();
    return {{"id", m_settings.id},
            {"policy", nameOf(policyNames, m_settings.policy)},
            {"ready", m_control.ready()},
            {"catalogueRevision", snapshot->revision},
            {"threads", std::move(threads)},
            {"controlBytes", total(m_controlBytes)},
            {"uptimeS", uptime},
            {"controlBytesPerS", perSecond(total(m_controlBytes))},
            {"recordBytesPerS", perSecond(total(m_recordBytes))},
            {"endpoints", m_table.status()}};
}

} // namespace yucca::router
