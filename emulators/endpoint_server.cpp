#include "endpoint_server.h"

#include "text.h"
#include "yucca/ring.h"

namespace yucca::emulators
{

using json = nlohmann::json;

namespace
{

constexpr const char *attemptIdHeader = "Yuccasaddle-Attempt-Id";
constexpr Millis restBegins{500}; ///< after it was asked for: what is on its way by then still arrives
constexpr int mostWhileResting = 2; ///< requests of one sender
constexpr const char *instanceHeader = "Yuccasaddle-Instance-Id";

// A signature that a test can recompute from the id and the endpoint.
std::string signatureOf(const std::string &requestId, const std::string &endpoint)
{
    char text[32];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(ring::hash(requestId + "@" + endpoint)));
    return text;
}

// Callers of a soak name the router in their requests' ids: TEXT-ROUTER-NUMBER.
std::string senderOf(const std::string &requestId)
{
    const auto first = requestId.find('-');
    const auto last = requestId.rfind('-');
    return first < last ? requestId.substr(first + 1, last - first - 1) : std::string();
}

int64_t unixMs()
{
    return std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch()).count();
}

std::string eventText(int number)
{
    return "id: " + std::to_string(number) + "\ndata: token" + std::to_string(number) + "\n\n";
}

// What an endpoint says of itself in all its answers.
http::Headers withLeaving(http::Headers headers, bool leaving)
{
    if (leaving) {
        headers.emplace_back("Server-Leaving", "1");
    }
    return headers;
}

http::Headers notExecutedHeaders(const std::string &endpoint, bool leaving)
{
    return withLeaving({{"Yuccasaddle-Not-Executed", "1"}, {instanceHeader, endpoint}}, leaving);
}

json entryOf(const EndpointOptions &o, bool leaving, Millis coldLeft, int64_t sequence, int64_t born)
{
    const auto port = o.advertisedPort != 0 ? o.advertisedPort : o.listen.port;
    return {{"service", o.service},
            {"address", o.listen.host + ":" + std::to_string(port)},
            {"zone", o.zone},
            {"version", "v1"},
            {"slots", o.slots},
            {"state", leaving ? "draining" : "ready"},
            {"cold_remaining_ms", coldLeft.count()},
            {"sequence", sequence},
            {"born", born}};
}

} // namespace

EndpointServer::EndpointServer(EndpointOptions options)
    : m_options(std::move(options))
    , m_store(m_options.store)
{
    if (!m_options.runLog.empty()) {
        m_runLog.open(m_options.runLog, std::ios::app);
    }
    if (!m_options.restLog.empty()) {
        m_restLog.open(m_options.restLog, std::ios::app);
    }
}

// Written before the work begins, so that it outlives the process.
void EndpointServer::noteRun(const std::string &id)
{
    ++m_runs[id];
    if (m_runLog.is_open()) {
        m_runLog << id << std::endl;
    }
}

Task<void> EndpointServer::heartbeat()
{
    for (;;) {
        const json entry = entryOf(m_options, m_leaving, coldLeft(), ++m_sequence, m_born);
        co_await m_store.put("servers", m_options.id, entry, std::nullopt);
        co_await sleepFor(m_options.heartbeat);
    }
}

Millis EndpointServer::coldLeft() const
{
    return std::max(Millis(0), std::chrono::ceil<Millis>(m_startedAt + m_options.coldFor - Clock::now()));
}

// Requests that were held up on their way may arrive together: what is sent in
// a second is bounded, so what has arrived since the start is as well.
void EndpointServer::countWhileCold()
{
    if (coldLeft() == Millis(0)) {
        return;
    }
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(Clock::now() - m_startedAt).count();
    if (++m_requestsWhileCold > m_options.coldMost * seconds) {
        std::_Exit(endedWhileCold);
    }
}

http::Headers EndpointServer::answerHeaders(const http::Exchange &ex) const
{
    const std::string id = ex.header(attemptIdHeader);
    const http::Headers headers{{attemptIdHeader, id},
                                {"Yuccasaddle-Response-Signature", signatureOf(id, m_options.id)},
                                {"Yuccasaddle-Server-Load", std::to_string(m_running) + ",0," + std::to_string(m_options.slots)},
                                {instanceHeader, m_options.id},
                                {"Keep-Alive", "timeout=5"}};
    return withLeaving(headers, m_leaving);
}

