#include "engine_core.h"

#include "yucca/ring.h"

namespace yucca::engine
{

PrefixCache::PrefixCache(std::size_t capacity)
    : m_capacity(capacity)
{
}

std::size_t PrefixCache::match(const std::vector<uint64_t> &blocks)
{
    std::size_t n = 0;
    for (auto b : blocks) {
        auto it = m_index.find(b);
        if (it == m_index.end()) {
            break;
        }
        m_lru.splice(m_lru.begin(), m_lru, it->second);
        ++n;
    }
    return n;
}

void PrefixCache::insert(const std::vector<uint64_t> &blocks)
{
    for (auto b : blocks) {
        auto it = m_index.find(b);
        if (it != m_index.end()) {
            m_lru.splice(m_lru.begin(), m_lru, it->second);
            continue;
        }
        m_lru.push_front(b);
        m_index[b] = m_lru.begin();
        if (onChange) {
            onChange(true, b);
        }
        while (m_index.size() > m_capacity) {
            if (onChange) {
                onChange(false, m_lru.back());
            }
            m_index.erase(m_lru.back());
            m_lru.pop_back();
        }
    }
}

void PrefixCache::clear()
{
    m_lru.clear();
    m_index.clear();
}

CacheEvents::CacheEvents(std::chrono::milliseconds lag, int64_t lossPercent, std::size_t maxEvents)
    : m_lag(lag)
    , m_lossPercent(lossPercent)
    , m_maxEvents(maxEvents)
{
}

void CacheEvents::record(bool added, uint64_t block, Clock::time_point now)
{
    const CacheEvent event{m_nextSequence++, added, block};
    const bool lost = static_cast<int64_t>(ring::hash("loss", event.sequence) % 100) < m_lossPercent;
    if (lost) {
        return;
    }
    m_events.emplace_back(now, event);
    while (m_events.size() > m_maxEvents) {
        m_events.pop_front();
    }
}

std::vector<CacheEvent> CacheEvents::since(uint64_t sequence, Clock::time_point now) const
{
    std::vector<CacheEvent> out;
    for (const auto &[at, event] : m_events) {
        if (event.sequence > sequence && at + m_lag <= now) {
            out.push_back(event);
        }
    }
    return out;
}

uint64_t CacheEvents::oldest() const
{
    return m_events.empty() ? m_nextSequence : m_events.front().second.sequence;
}

SlotPool::SlotPool(std::size_t slots, std::size_t maxQueue)
    : m_slots(slots)
    , m_maxQueue(maxQueue)
{
}

Task<bool> SlotPool::acquire(int64_t priority, Clock::time_point deadline)
{
    if (m_busy < m_slots) {
        ++m_busy;
        co_return true;
    }
    if (m_queue.size() >= m_maxQueue) {
        co_return false;
    }
    asio::steady_timer timer(co_await asio::this_coro::executor, deadline);
    const std::pair key{priority, m_nextArrival++};
    m_queue.emplace(key, &timer);
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    // release() removes a request from the queue when it hands over a slot; otherwise the deadline has passed.
    co_return m_queue.erase(key) == 0;
}

void SlotPool::release()
{
    if (m_queue.empty()) {
        --m_busy;
        return;
    }
    auto next = m_queue.begin();
    auto *timer = next->second;
    m_queue.erase(next);
    timer->cancel();
}

LoadHistory::LoadHistory(std::chrono::milliseconds lag)
    : m_lag(lag)
{
}

void LoadHistory::record(Clock::time_point now, int64_t load)
{
    m_samples.emplace_back(now, load);
    // reported() needs one sample that is older than the lag; earlier ones are dropped.
    while (m_samples.size() > 1 && m_samples[1].first <= now - m_lag) {
        m_samples.pop_front();
    }
}

int64_t LoadHistory::reported(Clock::time_point now) const
{
    int64_t value = m_samples.empty() ? 0 : m_samples.front().second;
    for (const auto &[t, load] : m_samples) {
        if (t <= now - m_lag) {
            value = load;
        }
    }
    return value;
}

FencingGate::FencingGate(bool check)
    : m_checkFence(check)
{
}

Result<uint64_t> FencingGate::admit(const Order &order)
{
    if (m_checkFence && order.fence < m_highestFence) {
        return Error{409, "fencing number " + std::to_string(order.fence) + " is below " + std::to_string(m_highestFence)};
    }
    m_highestFence = std::max(m_highestFence, order.fence);
    m_applied.push_back(order);
    return m_highestFence;
}

std::vector<std::string> answerTokens(uint64_t seed, std::size_t count)
{
    std::vector<std::string> out;
    out.reserve(count);
    uint64_t h = seed;
    for (std::size_t i = 0; i < count; ++i) {
        h = ring::hash("t", h);
        out.push_back("w" + std::to_string(h % 5000));
    }
    return out;
}

uint64_t ExecutionLog::execute(const std::string &, const std::string &key)
{
    ++m_byKey[key];
    return ++m_total;
}

uint64_t ExecutionLog::total() const
{
    return m_total;
}

std::vector<std::string> ExecutionLog::duplicates() const
{
    std::vector<std::string> out;
    for (const auto &[k, n] : m_byKey) {
        if (n > 1) {
            out.push_back(k);
        }
    }
    return out;
}

std::map<std::string, int> ExecutionLog::byKey() const
{
    return m_byKey;
}

} // namespace yucca::engine
