#include "model/engine.h"

#include <algorithm>

namespace yucca::model
{

std::size_t PartCache::match(const std::vector<entry::PromptPart> &parts)
{
    std::size_t count = 0;
    for (const auto &part : parts) {
        const auto it = m_index.find(part.id);
        if (it == m_index.end()) {
            break;
        }
        m_lru.splice(m_lru.begin(), m_lru, it->second);
        ++count;
    }
    return count;
}

void PartCache::insert(const entry::PromptPart &part)
{
    const auto it = m_index.find(part.id);
    if (it != m_index.end()) {
        m_lru.splice(m_lru.begin(), m_lru, it->second);
        return;
    }
    m_lru.push_front(part);
    m_index[part.id] = m_lru.begin();
    m_tokens += part.tokens;
}

void PartCache::shrink(int64_t maxTokens)
{
    while (m_tokens > maxTokens && !m_lru.empty()) {
        m_tokens -= m_lru.back().tokens;
        m_index.erase(m_lru.back().id);
        m_lru.pop_back();
    }
}

void PartCache::clear()
{
    shrink(0);
    m_lru.clear();
    m_index.clear();
    m_tokens = 0;
}

Member::Member(const PoolModel &pool, double slowdown, Schedule schedule, PrefilledParts &prefilledParts, MemberCounts &counts)
    : m_pool(pool)
    , m_slowdown(slowdown)
    , m_schedule(std::move(schedule))
    , m_prefilledParts(prefilledParts)
    , m_counts(counts)
{
}

bool Member::submit(MemberRequest request, Ms now)
{
    ++m_counts.arrivals;
    const bool full = static_cast<int64_t>(m_running.size()) >= m_pool.slots;
    if (full && static_cast<int64_t>(m_waiting.size()) >= m_pool.queue) {
        ++m_counts.rejected;
        return false;
    }
    const std::pair key{request.priority, m_nextArrival++};
    m_waiting.emplace(key, std::move(request));
    if (!m_pool.engines) {
        runPlain(now);
    } else if (!m_stepScheduled) {
        startStep(now);
    }
    return true;
}

void Member::cancel(uint64_t id)
{
    m_running.remove_if([id](const Running &r) {
        return r.request.id == id;
    });
    std::erase_if(m_waiting, [id](const auto &entry) {
        return entry.second.id == id;
    });
}

void Member::crash()
{
    ++m_generation;
    m_stepScheduled = false;
    m_running.clear();
    m_waiting.clear();
    m_cache.clear();
}

void Member::fetchParts(Member &from, const std::vector<entry::PromptPart> &parts)
{
    const std::size_t own = m_cache.match(parts);
    const std::size_t theirs = from.m_cache.match(parts);
    for (std::size_t i = own; i < theirs; ++i) {
        m_cache.insert(parts[i]);
        m_counts.tokensFetched += parts[i].tokens;
    }
}

int64_t Member::reportedLoad(Ms now)
{
    m_loads.emplace_back(now, load());
    while (m_loads.size() > 1 && m_loads[1].first <= now - m_pool.reportLagMs) {
        m_loads.pop_front();
    }
    return m_loads.front().second;
}

int64_t Member::runningTokens() const
{
    int64_t tokens = 0;
    for (const auto &r : m_running) {
        tokens += r.request.parts.empty() ? 0 : r.request.parts.back().tokens;
        tokens += r.generated;
    }
    return tokens;
}

// Moves waiting requests into the batch while slots are free, the most urgent first.
void Member::admit()
{
    while (!m_waiting.empty() && static_cast<int64_t>(m_running.size()) < m_pool.slots) {
        Running r;
        r.request = std::move(m_waiting.begin()->second);
        m_waiting.erase(m_waiting.begin());
        r.nextPart = m_cache.match(r.request.parts);
        for (std::size_t i = 0; i < r.request.parts.size(); ++i) {
            r.promptTokens += r.request.parts[i].tokens;
            m_counts.tokensCached += i < r.nextPart ? r.request.parts[i].tokens : 0;
        }
        m_running.push_back(std::move(r));
    }
}

// Prefills one chunk of the prompts of the batch. Returns the time that it takes, in milliseconds.
double Member::prefillChunk()
{
    int64_t budget = m_pool.chunkTokens;
    for (auto &r : m_running) {
        while (budget > 0 && r.nextPart < r.request.parts.size()) {
            const auto &part = r.request.parts[r.nextPart];
            const int64_t count = std::min(budget, part.tokens - r.partTokensRead);
            r.partTokensRead += count;
            budget -= count;
            m_counts.tokensPrefilled += count;
            if (r.partTokensRead < part.tokens) {
                break;
            }
            const bool shared = r.nextPart + 1 < r.request.parts.size();
            if (shared) {
                m_counts.sharedTokensPrefilledAgain += m_prefilledParts[part.id] ? part.tokens : 0;
                m_prefilledParts[part.id] = true;
                m_cache.insert(part);
            }
            ++r.nextPart;
            r.partTokensRead = 0;
        }
    }
    return static_cast<double>(m_pool.chunkTokens - budget) / m_pool.prefillTokensPerMs;
}

void Member::startStep(Ms now)
{
    admit();
    m_stepScheduled = !m_running.empty();
    if (!m_stepScheduled) {
        return;
    }
    double ms = m_pool.stepMs + m_pool.stepMsPerRunning * static_cast<double>(m_running.size()) + prefillChunk();
    int64_t context = 0;
    for (auto &r : m_running) {
        context += r.promptTokens + r.generated;
        ms += r.firstStep ? m_pool.firstMs / static_cast<double>(m_running.size()) : 0;
        r.firstStep = false;
    }
    ms += m_pool.contextMsPerK * static_cast<double>(context) / 1000;
    m_cache.shrink(std::max<int64_t>(0, m_pool.cacheTokens - runningTokens()));
    m_schedule(now + ms * m_slowdown, [this, generation = m_generation](Ms at) {
        endStep(at, generation);
    });
}

// Ends a step: each request whose prompt is prefilled has generated one more token.
void Member::endStep(Ms now, uint64_t generation)
{
    if (generation != m_generation) {
        return;
    }
    std::vector<std::function<void()>> callbacks;
    for (auto it = m_running.begin(); it != m_running.end();) {
        if (it->nextPart < it->request.parts.size()) {
            ++it;
            continue;
        }
        ++it->generated;
        const bool done = it->generated >= it->request.outputTokens;
        if (done || it->generated == 1 || it->generated % m_pool.tokensPerEvent == 0) {
            callbacks.push_back([callback = it->request.onTokens, now, generated = it->generated, done] {
                callback(now, generated, done);
            });
        }
        it = done ? m_running.erase(it) : std::next(it);
    }
    for (const auto &callback : callbacks) {
        callback();
    }
    startStep(now);
}

// Starts waiting calls of a plain endpoint while slots are free.
void Member::runPlain(Ms now)
{
    while (!m_waiting.empty() && static_cast<int64_t>(m_running.size()) < m_pool.slots) {
        Running r;
        r.request = std::move(m_waiting.begin()->second);
        m_waiting.erase(m_waiting.begin());
        const uint64_t id = r.request.id;
        const double ms = r.request.plainMs * m_slowdown;
        m_running.push_back(std::move(r));
        m_schedule(now + ms, [this, id, generation = m_generation](Ms at) {
            const auto it = std::find_if(m_running.begin(), m_running.end(), [id](const Running &running) {
                return running.request.id == id;
            });
            if (generation != m_generation || it == m_running.end()) {
                return;
            }
            const auto callback = std::move(it->request.onTokens);
            m_running.erase(it);
            callback(at, 1, true);
            runPlain(at);
        });
    }
}

} // namespace yucca::model
