// The logic of the emulated engine without I/O: prefix cache, decode slots, delayed load reports, fencing of orders
// and the execution log of a plain service.
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

/// A prefix cache with a fixed capacity in blocks. Blocks are identified by chained hashes and evicted least recently
/// used first.
class PrefixCache
{
public:
    explicit PrefixCache(std::size_t capacity);
    // Not copyable: m_index holds iterators into m_lru, and those of a copy would point into the original. List
    // iterators stay valid after a move.
    PrefixCache(const PrefixCache &) = delete;
    PrefixCache &operator=(const PrefixCache &) = delete;
    PrefixCache(PrefixCache &&) = default;
    PrefixCache &operator=(PrefixCache &&) = default;
    /// Returns the number of leading blocks that are cached, and marks them as recently used.
    std::size_t match(const std::vector<uint64_t> &blocks);
    /// Caches blocks. Evicts the least recently used ones beyond the capacity.
    void insert(const std::vector<uint64_t> &blocks);
    bool contains(uint64_t block) const
    {
        return m_index.count(block) > 0;
    }
    /// Removes all blocks, without calling onChange.
    void clear();
    /// Called for each block that is added (true) or evicted (false).
    std::function<void(bool added, uint64_t block)> onChange;
    std::size_t size() const
    {
        return m_index.size();
    }

private:
    std::size_t m_capacity;
    std::list<uint64_t> m_lru; ///< the most recently used first
    std::unordered_map<uint64_t, std::list<uint64_t>::iterator> m_index;
};

/// A published change of a prefix cache.
struct CacheEvent {
    uint64_t sequence = 0;
    bool added = false; ///< false: evicted
    uint64_t block = 0;
};

/// The published changes of a prefix cache. They are published late and some are lost, as with real engines.
class CacheEvents
{
public:
    /// Keeps the latest events up to the given number.
    CacheEvents(std::chrono::milliseconds lag, int64_t lossPercent, std::size_t maxEvents = 4096);
    /// Records a change, or loses it.
    void record(bool added, uint64_t block, Clock::time_point now);
    /// Returns the events after a sequence number that are at least as old as the lag.
    std::vector<CacheEvent> since(uint64_t sequence, Clock::time_point now) const;
    /// Returns the sequence number of the oldest event kept, or of the next event if none is kept.
    uint64_t oldest() const;

private:
    std::chrono::milliseconds m_lag;
    int64_t m_lossPercent;
    std::size_t m_maxEvents;
    uint64_t m_nextSequence = 1;
    std::deque<std::pair<Clock::time_point, CacheEvent>> m_events;
};

/// Decode slots for continuous batching. Requests wait for a free slot by priority (the lowest number first), then by
/// arrival. Used from one event loop.
class SlotPool
{
public:
    /// Creates a pool of slots with a queue of at most the given length.
    SlotPool(std::size_t slots, std::size_t maxQueue);
    /// Waits for a slot. Returns false if the queue is full or the deadline passes first.
    Task<bool> acquire(int64_t priority, Clock::time_point deadline);
    /// Frees a slot, or hands it to the first waiting request.
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
    std::size_t m_maxQueue;
    std::size_t m_busy = 0;
    std::map<std::pair<int64_t, uint64_t>, asio::steady_timer *> m_queue; ///< by priority, then arrival number
    uint64_t m_nextArrival = 0;
};

/// Keeps samples of the load, so that the engine can report it with a lag.
class LoadHistory
{
public:
    explicit LoadHistory(std::chrono::milliseconds lag);
    void record(Clock::time_point now, int64_t load);
    /// Returns the load that the engine had one lag ago, the oldest sample if none is that old, or 0 without samples.
    int64_t reported(Clock::time_point now) const;

private:
    std::chrono::milliseconds m_lag;
    std::deque<std::pair<Clock::time_point, int64_t>> m_samples;
};

/// An order to an engine (load a model, change its role, drain) with its fencing token.
struct Order {
    std::string kind;
    std::string argument;
    uint64_t fence = 0; ///< fencing token: rises with each holder of the lease
    std::string holder;
};

/// Admits orders, and records the admitted ones so that tests can count them.
class FencingGate
{
public:
    /// If check is true, orders with a fencing token below the highest one admitted are rejected; otherwise all are
    /// admitted.
    explicit FencingGate(bool check);
    /// Returns the highest fencing token admitted. Fails with code 409 if the order is rejected.
    Result<uint64_t> admit(const Order &order);
    const std::vector<Order> &applied() const
    {
        return m_applied;
    }

private:
    bool m_checkFence;
    uint64_t m_highestFence = 0;
    std::vector<Order> m_applied;
};

/// Returns the answer tokens of a request. The same seed, a hash of the prompt, always gives the same tokens, so that
/// callers can check the answer.
std::vector<std::string> answerTokens(uint64_t seed, std::size_t count);

/// The executions of a plain service by idempotency key.
class ExecutionLog
{
public:
    /// Records an execution. Returns its confirmation number.
    uint64_t execute(const std::string &operation, const std::string &key);
    uint64_t total() const;
    /// Returns the keys that were executed more than once.
    std::vector<std::string> duplicates() const;
    std::map<std::string, int> byKey() const;

private:
    std::map<std::string, int> m_byKey;
    uint64_t m_total = 0;
};

} // namespace yucca::engine
