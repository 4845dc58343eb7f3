#include "lease.h"

#include "decode.h"

#include "boot_clock.h"

#include <algorithm>

namespace yucca::lease
{

namespace
{
constexpr int safetyMarginDivisor = 4; ///< the holder stops acting a quarter of the duration before others may take the lease
constexpr int fenceEpochShift = 40; ///< each epoch has its own range of tokens, above all tokens of earlier epochs, since the store may have lost the last ones

uint64_t nextFence(uint64_t last, store::Epoch epoch)
{
    return std::max(last + 1, epoch << fenceEpochShift);
}
} // namespace

BootTime bootTimeNow()
{
    return yucca::BootClock::now().time_since_epoch();
}

Lease::Lease(platform::ObjectApi &api, std::string name, std::string holder, Millis duration, BootClock clock)
    : m_api(api)
    , m_name(std::move(name))
    , m_holder(std::move(holder))
    , m_duration(duration)
    , m_clock(std::move(clock))
{
}

bool Lease::held() const
{
    return m_version != 0 && m_epoch == m_api.epoch() && m_clock() < m_heldUntil;
}

// True while a holder may still act whose record the store has lost in a
// restore: for one duration since this process learned of the epoch. In epoch 0
// the store has lost nothing.
bool Lease::mayHaveUnknownHolder(store::Epoch epoch)
{
    if (epoch > m_observedEpoch.epoch) {
        m_observedEpoch = {epoch, 0, m_clock()};
    }
    return epoch > 0 && m_clock() - m_observedEpoch.since < m_duration;
}

// True when the record was released, or has been unchanged for its whole
// duration by this process's clock.
bool Lease::hasExpired(const platform::Object &object)
{
    if (object.value.is_object() && decode::fieldOr<std::string>(object.value, "holder", {}).empty()) {
        return true; // released
    }
    if (m_observedRecord.version != object.version || m_observedRecord.epoch != object.epoch) {
        m_observedRecord = {object.epoch, object.version, m_clock()};
        return false;
    }
    return m_clock() - m_observedRecord.since >= Millis(decode::fieldOr<int64_t>(object.value, "durationMs", m_duration.count()));
}

// Writes this process's record; the duration counts from before the write was
// sent. Returns false when the write failed, or took effect in another epoch
// than expected: there the version may have belonged to another record.
Task<bool> Lease::writeRecord(std::optional<uint64_t> ifVersion, uint64_t fence, BootTime startedAt, store::Epoch epoch)
{
    nlohmann::json record;
    record["holder"] = m_holder;
    record["fence"] = fence;
    record["durationMs"] = m_duration.count();
    record["renewal"] = startedAt.count(); // makes each record differ from the one before
    auto put = co_await m_api.put(leaseKind, m_name, record, ifVersion);
    if (!ok(put) && std::get<Error>(put).code == store::AnswerLost) {
        put = co_await m_api.get(leaseKind, m_name, platform::Freshness::Current);
        if (ok(put) && std::get<platform::Object>(put).value != record) {
            co_return false;
        }
    }
    if (!ok(put)) {
        co_return false;
    }
    const auto &written = std::get<platform::Object>(put);
    if (written.epoch != epoch) {
        m_version = 0;
        co_return false;
    }
    m_version = written.version;
    m_epoch = epoch;
    m_fence = fence;
    m_heldUntil = startedAt + m_duration - m_duration / safetyMarginDivisor;
    co_return true;
}

Task<bool> Lease::acquireOrRenew()
{
    const BootTime startedAt = m_clock();
    if (held()) {
        const bool renewed = co_await writeRecord(m_version, m_fence, startedAt, m_epoch);
        co_return renewed || held();
    }
    m_version = 0;
    auto stored = co_await m_api.get(leaseKind, m_name, platform::Freshness::Current);
    if (!ok(stored) && std::get<Error>(stored).code != store::NotFound) {
        co_return false;
    }
    const bool exists = ok(stored);
    const auto object = exists ? std::get<platform::Object>(stored) : platform::Object{};
    const auto epoch = exists ? object.epoch : m_api.epoch();
    if (mayHaveUnknownHolder(epoch) || (exists && !hasExpired(object))) {
        co_return false;
    }
    // A new term gets a new token, also when this process held the lease before.
    const uint64_t last = exists ? decode::fieldOr<uint64_t>(object.value, "fence", 0) : 0;
    co_return co_await writeRecord(object.version, nextFence(last, epoch), startedAt, epoch);
}

Task<void> Lease::release()
{
    if (m_version == 0) {
        co_return;
    }
    nlohmann::json record;
    record["holder"] = "";
    record["fence"] = m_fence;
    record["durationMs"] = m_duration.count();
    const uint64_t version = std::exchange(m_version, 0);
    co_await m_api.put(leaseKind, m_name, record, version);
}

} // namespace yucca::lease
