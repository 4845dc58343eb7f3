// Plain service calls: at most once for each Idempotency-Key.
#include "router_answers.h"

namespace yucca::router
{

// A plain service call. With an Idempotency-Key it runs at most once over
// all routers: the claim is taken in the object API before the call is sent.
Task<void> Router::operate(http::Exchange &ex)
{
    auto admitted = co_await admit(ex, EndpointKind::Service);
    if (!admitted) {
        co_return;
    }
    if (ex.header("idempotency-key").empty()) {
        co_await runOnce(ex, *admitted, nullptr);
        co_return;
    }
    idempotency::Claim claim;
    const bool mine = co_await claimed(ex, *admitted, claim);
    if (mine) {
        co_await runOnce(ex, *admitted, &claim);
    }
}

// Claims a call's idempotency key; false when the call was answered here.
Task<bool> Router::claimed(http::Exchange &ex, const Admitted &admitted, idempotency::Claim &claim)
{
    const std::string key = ex.header("idempotency-key");
    const uint64_t requestHash = ring::hash(ex.path() + "\n" + ex.request().body());
    claim = co_await m_guard.claim(admitted.workspace, key, requestHash);
    switch (claim.decision) {
    case idempotency::Decision::Run:
        co_return true;
    case idempotency::Decision::Replay: {
        ++m_counters.replayed;
        log::event(log::Event::IdempotentReplay, "key=" + key);
        co_await ex.reply(claim.storedStatus, claim.storedBody, replayHeaders(admitted.requestId));
        break;
    }
    case idempotency::Decision::InProgress:
        co_await outcomeUnknown(ex, "an earlier attempt with this key is in progress or its outcome is unknown");
        break;
    case idempotency::Decision::Mismatch:
        ++m_counters.notRun;
        co_await ex.reply(422, R"({"error":{"message":"this Idempotency-Key was used for a different request","type":"not_run"},"outcome":"not_run"})");
        break;
    case idempotency::Decision::NotRun:
        co_await notRun(ex, 503, "the object API could not record the idempotency key");
        break;
    }
    co_return false;
}

// Sends a call that must not be repeated: to another endpoint only while it
// certainly reached none. A caller that leaves does not stop it, since its
// retry is owed the answer.
Task<void> Router::runOnce(http::Exchange &ex, const Admitted &admitted, const idempotency::Claim *claim)
{
    const std::string &pool = admitted.workClass.pool;
    const std::string key = ex.header("idempotency-key");
    placement::Affinity affinity;
    affinity.shared = affinity.conversation = ring::hash(key.empty() ? admitted.requestId : key);
    std::set<std::string> tried;
    for (int64_t attempt = 1; attempt <= m_settings.maxAttempts && Clock::now() < admitted.deadline; ++attempt) {
        if (attempt > 1 && !m_retryBudget.spend()) {
            break;
        }
        const auto endpoint = m_table.acquire(pool, affinity, tried, Clock::now());
        if (!endpoint) {
            break;
        }
        const PlacedRequest placed(m_table, *endpoint);
        tried.insert(endpoint->id);
        m_counters.retried += attempt > 1 ? 1 : 0;
        auto request = forwarded(ex, admitted);
        if (!key.empty()) {
            request.set("idempotency-key", key);
        }
        const auto options = callOptions(admitted.deadline, http::Reuse::Never);
        auto called = co_await m_client.call(addressOf(*endpoint), std::move(request), options);
        if (auto *error = std::get_if<http::CallError>(&called)) {
            noteFailure(*endpoint, *error);
            if (error->stage == http::CallStage::Connect) {
                continue;
            }
            // The claim stays "started": the call is never sent again.
            co_await outcomeUnknown(ex, "the service's answer was lost: " + error->message);
            co_return;
        }
        auto &reply = std::get<http::Reply>(called);
        noteHead(*endpoint, reply);
        if (notExecuted(reply.status, reply.header("x-not-executed"))) {
            continue;
        }
        if (claim) {
            co_await settle(*claim, idempotency::Guard::completed(*claim, reply.status, reply.body));
        }
        co_await ex.reply(reply.status, std::move(reply.body), answerHeaders(admitted.requestId, endpoint->id));
        noteServed(admitted);
        co_return;
    }
    if (claim) {
        co_await settle(*claim, idempotency::Guard::released(*claim));
    }
    co_await notRun(ex, 503, "no endpoint of pool '" + pool + "' could take the call");
}

// Stores a claim's final record: at once when the store answers, else in the
// background for as long as the store is away.
Task<void> Router::settle(idempotency::Claim claim, json record)
{
    struct State {
        explicit State(const asio::any_io_executor &ex)
            : timer(ex, settleBeforeAnswer)
        {
        }
        asio::steady_timer timer;
        bool done = false;
    };
    const auto ex = co_await asio::this_coro::executor;
    auto state = std::make_shared<State>(ex);
    asio::co_spawn(ex, m_guard.settleEventually(std::move(claim), std::move(record)), [state](std::exception_ptr, bool settled) {
        if (!settled) {
            log::event(log::Event::RecordNotSettled);
        }
        state->done = true;
        state->timer.cancel();
    });
    boost::system::error_code ec;
    if (state->done) {
        co_return;
    }
    co_await state->timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

} // namespace yucca::router
