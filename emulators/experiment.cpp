#include "experiment.h"
#include "experiment_calls.h"

#include "engine_core.h"
#include "prefix.h"
#include "yucca/ring.h"

#include <algorithm>

namespace yucca::experiment
{

using json = nlohmann::json;

namespace
{

constexpr int largePercent = 60; ///< of the conversations
constexpr int callerTries = 4; ///< a caller asks again after a not-run answer
constexpr int questionTokens = 24;
constexpr std::size_t problemsKept = 10;
constexpr int histogramBins = 2000;

// A number of made-up words, the same for the same seed.
std::string words(uint64_t seed, int count)
{
    std::string out;
    for (int i = 0; i < count; ++i) {
        out += " q" + std::to_string(ring::hash(std::to_string(i), seed) % 997);
    }
    return out;
}

json messageOf(const char *role, const std::string &content)
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

Tally::Tally()
    : timeToFirst(boost::histogram::make_histogram(boost::histogram::axis::regular<>(histogramBins, 0.0, 10000.0)))
    , timeBetween(boost::histogram::make_histogram(boost::histogram::axis::regular<>(histogramBins, 0.0, 2000.0)))
{
}

Experiment::Experiment(Options options)
    : m_o(std::move(options))
    , m_platform(m_o.platform)
{
}

bool Experiment::over() const
{
    return m_issued >= m_o.maxRequests || Clock::now() - m_started > std::chrono::seconds(m_o.durationS);
}

// The platform's balancer spreads the callers; a retry reaches another router.
const http::Address &Experiment::router(int salt) const
{
    return m_o.routers[static_cast<std::size_t>(salt) % m_o.routers.size()];
}

void Experiment::problem(std::string text)
{
    if (m_tally.problems.size() < problemsKept) {
        m_tally.problems.push_back(std::move(text));
    }
}

Experiment::Conversation Experiment::makeConversation(int id, const std::string &workspace, int pauseDivisor) const
{
    Conversation c;
    c.id = id;
    c.workspace = workspace;
    c.pauseDivisor = pauseDivisor;
    c.rng.seed(static_cast<unsigned>(id) + 1);
    const std::string system = "You are the assistant of " + workspace + "." + words(ring::hash(workspace), m_o.systemTokens);
    c.messages.push_back({{"role", "system"}, {"content", system}});
    return c;
}

// Runs a task beside the others; run() waits for it.
void Experiment::start(Task<void> task)
{
    ++m_running;
    asio::co_spawn(m_executor, std::move(task), [this](std::exception_ptr failure) {
        --m_running;
        if (failure) {
            ++m_tally.failed;
            problem("a task of the experiment failed");
        }
    });
}

Task<json> Experiment::run()
{
    m_executor = co_await asio::this_coro::executor;
    m_started = Clock::now();
    std::mt19937 rng(7);
    for (int c = 0; c < m_o.conversations; ++c) {
        const bool large = static_cast<int>(rng() % 100) < largePercent;
        const int few = std::min(largeWorkspaces, m_o.workspaces);
        const int workspace = large || m_o.workspaces == few ? c % few : few + c % (m_o.workspaces - few);
        start(converse(makeConversation(c, "ws-" + std::to_string(workspace), 1)));
    }
    start(at(m_o.drainAtS, [this] {
        return drainEngine(m_o.drainEngine);
    }));
    start(at(m_o.migrateAtS, [this] {
        return migrate();
    }));
    start(at(m_o.outageAtS, [this] {
        return outage();
    }));
    start(at(m_o.surgeAtS, [this] {
        return surge();
    }));
    start(churn());
    start(sampleLoads());
    // The sampler and the churn end when the callers have.
    constexpr int background = 2;
    while (m_running > background) {
        co_await sleepFor(pollInterval);
    }
    m_done = true;
    while (m_running > 0) {
        co_await sleepFor(pollInterval);
    }
    co_return co_await report();
}

// Runs an action at its second, unless that never comes.
Task<void> Experiment::at(int second, std::function<Task<void>()> action)
{
    if (second < 0) {
        co_return;
    }
    while (Clock::now() - m_started < std::chrono::seconds(second)) {
        if (over()) {
            co_return;
        }
        co_await sleepFor(pollInterval);
    }
    co_await action();
}

// One conversation: turns with pauses between them, until it or the run ends.
Task<void> Experiment::converse(Conversation c)
{
    std::uniform_int_distribution<int> pause(m_o.pauseMinMs, m_o.pauseMaxMs);
    while (c.turnsDone < m_o.turns) {
        co_await sleepFor(Millis(pause(c.rng) / c.pauseDivisor));
        while (m_inflight >= m_o.concurrency && !over()) {
            co_await sleepFor(pollInterval);
        }
        if (over()) {
            co_return;
        }
        ++m_issued;
        ++m_inflight;
        const bool answered = co_await turn(c);
        --m_inflight;
        const auto draw = ring::hash(std::to_string(c.id) + "/" + std::to_string(c.turnsDone)) % 100;
        if (answered && static_cast<int>(draw) < m_o.servicePercent) {
            co_await book(c.id, c.turnsDone);
        }
        ++c.turnsDone;
    }
}

// One chat turn, asked again after a not-run answer. True when the answer
// came whole and right; it then joins the conversation.
Task<bool> Experiment::turn(Conversation &c)
{
    const int salt = c.id * 31 + c.turnsDone;
    const bool stream = salt % 2 == 0;
    const std::string question = "conversation " + std::to_string(c.id) + " turn " + std::to_string(c.turnsDone)
        + " asks:" + words(ring::hash(m_o.label, static_cast<uint64_t>(salt)), questionTokens);
    json messages = c.messages;
    messages.push_back(messageOf("user", question));
    std::string expected;
    for (const auto &token : engine::answerTokens(ring::hash(prefix::promptText(messages)), static_cast<std::size_t>(m_o.maxTokens))) {
        expected += token + " ";
    }
    const json body = chatBody(messages, m_o.maxTokens, stream);
    const std::string requestId = m_o.label + "-" + std::to_string(c.id) + "-" + std::to_string(c.turnsDone);
    for (int attempt = 0; attempt < callerTries; ++attempt) {
        const auto answer = co_await ask(router(salt + attempt), c.workspace, requestId, body.dump(), stream);
        if (answer.outcome == "not_run" && attempt + 1 < callerTries) {
            ++m_tally.notRun;
            ++m_tally.retries;
            co_await sleepFor(std::chrono::duration_cast<Millis>(std::chrono::duration<double>(answer.retryAfterS)));
            continue;
        }
        check(c, answer, requestId, expected);
        if (answer.status == 200 && answer.complete && answer.content == expected) {
            messages.push_back(messageOf("assistant", answer.content));
            c.messages = std::move(messages);
            co_return true;
        }
        break;
    }
    co_return false;
}

// Counts an answer: whole and right, or what was wrong with it.
void Experiment::check(const Conversation &c, const Answer &answer, const std::string &requestId, const std::string &expected)
{
    if (answer.status != 200 || answer.transportFailed) {
        ++(answer.outcome == "not_run" ? m_tally.notRun : (answer.outcome == "unknown" ? m_tally.unknown : m_tally.failed));
        problem(requestId + ": status " + std::to_string(answer.status) + " " + answer.text);
        return;
    }
    if (!answer.complete) {
        ++m_tally.failed;
        problem(requestId + ": incomplete answer");
        return;
    }
    if (answer.content != expected || answer.id != "chatcmpl-" + requestId) {
        ++m_tally.wrong;
        problem(requestId + ": wrong answer (id " + answer.id + ")");
        return;
    }
    ++m_tally.served;
    if (c.turnsDone > 0) {
        m_tally.returningPrompt += answer.promptTokens;
        m_tally.returningCached += answer.cachedTokens;
        m_tally.movedPrompt += m_moved ? answer.promptTokens : 0;
        m_tally.movedCached += m_moved ? answer.cachedTokens : 0;
    }
}

// Takes what a chunk or a whole answer says of itself.
static void readAnswerPart(const json &part, const char *contentField, std::string &id, std::string &content, uint64_t &prompt, uint64_t &cached)
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

Task<Experiment::Answer> Experiment::ask(http::Address to, std::string workspace, std::string requestId, std::string body, bool stream)
{
    Answer answer;
    const auto began = Clock::now();
    const auto options = callOptions(callerTimeout, http::Reuse::KeptOrAgain);
    auto request = http::makeRequest("POST", "/v1/chat/completions", std::move(body), chatHeaders(workspace, requestId));
    auto opened = co_await m_client.open(std::move(to), std::move(request), options);
    if (auto *error = std::get_if<http::CallError>(&opened)) {
        answer.transportFailed = true;
        answer.text = error->message;
        co_return answer;
    }
    auto &response = *std::get<std::unique_ptr<http::Response>>(opened);
    answer.status = response.status();
    if (answer.status == 200 && stream) {
        co_await readStream(response, answer, began);
        co_return answer;
    }
    std::string text;
    for (;;) {
        auto read = co_await response.read();
        if (auto *error = std::get_if<http::CallError>(&read)) {
            answer.transportFailed = true;
            answer.text = error->message;
            co_return answer;
        }
        if (std::get<std::string>(read).empty()) {
            break;
        }
        text += std::get<std::string>(read);
    }
    answer.text = text.substr(0, 160);
    const json parsed = json::parse(text, nullptr, false);
    if (!parsed.is_object()) {
        co_return answer;
    }
    if (answer.status != 200) {
        answer.outcome = parsed.value("outcome", "");
        answer.retryAfterS = parsed.value("retry_after_s", 1.0);
        co_return answer;
    }
    readAnswerPart(parsed, "message", answer.id, answer.content, answer.promptTokens, answer.cachedTokens);
    answer.complete = true;
    m_tally.timeToFirst(millisSince(began));
    co_return answer;
}

// Reads server-sent events; complete only when the terminal one arrived.
Task<void> Experiment::readStream(http::Response &response, Answer &answer, Clock::time_point began)
{
    sse::EventRelay events;
    auto last = began;
    for (;;) {
        auto read = co_await response.read();
        if (auto *error = std::get_if<http::CallError>(&read)) {
            answer.transportFailed = true;
            answer.text = error->message;
            co_return;
        }
        const auto &bytes = std::get<std::string>(read);
        if (bytes.empty()) {
            break;
        }
        for (const auto &event : events.push(bytes)) {
            const auto data = event.find("data: ");
            const json parsed = data == std::string::npos ? json() : json::parse(event.substr(data + 6), nullptr, false);
            if (!parsed.is_object()) {
                continue; // the terminal event
            }
            readAnswerPart(parsed, "delta", answer.id, answer.content, answer.promptTokens, answer.cachedTokens);
            (last == began ? m_tally.timeToFirst : m_tally.timeBetween)(millisSince(last));
            last = Clock::now();
        }
    }
    answer.complete = events.complete() && !events.gap();
}

// A booking through the plain service; the caller sends it twice, to two
// routers, as after a lost answer. It must run once.
Task<void> Experiment::book(int household, int slot)
{
    const std::string key = m_o.label + "-book-" + std::to_string(household) + "-" + std::to_string(slot);
    const json body = bookingBody(household, slot);
    for (int copy = 0; copy < 2; ++copy) {
        const auto options = callOptions(callerTimeout, http::Reuse::Never);
        auto request = http::makeRequest("POST", "/v1/ops/book", body.dump(), bookingHeaders(key));
        auto called = co_await m_client.call(router(household + copy), std::move(request), options);
        auto *reply = std::get_if<http::Reply>(&called);
        if (reply && reply->status == 200) {
            ++(reply->header("x-idempotent-replay") == "true" ? m_tally.replayed : m_tally.booked);
            continue;
        }
        const std::string outcome = reply ? reply->header("x-outcome") : "";
        ++(outcome == "not_run" ? m_tally.notRun : (outcome == "unknown" ? m_tally.unknown : m_tally.failed));
        problem(key + ": booking status " + std::to_string(reply ? reply->status : 0));
    }
}

} // namespace yucca::experiment
