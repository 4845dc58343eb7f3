// How long requests of each route take, for the decision which of them a stopping router can still serve.
#pragma once

#include "entry/configuration.h"
#include "task.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace yucca::entry
{

/// The longest recent durations by route. Used on one thread.
class RouteDurations
{
public:
    static constexpr Millis window{30000}; ///< a duration counts for one to two windows
    static constexpr double margin = 1.25; ///< over the longest duration

    /// Records how long a request took whose response was delivered. Others may have waited for as long as their callers did.
    void record(const Route &route, Clock::duration duration, Clock::time_point now)
    {
        auto &longest = m_routes[keyOf(route)];
        longest.advanceTo(now);
        longest.current = std::max(longest.current, duration);
    }
    /// Returns within which time a request of the route is expected to end: the route's target where none has ended lately.
    Clock::duration expected(const Route &route, Clock::time_point now) const
    {
        const auto it = m_routes.find(keyOf(route));
        if (it == m_routes.end() || now - it->second.begin >= 2 * window) {
            return route.targetLatency;
        }
        const auto longest = std::max(it->second.current, it->second.previous);
        return std::chrono::duration_cast<Clock::duration>(longest * margin);
    }

    using Key = std::pair<std::string, std::string>; ///< host and path prefix
    /// Identifies a route over all versions of the configuration.
    static Key keyOf(const Route &route)
    {
        return {route.host, route.pathPrefix};
    }

private:
    struct Longest {
        Clock::time_point begin{};
        Clock::duration current{};
        Clock::duration previous{};

        void advanceTo(Clock::time_point now)
        {
            if (now - begin < window) {
                return;
            }
            previous = now - begin < 2 * window ? current : Clock::duration::zero();
            current = Clock::duration::zero();
            begin = now;
        }
    };

    std::map<Key, Longest> m_routes;
};

} // namespace yucca::entry
