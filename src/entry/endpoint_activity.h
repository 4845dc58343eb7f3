// Tells an endpoint that fails requests by its silence from a sound one that fell silent for a while. No I/O.
#pragma once

#include "task.h"

#include <map>
#include <optional>
#include <string>

namespace yucca::entry
{

/// When endpoints were sent something and sent something themselves. Not thread-safe.
class EndpointActivity
{
public:
    /// A sound endpoint may be silent for less than maxPause.
    explicit EndpointActivity(Millis maxPause)
        : m_maxPause(maxPause)
    {
    }
    /// Records that a request was sent to an endpoint.
    void recordSent(const std::string &endpoint, Clock::time_point now);
    /// Records that a request to an endpoint has ended, in whatever way.
    void recordEnded(const std::string &endpoint, Clock::time_point now);
    /// Records that an endpoint sent any part of a response.
    void recordReceived(const std::string &endpoint, Clock::time_point now);
    /// Returns true if a request that got nothing from its endpoint between two times shows a fault of the endpoint: it answered
    /// other requests meanwhile, or has been silent for longer than a pause.
    bool isFault(const std::string &endpoint, Clock::time_point since, Clock::time_point now) const;

    /// Returns true if an endpoint has sent nothing since a time.
    bool silentSince(const std::string &endpoint, Clock::time_point since) const;

private:
    struct Activity {
        int waiting = 0; ///< requests in progress
        Clock::time_point endedAt{}; ///< when the last of them ended
        std::optional<Clock::time_point> sentAt; ///< first request since the endpoint last sent something
        Clock::time_point receivedAt{};
        Clock::time_point resumedAt{}; ///< when the endpoint last sent something after a pause
    };

    Millis m_maxPause;
    std::map<std::string, Activity> m_activities; ///< by endpoint key
};

} // namespace yucca::entry
