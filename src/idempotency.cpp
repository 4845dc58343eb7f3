#include "idempotency.h"

#include "yucca/ring.h"

#include <algorithm>
#include <ctime>
#include <random>

namespace yucca::idempotency
{

namespace
{
constexpr int maxTries = 3; ///< bounded retries of one store call
constexpr Millis firstSettlePause{100}; ///< before a settlement that failed is tried again
constexpr Millis longestSettlePause{5000};
constexpr Millis settleLimit{std::chrono::minutes(10)}; ///< after that an operator settles the record

// The record of a claim that has just been taken.
nlohmann::json startedRecord(const std::string &owner, const std::string &nonce, uint64_t requestHash)
{
    return {{"state", "started"}, {"owner", owner}, {"nonce", nonce}, {"requestHash", requestHash}, {"at", static_cast<int64_t>(std::time(nullptr))}};
}

// A name for this process that no earlier process of the same router id had:
// a restarted router must not take its predecessor's claims for its own.
std::string bootId()
{
    std::random_device entropy;
    return std::to_string((uint64_t{entropy()} << 32) | entropy());
}
} // namespace

Guard::Guard(platform::ObjectApi &api, std::string owner, std::string kind, RestoreOptions options)
    : m_api(api)
    , m_owner(std::move(owner))
    , m_kind(std::move(kind))
    , m_boot(bootId())
    , m_options(options)
{
}

void Guard::noteEpoch(store::Epoch epoch, Clock::time_point now)
{
    std::lock_guard lock(m_mutex);
    if (epoch > m_epoch) {
        m_epoch = epoch;
        m_claimsFrom = now + m_options.claimsAfterRestore;
        m_restorePending = true;
    }
}

// True while a key that looks new may have run: its record may be lost.
bool Guard::restoring(Clock::time_point now)
{
    noteEpoch(m_api.epoch(), now);
    std::lock_guard lock(m_mutex);
    return now < m_claimsFrom;
}

void Guard::remember(const std::string &name, const nlohmann::json &value)
{
    const auto now = Clock::now();
    std::lock_guard lock(m_mutex);
    m_remembered.insert_or_assign(name, Remembered{value, now});
    if (m_remembered.size() <= m_options.mostRemembered) {
        return;
    }
    std::erase_if(m_remembered, [&](const auto &entry) {
        return now - entry.second.at > m_options.rememberedFor;
    });
    while (m_remembered.size() > m_options.mostRemembered) {
        m_remembered.erase(std::min_element(m_remembered.begin(), m_remembered.end(), [](const auto &a, const auto &b) {
            return a.second.at < b.second.at;
        }));
    }
}

std::map<std::string, Guard::Remembered> Guard::toRestore(Clock::time_point now)
{
    noteEpoch(m_api.epoch(), now);
    std::lock_guard lock(m_mutex);
    if (!m_restorePending) {
        return {};
    }
    m_restorePending = false;
    return m_remembered;
}

Task<void> Guard::restoreLost()
{
    for (const auto &[name, kept] : toRestore(Clock::now())) {
        auto written = co_await writeAgain(name, kept.value);
        const bool failed = !ok(written) && std::get<Error>(written).code != store::Conflict;
        if (failed) {
            std::lock_guard lock(m_mutex);
            m_restorePending = true;
            co_return;
        }
    }
}

// Writes a record of this router that the store may hold in an older state, or
// not at all; Conflict where another claim stands.
Task<Result<platform::Object>> Guard::writeAgain(std::string name, nlohmann::json record)
{
    auto got = co_await m_api.get(m_kind, name, platform::Freshness::Current);
    if (!ok(got) && std::get<Error>(got).code != store::NotFound) {
        co_return std::move(got);
    }
    const auto *held = std::get_if<platform::Object>(&got);
    if (held && held->value == record) {
        co_return std::move(got);
    }
    if (held && held->value.value("nonce", "") != record.value("nonce", "")) {
        co_return Error{store::Conflict, "another claim stands"};
    }
    co_return co_await m_api.put(m_kind, name, record, held ? held->version : 0);
}

std::string Guard::recordName(const std::string &workspace, const std::string &key)
{
    std::string out = workspace + "." + key;
    for (auto &c : out) {
        if (!std::isalnum(static_cast<unsigned char>(c)) && c != '-' && c != '_' && c != '.') {
            c = '_';
        }
    }
    // The hash goes first: it keeps two keys that differ only in replaced
    // characters apart, and spreads the names, so that a sweep may start
    // anywhere (duties.h).
    char prefix[20];
    snprintf(prefix, sizeof prefix, "%016llx.", static_cast<unsigned long long>(ring::hash(workspace + "\n" + key)));
    return prefix + out;
}

// Decides what an existing record means for this attempt.
Claim Guard::decide(const platform::Object &existing, uint64_t requestHash, const std::string &nonce)
{
    Claim c;
    c.record = existing;
    const auto &v = existing.value;
    if (v.value("requestHash", uint64_t{0}) != requestHash) {
        c.decision = Decision::Mismatch;
        return c;
    }
    const std::string state = v.value("state", "");
    if (state == "done") {
        c.decision = Decision::Replay;
        c.storedStatus = v.value("status", 200u);
        c.storedBody = v.value("body", "");
    } else if (state == "started" && v.value("nonce", "") == nonce) {
        c.decision = Decision::Run; // our own claim, whose answer was lost
    } else if (state == "started") {
        c.decision = Decision::InProgress;
    } else {
        c.decision = Decision::NotRun; // released: the caller may try again
    }
    return c;
}

Task<Claim> Guard::claim(std::string workspace, std::string key, uint64_t requestHash)
{
    if (restoring(Clock::now())) {
        co_return Claim{};
    }
    const std::string name = recordName(workspace, key);
    const std::string nonce = m_owner + "-" + m_boot + "-" + std::to_string(++m_attempts);
    const nlohmann::json started = startedRecord(m_owner, nonce, requestHash);
    std::optional<uint64_t> ifVersion = 0; // create only
    for (int attempt = 0; attempt < maxTries; ++attempt) {
        auto put = co_await m_api.put(m_kind, name, started, ifVersion);
        if (ok(put)) {
            Claim won;
            won.decision = Decision::Run;
            won.record = std::get<platform::Object>(put);
            remember(name, started);
            if (restoring(Clock::now())) { // the claim itself brought the news
                co_await settle(won, released(won));
                co_return Claim{};
            }
            co_return won;
        }
        const auto &err = std::get<Error>(put);
        if (err.code == store::Unavailable || err.code == 429) {
            co_return Claim{}; // the store did not take the claim: not run
        }
        // Conflict, or a lost answer: read what stands now.
        auto got = co_await m_api.get(m_kind, name, platform::Freshness::Current);
        if (!ok(got)) {
            if (std::get<Error>(got).code == store::NotFound && err.code == store::AnswerLost) {
                continue; // the lost write did not take effect: try again
            }
            // Unknown whether our claim stands; it is not run by us now, and
            // a retry finds our record and reports it in progress.
            Claim c;
            c.decision = err.code == store::AnswerLost ? Decision::InProgress : Decision::NotRun;
            co_return c;
        }
        auto c = decide(std::get<platform::Object>(got), requestHash, nonce);
        if (c.decision != Decision::NotRun) {
            co_return c;
        }
        ifVersion = c.record.version; // a released claim: take it over
    }
    co_return Claim{};
}

nlohmann::json Guard::completed(const Claim &claim, unsigned status, const std::string &body)
{
    nlohmann::json record = claim.record.value;
    record["state"] = "done";
    record["status"] = status;
    record["body"] = body;
    return record;
}

nlohmann::json Guard::released(const Claim &claim)
{
    nlohmann::json record = claim.record.value;
    record["state"] = "not_run";
    return record;
}

Task<Result<platform::Object>> Guard::settle(Claim claim, nlohmann::json record)
{
    auto put = co_await m_api.put(m_kind, claim.record.name, record, claim.record.version);
    remember(claim.record.name, record);
    if (ok(put)) {
        co_return std::move(put);
    }
    const auto error = std::get<Error>(put);
    const bool mayBeLost = m_api.epoch() > claim.record.epoch && (error.code == store::NotFound || error.code == store::Conflict);
    if (mayBeLost) {
        co_return co_await writeAgain(claim.record.name, record);
    }
    if (error.code != store::AnswerLost && error.code != store::Conflict) {
        co_return error;
    }
    // Our own write may stand, its answer lost now or on an earlier try.
    auto got = co_await m_api.get(m_kind, claim.record.name, platform::Freshness::Current);
    if (ok(got) && std::get<platform::Object>(got).value == record) {
        co_return std::move(got);
    }
    co_return error;
}

Task<bool> Guard::settleEventually(Claim claim, nlohmann::json record)
{
    Millis pause = firstSettlePause;
    for (Millis waited{0};; waited += pause, pause = std::min(pause * 2, longestSettlePause)) {
        auto settled = co_await settle(claim, record);
        if (ok(settled)) {
            co_return true;
        }
        if (std::get<Error>(settled).code == store::Conflict || waited >= settleLimit) {
            co_return false;
        }
        co_await sleepFor(pause);
    }
}

} // namespace yucca::idempotency
