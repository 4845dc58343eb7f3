// A model engine in virtual time: continuous batching, prompts read in chunks
// between the tokens of other requests, and prompt parts cached least
// recently used in the memory that running requests share.
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

/// Milliseconds of virtual time since the day's start.
using Ms = double;

/// One request at a member, as the member sees it.
struct Work {
    uint64_t id = 0;
    int priority = 5;
    std::vector<entry::PromptPart> parts; ///< the last is its own
    int64_t tokensToMake = 1;
    double plainMs = 0; ///< of a plain call
    std::function<void(Ms now, int64_t made, bool done)> onTokens; ///< after a step that made an event's worth
};

/// What a pool's members count over a day.
struct MemberCounts {
    int64_t arrivals = 0;
    int64_t turnedAway = 0;
    int64_t tokensRead = 0; ///< of prompts
    int64_t tokensFound = 0; ///< of prompts, in the cache
    int64_t sharedReadAgain = 0; ///< of shared parts that some member had read before
    int64_t tokensFetched = 0; ///< from another member's cache
};

/// Parts that any member has read so far: what is read again is waste.
using PartsRead = std::unordered_map<uint64_t, bool>;

/// Prompt parts that a member holds.
class PartCache
{
public:
    /// The leading parts that are held, as a count; marks them used.
    std::size_t match(const std::vector<entry::PromptPart> &parts);
    void insert(const entry::PromptPart &part);
    /// Gives up the least recently used parts until no more than room is held.
    void shrink(int64_t room);
    int64_t tokens() const
    {
        return m_tokens;
    }
    void clear();

private:
    std::list<entry::PromptPart> m_used; ///< the last used first
    std::unordered_map<uint64_t, std::list<entry::PromptPart>::iterator> m_places;
    int64_t m_tokens = 0;
};

/// One member of a pool: an engine, or a plain endpoint.
class Member
{
public:
    /// At a time, calls back.
    using Schedule = std::function<void(Ms at, std::function<void(Ms)> action)>;

    Member(const PoolModel &pool, double slowness, Schedule schedule, PartsRead &partsRead, MemberCounts &counts);

    /// Takes a request, or turns it away when its queue is full.
    bool take(Work work, Ms now);
    /// Ends a request's work.
    void cancel(uint64_t id);
    /// Ends all work and forgets all parts.
    void crash();
    /// Takes over what another member holds of a prompt.
    void fetch(Member &from, const std::vector<entry::PromptPart> &parts);
    /// Requests that run and wait now, and as told to those who ask.
    int64_t load() const
    {
        return static_cast<int64_t>(m_running.size() + m_waiting.size());
    }
    int64_t reportedLoad(Ms now);

private:
    struct Running {
        Work work;
        std::size_t nextPart = 0; ///< of the prompt, to be read
        int64_t partRead = 0; ///< tokens of it
        int64_t prompt = 0; ///< tokens of all parts
        int64_t made = 0;
        bool fresh = true; ///< has not had its first step
    };

    void admit();
    void startStep(Ms now);
    void endStep(Ms now, uint64_t generation);
    double readPrompts();
    void runPlain(Ms now);
    int64_t heldByRunning() const;

    const PoolModel &m_pool;
    double m_slowness;
    Schedule m_schedule;
    PartsRead &m_partsRead;
    MemberCounts &m_counts;
    PartCache m_cache;
    std::map<std::pair<int, uint64_t>, Work> m_waiting; ///< by priority, then arrival
    std::list<Running> m_running;
    std::deque<std::pair<Ms, int64_t>> m_loads; ///< as they were, for late reports
    uint64_t m_tickets = 0;
    uint64_t m_generation = 0; ///< of the process: a crash ends its steps
    bool m_stepping = false;
};

} // namespace yucca::model
