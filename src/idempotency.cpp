#include "idempotency.h"

#include "yucca/ring.h"

#include <random>

namespace yucca::idempotency
{

namespace
{
constexpr int maxTries = 3; ///< bounded retries of one store call

// A name for this process that no earlier process of the same router id had:
// a restarted router must not take its predecessor's claims for its own.
std::string bootId()
{
    std::random_device entropy;
    return std::to_string((uint64_t{entropy()} << 32) | entropy());
}
} // namespace

Guard::Guard(platform::ObjectApi &api, std::string owner)
    : m_api(api)
    , m_owner(std::move(owner))
    , m_boot(bootId())
{
}

std::string Guard::recordName(const std::string &workspace, const std::string &key)
{
    std::string out = workspace + "." + key;
    for (auto &c : out) {
        if (!std::isalnum(static_cast<unsigned char>(c)) && c != '-' && c != '_' && c != '.') {
            c = '_';
        }
    }
    // A hash keeps two keys that differ only in replaced characters apart.
    return out + "." + std::to_string(ring::hash(workspace + "\n" + key) % 1000000007ULL);
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

Claim Guard::claim(const std::string &workspace, const std::string &key, uint64_t requestHash)
{
    const std::string name = recordName(workspace, key);
    const std::string nonce = m_owner + "-" + m_boot + "-" + std::to_string(++m_attempts);
    const nlohmann::json started{{"state", "started"}, {"owner", m_owner}, {"nonce", nonce}, {"requestHash", requestHash}};
    std::optional<uint64_t> ifVersion = 0; // create only
    for (int attempt = 0; attempt < maxTries; ++attempt) {
        auto put = m_api.put(recordKind, name, started, ifVersion);
        if (ok(put)) {
            return Claim{Decision::Run, std::get<platform::Object>(put), 0, {}};
        }
        const auto &err = std::get<Error>(put);
        if (err.code == store::Unavailable || err.code == 429) {
            return Claim{}; // the store did not take the claim: not run
        }
        // Conflict, or a lost answer: read what stands now.
        auto got = m_api.get(recordKind, name);
        if (!ok(got)) {
            if (std::get<Error>(got).code == store::NotFound && err.code == store::AnswerLost) {
                continue; // the lost write did not take effect: try again
            }
            // Unknown whether our claim stands; it is not run by us now, and
            // a retry finds our record and reports it in progress.
            Claim c;
            c.decision = err.code == store::AnswerLost ? Decision::InProgress : Decision::NotRun;
            return c;
        }
        auto c = decide(std::get<platform::Object>(got), requestHash, nonce);
        if (c.decision != Decision::NotRun) {
            return c;
        }
        ifVersion = c.record.version; // a released claim: take it over
    }
    return Claim{};
}

// Writes the final state of a claim, recognising its own lost answers.
bool Guard::settle(const Claim &claim, const nlohmann::json &value)
{
    for (int attempt = 0; attempt < maxTries; ++attempt) {
        auto put = m_api.put(recordKind, claim.record.name, value, claim.record.version);
        if (ok(put)) {
            return true;
        }
        auto code = std::get<Error>(put).code;
        if (code == store::AnswerLost || code == store::Conflict) {
            auto got = m_api.get(recordKind, claim.record.name);
            if (ok(got) && std::get<platform::Object>(got).value.value("state", "") == value.value("state", "")
                && std::get<platform::Object>(got).value.value("nonce", "") == value.value("nonce", "")) {
                return true;
            }
            if (code == store::Conflict) {
                return false;
            }
        }
    }
    return false;
}

bool Guard::complete(const Claim &claim, unsigned status, const std::string &body)
{
    nlohmann::json done = claim.record.value;
    done["state"] = "done";
    done["status"] = status;
    done["body"] = body;
    return settle(claim, done);
}

bool Guard::release(const Claim &claim)
{
    nlohmann::json released = claim.record.value;
    released["state"] = "not_run";
    return settle(claim, released);
}

} // namespace yucca::idempotency
