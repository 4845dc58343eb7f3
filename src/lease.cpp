#include "lease.h"

#include <algorithm>
#include <ctime>

namespace yucca::lease
{

namespace
{
constexpr int marginDivisor = 4; ///< a holder stops acting this part of the duration before others may act
constexpr int epochShift = 40; ///< fencing numbers of one epoch: each is above all of the epochs before, whose last ones may be lost

uint64_t nextFence(uint64_t last, store::Epoch epoch)
{
    return std::max(last + 1, epoch << epochShift);
}
} // namespace

BootTime bootTimeNow()
{
    timespec ts{};
    clock_gettime(CLOCK_BOOTTIME, &ts);
    return std::chrono::seconds(ts.tv_sec) + std::chrono::nanoseconds(ts.tv_nsec);
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

// True while a holder may act whose record the store has lost: for a term since
// the epoch has been known. No store has lost anything in its first epoch.
bool Lease::mayHaveLostHolder(store::Epoch epoch)
{
    if (epoch > m_epochSeen.epoch) {
        m_epochSeen = {epoch, 0, m_clock()};
    }
    return epoch > 0 && m_clock() - m_epochSeen.since < m_duration;
}

// True when another's record has stood unchanged for its whole duration, by
// this process's own clock.
bool Lease::lapsed(const platform::Object &object)
{
    if (object.value.value("holder", "").empty()) {
        return true; // released
    }
    if (m_seen.version != object.version || m_seen.epoch != object.epoch) {
        m_seen = {object.epoch, object.version, m_clock()};
        return false;
    }
    return m_clock() - m_seen.since >= Millis(object.value.value("durationMs", m_duration.count()));
}

// Writes our record; the term counts from before the write was sent. In another
// epoch than expected the version may have stood for another record.
Task<bool> Lease::write(std::optional<uint64_t> ifVersion, uint64_t fence, BootTime began, store::Epoch epoch)
{
    nlohmann::json record;
    record["holder"] = m_holder;
    record["fence"] = fence;
    record["durationMs"] = m_duration.count();
    record["renewal"] = began.count(); // makes each record differ from the last
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
    m_heldUntil = began + m_duration - m_duration / marginDivisor;
    co_return true;
}

Task<bool> Lease::acquireOrRenew()
{
    const BootTime began = m_clock();
    if (held()) {
        const bool renewed = co_await write(m_version, m_fence, began, m_epoch);
        co_return renewed || held();
    }
    m_version = 0;
    auto got = co_await m_api.get(leaseKind, m_name, platform::Freshness::Current);
    if (!ok(got) && std::get<Error>(got).code != store::NotFound) {
        co_return false;
    }
    const bool exists = ok(got);
    const auto object = exists ? std::get<platform::Object>(got) : platform::Object{};
    const auto epoch = exists ? object.epoch : m_api.epoch();
    if (mayHaveLostHolder(epoch) || (exists && !lapsed(object))) {
        co_return false;
    }
    // A new term, also after one's own lapsed: its orders get a new number.
    const uint64_t last = exists ? object.value.value("fence", uint64_t{0}) : 0;
    co_return co_await write(object.version, nextFence(last, epoch), began, epoch);
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
