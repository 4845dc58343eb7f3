#include "lease.h"

#include <ctime>

namespace yucca::lease
{

namespace
{
constexpr int marginDivisor = 4; ///< a holder stops acting this part of the duration before others may act
}

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
    return m_version != 0 && m_clock() < m_heldUntil;
}

// True when another's record has stood unchanged for its whole duration, by
// this process's own clock.
bool Lease::lapsed(const platform::Object &object)
{
    if (object.value.value("holder", "").empty()) {
        return true; // released
    }
    if (m_seen.version != object.version) {
        m_seen = {object.version, m_clock()};
        return false;
    }
    return m_clock() - m_seen.since >= Millis(object.value.value("durationMs", m_duration.count()));
}

// Writes our record; the term counts from before the write was sent.
Task<bool> Lease::write(std::optional<uint64_t> ifVersion, uint64_t fence, BootTime began)
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
    m_version = std::get<platform::Object>(put).version;
    m_fence = fence;
    m_heldUntil = began + m_duration - m_duration / marginDivisor;
    co_return true;
}

Task<bool> Lease::acquireOrRenew()
{
    const BootTime began = m_clock();
    if (held()) {
        const bool renewed = co_await write(m_version, m_fence, began);
        co_return renewed || held();
    }
    m_version = 0;
    auto got = co_await m_api.get(leaseKind, m_name, platform::Freshness::Current);
    if (!ok(got)) {
        if (std::get<Error>(got).code != store::NotFound) {
            co_return false;
        }
        co_return co_await write(0, 1, began);
    }
    const auto &object = std::get<platform::Object>(got);
    if (!lapsed(object)) {
        co_return false;
    }
    // A new term, also after one's own lapsed: its orders get a new number.
    const uint64_t fence = object.value.value("fence", uint64_t{0}) + 1;
    co_return co_await write(object.version, fence, began);
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
