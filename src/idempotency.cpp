#include "idempotency.h"

#include "decode.h"

#include "yucca/ring.h"

#include <algorithm>
#include <ctime>
#include <random>

namespace yucca::idempotency
{

namespace
{
constexpr int maxStoreAttempts = 3; ///< attempts of one claim at the store
constexpr Millis initialSettleDelay{100}; ///< before the first retry of a failed settlement; doubles with each retry
constexpr Millis maxSettleDelay{5000};
constexpr Millis settleTimeout{std::chrono::minutes(10)}; ///< after that, an operator must settle the record

// Returns the record of a new claim.
nlohmann::json startedRecord(const std::string &owner, const std::string &nonce, uint64_t requestHash)
{
    return {{"state", "started"}, {"owner", owner}, {"nonce", nonce}, {"requestHash", requestHash}, {"at", static_cast<int64_t>(std::time(nullptr))}};
}

std::string nonceOf(const nlohmann::json &record)
{
    return decode::fieldOr<std::string>(record, "nonce", {});
}

// Returns an id that no earlier process of the same router had: a restarted
// router must not mistake the claims of the process before for its own.
std::string randomProcessId()
{
    std::random_device entropy;
    return std::to_string((uint64_t{entropy()} << 32) | entropy());
}
} // namespace

Guard::Guard(platform::ObjectApi &api, std::string owner, std::string kind, RestoreOptions options)
    : m_api(api)
    , m_owner(std::move(owner))
    , m_kind(std::move(kind))
    , m_processId(randomProcessId())
    , m_options(options)
{
}

void Guard::recordEpoch(store::Epoch epoch, Clock::time_point now)
{
    std::lock_guard lock(m_mutex);
    if (epoch > m_epoch) {
        m_epoch = epoch;
        m_claimsResumeAt = now + m_options.claimPauseAfterRestore;
        m_restorePending = true;
    }
}

// True for a time after a restore of the store: a key without a record may have
// run, and its record may be lost.
bool Guard::claimsSuspended(Clock::time_point now)
{
    recordEpoch(m_api.epoch(), now);
    std::lock_guard lock(m_mutex);
    return now < m_claimsResumeAt;
}

// Keeps a copy of a record that this router wrote, for rewriteLostRecords().
void Guard::addRecent(const std::string &name, const nlohmann::json &value)
{
    const auto now = Clock::now();
    std::lock_guard lock(m_mutex);
    m_recentRecords.insert_or_assign(name, RecentRecord{value, now});
    if (m_recentRecords.size() <= m_options.maxRecentRecords) {
        return;
    }
    std::erase_if(m_recentRecords, [&](const auto &entry) {
        return now - entry.second.at > m_options.recentRecordAge;
    });
    while (m_recentRecords.size() > m_options.maxRecentRecords) {
        m_recentRecords.erase(std::min_element(m_recentRecords.begin(), m_recentRecords.end(), [](const auto &a, const auto &b) {
            return a.second.at < b.second.at;
        }));
    }
}

// Returns the recent records once after each restore of the store; else nothing.
std::map<std::string, Guard::RecentRecord> Guard::takeRecordsToRestore(Clock::time_point now)
{
    recordEpoch(m_api.epoch(), now);
    std::lock_guard lock(m_mutex);
    if (!m_restorePending) {
        return {};
    }
    m_restorePending = false;
    return m_recentRecords;
}

Task<void> Guard::rewriteLostRecords()
{
    for (const auto &[name, recent] : takeRecordsToRestore(Clock::now())) {
        auto written = co_await rewriteRecord(name, recent.value);
        const bool failed = !ok(written) && std::get<Error>(written).code != store::Conflict;
        if (failed) {
            std::lock_guard lock(m_mutex);
            m_restorePending = true;
            co_return;
        }
    }
}

// Writes a record of this router that the store may hold in an older state or
// not at all. Fails with Conflict when the store holds another attempt's claim.
Task<Result<platform::Object>> Guard::rewriteRecord(std::string name, nlohmann::json record)
{
    auto got = co_await m_api.get(m_kind, name, platform::Freshness::Current);
    if (!ok(got) && std::get<Error>(got).code != store::NotFound) {
        co_return std::move(got);
    }
    const auto *stored = std::get_if<platform::Object>(&got);
    if (stored && stored->value == record) {
        co_return std::move(got);
    }
    if (stored && nonceOf(stored->value) != nonceOf(record)) {
        co_return Error{store::Conflict, "another attempt holds the claim"};
    }
    co_return co_await m_api.put(m_kind, name, record, stored ? stored->version : 0);
}

std::string Guard::recordName(const std::string &workspace, const std::string &key)
{
    std::string out = workspace + "." + key;
    for (auto &c : out) {
        if (!std::isalnum(static_cast<unsigned char>(c)) && c != '-' && c != '_' && c != '.') {
            c = '_';
        }
    }
    // The hash distinguishes keys that differ only in replaced characters. As a
    // prefix it also spreads the names evenly, so that a sweep (background_tasks.h) may
    // start at a random name.
    char prefix[20];
    snprintf(prefix, sizeof prefix, "%016llx.", static_cast<unsigned long long>(ring::hash(workspace + "\n" + key)));
    return prefix + out;
}

// Returns what an existing record means for this attempt.
Claim Guard::interpretRecord(const platform::Object &existing, uint64_t requestHash, const std::string &nonce)
{
    Claim c;
    c.record = existing;
    const auto &v = existing.value;
    if (!v.is_object()) {
        c.decision = Decision::InProgress; // another writer has replaced the record: the request may have run
        return c;
    }
    if (decode::fieldOr<uint64_t>(v, "requestHash", 0) != requestHash) {
        c.decision = Decision::Mismatch;
        return c;
    }
    const std::string state = decode::fieldOr<std::string>(v, "state", {});
    if (state == "done") {
        c.decision = Decision::Replay;
        c.storedStatus = decode::fieldOr<unsigned>(v, "status", 200);
        c.storedBody = decode::fieldOr<std::string>(v, "body", {});
    } else if (state == "started" && nonceOf(v) == nonce) {
        c.decision = Decision::Run; // this attempt's own claim; the store's answer to it was lost
    } else if (state == "started") {
        c.decision = Decision::InProgress;
    } else {
        c.decision = Decision::NotRun; // released: the call may be claimed again
    }
    return c;
}

Task<Claim> Guard::claim(std::string workspace, std::string key, uint64_t requestHash)
{
    if (claimsSuspended(Clock::now())) {
        co_return Claim{};
    }
    const std::string name = recordName(workspace, key);
    const std::string nonce = m_owner + "-" + m_processId + "-" + std::to_string(++m_attempts);
    const nlohmann::json startedValue = startedRecord(m_owner, nonce, requestHash);
    std::optional<uint64_t> ifVersion = 0; // create only
    for (int attempt = 0; attempt < maxStoreAttempts; ++attempt) {
        auto put = co_await m_api.put(m_kind, name, startedValue, ifVersion);
        if (ok(put)) {
            Claim granted;
            granted.decision = Decision::Run;
            granted.record = std::get<platform::Object>(put);
            addRecent(name, startedValue);
            if (claimsSuspended(Clock::now())) { // the answer to the claim revealed a restore
                co_await settle(granted, released(granted));
                co_return Claim{};
            }
            co_return granted;
        }
        const auto &err = std::get<Error>(put);
        if (err.code == store::Unavailable || err.code == 429) {
            co_return Claim{}; // the store did not accept the claim
        }
        // A conflict or a lost answer: the stored record shows which claim holds.
        auto got = co_await m_api.get(m_kind, name, platform::Freshness::Current);
        if (!ok(got)) {
            if (std::get<Error>(got).code == store::NotFound && err.code == store::AnswerLost) {
                continue; // the write did not take effect
            }
            // After a lost answer it is unknown whether the claim holds. The
            // call is not run; a retry that finds the claim reports it in progress.
            Claim c;
            c.decision = err.code == store::AnswerLost ? Decision::InProgress : Decision::NotRun;
            co_return c;
        }
        auto c = interpretRecord(std::get<platform::Object>(got), requestHash, nonce);
        if (c.decision != Decision::NotRun) {
            co_return c;
        }
        ifVersion = c.record.version; // overwrites the released claim
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
    addRecent(claim.record.name, record);
    if (ok(put)) {
        co_return std::move(put);
    }
    const auto error = std::get<Error>(put);
    const bool mayBeLost = m_api.epoch() > claim.record.epoch && (error.code == store::NotFound || error.code == store::Conflict);
    if (mayBeLost) {
        co_return co_await rewriteRecord(claim.record.name, record);
    }
    if (error.code != store::AnswerLost && error.code != store::Conflict) {
        co_return error;
    }
    // The write may have taken effect, with its answer lost now or in an earlier attempt.
    auto got = co_await m_api.get(m_kind, claim.record.name, platform::Freshness::Current);
    if (ok(got) && std::get<platform::Object>(got).value == record) {
        co_return std::move(got);
    }
    co_return error;
}

Task<bool> Guard::settleEventually(Claim claim, nlohmann::json record)
{
    Millis delay = initialSettleDelay;
    for (Millis totalDelay{0};; totalDelay += delay, delay = std::min(delay * 2, maxSettleDelay)) {
        auto settled = co_await settle(claim, record);
        if (ok(settled)) {
            co_return true;
        }
        if (std::get<Error>(settled).code == store::Conflict || totalDelay >= settleTimeout) {
            co_return false;
        }
        co_await sleepFor(delay);
    }
}

} // namespace yucca::idempotency
