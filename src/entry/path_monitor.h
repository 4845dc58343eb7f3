// Decides by which path a router reaches each endpoint: directly, or relayed by a peer while its own path is cut. Does no
// I/O; the caller reports what happened and passes the time in. Not thread-safe.
#pragma once

#include "task.h"
#include "yucca/types.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace yucca::entry
{

/// A path from this router to an endpoint.
enum class Path {
    Direct,
    Relayed, ///< a connection through another router
};

inline constexpr NameTable<Path, 2> pathNames{{{Path::Direct, "direct"}, {Path::Relayed, "relayed"}}};

/// Time spans and limits of a PathMonitor.
struct PathOptions {
    /// How long failed connections to one endpoint are evidence that the paths to the others are cut too.
    Millis evidenceTime{2000};
    /// Cut paths to the endpoints of a service from which on its other paths are presumed to be cut, until a connection succeeds.
    std::size_t minCutPaths = 2;
    /// How long an endpoint that a peer could not reach either is not asked for again.
    Millis unreachableTime{500};
};

/// The paths of one router.
class PathMonitor
{
public:
    explicit PathMonitor(PathOptions options = {})
        : m_options(options)
    {
    }

    /// Returns the path by which a request to an endpoint should be sent.
    Path pathTo(const Endpoint &endpoint) const;
    /// Returns true if other paths of this router failed recently, so that a failed connection is likely no fault of its endpoint.
    bool othersFail(const Endpoint &endpoint, Clock::time_point now) const;
    /// Returns true while a peer's failure to reach the endpoint is recent.
    bool isUnreachable(const Endpoint &endpoint, Clock::time_point now) const;

    /// Records a direct connection. Returns true if the path was cut before.
    bool recordConnected(const Endpoint &endpoint, Clock::time_point now);
    /// Records that a direct connection failed.
    void recordFailure(const Endpoint &endpoint, Clock::time_point now);
    /// Records that a peer reached an endpoint to which the direct path failed. Returns true if the path was not known to be cut.
    bool recordReachedByPeer(const Endpoint &endpoint, Clock::time_point now);
    /// Records that a peer could not reach an endpoint either: the endpoint is down, not the path.
    void recordUnreachable(const Endpoint &endpoint, Clock::time_point now);
    /// Forgets an endpoint that is no longer listed.
    void forget(const Endpoint &endpoint);

    /// Returns the endpoint whose direct path should be probed next, in rotation; nothing if no path is cut.
    std::optional<Endpoint> nextProbe();
    std::size_t cutCount() const
    {
        return m_cut.size();
    }

private:
    struct CutPath {
        Endpoint endpoint;
        Clock::time_point since{};
    };
    struct Failure {
        Clock::time_point at{};
        std::optional<Clock::time_point> unreachableAt; ///< when a peer failed to reach the endpoint
    };

    PathOptions m_options;
    std::map<std::string, CutPath> m_cut; ///< by incarnation key
    std::map<std::string, Failure> m_failures; ///< by incarnation key: last failed direct connection, while recent
    std::map<std::string, Clock::time_point> m_connectedAt; ///< by service: last direct connection
    std::string m_lastProbe; ///< incarnation key
};

} // namespace yucca::entry
