// What routers know of prompts and their holders, kept in the store: a router
// that starts, alone or with all others, goes on with it. Without it a fleet
// that restarts has its engines read again what they hold.
#pragma once

#include "object_api.h"
#include "router_core.h"

#include <functional>

namespace yucca::router
{

/// Kind and name of the snapshot in the store.
inline constexpr const char *snapshotKind = "prompts";
inline constexpr const char *snapshotName = "holders";

/// Times and bounds of the snapshot.
struct SnapshotOptions {
    /// Between two writes. A prompt counts as held for 30 s; one write in 3 s
    /// is 0.33 calls/s for the whole fleet.
    Millis every{3000};
    Millis again{300}; ///< after a read that failed
    Millis endpointsCheck{20}; ///< until the endpoints are known: no call is made for that
    int mostReads = 20; ///< tries at a start: 6 s; what was held then is being asked for again by then
    std::size_t mostPrompts = 4000; ///< the last noted; about 20 B each, of the 1 MB that an object may have
};

/// Reads the snapshot at the start of a router, and writes it while this
/// router is the one that does so. Runs on one event loop.
class PromptSnapshot
{
public:
    /// endpointsKnown tells whether all endpoints are listed, without which
    /// their names say nothing; isWriter whether this router is to write: one
    /// is enough, two do no harm.
    PromptSnapshot(platform::ObjectApi &api, RoutingTable &table, std::function<bool()> endpointsKnown, std::function<bool()> isWriter,
                   SnapshotOptions options = {});

    /// Reads once, then writes now and then, until stopped.
    Task<void> run();
    void stop()
    {
        m_stopping = true;
    }
    /// One read; false when it is to be tried again.
    Task<bool> read();
    /// One write; false when the store did not take it.
    Task<bool> write();

private:
    platform::ObjectApi &m_api;
    RoutingTable &m_table;
    std::function<bool()> m_endpointsKnown;
    std::function<bool()> m_isWriter;
    SnapshotOptions m_options;
    bool m_stopping = false;
};

} // namespace yucca::router
