// The engine stand-in's decisions, free of I/O: its prefix cache, slots,
// lagged load report, fencing of orders and the plain service's log.
#pragma once

#include "task.h"
#include "yucca/types.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace yucca::engine
{

/// A prefix cache of a fixed number of blocks, keyed by chained block
/// hashes, evicted least recently used first.
class PrefixCache
{
public:
    explicit PrefixCache(std::size_t capacity);
    // The index holds iterators into m_lru: a copy would point into the
    // original, so a cache moves (list iterators survive a move) but never copies.
    PrefixCache(const PrefixCache &) = delete;
    PrefixCache &operator=(const PrefixCache &) = delete;
    PrefixCache(PrefixCache &&) = default;
    PrefixCache &operator=(PrefixCache &&) = default;
    /// The number of leading blocks found; marks them recently used.
    std::size_t match(const std::vector<uint64_t> &blocks);
    /// Stores blocks, evicting the least recently used beyond capacity.
    void insert(const std::vector<uint64_t> &blocks);
    bool contains(uint64_t block) const
    {
        return m_index.count(block) > 0;
    }
    void clear();
    /// Called with each block added (true) or evicted (false).
    std::function<void(bool added, uint64_t block)> onChange;
    std::size_t size() const
    {
        return m_index.size();
    }

private:
    std::size_t m_capacity;
    std::list<uint64_t> m_lru; ///< front = most recently used
    std::unordered_map<uint64_t, std::list<uint64_t>::iterator> m_index;
};

/// A change of a prefix cache as an engine publishes it.
struct CacheEvent {
    uint64_t sequence = 0;
    bool added = false; ///< else evicted
    uint64_t block = 0;
};

/// The published history of a prefix cache: late, and with gaps, as real
/// engines publish theirs.
class CacheEvents
{
public:
    CacheEvents(std::chrono::milliseconds lag, int64_t lossPercent, std::size_t kept = 4096);
    void record(bool added, uint64_t block, Clock::time_point now);
    /// The events after a sequence number that are old enough to be known.
    std::vector<CacheEvent> since(uint64_t sequence, Clock::time_point now) const;
    /// The sequence number of the oldest event kept.
    uint64_t oldest() const;

private:
    std::chrono::milliseconds m_lag;
    int64_t m_lossPercent;
    std::size_t m_kept;
    uint64_t m_next = 1;
    std::deque<std::pair<Clock::time_point, CacheEvent>> m_events;
};

/// Decode slots for continuous batching: a request waits for a free slot,
/// more urgent priorities first, then first come. Used from one event loop.
class SlotPool
{
public:
    SlotPool(std::size_t slots, std::size_t queue);
    /// Waits for a slot; false when the queue is full or the deadline passed first.
    Task<bool> acquire(int64_t priority, Clock::time_point deadline);
    void release();
    std::size_t busy() const
    {
        return m_busy;
    }
    std::size_t waiting() const
    {
        return m_queue.size();
    }

private:
    std::size_t m_slots;
    std::size_t m_queueLimit;
    std::size_t m_busy = 0;
    std::map<std::pair<int64_t, uint64_t>, asio::steady_timer *> m_queue; ///< by priority, then ticket
    uint64_t m_ticket = 0;
};

/// Keeps samples of the load so that the engine can report it with a lag.
class LoadHistory
{
public:
    explicit LoadHistory(std::chrono::milliseconds lag);
    void record(Clock::time_point now, int64_t load);
    /// The load as it was lag ago (the oldest kept sample when none is that old).
    int64_t reported(Clock::time_point now) const;

private:
    std::chrono::milliseconds m_lag;
    std::deque<std::pair<Clock::time_point, int64_t>> m_samples;
};

/// An order to an engine (load a model, change role, drain) with its fencing number.
struct Order {
    std::string kind;
    std::string argument;
    uint64_t fence = 0;
    std::string holder;
};

/// Admits orders. In checking mode an order with a fencing number below the
/// highest seen is refused; in ignoring mode every order is applied.
/// Records every applied order so that a test can count them.
class FencingGate
{
public:
    explicit FencingGate(bool check);
    Result<uint64_t> admit(const Order &order);
    const std::vector<Order> &applied() const
    {
        return m_applied;
    }

private:
    bool m_check;
    uint64_t m_highest = 0;
    std::vector<Order> m_applied;
};

/// The deterministic answer tokens of a request: the same prompt and
/// seed give the same answer, different prompts differ.
std::vector<std::string> answerTokens(uint64_t seed, std::size_t count);

/// The plain service's record of executions per idempotency key.
class ExecutionLog
{
public:
    /// Records one execution and returns its confirmation number.
    uint64_t execute(const std::string &operation, const std::string &key);
    uint64_t total() const;
    /// Keys that ran more than once.
    std::vector<std::string> duplicates() const;
    std::map<std::string, int> byKey() const;

private:
    std::map<std::string, int> m_byKey;
    uint64_t m_total = 0;
};

} // namespace yucca::engine
