// The caller side of the native interface: the request pipeline behind its paths, readiness and the status page.
#pragma once

#include "admission.h"
#include "entry/gateway.h"
#include "http_client.h"
#include "http_server.h"
#include "idempotency.h"
#include "router_control.h"
#include "router_core.h"
#include "router_dialect.h"
#include "settings.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>

namespace yucca::router
{

/// The HTTP handlers for callers. Shared by the traffic threads.
class Router
{
public:
    /// controlBytes and recordBytes count the traffic of the object API clients for the status page. Either may be
    /// null.
    Router(const settings::RouterSettings &settings, platform::ObjectApi &records, const http::ByteCounter *controlBytes, const http::ByteCounter *recordBytes,
           RoutingTable &table, const Control &control, quarantine::RequestQuarantine &quarantine);

    /// Answers one request.
    Task<void> handle(http::Exchange &ex);
    /// Rewrites the records of callers' requests that the store lost when it was restored from a backup, as detected
    /// by the control side. Runs until beginStop().
    Task<void> maintainRecords(const platform::ObjectApi &control);
    /// Ends the requests in flight of all traffic threads, because the router exits.
    void endRequests();
    /// Starts a planned stop: /readyz reports not ready from now on.
    void beginStop()
    {
        m_stopping = true;
    }

private:
    using Gateway = entry::Gateway<NativeDialect>;
    Gateway &gatewayOf(const asio::any_io_executor &ex);
    nlohmann::json status();

    settings::RouterSettings m_settings;
    const http::ByteCounter *m_controlBytes; ///< traffic of the catalogue and the VM list
    const http::ByteCounter *m_recordBytes; ///< traffic of idempotency records
    RoutingTable &m_table;
    const Control &m_control;
    quarantine::RequestQuarantine &m_quarantine;
    idempotency::Guard m_guard;
    limits::Admission m_admission;
    std::mutex m_mutex;
    std::map<asio::execution_context *, std::unique_ptr<Gateway>> m_gateways; ///< one per event loop of a traffic thread
    std::atomic<bool> m_stopping{false};
    Clock::time_point m_started;
};

} // namespace yucca::router
