// The router's traffic side: admission, the choice of an endpoint,
// forwarding and relaying, at-most-once service calls, the status page.
#pragma once

#include "admission.h"
#include "http_client.h"
#include "http_server.h"
#include "idempotency.h"
#include "metrics.h"
#include "router_control.h"
#include "router_core.h"
#include "settings.h"
#include "sse.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace yucca::router
{

/// The HTTP handlers for callers. Shared by the traffic threads.
class Router
{
public:
    /// controlBytes and recordBytes count what the object API clients
    /// moved, for the status page; either may be null.
    Router(const settings::RouterSettings &settings, platform::ObjectApi &records, const http::ByteCounter *controlBytes, const http::ByteCounter *recordBytes,
           RoutingTable &table, const Control &control);

    /// Answers one request.
    Task<void> handle(http::Exchange &ex);
    /// A planned stop has begun: /readyz says no from now on.
    void beginStop()
    {
        m_stopping = true;
    }

private:
    /// An admitted request: what the catalogue says of it, and its time.
    struct Admitted {
        std::unique_ptr<limits::AdmissionSlot> slot;
        std::string workspace;
        catalogue::WorkClass workClass;
        std::string requestId;
        Clock::time_point began;
        Clock::time_point deadline;
    };
    /// How one attempt at an endpoint ended.
    enum class Attempt {
        Answered, ///< the caller has the endpoint's answer, or has gone
        NotExecuted, ///< the endpoint certainly did not run it
        MayHaveRun, ///< sent, and no answer came
    };
    /// A chat request on its way through one or more attempts.
    struct Chat {
        Admitted admitted;
        bool stream = false;
        placement::Affinity affinity;
        http::Cancellation cancellation;
        sse::EventRelay events;
        bool headSent = false; ///< a streamed answer has begun
        bool mayHaveRun = false;
    };

    Task<void> notRun(http::Exchange &ex, unsigned status, std::string why, Clock::duration retryAfter = {});
    Task<void> outcomeUnknown(http::Exchange &ex, std::string why);
    Task<std::optional<Admitted>> admit(http::Exchange &ex, EndpointKind wanted);

    Task<void> chat(http::Exchange &ex);
    Task<void> attemptChat(http::Exchange &ex, Chat &chat);
    Task<Attempt> relayWhole(http::Exchange &ex, Chat &chat, const Endpoint &endpoint, Clock::time_point deadline);
    Task<Attempt> relayStream(http::Exchange &ex, Chat &chat, const Endpoint &endpoint, Clock::time_point deadline);
    Task<Attempt> relayEvents(http::Exchange &ex, Chat &chat, http::Response &response);
    Attempt failed(const Endpoint &endpoint, const http::CallError &error);
    template <typename Answer> std::optional<Attempt> rejectedBy(const Endpoint &endpoint, const Admitted &admitted, unsigned status, const Answer &answer);
    http::Request forwarded(const http::Exchange &ex, const Admitted &admitted) const;

    Task<void> operate(http::Exchange &ex);
    Task<bool> claimed(http::Exchange &ex, const Admitted &admitted, idempotency::Claim &claim);
    Task<void> runOnce(http::Exchange &ex, const Admitted &admitted, const idempotency::Claim *claim);
    Task<void> settle(idempotency::Claim claim, nlohmann::json record);

    template <typename Answer> void noteHead(const Endpoint &endpoint, const Answer &answer);
    void noteFailure(const Endpoint &endpoint, const http::CallError &error);
    void noteServed(const Admitted &admitted);
    nlohmann::json status() const;

    settings::RouterSettings m_settings;
    const http::ByteCounter *m_controlBytes; ///< catalogue and VM list
    const http::ByteCounter *m_recordBytes; ///< idempotency records
    RoutingTable &m_table;
    const Control &m_control;
    idempotency::Guard m_guard;
    http::Client m_client;
    limits::Admission m_admission;
    limits::RetryBudget m_retryBudget;
    metrics::Counters m_counters;
    metrics::LatencyStats m_latency;
    std::atomic<uint64_t> m_requests{0};
    std::atomic<bool> m_stopping{false};
    Clock::time_point m_started;
};

} // namespace yucca::router
