#include "quarantine.h"

#include "log.h"
#include "text.h"

#include <algorithm>
#include <iterator>

namespace yucca::quarantine
{

bool RequestQuarantine::held(const Record &record, Clock::time_point now) const
{
    return record.endpoints.size() >= m_options.mostEndings && now < record.lastAt + m_options.heldFor;
}

std::optional<Clock::time_point> RequestQuarantine::heldUntil(uint64_t content, Clock::time_point now) const
{
    std::lock_guard lock(m_mutex);
    const auto it = m_records.find(content);
    if (it != m_records.end() && held(it->second, now)) {
        return it->second.lastAt + m_options.heldFor;
    }
    const auto until = suspectedUntil(content, now);
    return until ? std::optional(std::min<Clock::time_point>(*until, now + m_options.askAgainAfter)) : std::nullopt;
}

// Until when endings and suspicions together keep a request from endpoints.
std::optional<Clock::time_point> RequestQuarantine::suspectedUntil(uint64_t content, Clock::time_point now) const
{
    const auto suspicions = m_suspicions.find(content);
    if (suspicions == m_suspicions.end()) {
        return std::nullopt;
    }
    const auto it = m_records.find(content);
    const bool counts = it != m_records.end() && now < it->second.lastAt + m_options.heldFor;
    const auto ended = counts ? it->second.endpoints : std::vector<uint64_t>();
    std::size_t suspected = 0;
    auto last = now;
    for (const auto &[endpoint, at] : suspicions->second) {
        const auto until = at + m_options.suspectedFor;
        if (until > now && !std::binary_search(ended.begin(), ended.end(), endpoint)) {
            ++suspected;
            last = std::max(last, until);
        }
    }
    return suspected > 0 && ended.size() + suspected >= m_options.mostEndings ? std::optional(last) : std::nullopt;
}

// True when all routers are to hear of a request at once.
bool RequestQuarantine::urgent(uint64_t content, Clock::time_point now) const
{
    const auto it = m_records.find(content);
    return (it != m_records.end() && it->second.endpoints.size() >= m_options.leastShared) || suspectedUntil(content, now);
}

void RequestQuarantine::tellSoon(bool urgentNews) const
{
    if (urgentNews && onNews) {
        onNews();
    }
}

void RequestQuarantine::broke(uint64_t content, uint64_t endpoint, Clock::time_point now)
{
    bool urgentNews = false;
    {
        std::lock_guard lock(m_mutex);
        const Suspicion suspicion{content, endpoint, now};
        if (!suspect(suspicion, now)) {
            return;
        }
        m_suspicionsToTell.push_back(suspicion);
        if (suspectedUntil(content, now)) {
            broadcastSuspicions(content);
        }
        if (m_suspicionsToTell.size() > m_options.mostSuspicionsTold) {
            m_suspicionsToTell.pop_front();
        }
        urgentNews = urgent(content, now);
    }
    tellSoon(urgentNews);
}

void RequestQuarantine::told(const Suspicion &suspicion, Clock::time_point now)
{
    bool urgentNews = false;
    {
        std::lock_guard lock(m_mutex);
        if (trusted(suspicion.content, suspicion.at)) {
            // Those that hold it back have not seen the answer that clears it.
            m_answersToTell[suspicion.content] = m_options.timesTold;
            return;
        }
        const bool news = suspect(suspicion, now);
        urgentNews = news && suspectedUntil(suspicion.content, now);
        if (urgentNews) {
            broadcastSuspicions(suspicion.content);
        }
    }
    tellSoon(urgentNews);
}

// Queues all that is held against a request for every router. The few that
// count single suspicions are not the ones that its repeats reach.
void RequestQuarantine::broadcastSuspicions(uint64_t content)
{
    m_urgent.insert(content);
    if (m_records.count(content)) {
        m_recordsToTell[content] = m_options.timesTold;
    }
    std::erase_if(m_suspicionsToTell, [content](const Suspicion &queued) {
        return queued.content == content;
    });
    for (const auto &[endpoint, at] : m_suspicions[content]) {
        m_suspicionsToTell.push_back({content, endpoint, at});
    }
}

// Takes a suspicion; false where it is known already, or not held against the request.
bool RequestQuarantine::suspect(const Suspicion &suspicion, Clock::time_point now)
{
    if (trusted(suspicion.content, suspicion.at) || now >= suspicion.at + m_options.suspectedFor) {
        return false;
    }
    forgetSuspicions(now);
    return m_suspicions[suspicion.content].try_emplace(suspicion.endpoint, suspicion.at).second;
}

void RequestQuarantine::forgetSuspicions(Clock::time_point now)
{
    if (m_suspicions.size() < m_options.mostSuspected) {
        return;
    }
    for (auto it = m_suspicions.begin(); it != m_suspicions.end();) {
        std::erase_if(it->second, [&](const auto &entry) {
            return now >= entry.second + m_options.suspectedFor;
        });
        it = it->second.empty() ? m_suspicions.erase(it) : std::next(it);
    }
    if (m_suspicions.size() >= m_options.mostSuspected) {
        m_suspicions.clear(); // costs seconds until the endings themselves are known
    }
}

void RequestQuarantine::lives(uint64_t content, uint64_t endpoint)
{
    std::lock_guard lock(m_mutex);
    const auto it = m_suspicions.find(content);
    if (it != m_suspicions.end() && it->second.erase(endpoint) > 0 && it->second.empty()) {
        m_suspicions.erase(it);
    }
}

std::optional<Record> RequestQuarantine::find(uint64_t content) const
{
    std::lock_guard lock(m_mutex);
    const auto it = m_records.find(content);
    return it == m_records.end() ? std::nullopt : std::optional(it->second);
}

std::size_t RequestQuarantine::heldCount(Clock::time_point now) const
{
    std::lock_guard lock(m_mutex);
    return static_cast<std::size_t>(std::count_if(m_records.begin(), m_records.end(), [&](const auto &entry) {
        return held(entry.second, now);
    }));
}

void RequestQuarantine::ended(uint64_t content, uint64_t endpoint, Clock::time_point now)
{
    bool urgentNews = false;
    {
        std::lock_guard lock(m_mutex);
        if (trusted(content, now)) {
            return;
        }
        urgentNews = merge({content, {endpoint}, now}, now) >= m_options.leastShared;
        if (urgentNews) {
            m_unsaved.insert(content);
        }
    }
    tellSoon(urgentNews);
}

void RequestQuarantine::answered(uint64_t content, Clock::time_point now)
{
    std::lock_guard lock(m_mutex);
    const Answer answer{content, now};
    noteAnswer(answer);
    if (clear(answer)) {
        m_unsaved.insert(content);
    }
}

// A router that has seen the request answered says so to those that blame it.
void RequestQuarantine::told(const Record &record, Clock::time_point now)
{
    bool urgentNews = false;
    {
        std::lock_guard lock(m_mutex);
        urgentNews = take(record, now);
    }
    tellSoon(urgentNews);
}

// Takes a record of another router or the store. True when it is news for all.
bool RequestQuarantine::take(const Record &record, Clock::time_point now)
{
    if (now > record.lastAt + m_options.rememberedFor) {
        return false;
    }
    if (trusted(record.content, record.lastAt)) {
        m_answersToTell[record.content] = m_options.timesTold;
        return false;
    }
    // What was told whole was saved by whoever brought it together.
    const auto endings = merge(record, now);
    if (endings > record.endpoints.size() && endings >= m_options.leastShared) {
        m_unsaved.insert(record.content);
    }
    return endings >= m_options.leastShared;
}

void RequestQuarantine::told(const Answer &answer)
{
    std::lock_guard lock(m_mutex);
    noteAnswer(answer);
    clear(answer);
}

bool RequestQuarantine::trusted(uint64_t content, Clock::time_point endedAt) const
{
    const auto it = m_answers.find(content);
    return it != m_answers.end() && endedAt <= it->second + m_options.trustedFor;
}

// Adds what a record has to the one held, and tells news on. The number of
// endings known then; 0 when nothing is new.
std::size_t RequestQuarantine::merge(const Record &record, Clock::time_point now)
{
    auto &own = m_records.try_emplace(record.content, Record{record.content, {}, record.lastAt}).first->second;
    const bool heldBefore = held(own, now);
    std::vector<uint64_t> both;
    std::set_union(own.endpoints.begin(), own.endpoints.end(), record.endpoints.begin(), record.endpoints.end(), std::back_inserter(both));
    both.resize(std::min(both.size(), m_options.mostEndpoints));
    const bool news = both != own.endpoints;
    own.endpoints = std::move(both);
    own.lastAt = std::max(own.lastAt, record.lastAt);
    if (news) {
        m_recordsToTell[record.content] = m_options.timesTold;
    }
    if (held(own, now) && !heldBefore) {
        log::Line{log::Event::RequestQuarantined}
            .add("content", text::hex(record.content))
            .add("endpoints", static_cast<int64_t>(own.endpoints.size()))
            .add("for_ms", std::chrono::duration_cast<Millis>(own.lastAt + m_options.heldFor - now).count());
    }
    const auto endings = own.endpoints.size();
    forgetOldest();
    return news ? endings : 0;
}

void RequestQuarantine::noteAnswer(const Answer &answer)
{
    auto &at = m_answers.try_emplace(answer.content, answer.at).first->second;
    at = std::max(at, answer.at);
    if (m_answers.size() > m_options.mostAnswers) {
        std::erase_if(m_answers, [&](const auto &entry) {
            return entry.second + m_options.trustedFor < answer.at;
        });
    }
    if (m_answers.size() > m_options.mostAnswers) {
        m_answers.clear(); // costs trust that the next answer brings back
        m_answers[answer.content] = answer.at;
    }
}

// Ends suspicion of a request. True when there was one, which is then told on.
bool RequestQuarantine::clear(const Answer &answer)
{
    m_suspicions.erase(answer.content);
    const auto it = m_records.find(answer.content);
    if (it == m_records.end() || !trusted(answer.content, it->second.lastAt)) {
        return false;
    }
    if (it->second.endpoints.size() >= m_options.leastShared) {
        log::Line{log::Event::RequestCleared}.add("content", text::hex(answer.content)).add("endpoints", static_cast<int64_t>(it->second.endpoints.size()));
    }
    m_records.erase(it);
    m_recordsToTell.erase(answer.content);
    m_answersToTell[answer.content] = m_options.timesTold;
    return true;
}

void RequestQuarantine::forgetOldest()
{
    if (m_records.size() <= m_options.mostRecords) {
        return;
    }
    // Those with the fewest endings first: of one ending most are innocent.
    const auto oldest = std::min_element(m_records.begin(), m_records.end(), [](const auto &a, const auto &b) {
        return std::pair(a.second.endpoints.size(), a.second.lastAt) < std::pair(b.second.endpoints.size(), b.second.lastAt);
    });
    m_recordsToTell.erase(oldest->first);
    m_records.erase(oldest);
}

News RequestQuarantine::takeNews(std::size_t most)
{
    std::lock_guard lock(m_mutex);
    News news;
    for (const auto &[content, times] : m_recordsToTell) {
        news.records.push_back(m_records.at(content));
    }
    std::sort(news.records.begin(), news.records.end(), [](const Record &a, const Record &b) {
        return std::pair(a.endpoints.size(), a.lastAt) > std::pair(b.endpoints.size(), b.lastAt);
    });
    news.records.resize(std::min(news.records.size(), most));
    for (const auto &record : news.records) {
        if (--m_recordsToTell[record.content] <= 0) {
            m_recordsToTell.erase(record.content);
        }
    }
    while (!m_suspicionsToTell.empty() && news.suspicions.size() < most) {
        news.suspicions.push_back(m_suspicionsToTell.back()); // the newest first
        m_suspicionsToTell.pop_back();
    }
    news.urgent = m_urgent;
    std::erase_if(m_urgent, [this](uint64_t content) {
        const bool queued = std::any_of(m_suspicionsToTell.begin(), m_suspicionsToTell.end(), [content](const Suspicion &s) {
            return s.content == content;
        });
        return !queued && !m_recordsToTell.count(content);
    });
    for (auto it = m_answersToTell.begin(); it != m_answersToTell.end() && news.answers.size() < most;) {
        const auto answer = m_answers.find(it->first);
        if (answer != m_answers.end()) {
            news.answers.push_back({it->first, answer->second});
        }
        it = --it->second <= 0 || answer == m_answers.end() ? m_answersToTell.erase(it) : std::next(it);
    }
    return news;
}

std::vector<Record> RequestQuarantine::someHeld(std::size_t most, Clock::time_point now)
{
    std::lock_guard lock(m_mutex);
    std::vector<Record> some;
    auto it = m_records.upper_bound(m_lastTold);
    for (std::size_t seen = 0; seen < m_records.size() && some.size() < most; ++seen, ++it) {
        it = it == m_records.end() ? m_records.begin() : it;
        if (held(it->second, now)) {
            some.push_back(it->second);
            m_lastTold = it->first;
        }
    }
    return some;
}

std::vector<uint64_t> RequestQuarantine::takeUnsaved()
{
    std::lock_guard lock(m_mutex);
    std::vector<uint64_t> unsaved(m_unsaved.begin(), m_unsaved.end());
    m_unsaved.clear();
    return unsaved;
}

void RequestQuarantine::allUnsaved()
{
    std::lock_guard lock(m_mutex);
    for (const auto &[content, record] : m_records) {
        m_unsaved.insert(content);
    }
}

void RequestQuarantine::notSaved(uint64_t content)
{
    std::lock_guard lock(m_mutex);
    m_unsaved.insert(content);
}

} // namespace yucca::quarantine
