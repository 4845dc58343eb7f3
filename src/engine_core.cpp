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
        while (m_index.size() > m_capacity) {
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

SlotPool::SlotPool(std::size_t slots)
    : m_slots(slots)
{
}

void SlotPool::acquire(int priority)
{
    std::unique_lock lock(m_mutex);
    auto me = m_queue.emplace(std::make_pair(-priority, m_ticket++), true);
    m_freed.wait(lock, [&] {
        return m_busy < m_slots && m_queue.begin() == me;
    });
    m_queue.erase(me);
    ++m_busy;
    m_freed.notify_all();
}

void SlotPool::release()
{
    {
        std::lock_guard lock(m_mutex);
        --m_busy;
    }
    m_freed.notify_all();
}

std::size_t SlotPool::busy() const
{
    std::lock_guard lock(m_mutex);
    return m_busy;
}

std::size_t SlotPool::waiting() const
{
    std::lock_guard lock(m_mutex);
    return m_queue.size();
}

LoadHistory::LoadHistory(std::chrono::milliseconds lag)
    : m_lag(lag)
{
}

void LoadHistory::record(Clock::time_point now, int64_t load)
{
    m_samples.emplace_back(now, load);
    // Keep one sample older than the lag; drop the rest of the old ones.
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
    : m_check(check)
{
}

Result<uint64_t> FencingGate::admit(const Order &order)
{
    if (m_check && order.fence < m_highest) {
        return Error{409, "fencing number " + std::to_string(order.fence) + " is below " + std::to_string(m_highest)};
    }
    m_highest = std::max(m_highest, order.fence);
    m_applied.push_back(order);
    return m_highest;
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
    std::lock_guard lock(m_mutex);
    ++m_byKey[key];
    return ++m_total;
}

uint64_t ExecutionLog::total() const
{
    std::lock_guard lock(m_mutex);
    return m_total;
}

std::vector<std::string> ExecutionLog::duplicates() const
{
    std::lock_guard lock(m_mutex);
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
    std::lock_guard lock(m_mutex);
    return m_byKey;
}

} // namespace yucca::engine
