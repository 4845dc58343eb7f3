#include "experiment.h"
#include "experiment_calls.h"

#include "decode.h"
#include "engine_core.h"
#include "prefix.h"
#include "yucca/ring.h"

#include <algorithm>

namespace yucca::experiment
{

using json = nlohmann::json;

namespace
{

constexpr int largePercent = 60; ///< of the conversations belong to large workspaces
constexpr int maxCallerAttempts = 4; ///< attempts of a caller, who retries after outcome not_run
constexpr int questionTokens = 24; ///< of one turn
constexpr std::size_t maxProblems = 10;
constexpr int histogramBins = 2000;

// Returns a text of pseudo-random words, the same for the same seed.
std::string randomWords(uint64_t seed, int count)
{
    std::string out;
    for (int i = 0; i < count; ++i) {
        out += " q" + std::to_string(ring::hash(std::to_string(i), seed) % 997);
    }
    return out;
}

json makeMessage(const char *role, const std::string &content)
{
    return {{"role", role}, {"content", content}};
}

json chatBody(const json &messages, int maxTokens, bool stream)
{
    return {{"model", "counsel"}, {"messages", messages}, {"max_tokens", maxTokens}, {"stream", stream}};
}

json bookingBody(int household, int slot)
{
    return {{"household", household}, {"slot", slot}};
}

http::Headers chatHeaders(const std::string &workspace, const std::string &requestId)
{
    return {{"x-workspace", workspace}, {"x-request-id", requestId}};
}

http::Headers bookingHeaders(const std::string &key)
{
    return {{"x-workspace", "scheduler"}, {"idempotency-key", key}};
}

} // namespace

Counters::Counters()
    : timeToFirst(boost::histogram::make_histogram(boost::histogram::axis::regular<>(histogramBins, 0.0, 10000.0)))
    , timeBetween(boost::histogram::make_histogram(boost::histogram::axis::regular<>(histogramBins, 0.0, 2000.0)))
{
}

Experiment::Experiment(Options options)
    : m_options(std::move(options))
    , m_platform(m_options.platform)
{
}

bool Experiment::isOver() const
{
    return m_issued >= m_options.maxRequests || Clock::now() - m_started > std::chrono::seconds(m_options.durationS);
}

// Picks a router by a number. Callers are spread over the routers, and a retry goes to another one.
const http::Address &Experiment::pickRouter(int routerNumber) const
{
    return m_options.routers[static_cast<std::size_t>(routerNumber) % m_options.routers.size()];
}

void Experiment::addProblem(std::string text)
{
    if (m_counters.problems.size() < maxProblems) {
        m_counters.problems.push_back(std::move(text));
    }
}

Experiment::Conversation Experiment::makeConversation(int id, const std::string &workspace, int pauseDivisor) const
{
    Conversation c;
    c.id = id;
    c.workspace = workspace;
    c.pauseDivisor = pauseDivisor;
    c.rng.seed(static_cast<unsigned>(id) + 1);
    const std::string system = "You are the assistant of " + workspace + "." + randomWords(ring::hash(workspace), m_options.systemTokens);
    c.messages.push_back({{"role", "system"}, {"content", system}});
    return c;
}

// Starts a concurrent task. run() waits for it.
void Experiment::spawn(Task<void> task)
{
    ++m_runningTasks;
    asio::co_spawn(m_executor, std::move(task), [this](std::exception_ptr failure) {
        --m_runningTasks;
        if (failure) {
            ++m_counters.failed;
            addProblem("a task of the experiment failed");
        }
    });
}

Task<json> Experiment::run()
{
    m_executor = co_await asio::this_coro::executor;
    m_started = Clock::now();
    std::mt19937 rng(7);
    for (int c = 0; c < m_options.conversations; ++c) {
        const bool large = static_cast<int>(rng() % 100) < largePercent;
        const int largeCount = std::min(largeWorkspaces, m_options.workspaces);
        const int workspace = large || m_options.workspaces == largeCount ? c % largeCount : largeCount + c % (m_options.workspaces - largeCount);
        spawn(runConversation(makeConversation(c, "ws-" + std::to_string(workspace), 1)));
    }
    spawn(runAt(m_options.drainAtS, [this] {
        return drainEngine(m_options.drainEngine);
    }));
    spawn(runAt(m_options.migrateAtS, [this] {
        return migrate();
    }));
    spawn(runAt(m_options.outageAtS, [this] {
        return outage();
    }));
    spawn(runAt(m_options.surgeAtS, [this] {
        return surge();
    }));
    spawn(runChurn());
    spawn(sampleLoads());
    // The load sampler and the churn end only after m_done is set.
    constexpr int backgroundTasks = 2;
    while (m_runningTasks > backgroundTasks) {
        co_await sleepFor(pollInterval);
    }
    m_done = true;
    while (m_runningTasks > 0) {
        co_await sleepFor(pollInterval);
    }
    co_return co_await report();
}

// Runs an action at a second of the experiment, unless the second is negative or the experiment ends before.
Task<void> Experiment::runAt(int second, std::function<Task<void>()> action)
{
    if (second < 0) {
        co_return;
    }
    while (Clock::now() - m_started < std::chrono::seconds(second)) {
        if (isOver()) {
            co_return;
        }
        co_await sleepFor(pollInterval);
    }
    co_await action();
}

// Runs a conversation, turns with pauses between them, until it or the experiment ends.
Task<void> Experiment::runConversation(Conversation c)
{
    std::uniform_int_distribution<int> pause(m_options.pauseMinMs, m_options.pauseMaxMs);
    while (c.turnsDone < m_options.turns) {
        co_await sleepFor(Millis(pause(c.rng) / c.pauseDivisor));
        while (m_inflight >= m_options.concurrency && !isOver()) {
            co_await sleepFor(pollInterval);
        }
        if (isOver()) {
            co_return;
        }
        ++m_issued;
        ++m_inflight;
        const bool answered = co_await runTurn(c);
        --m_inflight;
        const auto draw = ring::hash(std::to_string(c.id) + "/" + std::to_string(c.turnsDone)) % 100;
        if (answered && static_cast<int>(draw) < m_options.servicePercent) {
            co_await sendBookings(c.id, c.turnsDone);
        }
        ++c.turnsDone;
    }
}

// Runs one chat turn, with retries after outcome not_run. Returns true if the response was complete and correct; it is
// then added to the conversation.
Task<bool> Experiment::runTurn(Conversation &c)
{
    const int routerNumber = c.id * 31 + c.turnsDone;
    const bool stream = routerNumber % 2 == 0;
    const std::string question = "conversation " + std::to_string(c.id) + " turn " + std::to_string(c.turnsDone)
        + " asks:" + randomWords(ring::hash(m_options.label, static_cast<uint64_t>(routerNumber)), questionTokens);
    json messages = c.messages;
    messages.push_back(makeMessage("user", question));
    std::string expected;
    for (const auto &token : engine::answerTokens(ring::hash(prefix::promptText(messages)), static_cast<std::size_t>(m_options.maxTokens))) {
        expected += token + " ";
    }
    const json body = chatBody(messages, m_options.maxTokens, stream);
    const std::string requestId = m_options.label + "-" + std::to_string(c.id) + "-" + std::to_string(c.turnsDone);
    for (int attempt = 0; attempt < maxCallerAttempts; ++attempt) {
        const auto result = co_await sendChat(pickRouter(routerNumber + attempt), c.workspace, requestId, body.dump(), stream);
        if (result.outcome == "not_run" && attempt + 1 < maxCallerAttempts) {
            ++m_counters.notRun;
            ++m_counters.retries;
            co_await sleepFor(std::chrono::duration_cast<Millis>(std::chrono::duration<double>(result.retryAfterS)));
            continue;
        }
        countResponse(c, result, requestId, expected);
        if (result.status == 200 && result.complete && result.content == expected) {
            messages.push_back(makeMessage("assistant", result.content));
            c.messages = std::move(messages);
            co_return true;
        }
        break;
    }
    co_return false;
}

// Checks a response and counts the result.
void Experiment::countResponse(const Conversation &c, const ChatResult &result, const std::string &requestId, const std::string &expected)
{
    if (result.status != 200 || result.transportFailed) {
        ++(result.outcome == "not_run" ? m_counters.notRun : (result.outcome == "unknown" ? m_counters.unknown : m_counters.failed));
        addProblem(requestId + ": status " + std::to_string(result.status) + " " + result.text);
        return;
    }
    if (!result.complete) {
        ++m_counters.failed;
        addProblem(requestId + ": incomplete answer");
        return;
    }
    if (result.content != expected || result.id != "chatcmpl-" + requestId) {
        ++m_counters.wrong;
        addProblem(requestId + ": wrong answer (id " + result.id + ")");
        return;
    }
    ++m_counters.served;
    if (c.turnsDone > 0) {
        m_counters.returningPrompt += result.promptTokens;
        m_counters.returningCached += result.cachedTokens;
        m_counters.movedPrompt += m_migrated ? result.promptTokens : 0;
        m_counters.movedCached += m_migrated ? result.cachedTokens : 0;
    }
}

// Reads id, content and token usage from a chunk or a complete response.
static void readResponsePart(const json &part, const char *contentField, std::string &id, std::string &content, uint64_t &prompt, uint64_t &cached)
{
    id = part.value("id", id);
    if (part.contains("choices") && !part["choices"].empty()) {
        const auto &choice = part["choices"][0];
        if (choice.contains(contentField)) {
            content += choice[contentField].value("content", "");
        }
    }
    if (part.contains("usage")) {
        prompt = part["usage"].value("prompt_tokens", uint64_t{0});
        if (part["usage"].contains("prompt_tokens_details")) {
            cached = part["usage"]["prompt_tokens_details"].value("cached_tokens", uint64_t{0});
        }
    }
}

Task<Experiment::ChatResult> Experiment::sendChat(http::Address to, std::string workspace, std::string requestId, std::string body, bool stream)
{
    ChatResult result;
    const auto sentAt = Clock::now();
    const auto options = callOptions(callerTimeout, http::ConnectionReuse::KeepAliveWithRetry);
    auto request = http::makeRequest("POST", "/v1/chat/completions", std::move(body), chatHeaders(workspace, requestId));
    auto opened = co_await m_client.open(std::move(to), std::move(request), options);
    if (auto *error = std::get_if<http::CallError>(&opened)) {
        result.transportFailed = true;
        result.text = error->message;
        co_return result;
    }
    auto &response = *std::get<std::unique_ptr<http::Response>>(opened);
    result.status = response.status();
    if (result.status == 200 && stream) {
        co_await readStream(response, result, sentAt);
        co_return result;
    }
    std::string text;
    for (;;) {
        auto read = co_await response.read();
        if (auto *error = std::get_if<http::CallError>(&read)) {
            result.transportFailed = true;
            result.text = error->message;
            co_return result;
        }
        if (std::get<std::string>(read).empty()) {
            break;
        }
        text += std::get<std::string>(read);
    }
    result.text = text.substr(0, 160);
    const json parsed = decode::textOrNull(text);
    if (!parsed.is_object()) {
        co_return result;
    }
    if (result.status != 200) {
        result.outcome = parsed.value("outcome", "");
        result.retryAfterS = parsed.value("retry_after_s", 1.0);
        co_return result;
    }
    readResponsePart(parsed, "message", result.id, result.content, result.promptTokens, result.cachedTokens);
    result.complete = true;
    m_counters.timeToFirst(millisSince(sentAt));
    co_return result;
}

// Reads a stream of server-sent events. It is complete only if the terminal event arrived.
Task<void> Experiment::readStream(http::Response &response, ChatResult &result, Clock::time_point sentAt)
{
    sse::EventRelay events;
    auto last = sentAt;
    for (;;) {
        auto read = co_await response.read();
        if (auto *error = std::get_if<http::CallError>(&read)) {
            result.transportFailed = true;
            result.text = error->message;
            co_return;
        }
        const auto &bytes = std::get<std::string>(read);
        if (bytes.empty()) {
            break;
        }
        for (const auto &event : events.push(bytes)) {
            const auto data = event.find("data: ");
            const json parsed = data == std::string::npos ? json() : decode::textOrNull(event.substr(data + 6));
            if (!parsed.is_object()) {
                continue; // the terminal event
            }
            readResponsePart(parsed, "delta", result.id, result.content, result.promptTokens, result.cachedTokens);
            (last == sentAt ? m_counters.timeToFirst : m_counters.timeBetween)(millisSince(last));
            last = Clock::now();
        }
    }
    result.complete = events.isComplete() && !events.hasGap();
}

// Books through the plain service. The caller sends the booking to two routers, as a caller does whose first response
// was lost. It must be executed once.
Task<void> Experiment::sendBookings(int household, int slot)
{
    const std::string key = m_options.label + "-book-" + std::to_string(household) + "-" + std::to_string(slot);
    const json body = bookingBody(household, slot);
    for (int copy = 0; copy < 2; ++copy) {
        const auto options = callOptions(callerTimeout, http::ConnectionReuse::Never);
        auto request = http::makeRequest("POST", "/v1/ops/book", body.dump(), bookingHeaders(key));
        auto called = co_await m_client.call(pickRouter(household + copy), std::move(request), options);
        auto *reply = std::get_if<http::Reply>(&called);
        if (reply && reply->status == 200) {
            ++(reply->header("x-idempotent-replay") == "true" ? m_counters.replayed : m_counters.booked);
            continue;
        }
        const std::string outcome = reply ? reply->header("x-outcome") : "";
        ++(outcome == "not_run" ? m_counters.notRun : (outcome == "unknown" ? m_counters.unknown : m_counters.failed));
        addProblem(key + ": booking status " + std::to_string(reply ? reply->status : 0));
    }
}

} // namespace yucca::experiment
