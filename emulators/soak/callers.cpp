// The callers of a soak test, and the check of normal service after the last fault.
#include "soak/fleet.h"
#include "soak/layout.h"

namespace yucca::soak
{

namespace
{

constexpr Millis lastRouterDelay{2500}; ///< after which a router knows that its neighbours are gone
constexpr int lastRouterChanges = 3;
constexpr Millis configurationBound{2000}; ///< within which a change of the configuration must be in effect
constexpr Millis callerRequestDelay{15}; ///< between one caller's requests
constexpr Millis retryPlanRequestDelay{100}; ///< the same in a retry plan: with fewer requests, most of the budget is its slack
constexpr int promptKinds = 5; ///< second parts of the prompts of sound requests
constexpr int probesPerRouter = 40;
constexpr double minServedFraction = 0.95; ///< below 1, as an endpoint's latest heartbeat may not have arrived yet

std::string pathOf(Kind kind)
{
    switch (kind) {
    case Kind::Booking:
        return "/book/1";
    case Kind::Reminder:
        return "/remind/1";
    case Kind::Chat:
        return "/chat/1";
    case Kind::Single:
        return "/once/1";
    }
    return "/";
}

// Returns true if the request was written as a whole.
bool wasSent(const http::CallResult<std::unique_ptr<http::Response>> &opened)
{
    const auto *failed = std::get_if<http::CallError>(&opened);
    return !failed || failed->stage == http::CallStage::Receive;
}

bool wasOnKeptConnection(const http::CallResult<std::unique_ptr<http::Response>> &opened)
{
    const auto *failed = std::get_if<http::CallError>(&opened);
    return failed ? failed->reused : std::get<std::unique_ptr<http::Response>>(opened)->reused();
}

} // namespace

http::Headers callerHeaders(const std::string &id, const std::string &key, Millis timeout)
{
    return {{"Host", "h.example"}, {"Yuccasaddle-Attempt-Id", id}, {"X-Api-Key", key}, {"Yuccasaddle-Deadline-Ms", std::to_string(timeout.count())}};
}

Millis SoakFleet::requestTimeout() const
{
    return m_options.plan.pauses ? pausePlanCallerTimeout : callerTimeout;
}

// Returns where callers send requests: in a pause plan straight to the router, so that a connection opens only if the router takes it.
http::Address SoakFleet::callerAddress(std::size_t router) const
{
    return {"127.0.0.1", routerPort(router, m_options.plan.pauses ? 0 : 4)};
}

// In a retry plan, most requests are such that a router may retry.
Kind SoakFleet::kindOf(int request) const
{
    if (m_options.plan.retries && request % 4 != 0) {
        return Kind::Reminder;
    }
    return kindNames[static_cast<std::size_t>(m_options.plan.retries ? request / 4 : request) % kindNames.size()].first;
}

// Runs one caller: it sends one request after the other and alternates between the routers.
Task<void> SoakFleet::runCaller(int caller)
{
    ++m_activeCallers;
    while (!m_stopping) {
        const int n = m_requestCount;
        const auto kind = kindOf(n);
        const auto router = static_cast<std::size_t>(n / 4 + caller) % m_routers.size();
        const std::string id = requestId("q" + std::to_string(m_options.plan.seed), router);
        co_await sendRequest(id, kind, router, apiKeyFor(m_acceptedVersion));
        co_await sleepFor(m_options.plan.retries ? retryPlanRequestDelay : callerRequestDelay);
    }
    --m_activeCallers;
}

Task<void> SoakFleet::sendRequest(std::string id, Kind kind, std::size_t router, std::string key)
{
    http::CallOptions options;
    options.deadline = Clock::now() + requestTimeout();
    options.reuse = http::ConnectionReuse::KeepAlive;
    const http::Address to = callerAddress(router);
    const std::string sender = senderName(router);
    const auto sentAt = Clock::now();
    auto *service = currentService(router);
    recordRequest(serviceOf(kind));
    const std::string method = kind == Kind::Reminder ? "GET" : "POST";
    auto headers = callerHeaders(id, key, requestTimeout());
    if (kind == Kind::Chat) {
        headers.emplace_back("Yuccasaddle-Prompt-Prefix", promptParts(std::to_string(m_requestCount % promptKinds), m_requestCount));
    }
    auto opened = co_await m_client.open(to, http::makeRequest(method, pathOf(kind), kind == Kind::Reminder ? "" : "{}", headers), options);
    RequestRecord record;
    record.kind = kind;
    if (auto *response = std::get_if<std::unique_ptr<http::Response>>(&opened)) {
        checkLeavingAnnouncement(sender, **response, sentAt);
        record = co_await readRecord(kind, **response);
    }
    if (service) {
        ++service->sent;
        service->served += record.status == 200 && record.complete ? 1 : 0;
    }
    recordEnding(id, router, record, wasSent(opened), sentAt);
    m_onKeptConnections += wasOnKeptConnection(opened) ? 1 : 0;
    const bool broken = kind == Kind::Chat && record.status == 200 && !record.complete;
    const std::string events = record.body;
    m_invariants.recordResponse(id, std::move(record));
    if (broken) {
        co_await resumeStream(std::move(id), events, (router + 1) % m_routers.size(), std::move(key));
    }
}

// Records how a request ended. `sentAt` may be earlier than the sending, by the time that opening a connection took.
void SoakFleet::recordEnding(const std::string &id, std::size_t router, const RequestRecord &record, bool sent, Clock::time_point sentAt)
{
    RequestEnding ending;
    ending.sent = sent;
    ending.answered = record.status != 0 && record.complete;
    ending.sentAt = sentAt;
    ending.endedAt = Clock::now();
    ending.routerStopSignal = m_routers[router].stopSignal;
    ending.details = std::string(nameOf(kindNames, record.kind)) + ", status " + std::to_string(record.status) + ", " + std::to_string(record.body.size())
        + " bytes, ended at Unix time " + std::to_string(unixTime().count()) + " ms";
    if (ending.routerStopSignal) {
        const auto sinceStop = std::chrono::duration_cast<Millis>(ending.endedAt - *ending.routerStopSignal);
        ending.details += ", " + std::to_string(sinceStop.count()) + " ms after its router's stop signal";
    }
    m_endings.record(id, std::move(ending));
}

Task<RequestRecord> SoakFleet::readRecord(Kind kind, http::Response &response)
{
    RequestRecord record;
    record.kind = kind;
    record.status = response.status();
    record.hasSignature = !response.header("Yuccasaddle-Response-Signature").empty();
    for (bool more = true; more;) {
        auto read = co_await response.read();
        const auto *bytes = std::get_if<std::string>(&read);
        more = bytes && !bytes->empty();
        record.complete = bytes && bytes->empty();
        record.body += bytes ? *bytes : "";
    }
    co_return record;
}

// Takes a broken stream up at another router, and records what the caller then has of it as one stream.
Task<void> SoakFleet::resumeStream(std::string first, std::string events, std::size_t router, std::string key)
{
    int received = 0;
    for (auto end = events.find("\n\n"); end != std::string::npos; end = events.find("\n\n", end + 1)) {
        ++received;
    }
    if (received == 0 || received >= eventsPerStream) {
        co_return;
    }
    http::CallOptions options;
    options.deadline = Clock::now() + requestTimeout();
    const http::Address to = callerAddress(router);
    const auto sentAt = Clock::now();
    const std::string id = requestId("r" + std::to_string(m_options.plan.seed), router);
    auto headers = callerHeaders(id, key, requestTimeout());
    headers.emplace_back("Resumes", first);
    headers.emplace_back("Last-Event-Id", std::to_string(received));
    ++m_resumptions;
    recordRequest(serviceOf(Kind::Chat));
    auto opened = co_await m_client.open(to, http::makeRequest("POST", pathOf(Kind::Chat), "{}", headers), options);
    auto *response = std::get_if<std::unique_ptr<http::Response>>(&opened);
    if (!response) {
        recordEnding(id, router, {Kind::Chat, 0, false, false, ""}, wasSent(opened), sentAt);
        co_return;
    }
    auto record = co_await readRecord(Kind::Chat, **response);
    recordEnding(id, router, record, true, sentAt);
    record.body = record.status == 200 ? events + record.body : record.body;
    m_resumed += record.status == 200 && record.complete ? 1 : 0;
    m_invariants.recordResponse(id, std::move(record));
}

// Sends a reminder directly to a router, not through its proxy. Returns the status, 0 without a response.
Task<unsigned> SoakFleet::probe(std::size_t router, std::string key)
{
    http::CallOptions options;
    options.deadline = Clock::now() + callerTimeout;
    const http::Address to{"127.0.0.1", routerPort(router, 0)};
    const std::string id = requestId("calm", router);
    auto headers = callerHeaders(id, key);
    recordRequest(serviceOf(Kind::Reminder));
    auto called = co_await m_client.call(to, http::makeRequest("GET", "/remind/1", "", headers), options);
    const auto *reply = std::get_if<http::Reply>(&called);
    co_return reply ? reply->status : 0;
}

// Checks after the last fault that every router applies the last accepted configuration, accepts no key of the
// version before it, and serves requests.
Task<void> SoakFleet::checkServiceAfterFaults()
{
    for (std::size_t n = 0; n < m_routers.size(); ++n) {
        const std::string name = "router " + std::to_string(n);
        const auto revokedKeyStatus = co_await probe(n, apiKeyFor(m_acceptedVersion - 1));
        if (revokedKeyStatus != 401) {
            m_violations.push_back(name + " answers a revoked key with status " + std::to_string(revokedKeyStatus));
        }
        int served = 0;
        for (int i = 0; i < probesPerRouter; ++i) {
            const auto status = co_await probe(n, apiKeyFor(m_acceptedVersion));
            served += status == 200 ? 1 : 0;
        }
        if (served < minServedFraction * probesPerRouter) {
            m_violations.push_back(name + " serves " + std::to_string(served) + " of " + std::to_string(probesPerRouter) + " requests after the last fault");
        }
    }
}

// Checks that a router whose neighbours have all been killed applies changes of the configuration within the bound.
Task<void> SoakFleet::checkLastRouter()
{
    const auto last = static_cast<std::size_t>(m_options.plan.seed) % m_routers.size();
    for (std::size_t n = 0; n < m_routers.size(); ++n) {
        if (n != last) {
            m_routers[n].stopped = true;
            m_routers[n].process->kill();
        }
    }
    co_await sleepFor(lastRouterDelay);
    for (int change = 0; change < lastRouterChanges; ++change) {
        const auto revoked = apiKeyFor(m_acceptedVersion);
        co_await changeConfiguration();
        co_await sleepFor(configurationBound);
        const auto status = co_await probe(last, revoked);
        if (status != 401) {
            m_violations.push_back("the last router answers a revoked key with status " + std::to_string(status));
        }
        const auto current = co_await probe(last, apiKeyFor(m_acceptedVersion));
        if (current != 200) {
            m_violations.push_back("the last router answers the key in force with status " + std::to_string(current));
        }
    }
}

} // namespace yucca::soak
