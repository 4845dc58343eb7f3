// A simulated engine in virtual time: continuous batching, chunked prefill between the tokens of other requests, and
// an LRU cache of prompt parts in the memory that running requests use too.
#pragma once

#include "entry/request_profile.h"
#include "model/scenario.h"

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace yucca::model
{

/// Virtual time in milliseconds since the start of the simulation.
using Ms = double;

/// One request at a pool member.
struct MemberRequest {
    uint64_t id = 0;
    int priority = 5; ///< the lowest number is served first
    std::vector<entry::PromptPart> parts; ///< the last one is unique to the request
    int64_t outputTokens = 1; ///< length of the response
    double plainMs = 0; ///< duration of a plain call
    /// Called after the first token, after each event and at the end.
    std::function<void(Ms now, int64_t generated, bool done)> onTokens;
};

/// Counters over all members of a pool.
struct MemberCounts {
    int64_t arrivals = 0;
    int64_t rejected = 0; ///< rejected because the queue was full
    int64_t tokensPrefilled = 0; ///< prompt tokens prefilled
    int64_t tokensCached = 0; ///< prompt tokens found in the cache
    int64_t sharedTokensPrefilledAgain = 0; ///< tokens of shared parts that some member had prefilled before
    int64_t tokensFetched = 0; ///< prompt tokens fetched from another member's cache
};

/// Ids of the shared parts that any member has prefilled so far. Prefilling one again is avoidable work.
using PrefilledParts = std::unordered_map<uint64_t, bool>;

/// The prompt parts that a member has cached, in order of last use.
class PartCache
{
public:
    /// Returns the number of leading parts that are cached, and marks them as recently used.
    std::size_t match(const std::vector<entry::PromptPart> &parts);
    /// Caches a part, without a limit on the size.
    void insert(const entry::PromptPart &part);
    /// Evicts the least recently used parts until at most maxTokens tokens are cached.
    void shrink(int64_t maxTokens);
    int64_t tokens() const
    {
        return m_tokens;
    }
    void clear();

private:
    std::list<entry::PromptPart> m_lru; ///< the most recently used first
    std::unordered_map<uint64_t, std::list<entry::PromptPart>::iterator> m_index;
    int64_t m_tokens = 0;
};

/// One simulated member of a pool: an engine or a plain endpoint.
class Member
{
public:
    /// Schedules an action at a virtual time.
    using Schedule = std::function<void(Ms at, std::function<void(Ms)> action)>;

    /// Durations of the pool model are multiplied by slowdown. The references must outlive the member.
    Member(const PoolModel &pool, double slowdown, Schedule schedule, PrefilledParts &prefilledParts, MemberCounts &counts);

    /// Queues or starts a request. Returns false if all slots are busy and the queue is full.
    bool submit(MemberRequest request, Ms now);
    /// Removes a request without calling its onTokens.
    void cancel(uint64_t id);
    /// Drops all requests and cached parts.
    void crash();
    /// Copies the leading parts of a prompt from the cache of another member.
    void fetchParts(Member &from, const std::vector<entry::PromptPart> &parts);
    /// Returns the number of running and waiting requests.
    int64_t load() const
    {
        return static_cast<int64_t>(m_running.size() + m_waiting.size());
    }
    /// Returns the load as the member reports it, up to reportLagMs late. Also records a sample of the current load.
    int64_t reportedLoad(Ms now);

private:
    struct Running {
        MemberRequest request;
        std::size_t nextPart = 0; ///< index of the prompt part to prefill next
        int64_t partTokensRead = 0; ///< tokens of that part already prefilled
        int64_t promptTokens = 0; ///< tokens of all prompt parts
        int64_t generated = 0; ///< generated tokens
        bool firstStep = true; ///< its first step has not started
    };

    void admit();
    void startStep(Ms now);
    void endStep(Ms now, uint64_t generation);
    double prefillChunk();
    void runPlain(Ms now);
    int64_t runningTokens() const;

    const PoolModel &m_pool;
    double m_slowdown;
    Schedule m_schedule;
    PrefilledParts &m_prefilledParts;
    MemberCounts &m_counts;
    PartCache m_cache;
    std::map<std::pair<int, uint64_t>, MemberRequest> m_waiting; ///< by priority, then arrival
    std::list<Running> m_running;
    std::deque<std::pair<Ms, int64_t>> m_loads; ///< samples for delayed reports
    uint64_t m_nextArrival = 0;
    uint64_t m_generation = 0; ///< incremented by a crash, which invalidates scheduled steps
    bool m_stepScheduled = false; ///< a step is scheduled
};

} // namespace yucca::model
