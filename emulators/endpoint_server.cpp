#include "endpoint_server.h"

#include "malformed_responses.h"

#include "decode.h"
#include "text.h"
#include "yucca/ring.h"

namespace yucca::emulators
{

using json = nlohmann::json;

namespace
{

constexpr const char *attemptIdHeader = "Yuccasaddle-Attempt-Id";
constexpr Millis backoffStartDelay{500}; ///< after Retry-After was sent: requests already on their way still arrive
constexpr int maxRequestsDuringBackoff = 2; ///< from one sender; more are logged
constexpr const char *instanceHeader = "Yuccasaddle-Instance-Id";

// Returns a signature that tests can compute from the ids of request and endpoint.
std::string responseSignature(const std::string &requestId, const std::string &endpoint)
{
    char text[32];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(ring::hash(requestId + "@" + endpoint)));
    return text;
}

// Returns the router in a request id of a soak run, which has the form TEXT-ROUTER-NUMBER, or an empty string.
std::string senderFromRequestId(const std::string &requestId)
{
    const auto first = requestId.find('-');
    const auto last = requestId.rfind('-');
    return first < last ? requestId.substr(first + 1, last - first - 1) : std::string();
}

int64_t unixMs()
{
    return std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch()).count();
}

std::string eventText(int number, const std::string &version)
{
    const std::string suffix = version.empty() ? "" : " " + version;
    return "id: " + std::to_string(number) + "\ndata: token" + std::to_string(number) + suffix + "\n\n";
}

// Adds the header that announces a leaving endpoint, which all responses carry.
http::Headers addLeavingHeader(http::Headers headers, bool leaving)
{
    if (leaving) {
        headers.emplace_back("Server-Leaving", "1");
    }
    return headers;
}

http::Headers notExecutedHeaders(const std::string &endpoint)
{
    return {{"Yuccasaddle-Not-Executed", "1"}, {instanceHeader, endpoint}};
}

json makeEntry(const EndpointOptions &o, bool leaving, Millis coldRemaining, int64_t sequence, int64_t startTimeMs)
{
    const auto port = o.advertisedPort != 0 ? o.advertisedPort : o.listen.port;
    return {{"service", o.service},
            {"address", o.listen.host + ":" + std::to_string(port)},
            {"zone", o.zone},
            {"version", o.version.empty() ? "v1" : o.version},
            {"slots", o.slots},
            {"state", leaving ? "draining" : "ready"},
            {"cold_remaining_ms", coldRemaining.count()},
            {"sequence", sequence},
            {"born", startTimeMs}};
}

} // namespace

EndpointServer::EndpointServer(EndpointOptions options)
    : m_options(std::move(options))
    , m_store(m_options.store)
{
    if (!m_options.runLog.empty()) {
        m_runLog.open(m_options.runLog, std::ios::app);
    }
    if (!m_options.arrivalLog.empty()) {
        m_arrivalLog.open(m_options.arrivalLog, std::ios::app);
    }
    if (!m_options.backoffViolationLog.empty()) {
        m_backoffViolationLog.open(m_options.backoffViolationLog, std::ios::app);
    }
}

void EndpointServer::recordArrival(const std::string &id)
{
    if (m_arrivalLog.is_open()) {
        m_arrivalLog << unixMs() << " " << id << std::endl;
    }
}

bool EndpointServer::drawFailure()
{
    return std::uniform_int_distribution<int>(0, 99)(m_random) < m_faults.failPercent;
}

// The line is written before the work begins, so that it is kept if the process crashes.
void EndpointServer::recordRun(const std::string &id)
{
    ++m_runs[id];
    if (m_runLog.is_open()) {
        m_runLog << id << std::endl;
    }
}

Task<void> EndpointServer::heartbeat()
{
    for (;;) {
        const json entry = makeEntry(m_options, m_leaving, coldRemaining(), ++m_sequence, m_startTimeMs);
        co_await m_store.put("servers", m_options.id, entry, std::nullopt);
        co_await sleepFor(m_options.heartbeatInterval);
    }
}

Millis EndpointServer::coldRemaining() const
{
    return std::max(Millis(0), std::chrono::ceil<Millis>(m_startedAt + m_options.coldFor - Clock::now()));
}

