#include "entry/path_monitor.h"

#include <algorithm>

namespace yucca::entry
{

Path PathMonitor::pathTo(const Endpoint &endpoint) const
{
    if (m_cut.count(incarnationKey(endpoint))) {
        return Path::Relayed;
    }
    const auto connected = m_connectedAt.find(endpoint.pool);
    const auto cutSinceThen = std::count_if(m_cut.begin(), m_cut.end(), [&](const auto &entry) {
        const auto &path = entry.second;
        return path.endpoint.pool == endpoint.pool && (connected == m_connectedAt.end() || path.since > connected->second);
    });
    return static_cast<std::size_t>(cutSinceThen) >= m_options.minCutPaths ? Path::Relayed : Path::Direct;
}

bool PathMonitor::othersFail(const Endpoint &endpoint, Clock::time_point now) const
{
    const auto key = incarnationKey(endpoint);
    return !m_cut.empty() || std::any_of(m_failures.begin(), m_failures.end(), [&](const auto &entry) {
        return entry.first != key && now - entry.second.at < m_options.evidenceTime;
    });
}

bool PathMonitor::isUnreachable(const Endpoint &endpoint, Clock::time_point now) const
{
    const auto failure = m_failures.find(incarnationKey(endpoint));
    return failure != m_failures.end() && failure->second.unreachableAt && now - *failure->second.unreachableAt < m_options.unreachableTime;
}

bool PathMonitor::recordConnected(const Endpoint &endpoint, Clock::time_point now)
{
    const auto key = incarnationKey(endpoint);
    m_connectedAt[endpoint.pool] = now;
    m_failures.erase(key);
    return m_cut.erase(key) > 0;
}

void PathMonitor::recordFailure(const Endpoint &endpoint, Clock::time_point now)
{
    std::erase_if(m_failures, [&](const auto &entry) {
        return now - entry.second.at >= m_options.evidenceTime;
    });
    m_failures[incarnationKey(endpoint)].at = now;
}

bool PathMonitor::recordReachedByPeer(const Endpoint &endpoint, Clock::time_point now)
{
    const auto key = incarnationKey(endpoint);
    if (const auto failure = m_failures.find(key); failure != m_failures.end()) {
        failure->second.unreachableAt.reset();
    }
    return m_cut.try_emplace(key, CutPath{endpoint, now}).second;
}

void PathMonitor::recordUnreachable(const Endpoint &endpoint, Clock::time_point now)
{
    const auto key = incarnationKey(endpoint);
    m_cut.erase(key);
    auto &failure = m_failures[key];
    failure.at = now;
    failure.unreachableAt = now;
}

void PathMonitor::forget(const Endpoint &endpoint)
{
    const auto key = incarnationKey(endpoint);
    m_cut.erase(key);
    m_failures.erase(key);
}

std::optional<Endpoint> PathMonitor::nextProbe()
{
    if (m_cut.empty()) {
        return std::nullopt;
    }
    auto next = m_cut.upper_bound(m_lastProbe);
    next = next == m_cut.end() ? m_cut.begin() : next;
    m_lastProbe = next->first;
    return next->second.endpoint;
}

} // namespace yucca::entry
