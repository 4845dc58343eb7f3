#include "quarantine.h"

#include "log.h"
#include "text.h"

#include <algorithm>
#include <iterator>

namespace yucca::quarantine
{

bool RequestQuarantine::isQuarantined(const CrashRecord &record, Clock::time_point now) const
{
    return record.endpoints.size() >= m_options.crashThreshold && now < record.lastAt + m_options.quarantineDuration;
}

std::optional<Clock::time_point> RequestQuarantine::quarantinedUntil(uint64_t content, Clock::time_point now) const
{
    std::lock_guard lock(m_mutex);
    const auto it = m_records.find(content);
    if (it != m_records.end() && isQuarantined(it->second, now)) {
        return it->second.lastAt + m_options.quarantineDuration;
    }
    const auto until = suspectedUntil(content, now);
    return until ? std::optional(std::min<Clock::time_point>(*until, now + m_options.suspicionRetryAfter)) : std::nullopt;
}

std::optional<Verdict> RequestQuarantine::quarantineOf(const std::vector<uint64_t> &keys, Clock::time_point now) const
{
    std::lock_guard lock(m_mutex);
    std::optional<Verdict> verdict;
    for (const auto key : keys) {
        const auto it = m_records.find(key);
        if (it != m_records.end() && isQuarantined(it->second, now)) {
            return Verdict{key, it->second.lastAt + m_options.quarantineDuration};
        }
        const auto until = suspectedUntil(key, now);
        if (until && (!verdict || *until > verdict->until)) {
            verdict = Verdict{key, std::min<Clock::time_point>(*until, now + m_options.suspicionRetryAfter)};
        }
    }
    return verdict;
}

// Returns the time until which crashes and suspicions together quarantine a content, or nothing when too few of them count.
std::optional<Clock::time_point> RequestQuarantine::suspectedUntil(uint64_t content, Clock::time_point now) const
{
    const auto suspicions = m_suspicions.find(content);
    if (suspicions == m_suspicions.end()) {
        return std::nullopt;
    }
    const auto it = m_records.find(content);
    const bool counts = it != m_records.end() && now < it->second.lastAt + m_options.quarantineDuration;
    const auto crashed = counts ? it->second.endpoints : std::vector<uint64_t>();
    std::size_t suspected = 0;
    auto last = now;
    for (const auto &[endpoint, at] : suspicions->second) {
        const auto until = at + m_options.suspicionTimeout;
        if (until > now && !std::binary_search(crashed.begin(), crashed.end(), endpoint)) {
            ++suspected;
            last = std::max(last, until);
        }
    }
    return suspected > 0 && crashed.size() + suspected >= m_options.crashThreshold ? std::optional(last) : std::nullopt;
}

// True when all routers must learn of a content at once.
bool RequestQuarantine::isUrgent(uint64_t content, Clock::time_point now) const
{
    const auto it = m_records.find(content);
    return (it != m_records.end() && it->second.endpoints.size() >= m_options.minCrashesToShare) || suspectedUntil(content, now);
}

void RequestQuarantine::notifyIfUrgent(bool urgentUpdate) const
{
    if (urgentUpdate && onUrgentUpdate) {
        onUrgentUpdate();
    }
}

void RequestQuarantine::recordBrokenResponse(uint64_t content, uint64_t endpoint, Clock::time_point now)
{
    bool urgentUpdate = false;
    {
        std::lock_guard lock(m_mutex);
        const Suspicion suspicion{content, endpoint, now};
        if (!addSuspicion(suspicion, now)) {
            return;
        }
        m_pendingSuspicions.push_back(suspicion);
        if (suspectedUntil(content, now)) {
            broadcastSuspicions(content);
        }
        if (m_pendingSuspicions.size() > m_options.maxQueuedSuspicions) {
            m_pendingSuspicions.pop_front();
        }
        urgentUpdate = isUrgent(content, now);
    }
    notifyIfUrgent(urgentUpdate);
}

void RequestQuarantine::merge(const Suspicion &suspicion, Clock::time_point now)
{
    bool urgentUpdate = false;
    {
        std::lock_guard lock(m_mutex);
        if (recentlyAnswered(suspicion.content, suspicion.at)) {
            // The sender has not seen the answer that clears the content.
            m_pendingAnswers[suspicion.content] = m_options.sendsPerUpdate;
            return;
        }
        const bool added = addSuspicion(suspicion, now);
        urgentUpdate = added && suspectedUntil(suspicion.content, now);
        if (urgentUpdate) {
            broadcastSuspicions(suspicion.content);
        }
    }
    notifyIfUrgent(urgentUpdate);
}

// Queues the record and all suspicions of a content for all routers: its
// retries may reach routers other than the few that count single suspicions.
void RequestQuarantine::broadcastSuspicions(uint64_t content)
{
    m_urgent.insert(content);
    if (m_records.count(content)) {
        m_pendingRecords[content] = m_options.sendsPerUpdate;
    }
    std::erase_if(m_pendingSuspicions, [content](const Suspicion &queued) {
        return queued.content == content;
    });
    for (const auto &[endpoint, at] : m_suspicions[content]) {
        m_pendingSuspicions.push_back({content, endpoint, at});
    }
}

// Adds a suspicion. Returns false when it is known already or expired, or when recentlyAnswered() excuses the content.
bool RequestQuarantine::addSuspicion(const Suspicion &suspicion, Clock::time_point now)
{
    if (recentlyAnswered(suspicion.content, suspicion.at) || now >= suspicion.at + m_options.suspicionTimeout) {
        return false;
    }
    pruneSuspicions(now);
    return m_suspicions[suspicion.content].try_emplace(suspicion.endpoint, suspicion.at).second;
}

// Makes room for a new suspicion when the limit is reached.
void RequestQuarantine::pruneSuspicions(Clock::time_point now)
{
    if (m_suspicions.size() < m_options.maxSuspectedRequests) {
        return;
    }
    for (auto it = m_suspicions.begin(); it != m_suspicions.end();) {
        std::erase_if(it->second, [&](const auto &entry) {
            return now >= entry.second + m_options.suspicionTimeout;
        });
        it = it->second.empty() ? m_suspicions.erase(it) : std::next(it);
    }
    if (m_suspicions.size() >= m_options.maxSuspectedRequests) {
        m_suspicions.clear(); // the crashes themselves become known within seconds
    }
}

void RequestQuarantine::recordAlive(uint64_t content, uint64_t endpoint)
{
    std::lock_guard lock(m_mutex);
    const auto it = m_suspicions.find(content);
    if (it != m_suspicions.end() && it->second.erase(endpoint) > 0 && it->second.empty()) {
        m_suspicions.erase(it);
    }
}

std::optional<CrashRecord> RequestQuarantine::find(uint64_t content) const
{
    std::lock_guard lock(m_mutex);
    const auto it = m_records.find(content);
    return it == m_records.end() ? std::nullopt : std::optional(it->second);
}

std::size_t RequestQuarantine::quarantinedCount(Clock::time_point now) const
{
    std::lock_guard lock(m_mutex);
    return static_cast<std::size_t>(std::count_if(m_records.begin(), m_records.end(), [&](const auto &entry) {
        return isQuarantined(entry.second, now);
    }));
}

void RequestQuarantine::recordCrash(uint64_t content, uint64_t endpoint, Clock::time_point now)
{
    bool urgentUpdate = false;
    {
        std::lock_guard lock(m_mutex);
        if (recentlyAnswered(content, now)) {
            return;
        }
        urgentUpdate = mergeRecord({content, {endpoint}, now}, now) >= m_options.minCrashesToShare;
        if (urgentUpdate) {
            m_unsaved.insert(content);
        }
    }
    notifyIfUrgent(urgentUpdate);
}

void RequestQuarantine::recordCompleteResponse(uint64_t content, Clock::time_point now)
{
    std::lock_guard lock(m_mutex);
    const CompleteResponse answer{content, now};
    addAnswer(answer);
    if (clearContent(answer)) {
        m_unsaved.insert(content);
    }
}

void RequestQuarantine::merge(const CrashRecord &record, Clock::time_point now)
{
    bool urgentUpdate = false;
    {
        std::lock_guard lock(m_mutex);
        urgentUpdate = acceptRecord(record, now);
    }
    notifyIfUrgent(urgentUpdate);
}

// Merges a record from another router or the store. Returns true when it adds to what is known and all routers must learn of it.
bool RequestQuarantine::acceptRecord(const CrashRecord &record, Clock::time_point now)
{
    if (now > record.lastAt + m_options.recordRetention) {
        return false;
    }
    if (recentlyAnswered(record.content, record.lastAt)) {
        m_pendingAnswers[record.content] = m_options.sendsPerUpdate;
        return false;
    }
    // A record that already contains all known crashes was saved by the router that merged it.
    const auto crashes = mergeRecord(record, now);
    if (crashes > record.endpoints.size() && crashes >= m_options.minCrashesToShare) {
        m_unsaved.insert(record.content);
    }
    return crashes >= m_options.minCrashesToShare;
}

void RequestQuarantine::merge(const CompleteResponse &answer)
{
    std::lock_guard lock(m_mutex);
    addAnswer(answer);
    clearContent(answer);
}

// True when the crash at endedAt came before the last complete answer or within answerGrace after it.
bool RequestQuarantine::recentlyAnswered(uint64_t content, Clock::time_point endedAt) const
{
    const auto it = m_answers.find(content);
    return it != m_answers.end() && endedAt <= it->second + m_options.answerGrace;
}

// Merges a record into the known one and queues it for sending when it adds a
// crash. Returns the number of known crashes; 0 when nothing was added.
std::size_t RequestQuarantine::mergeRecord(const CrashRecord &record, Clock::time_point now)
{
    auto &known = m_records.try_emplace(record.content, CrashRecord{record.content, {}, record.lastAt}).first->second;
    const bool wasQuarantined = isQuarantined(known, now);
    std::vector<uint64_t> merged;
    std::set_union(known.endpoints.begin(), known.endpoints.end(), record.endpoints.begin(), record.endpoints.end(), std::back_inserter(merged));
    merged.resize(std::min(merged.size(), m_options.maxEndpointsPerRecord));
    const bool changed = merged != known.endpoints;
    known.endpoints = std::move(merged);
    known.lastAt = std::max(known.lastAt, record.lastAt);
    if (changed) {
        m_pendingRecords[record.content] = m_options.sendsPerUpdate;
    }
    if (isQuarantined(known, now) && !wasQuarantined) {
        log::Line{log::Event::RequestQuarantined}
            .add("content", text::toHex(record.content))
            .add("endpoints", static_cast<int64_t>(known.endpoints.size()))
            .add("for_ms", std::chrono::duration_cast<Millis>(known.lastAt + m_options.quarantineDuration - now).count());
    }
    const auto crashes = known.endpoints.size();
    evictRecord();
    return changed ? crashes : 0;
}

void RequestQuarantine::addAnswer(const CompleteResponse &answer)
{
    auto &at = m_answers.try_emplace(answer.content, answer.at).first->second;
    at = std::max(at, answer.at);
    if (m_answers.size() > m_options.maxAnswers) {
        std::erase_if(m_answers, [&](const auto &entry) {
            return entry.second + m_options.answerGrace < answer.at;
        });
    }
    if (m_answers.size() > m_options.maxAnswers) {
        m_answers.clear(); // the next complete answer to a content restores its grace
        m_answers[answer.content] = answer.at;
    }
}

// Removes the suspicions and the record of an answered content. Returns true
// when there was a record; the answer is then queued for the other routers.
bool RequestQuarantine::clearContent(const CompleteResponse &answer)
{
    m_suspicions.erase(answer.content);
    const auto it = m_records.find(answer.content);
    if (it == m_records.end() || !recentlyAnswered(answer.content, it->second.lastAt)) {
        return false;
    }
    if (it->second.endpoints.size() >= m_options.minCrashesToShare) {
        log::Line{log::Event::RequestCleared}.add("content", text::toHex(answer.content)).add("endpoints", static_cast<int64_t>(it->second.endpoints.size()));
    }
    m_records.erase(it);
    m_pendingRecords.erase(answer.content);
    m_pendingAnswers[answer.content] = m_options.sendsPerUpdate;
    return true;
}

// Drops one record when there are too many.
void RequestQuarantine::evictRecord()
{
    if (m_records.size() <= m_options.maxRecords) {
        return;
    }
    // The one with the fewest crashes goes first: of the contents with a single crash, most did not cause it.
    const auto oldest = std::min_element(m_records.begin(), m_records.end(), [](const auto &a, const auto &b) {
        return std::pair(a.second.endpoints.size(), a.second.lastAt) < std::pair(b.second.endpoints.size(), b.second.lastAt);
    });
    m_pendingRecords.erase(oldest->first);
    m_records.erase(oldest);
}

Updates RequestQuarantine::takeUpdates(std::size_t limit)
{
    std::lock_guard lock(m_mutex);
    Updates updates;
    for (const auto &[content, remainingSends] : m_pendingRecords) {
        updates.records.push_back(m_records.at(content));
    }
    std::sort(updates.records.begin(), updates.records.end(), [](const CrashRecord &a, const CrashRecord &b) {
        return std::pair(a.endpoints.size(), a.lastAt) > std::pair(b.endpoints.size(), b.lastAt);
    });
    updates.records.resize(std::min(updates.records.size(), limit));
    for (const auto &record : updates.records) {
        if (--m_pendingRecords[record.content] <= 0) {
            m_pendingRecords.erase(record.content);
        }
    }
    while (!m_pendingSuspicions.empty() && updates.suspicions.size() < limit) {
        updates.suspicions.push_back(m_pendingSuspicions.back()); // newest first
        m_pendingSuspicions.pop_back();
    }
    updates.urgent = m_urgent;
    std::erase_if(m_urgent, [this](uint64_t content) {
        const bool queued = std::any_of(m_pendingSuspicions.begin(), m_pendingSuspicions.end(), [content](const Suspicion &s) {
            return s.content == content;
        });
        return !queued && !m_pendingRecords.count(content);
    });
    for (auto it = m_pendingAnswers.begin(); it != m_pendingAnswers.end() && updates.answers.size() < limit;) {
        const auto answer = m_answers.find(it->first);
        if (answer != m_answers.end()) {
            updates.answers.push_back({it->first, answer->second});
        }
        it = --it->second <= 0 || answer == m_answers.end() ? m_pendingAnswers.erase(it) : std::next(it);
    }
    return updates;
}

std::vector<CrashRecord> RequestQuarantine::nextQuarantined(std::size_t limit, Clock::time_point now)
{
    std::lock_guard lock(m_mutex);
    std::vector<CrashRecord> batch;
    auto it = m_records.upper_bound(m_repeatCursor);
    for (std::size_t seen = 0; seen < m_records.size() && batch.size() < limit; ++seen, ++it) {
        it = it == m_records.end() ? m_records.begin() : it;
        if (isQuarantined(it->second, now)) {
            batch.push_back(it->second);
            m_repeatCursor = it->first;
        }
    }
    return batch;
}

std::vector<uint64_t> RequestQuarantine::takeUnsaved()
{
    std::lock_guard lock(m_mutex);
    std::vector<uint64_t> unsaved(m_unsaved.begin(), m_unsaved.end());
    m_unsaved.clear();
    return unsaved;
}

void RequestQuarantine::markAllUnsaved()
{
    std::lock_guard lock(m_mutex);
    for (const auto &[content, record] : m_records) {
        m_unsaved.insert(content);
    }
}

void RequestQuarantine::markUnsaved(uint64_t content)
{
    std::lock_guard lock(m_mutex);
    m_unsaved.insert(content);
}

} // namespace yucca::quarantine
