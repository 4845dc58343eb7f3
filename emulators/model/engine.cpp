#include "model/engine.h"

#include <algorithm>

namespace yucca::model
{

std::size_t PartCache::match(const std::vector<entry::PromptPart> &parts)
{
    std::size_t n = 0;
    for (const auto &part : parts) {
        const auto it = m_places.find(part.id);
        if (it == m_places.end()) {
            break;
        }
        m_used.splice(m_used.begin(), m_used, it->second);
        ++n;
    }
    return n;
}

void PartCache::insert(const entry::PromptPart &part)
{
    const auto it = m_places.find(part.id);
    if (it != m_places.end()) {
        m_used.splice(m_used.begin(), m_used, it->second);
        return;
    }
    m_used.push_front(part);
    m_places[part.id] = m_used.begin();
    m_tokens += part.tokens;
}

void PartCache::shrink(int64_t room)
{
    while (m_tokens > room && !m_used.empty()) {
        m_tokens -= m_used.back().tokens;
        m_places.erase(m_used.back().id);
        m_used.pop_back();
    }
}

void PartCache::clear()
{
    shrink(0);
    m_used.clear();
    m_places.clear();
    m_tokens = 0;
}

Member::Member(const PoolModel &pool, double slowness, Schedule schedule, PartsRead &partsRead, MemberCounts &counts)
    : m_pool(pool)
    , m_slowness(slowness)
    , m_schedule(std::move(schedule))
    , m_partsRead(partsRead)
    , m_counts(counts)
{
}

bool Member::take(Work work, Ms now)
{
    ++m_counts.arrivals;
    const bool full = static_cast<int64_t>(m_running.size()) >= m_pool.slots;
    if (full && static_cast<int64_t>(m_waiting.size()) >= m_pool.queue) {
        ++m_counts.turnedAway;
        return false;
    }
    const std::pair key{work.priority, m_tickets++};
    m_waiting.emplace(key, std::move(work));
    if (!m_pool.engines) {
        runPlain(now);
    } else if (!m_stepping) {
        startStep(now);
    }
    return true;
}

void Member::cancel(uint64_t id)
{
    m_running.remove_if([id](const Running &r) {
        return r.work.id == id;
    });
    std::erase_if(m_waiting, [id](const auto &entry) {
        return entry.second.id == id;
    });
}

void Member::crash()
{
    ++m_generation;
    m_stepping = false;
    m_running.clear();
    m_waiting.clear();
    m_cache.clear();
}

void Member::fetch(Member &from, const std::vector<entry::PromptPart> &parts)
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

int64_t Member::heldByRunning() const
{
    int64_t held = 0;
    for (const auto &r : m_running) {
        held += r.work.parts.empty() ? 0 : r.work.parts.back().tokens;
        held += r.made;
    }
    return held;
}

// Lets waiting requests into the batch, the most urgent first.
void Member::admit()
{
    while (!m_waiting.empty() && static_cast<int64_t>(m_running.size()) < m_pool.slots) {
        Running r;
        r.work = std::move(m_waiting.begin()->second);
        m_waiting.erase(m_waiting.begin());
        r.nextPart = m_cache.match(r.work.parts);
        for (std::size_t i = 0; i < r.work.parts.size(); ++i) {
            r.prompt += r.work.parts[i].tokens;
            m_counts.tokensFound += i < r.nextPart ? r.work.parts[i].tokens : 0;
        }
        m_running.push_back(std::move(r));
    }
}

// Reads one chunk of the prompts that are not read yet; the time it takes.
double Member::readPrompts()
{
    int64_t budget = m_pool.chunkTokens;
    for (auto &r : m_running) {
        while (budget > 0 && r.nextPart < r.work.parts.size()) {
            const auto &part = r.work.parts[r.nextPart];
            const int64_t n = std::min(budget, part.tokens - r.partRead);
            r.partRead += n;
            budget -= n;
            m_counts.tokensRead += n;
            if (r.partRead < part.tokens) {
                break;
            }
            const bool shared = r.nextPart + 1 < r.work.parts.size();
            if (shared) {
                m_counts.sharedReadAgain += m_partsRead[part.id] ? part.tokens : 0;
                m_partsRead[part.id] = true;
                m_cache.insert(part);
            }
            ++r.nextPart;
            r.partRead = 0;
        }
    }
    return static_cast<double>(m_pool.chunkTokens - budget) / m_pool.prefillTokensPerMs;
}

void Member::startStep(Ms now)
{
    admit();
    m_stepping = !m_running.empty();
    if (!m_stepping) {
        return;
    }
    double ms = m_pool.stepMs + m_pool.stepMsPerRunning * static_cast<double>(m_running.size()) + readPrompts();
    int64_t context = 0;
    for (auto &r : m_running) {
        context += r.prompt + r.made;
        ms += r.fresh ? m_pool.firstMs / static_cast<double>(m_running.size()) : 0;
        r.fresh = false;
    }
    ms += m_pool.contextMsPerK * static_cast<double>(context) / 1000;
    m_cache.shrink(std::max<int64_t>(0, m_pool.cacheTokens - heldByRunning()));
    m_schedule(now + ms * m_slowness, [this, generation = m_generation](Ms at) {
        endStep(at, generation);
    });
}

// Each request whose prompt is read has one token more.
void Member::endStep(Ms now, uint64_t generation)
{
    if (generation != m_generation) {
        return;
    }
    std::vector<std::function<void()>> told;
    for (auto it = m_running.begin(); it != m_running.end();) {
        if (it->nextPart < it->work.parts.size()) {
            ++it;
            continue;
        }
        ++it->made;
        const bool done = it->made >= it->work.tokensToMake;
        if (done || it->made == 1 || it->made % m_pool.tokensPerEvent == 0) {
            told.push_back([tell = it->work.onTokens, now, made = it->made, done] {
                tell(now, made, done);
            });
        }
        it = done ? m_running.erase(it) : std::next(it);
    }
    for (const auto &tell : told) {
        tell();
    }
    startStep(now);
}

// A plain endpoint works on as many calls at once as it has slots.
void Member::runPlain(Ms now)
{
    while (!m_waiting.empty() && static_cast<int64_t>(m_running.size()) < m_pool.slots) {
        Running r;
        r.work = std::move(m_waiting.begin()->second);
        m_waiting.erase(m_waiting.begin());
        const uint64_t id = r.work.id;
        const double ms = r.work.plainMs * m_slowness;
        m_running.push_back(std::move(r));
        m_schedule(now + ms, [this, id, generation = m_generation](Ms at) {
            const auto it = std::find_if(m_running.begin(), m_running.end(), [id](const Running &running) {
                return running.work.id == id;
            });
            if (generation != m_generation || it == m_running.end()) {
                return;
            }
            const auto tell = std::move(it->work.onTokens);
            m_running.erase(it);
            tell(at, 1, true);
            runPlain(at);
        });
    }
}

} // namespace yucca::model
