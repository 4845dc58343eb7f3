// The own interface's callers' side: the request pipeline behind its paths,
// readiness and the status page.
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
    /// controlBytes and recordBytes count what the object API clients
    /// moved, for the status page; either may be null.
    Router(const settings::RouterSettings &settings, platform::ObjectApi &records, const http::ByteCounter *controlBytes, const http::ByteCounter *recordBytes,
           RoutingTable &table, const Control &control, quarantine::RequestQuarantine &quarantine);

    /// Answers one request.
    Task<void> handle(http::Exchange &ex);
    /// Writes the records of callers' requests again that the store lost, where
    /// the control side has seen it return from an older copy; until stopped.
    Task<void> keepRecords(const platform::ObjectApi &control);
    /// A planned stop has begun: /readyz says no from now on.
    void beginStop()
    {
        m_stopping = true;
    }

private:
    using Gateway = entry::Gateway<OwnDialect>;
    Gateway &gatewayOf(const asio::any_io_executor &ex);
    nlohmann::json status();

    settings::RouterSettings m_settings;
    const http::ByteCounter *m_controlBytes; ///< catalogue and VM list
    const http::ByteCounter *m_recordBytes; ///< idempotency records
    RoutingTable &m_table;
    const Control &m_control;
    quarantine::RequestQuarantine &m_quarantine;
    idempotency::Guard m_guard;
    limits::Admission m_admission;
    std::mutex m_mutex;
    std::map<asio::execution_context *, std::unique_ptr<Gateway>> m_gateways; ///< one for each traffic thread's loop
    std::atomic<bool> m_stopping{false};
    Clock::time_point m_started;
};

} // namespace yucca::router
