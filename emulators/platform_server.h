// Emulates the platform: object API and VM list, with rate limits and injected faults. The state is in memory only.
#pragma once

#include "admission.h"
#include "http_server.h"
#include "memory_store.h"
#include "notifier.h"
#include "settings.h"

#include <nlohmann/json.hpp>

#include <deque>
#include <map>
#include <string>

namespace yucca::platform
{

/// Faults, set by POST /admin/faults with a JSON object of these names.
struct Faults {
    bool outage = false; ///< object API calls fail with status 503, and waiting watches are cut off
    int64_t slowMs = 0; ///< additional delay of every object API response, in milliseconds
    int64_t loseAnswers = 0; ///< the next N writes take effect and get no response
    bool compact = false; ///< drops the history at once: watches from earlier revisions fail with Gone
};

/// The state and the request handlers of the emulated platform. Used from one event loop.
class PlatformServer
{
public:
    explicit PlatformServer(const settings::PlatformSettings &settings);
    /// Responds to one request.
    Task<void> handle(http::Exchange &ex);

private:
    Task<void> respond(http::Exchange &ex, unsigned status, std::string body, http::Headers headers = {});
    Task<void> respondError(http::Exchange &ex, Error e);
    void restore();
    Task<void> handleObjects(http::Exchange &ex, std::string kindAndName);
    Task<void> handleListing(http::Exchange &ex, std::string kind);
    Task<void> handleWatch(http::Exchange &ex, std::string kind);
    Task<void> handleAdmin(http::Exchange &ex, std::string path);
    Task<void> publishVm(std::string id, std::optional<nlohmann::json> entry);
    void removeExpiredServers(Clock::time_point now);
    void takeSnapshot(Clock::time_point now);
    const store::ObjectStore &stateFor(const http::Exchange &ex, Clock::time_point now) const;
    Task<Result<store::WatchBatch>> awaitReplicaChanges(http::Exchange &ex, uint64_t from, std::vector<std::string> kinds, Clock::time_point deadline);
    Result<store::Object> performCall(const http::Exchange &ex, const std::string &kind, const std::string &name);

    settings::PlatformSettings m_settings;
    store::ObjectStore m_store;
    store::ObjectStore::Backup m_backup; ///< the last backup; empty before the first
    limits::TokenBucket m_writes;
    limits::TokenBucket m_reads;
    /// Earlier states for answers that may be stale, the oldest first; only if replicas lag.
    std::deque<std::pair<Clock::time_point, store::ObjectStore>> m_snapshots;
    Faults m_faults;
    std::map<std::string, Clock::time_point> m_serverUpdatedAt; ///< last update of server entries, by name
    Notifier m_changed;
};

} // namespace yucca::platform