// Crashes the endpoint if it is cold and has received too many requests. The limit counts all requests since the
// start: delayed requests may arrive together, so a count per second could exceed the rate at which they were sent.
void EndpointServer::checkColdLimit()
{
    if (coldRemaining() == Millis(0)) {
        return;
    }
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(Clock::now() - m_startedAt).count();
    if (++m_requestsWhileCold > m_options.maxColdRequestsPerS * seconds) {
        m_options.crash(exitCodeColdOverload);
    }
}

void EndpointServer::recordRejection()
{
    const auto now = Clock::now();
    m_rejections.push_back(now);
    while (now - m_rejections.front() >= std::chrono::seconds(1)) {
        m_rejections.pop_front();
    }
    if (m_options.brittleAfter > 0 && static_cast<int>(m_rejections.size()) > m_options.brittleAfter) {
        m_options.crash(exitCodeBrittle);
    }
}

// Adds what the endpoint states of itself in all answers.
http::Headers EndpointServer::withStatements(http::Headers headers) const
{
    if (m_options.brittleAfter > 0) {
        headers.emplace_back("Server-Brittle", std::to_string(m_options.brittleAfter));
    }
    return addLeavingHeader(std::move(headers), m_leaving);
}

http::Headers EndpointServer::responseHeaders(const http::Exchange &ex) const
{
    const std::string id = ex.header(attemptIdHeader);
    const http::Headers headers{{attemptIdHeader, id},
                                {"Yuccasaddle-Response-Signature", responseSignature(id, m_options.id)},
                                {"Yuccasaddle-Server-Load", std::to_string(m_running) + ",0," + std::to_string(m_options.slots)},
                                {instanceHeader, m_options.id},
                                {"Keep-Alive", "timeout=5"}};
    return withStatements(headers);
}

Task<void> EndpointServer::reject(http::Exchange &ex, unsigned status)
{
    const auto headers = withStatements(notExecutedHeaders(m_options.id));
    co_await ex.reply(status, "", headers, "");
}

void EndpointServer::checkBackoff(const std::string &sender)
{
    const auto it = m_backoffs.find(sender);
    const auto now = Clock::now();
    if (sender.empty() || it == m_backoffs.end() || now < it->second.from || now >= it->second.until) {
        return;
    }
    if (++it->second.requests == maxRequestsDuringBackoff + 1 && m_backoffViolationLog.is_open()) {
        m_backoffViolationLog << unixMs() << " " << sender << std::endl;
    }
}

// Rejects a request because all slots are busy, with Retry-After if a test has set one. A sender that has closed the
// connection does not receive it.
Task<void> EndpointServer::rejectForCapacity(http::Exchange &ex)
{
    recordRejection();
    auto headers = withStatements(notExecutedHeaders(m_options.id));
    headers.emplace_back("Yuccasaddle-Server-Load", std::to_string(m_running) + ",0," + std::to_string(m_options.slots));
    if (m_faults.restMs > 0) {
        const auto now = Clock::now();
        auto &backoff = m_backoffs[senderFromRequestId(ex.header(attemptIdHeader))];
        if (now >= backoff.until && !ex.pollCallerDisconnected()) {
            backoff = {now + backoffStartDelay, now + Millis(m_faults.restMs), 0};
        }
        headers.emplace_back("Retry-After", std::to_string(m_faults.restMs / 1000.0));
    }
    co_await ex.reply(503, "", headers, "");
}

Task<void> EndpointServer::handle(http::Exchange &ex)
{
    if (ex.path().rfind("/admin/", 0) == 0) {
        co_await admin(ex);
        co_return;
    }
    if (ex.path() != "/health" && !ex.header(attemptIdHeader).empty()) {
        recordArrival(ex.header(attemptIdHeader));
    }
    const std::string expected = ex.header("Yuccasaddle-Expected-Instance");
    if (ex.path() == "/health") {
        auto headers = withStatements(notExecutedHeaders(m_options.id));
        if (coldRemaining() > Millis(0)) {
            headers.emplace_back("Yuccasaddle-Cold-Ms", std::to_string(coldRemaining().count()));
        }
        co_await ex.reply(m_leaving ? 503 : 200, "", headers, "");
        co_return;
    }
    if (!expected.empty() && expected != m_options.id) {
        co_await reject(ex, 421);
        co_return;
    }
    if (ex.header(attemptIdHeader).empty()) {
        co_await reject(ex, 400);
        co_return;
    }
    checkColdLimit();
    checkBackoff(senderFromRequestId(ex.header(attemptIdHeader)));
    if (m_faults.shed || m_running >= m_options.slots) {
        co_await rejectForCapacity(ex);
    } else {
        ++m_running;
        recordRun(ex.header(attemptIdHeader));
        if (!m_options.crashBody.empty() && ex.request().body() == m_options.crashBody) {
            co_await sleepFor(m_options.work);
            m_options.crash(exitCodeCrashRequest);
        }
        if (hasCrashPart(ex)) {
            co_await sleepFor(m_options.work);
            m_options.crash(exitCodeCrashPart);
        }
        if (m_options.streams) {
            co_await sendStream(ex);
        } else {
            co_await sendResponse(ex);
        }
        --m_running;
    }
}

