#include "entry/endpoint_activity.h"

#include <algorithm>

namespace yucca::entry
{

namespace
{

constexpr std::size_t maxTrackedEndpoints = 4096; ///< twice the number of endpoints projected in two years
constexpr Millis minPause{200}; ///< a shorter silence of an endpoint that has requests is usual

} // namespace

void EndpointActivity::recordSent(const std::string &endpoint, Clock::time_point now)
{
    if (m_activities.size() > maxTrackedEndpoints) {
        std::erase_if(m_activities, [&](const auto &entry) {
            return entry.second.waiting == 0 && now - entry.second.endedAt > m_maxPause;
        });
    }
    auto &activity = m_activities[endpoint];
    const bool wasUnused = activity.waiting == 0 && now - activity.endedAt > m_maxPause;
    if (!activity.sentAt || wasUnused) {
        activity.sentAt = now;
    }
    ++activity.waiting;
}

void EndpointActivity::recordEnded(const std::string &endpoint, Clock::time_point now)
{
    const auto it = m_activities.find(endpoint);
    if (it != m_activities.end()) {
        it->second.waiting = std::max(0, it->second.waiting - 1);
        it->second.endedAt = now;
    }
}

bool EndpointActivity::silentSince(const std::string &endpoint, Clock::time_point since) const
{
    const auto it = m_activities.find(endpoint);
    return it == m_activities.end() || it->second.receivedAt <= since;
}

void EndpointActivity::recordReceived(const std::string &endpoint, Clock::time_point now)
{
    auto &activity = m_activities[endpoint];
    const auto silentSince = std::max(activity.receivedAt, activity.sentAt.value_or(activity.receivedAt));
    if (now - silentSince >= minPause) {
        activity.resumedAt = now;
    }
    activity.receivedAt = now;
    activity.sentAt.reset();
}

bool EndpointActivity::isFault(const std::string &endpoint, Clock::time_point since, Clock::time_point now) const
{
    const auto it = m_activities.find(endpoint);
    if (it == m_activities.end()) {
        return now - since >= m_maxPause;
    }
    const auto &activity = it->second;
    const auto silentSince = std::min(since, activity.sentAt.value_or(since));
    if (now - silentSince >= m_maxPause) {
        return true;
    }
    // An endpoint that has just gone on has not had the time to answer all requests that wait at it.
    const bool pausedMeanwhile = activity.resumedAt > since;
    // An answer to another request at the beginning of the wait may have come just before a pause.
    const auto halfway = since + (now - since) / 2;
    return !pausedMeanwhile && activity.receivedAt > halfway;
}

} // namespace yucca::entry
