#include "stream_origins.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace yucca::streams
{

void StreamOrigins::announce(const OriginRecord &record, Clock::time_point now)
{
    {
        std::lock_guard lock(m_mutex);
        insert(record, now);
        collectRecord(record);
        m_entries[record.stream].own = true;
    }
    if (sendCopies) {
        sendCopies(record);
    }
}

void StreamOrigins::announceAgain(const std::string &service, Clock::duration within, Clock::time_point now)
{
    std::vector<OriginRecord> records;
    const auto name = names::abbreviate(service, names::maxServiceBytes);
    {
        std::lock_guard lock(m_mutex);
        for (const auto &[stream, entry] : m_entries) {
            if (entry.own && !entry.contradicted && entry.origin.service == name && now - entry.at < within) {
                records.push_back({stream, entry.origin});
            }
        }
        for (const auto &record : records) {
            collectRecord(record);
        }
    }
    for (const auto &record : records) {
        if (sendCopies) {
            sendCopies(record);
        }
    }
}

void StreamOrigins::merge(const OriginRecord &record, Clock::time_point now)
{
    std::lock_guard lock(m_mutex);
    insert(record, now);
    collectRecord(record);
    completeQueries(record.stream);
}

void StreamOrigins::insert(const OriginRecord &record, Clock::time_point now)
{
    prune(now);
    auto &entry = m_entries.try_emplace(record.stream, Entry{record.origin, now}).first->second;
    entry.contradicted = entry.contradicted || entry.origin != record.origin;
    entry.at = now;
    m_order.emplace_back(now, record.stream);
}

void StreamOrigins::collectRecord(const OriginRecord &record)
{
    if (m_collecting && m_collected.size() < m_options.maxRecords) {
        m_collected.push_back(record);
    }
}

void StreamOrigins::restore(const OriginRecord &record, Clock::time_point now)
{
    std::lock_guard lock(m_mutex);
    insert(record, now);
    completeQueries(record.stream);
}

void StreamOrigins::collect(bool enabled)
{
    std::lock_guard lock(m_mutex);
    m_collecting = enabled;
    if (!enabled) {
        m_collected.clear();
    }
}

std::vector<OriginRecord> StreamOrigins::takeCollected()
{
    std::lock_guard lock(m_mutex);
    return std::exchange(m_collected, {});
}

// Drops expired records, and the oldest ones if there are too many.
void StreamOrigins::prune(Clock::time_point now)
{
    while (!m_order.empty() && (m_order.size() >= m_options.maxRecords || now - m_order.front().first >= m_options.retention)) {
        const auto [at, stream] = m_order.front();
        m_order.pop_front();
        const auto entry = m_entries.find(stream);
        if (entry != m_entries.end() && entry->second.at <= at) { // not recorded again since
            m_entries.erase(entry);
        }
    }
}

std::optional<Origin> StreamOrigins::find(uint64_t stream, Clock::time_point now) const
{
    std::lock_guard lock(m_mutex);
    const auto entry = m_entries.find(stream);
    const bool known = entry != m_entries.end() && !entry->second.contradicted && now - entry->second.at < m_options.retention;
    return known ? std::optional(entry->second.origin) : std::nullopt;
}

Task<std::optional<Origin>> StreamOrigins::locate(uint64_t stream)
{
    const auto known = find(stream, Clock::now());
    if (known || !sendQueries) {
        co_return known;
    }
    const auto query = std::make_shared<Query>();
    query->executor = co_await asio::this_coro::executor;
    {
        std::lock_guard lock(m_mutex);
        m_queries.emplace(stream, query);
    }
    const auto begun = Clock::now();
    for (const auto until : {begun + m_options.queryRepeat, begun + m_options.queryTimeout}) {
        sendQueries(stream);
        if (!query->complete) {
            co_await query->answered.wait(until);
        }
        if (query->complete) {
            break;
        }
    }
    {
        std::lock_guard lock(m_mutex);
        const auto [first, last] = m_queries.equal_range(stream);
        m_queries.erase(std::find_if(first, last, [&query](const auto &entry) {
            return entry.second == query;
        }));
    }
    co_return find(stream, Clock::now());
}

void StreamOrigins::recordAsked(uint64_t stream, const std::set<http::Address> &peers)
{
    std::lock_guard lock(m_mutex);
    const auto [first, last] = m_queries.equal_range(stream);
    for (auto it = first; it != last; ++it) {
        it->second->asked.insert(peers.begin(), peers.end());
        if (it->second->asked.empty()) {
            wake(it->second);
        }
    }
}

void StreamOrigins::recordUnknown(uint64_t stream, const http::Address &peer)
{
    std::lock_guard lock(m_mutex);
    const auto [first, last] = m_queries.equal_range(stream);
    for (auto it = first; it != last; ++it) {
        auto &query = *it->second;
        query.unknownTo.insert(peer);
        if (std::includes(query.unknownTo.begin(), query.unknownTo.end(), query.asked.begin(), query.asked.end())) {
            wake(it->second);
        }
    }
}

void StreamOrigins::completeQueries(uint64_t stream)
{
    const auto [first, last] = m_queries.equal_range(stream);
    for (auto it = first; it != last; ++it) {
        wake(it->second);
    }
}

// Ends the wait of a query on the event loop that it runs on.
void StreamOrigins::wake(const QueryPtr &query)
{
    asio::post(query->executor, [query] {
        query->complete = true;
        query->answered.notifyAll();
    });
}

std::size_t StreamOrigins::size() const
{
    std::lock_guard lock(m_mutex);
    return m_entries.size();
}

} // namespace yucca::streams
