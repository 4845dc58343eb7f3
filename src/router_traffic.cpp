#include "router_traffic.h"

#include "log.h"
#include "router_answers.h"

namespace yucca::router
{

Router::Router(const settings::RouterSettings &settings, platform::ObjectApi &records, const http::ByteCounter *controlBytes,
               const http::ByteCounter *recordBytes, RoutingTable &table, const Control &control)
    : m_settings(settings)
    , m_controlBytes(controlBytes)
    , m_recordBytes(recordBytes)
    , m_table(table)
    , m_control(control)
    , m_guard(records, settings.id)
    , m_retryBudget(settings.retryRatio, static_cast<double>(settings.retryReserve))
    , m_started(Clock::now())
{
}

Task<void> Router::handle(http::Exchange &ex)
{
    const std::string path = ex.path();
    const bool post = ex.request().method() == http::bhttp::verb::post;
    if (post && path == chatPath) {
        co_await chat(ex);
    } else if (post && path.rfind(operationPrefix, 0) == 0) {
        co_await operate(ex);
    } else if (path == "/healthz") {
        co_await ex.reply(200, R"({"ok":true})");
    } else if (path == "/readyz") {
        const bool ready = m_control.ready() && !m_stopping;
        co_await ex.reply(ready ? 200 : 503, readiness(ready).dump());
    } else if (path == "/status") {
        co_await ex.reply(200, status().dump(2));
    } else {
        co_await ex.reply(404, R"({"error":{"message":"no such path","type":"not_run"},"outcome":"not_run"})");
    }
}

// Answers that the request was not run, and when to come back.
Task<void> Router::notRun(http::Exchange &ex, unsigned status, std::string why, Clock::duration retryAfter)
{
    ++m_counters.notRun;
    log::event(log::Event::RequestNotRun, "status=" + std::to_string(status) + " why=\"" + why + "\"");
    const int64_t seconds = std::max(m_settings.retryAfterS, secondsUp(retryAfter));
    const json body = refusalBody(why, "not_run", Outcome::NotRun, seconds);
    co_await ex.reply(status, body.dump(), refusalHeaders(Outcome::NotRun, seconds));
}

// Answers that the request may have run; a retry with its key finds out.
Task<void> Router::outcomeUnknown(http::Exchange &ex, std::string why)
{
    ++m_counters.unknown;
    log::event(log::Event::RequestOutcomeUnknown, "why=\"" + why + "\"");
    const json body = refusalBody(why, "outcome_unknown", Outcome::Unknown, m_settings.retryAfterS);
    co_await ex.reply(502, body.dump(), refusalHeaders(Outcome::Unknown, m_settings.retryAfterS));
}

// Finds the class of work of a request's workspace and admits it under the
// workspace's limits; answers the request itself when it may not go on.
Task<std::optional<Router::Admitted>> Router::admit(http::Exchange &ex, EndpointKind wanted)
{
    Admitted a;
    a.began = Clock::now();
    a.workspace = ex.header("x-workspace");
    const auto snapshot = m_control.snapshot();
    if (!m_control.ready()) {
        co_await notRun(ex, 503, "the catalogue is not loaded yet");
        co_return std::nullopt;
    }
    const auto *workspace = snapshot->workspace(a.workspace);
    if (!workspace) {
        co_await notRun(ex, 404, "unknown workspace '" + a.workspace + "'");
        co_return std::nullopt;
    }
    const auto *workClass = snapshot->workClass(workspace->workClass);
    if (!workClass || workClass->kind != wanted) {
        co_await notRun(ex, 404, "workspace '" + a.workspace + "' has no class of work of this kind");
        co_return std::nullopt;
    }
    Clock::duration retryAfter{};
    const auto verdict = m_admission.admit(a.workspace, workspace->limits, a.began, retryAfter);
    if (verdict != limits::Verdict::Admitted) {
        co_await notRun(ex, 429, "workspace '" + a.workspace + "' is over its limits: " + std::string(nameOf(limits::verdictNames, verdict)), retryAfter);
        co_return std::nullopt;
    }
    a.slot = std::make_unique<limits::AdmissionSlot>(m_admission, a.workspace);
    a.workClass = *workClass;
    a.requestId = ex.header("x-request-id");
    if (a.requestId.empty()) {
        a.requestId = m_settings.id + "-" + std::to_string(++m_requests);
    }
    const int64_t longest = m_settings.requestTimeoutMs;
    a.deadline = a.began + Millis(std::clamp<int64_t>(text::number(ex.header("x-deadline-ms")).value_or(longest), 1, longest));
    m_retryBudget.earn();
    co_return std::move(a);
}

// The request as it goes to an endpoint: the caller's body, and the headers
// that tell the endpoint whose it is, how urgent, and how long it may take.
http::Request Router::forwarded(const http::Exchange &ex, const Admitted &admitted) const
{
    const auto left = std::chrono::duration_cast<Millis>(admitted.deadline - Clock::now());
    const auto target = ex.request().target();
    http::Headers headers{{"x-request-id", admitted.requestId},
                          {"x-workspace", admitted.workspace},
                          {"x-priority", std::to_string(admitted.workClass.priority)},
                          {"x-deadline-ms", std::to_string(std::max<int64_t>(1, left.count()))}};
    return http::makeRequest("POST", {target.data(), target.size()}, ex.request().body(), headers);
}

void Router::noteFailure(const Endpoint &endpoint, const http::CallError &error)
{
    log::event(log::Event::EndpointUnreachable, "id=" + endpoint.id + " error=\"" + error.message + "\"");
    if (error.stage == http::CallStage::Connect) {
        m_table.suspect(endpoint.id, Clock::now());
    }
}

void Router::noteServed(const Admitted &admitted)
{
    ++m_counters.served;
    m_latency.add(std::chrono::duration<double, std::milli>(Clock::now() - admitted.began).count());
}

json Router::status() const
{
    const double uptime = std::chrono::duration<double>(Clock::now() - m_started).count();
    const auto total = [](const http::ByteCounter *c) {
        return c ? c->total() : uint64_t{0};
    };
    const auto perSecond = [uptime](uint64_t bytes) {
        return uptime > 0 ? static_cast<double>(bytes) / uptime : 0.0;
    };
    const auto snapshot = m_control.snapshot();
    return {{"id", m_settings.id},
            {"policy", nameOf(policyNames, m_settings.policy)},
            {"ready", m_control.ready()},
            {"catalogueRevision", snapshot->revision},
            {"served", m_counters.served.load()},
            {"notRun", m_counters.notRun.load()},
            {"unknown", m_counters.unknown.load()},
            {"replayed", m_counters.replayed.load()},
            {"retried", m_counters.retried.load()},
            {"resumed", m_counters.resumed.load()},
            {"cut", m_counters.cut.load()},
            {"abandoned", m_counters.abandoned.load()},
            {"connectionsOpened", m_client.connectionsOpened()},
            {"latency", m_latency.toJson()},
            {"controlBytes", total(m_controlBytes)},
            {"uptimeS", uptime},
            {"controlBytesPerS", perSecond(total(m_controlBytes))},
            {"recordBytesPerS", perSecond(total(m_recordBytes))},
            {"endpoints", m_table.status()}};
}

} // namespace yucca::router