bool EndpointServer::hasCrashPart(const http::Exchange &ex) const
{
    const auto parts = text::splitList(ex.header("Yuccasaddle-Prompt-Prefix"));
    return !m_options.crashPart.empty() && parts.size() >= 2 && std::any_of(parts.begin(), parts.end() - 1, [this](const std::string &part) {
        return part.substr(0, part.find(':')) == m_options.crashPart;
    });
}

Task<void> EndpointServer::sendResponse(http::Exchange &ex)
{
    const auto start = Clock::now();
    co_await sleepFor(m_options.work);
    co_await awaitSilenceEnd(start);
    if (m_faults.loseAnswers) {
        ex.abort();
        co_return;
    }
    const auto headers = responseHeaders(ex);
    if (m_faults.malformedResponses) {
        co_await sendMalformedResponse(ex, headers, m_malformedResponses++);
        co_return;
    }
    co_await ex.reply(drawFailure() ? 500 : 200, "answer of " + m_options.id + " to " + ex.header(attemptIdHeader), headers, "text/plain");
}

Task<void> EndpointServer::awaitSilenceEnd(Clock::time_point requestStart)
{
    while (requestStart < m_silentSince && Clock::now() < m_silentUntil) {
        co_await sleepFor(std::chrono::ceil<Millis>(m_silentUntil - Clock::now()));
    }
}

Task<void> EndpointServer::sendStream(http::Exchange &ex)
{
    const auto start = Clock::now();
    const int after = text::parseNumber<int>(ex.header("Last-Event-Id")).value_or(0);
    const auto headers = responseHeaders(ex);
    if (m_faults.malformedResponses) {
        co_await sendMalformedResponse(ex, headers, m_malformedResponses++);
        co_return;
    }
    co_await ex.beginStream(200, "text/event-stream", headers);
    for (int i = after + 1; i <= m_options.events; ++i) {
        co_await sleepFor(m_options.eventGap);
        co_await awaitSilenceEnd(start);
        if (m_faults.cutAfter >= 0 && i > m_faults.cutAfter) {
            co_await ex.sendChunk("id: " + std::to_string(i)); // an incomplete event
            ex.abort();
            co_return;
        }
        const bool delivered = co_await ex.sendChunk(eventText(i, m_options.version));
        if (!delivered) {
            co_return;
        }
    }
    co_await ex.endStream();
}

// Handles POST /admin/faults and GET /admin/runs (the number of executions by request id).
Task<void> EndpointServer::admin(http::Exchange &ex)
{
    if (ex.path() == "/admin/runs") {
        const json runs = m_runs;
        co_await ex.reply(200, runs.dump());
        co_return;
    }
    const auto body = decode::textOrNull(ex.request().body());
    m_faults = {};
    if (body.is_object()) {
        m_faults.shed = body.value("shed", false);
        m_faults.restMs = body.value("restMs", 0);
        m_faults.loseAnswers = body.value("loseAnswers", false);
        m_faults.failPercent = body.value("failPercent", 0);
        m_faults.cutAfter = body.value("cutAfter", -1);
        m_faults.malformedResponses = body.value("malformedResponses", false);
        m_faults.silentMs = body.value("silentMs", 0);
    }
    if (m_faults.silentMs > 0) {
        m_silentSince = Clock::now();
        m_silentUntil = m_silentSince + Millis(m_faults.silentMs);
    }
    co_await ex.reply(200, "{}");
}

} // namespace yucca::emulators
