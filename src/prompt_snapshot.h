// A snapshot of the prompts and their likely holders, kept in the store. A starting router loads it. Without the
// snapshot, a restarted fleet would make its engines process again the prompts that they already hold.
#pragma once

#include "object_api.h"
#include "router_core.h"

#include <functional>

namespace yucca::router
{

/// Kind and name of the snapshot object in the store.
inline constexpr const char *snapshotKind = "prompts";
inline constexpr const char *snapshotName = "holders";

/// Intervals and limits of the snapshot.
struct SnapshotOptions {
    /// Time between two writes. A prompt counts as held for 30 s; one write per 3 s is 0.33 calls/s for the whole fleet.
    Millis writeInterval{3000};
    Millis readRetryDelay{300}; ///< after a failed read
    Millis endpointsPollInterval{20}; ///< between two checks for a known endpoint list; a check makes no call
    int maxReads = 20; ///< at a start, 6 s in total; by then callers have requested the held prompts again
    std::size_t maxBytes = 512 * 1024; ///< of the endpoints' ids and the prompts, of the 1 MB limit of an object
    std::size_t maxPrompts = 4000; ///< most recently recorded ones; about 20 B each, of the 1 MB limit of an object
};

/// Loads the snapshot when a router starts, and writes it periodically while this router is the writer. Runs on one
/// event loop.
class PromptSnapshot
{
public:
    /// endpointsKnown returns true once the endpoint list is complete; before that, the endpoint names in a snapshot
    /// cannot be resolved. isWriter returns true if this router writes the snapshot: one writer is enough, and two do
    /// no harm.
    PromptSnapshot(platform::ObjectApi &api, RoutingTable &table, std::function<bool()> endpointsKnown, std::function<bool()> isWriter,
                   SnapshotOptions options = {});

    /// Loads the snapshot once, then writes it periodically, until stop() is called.
    Task<void> run();
    void stop()
    {
        m_stopping = true;
    }
    /// Reads the snapshot once. Returns false if the read must be retried.
    Task<bool> read();
    /// Writes the snapshot once. Returns false if the store rejected the write or did not answer.
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