Task<void> EndpointServer::refuse(http::Exchange &ex, unsigned status)
{
    const auto headers = notExecutedHeaders(m_options.id, m_leaving);
    co_await ex.reply(status, "", headers, "");
}

void EndpointServer::countWhileResting(const std::string &sender)
{
    const auto it = m_rests.find(sender);
    const auto now = Clock::now();
    if (sender.empty() || it == m_rests.end() || now < it->second.from || now >= it->second.until) {
        return;
    }
    if (++it->second.got == mostWhileResting + 1 && m_restLog.is_open()) {
        m_restLog << unixMs() << " " << sender << std::endl;
    }
}

// Refuses for want of room, and asks for rest where a test says so.
Task<void> EndpointServer::turnAway(http::Exchange &ex)
{
    auto headers = notExecutedHeaders(m_options.id, m_leaving);
    if (m_faults.restMs > 0) {
        const auto now = Clock::now();
        auto &rest = m_rests[senderOf(ex.header(attemptIdHeader))];
        if (now >= rest.until) {
            rest = {now + restBegins, now + Millis(m_faults.restMs), 0};
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
    const std::string expected = ex.header("Yuccasaddle-Expected-Instance");
    if (ex.path() == "/health") {
        auto headers = notExecutedHeaders(m_options.id, m_leaving);
        if (coldLeft() > Millis(0)) {
            headers.emplace_back("Yuccasaddle-Cold-Ms", std::to_string(coldLeft().count()));
        }
        co_await ex.reply(m_leaving ? 503 : 200, "", headers, "");
        co_return;
    }
    if (!expected.empty() && expected != m_options.id) {
        co_await refuse(ex, 421);
        co_return;
    }
    if (ex.header(attemptIdHeader).empty()) {
        co_await refuse(ex, 400);
        co_return;
    }
    countWhileCold();
    countWhileResting(senderOf(ex.header(attemptIdHeader)));
    if (m_faults.shed || m_running >= m_options.slots) {
        co_await turnAway(ex);
    } else {
        ++m_running;
        noteRun(ex.header(attemptIdHeader));
        if (!m_options.endsUnder.empty() && ex.request().body() == m_options.endsUnder) {
            co_await sleepFor(m_options.work);
            std::_Exit(endedUnderRequest);
        }
        if (m_options.streams) {
            co_await answerStream(ex);
        } else {
            co_await answerCall(ex);
        }
        --m_running;
    }
}

Task<void> EndpointServer::answerCall(http::Exchange &ex)
{
    co_await sleepFor(m_options.work);
    if (m_faults.loseAnswers) {
        ex.drop();
        co_return;
    }
    const auto headers = answerHeaders(ex);
    co_await ex.reply(m_faults.fail ? 500 : 200, "answer of " + m_options.id + " to " + ex.header(attemptIdHeader), headers, "text/plain");
}

Task<void> EndpointServer::answerStream(http::Exchange &ex)
{
    const int after = text::number<int>(ex.header("Last-Event-Id")).value_or(0);
    const auto headers = answerHeaders(ex);
    co_await ex.beginStream(200, "text/event-stream", headers);
    for (int i = after + 1; i <= m_options.events; ++i) {
        co_await sleepFor(m_options.eventGap);
        if (m_faults.cutAfter >= 0 && i > m_faults.cutAfter) {
            co_await ex.sendChunk("id: " + std::to_string(i)); // breaks off mid-event
            ex.drop();
            co_return;
        }
        const bool delivered = co_await ex.sendChunk(eventText(i));
        if (!delivered) {
            co_return;
        }
    }
    co_await ex.endStream();
}

// POST /admin/faults, and GET /admin/runs: how often each request ran here.
Task<void> EndpointServer::admin(http::Exchange &ex)
{
    if (ex.path() == "/admin/runs") {
        const json runs = m_runs;
        co_await ex.reply(200, runs.dump());
        co_return;
    }
    const auto body = json::parse(ex.request().body(), nullptr, false);
    m_faults = {};
    if (body.is_object()) {
        m_faults.shed = body.value("shed", false);
        m_faults.restMs = body.value("restMs", 0);
        m_faults.loseAnswers = body.value("loseAnswers", false);
        m_faults.fail = body.value("fail", false);
        m_faults.cutAfter = body.value("cutAfter", -1);
    }
    co_await ex.reply(200, "{}");
}

} // namespace yucca::emulators
