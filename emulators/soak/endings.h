// Checks that every request which was sent whole ends with a whole response or a refusal.
#pragma once

#include "task.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace yucca::soak
{

/// How one request ended for its caller.
struct RequestEnding {
    bool sent = false; ///< whole, on an open connection
    bool answered = false; ///< with a whole response of any status
    Clock::time_point sentAt{};
    Clock::time_point endedAt{};
    std::optional<Clock::time_point> routerStopSignal; ///< the last one before the end
    std::string details; ///< for messages
};

/// When a request may end without a response.
struct EndingLimits {
    Millis timeLimit{3000}; ///< of a request, from its sending
    Millis stopGrace{4000}; ///< from a router's stop signal to its exit
    /// A connection that is closed within this time may not have been read, if the request reached no endpoint.
    Millis unreadCloseTime{200};
    /// A router that stops may give up, in the last sixth of stopGrace, requests sent until this long after the stop signal.
    Millis stopSendTime{3000};
};

/// Collects the endings of requests and the requests that reached endpoints, and reports those that were lost.
class EndingChecker
{
public:
    explicit EndingChecker(EndingLimits limits)
        : m_limits(limits)
    {
    }
    /// Records an ending; a second one under the same id replaces the first.
    void record(const std::string &id, RequestEnding ending);
    /// Records that a request reached an endpoint.
    void recordArrival(const std::string &id)
    {
        m_arrived.insert(id);
    }
    /// Returns a message with the request's id for each request that was sent whole and ended, before any limit allows it,
    /// without a whole response.
    std::vector<std::string> lost() const;
    /// Returns the number of requests that were sent whole and ended at their time limit without a whole response.
    std::size_t timedOut() const;

private:
    bool reachedTimeLimit(const RequestEnding &ending) const;
    bool endedLateInStop(const RequestEnding &ending) const;
    bool isLost(const RequestEnding &ending, bool arrived) const;

    EndingLimits m_limits;
    std::map<std::string, RequestEnding> m_endings;
    std::set<std::string> m_arrived;
};

} // namespace yucca::soak
