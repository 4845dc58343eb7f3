// At-most-once execution of non-idempotent calls, recorded through the
// platform's object API: a create-only claim per idempotency key, then
// the stored answer.
#pragma once

#include "object_api.h"
#include "task.h"

#include <atomic>
#include <string>

namespace yucca::idempotency
{

/// The object kind that holds the records of callers' requests.
inline constexpr const char *recordKind = "idem";

/// What a router may do with a request that carries an idempotency key.
enum class Decision {
    Run, ///< this router holds the claim: forward the call once
    Replay, ///< the call ran before: answer with the stored answer
    InProgress, ///< another attempt holds the claim; its outcome is not known yet
    NotRun, ///< no claim could be taken (store down or rate limited): not run
    Mismatch, ///< the key was used before for a different request
};

inline constexpr NameTable<Decision, 5> decisionNames{{{Decision::Run, "run"},
                                                       {Decision::Replay, "replay"},
                                                       {Decision::InProgress, "in_progress"},
                                                       {Decision::NotRun, "not_run"},
                                                       {Decision::Mismatch, "mismatch"}}};

/// The outcome of a claim, with the record when there is one.
struct Claim {
    Decision decision = Decision::NotRun;
    platform::Object record;
    unsigned storedStatus = 0;
    std::string storedBody;
};

/// Takes and settles claims for one router.
class Guard
{
public:
    /// Records are of the given kind.
    Guard(platform::ObjectApi &api, std::string owner, std::string kind = recordKind);

    /// Claims key for a request whose body hashes to requestHash.
    /// Each attempt is identified by a fresh nonce so that a claim whose
    /// answer was lost can be recognised as one's own.
    Task<Claim> claim(std::string workspace, std::string key, uint64_t requestHash);
    /// The record of a call that ran, with its answer.
    static nlohmann::json completed(const Claim &claim, unsigned status, const std::string &body);
    /// The record of a call that certainly did not run: a retry may run it.
    static nlohmann::json released(const Claim &claim);
    /// Writes the final record of a claim. Unavailable when the store could
    /// not be reached; Conflict when somebody else settled it.
    Task<Result<platform::Object>> settle(Claim claim, nlohmann::json record);
    /// Settles a claim however long the store is away, up to a limit, with
    /// growing pauses: a record left "started" would answer "unknown" for good.
    Task<bool> settleEventually(Claim claim, nlohmann::json record);

    /// The record name of a key: workspace and key, URL-safe.
    static std::string recordName(const std::string &workspace, const std::string &key);

private:
    Claim decide(const platform::Object &existing, uint64_t requestHash, const std::string &nonce);

    platform::ObjectApi &m_api;
    std::string m_owner;
    std::string m_kind;
    std::string m_boot; ///< random per process: nonces never repeat across restarts
    std::atomic<uint64_t> m_attempts{0}; ///< traffic threads claim concurrently
};

} // namespace yucca::idempotency
