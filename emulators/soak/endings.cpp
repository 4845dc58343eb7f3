#include "soak/endings.h"

#include <algorithm>

namespace yucca::soak
{

void EndingChecker::record(const std::string &id, RequestEnding ending)
{
    m_endings[id] = std::move(ending);
}

bool EndingChecker::reachedTimeLimit(const RequestEnding &ending) const
{
    return ending.endedAt - ending.sentAt >= m_limits.timeLimit;
}

bool EndingChecker::endedLateInStop(const RequestEnding &ending) const
{
    if (!ending.routerStopSignal) {
        return false;
    }
    return ending.sentAt <= *ending.routerStopSignal + m_limits.stopSendTime
        && ending.endedAt >= *ending.routerStopSignal + m_limits.stopGrace - m_limits.stopGrace / 6;
}

bool EndingChecker::isLost(const RequestEnding &ending, bool arrived) const
{
    if (!ending.sent || ending.answered) {
        return false;
    }
    const bool unread = !arrived && ending.endedAt - ending.sentAt <= m_limits.unreadCloseTime;
    return !unread && !reachedTimeLimit(ending) && !endedLateInStop(ending);
}

std::vector<std::string> EndingChecker::lost() const
{
    std::vector<std::string> out;
    for (const auto &[id, ending] : m_endings) {
        const bool arrived = m_arrived.contains(id);
        if (isLost(ending, arrived)) {
            const auto duration = std::chrono::duration_cast<Millis>(ending.endedAt - ending.sentAt);
            out.push_back(id + " (" + ending.details + "): lost after " + std::to_string(duration.count()) + " ms, "
                          + (arrived ? "reached an endpoint" : "reached no endpoint"));
        }
    }
    return out;
}

std::size_t EndingChecker::timedOut() const
{
    return static_cast<std::size_t>(std::count_if(m_endings.begin(), m_endings.end(), [this](const auto &entry) {
        return entry.second.sent && !entry.second.answered && reachedTimeLimit(entry.second);
    }));
}

} // namespace yucca::soak
