// The platform stand-in: object API and VM list, with rate limits and
// injected faults; state in memory only.
#pragma once

#include "admission.h"
#include "http_server.h"
#include "memory_store.h"
#include "notifier.h"
#include "settings.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>

namespace yucca::platform
{

/// Faults switched on through POST /admin/faults.
struct Faults {
    bool outage = false;
    int64_t slowMs = 0; ///< every answer takes this much longer
    int64_t loseAnswers = 0; ///< the next N writes take effect and get no answer
    bool compact = false; ///< forget the history now: watches from before are Gone
};

/// The platform stand-in's state and its HTTP handlers. One event loop.
class PlatformServer
{
public:
    explicit PlatformServer(const settings::PlatformSettings &settings);
    /// Answers one request.
    Task<void> handle(http::Exchange &ex);

private:
    Task<void> answer(http::Exchange &ex, unsigned status, std::string body, http::Headers headers = {});
    Task<void> answerError(http::Exchange &ex, Error e);
    void restore();
    Task<void> objects(http::Exchange &ex, std::string rest);
    Task<void> listing(http::Exchange &ex, std::string kind);
    Task<void> watch(http::Exchange &ex, std::string kind);
    Task<void> admin(http::Exchange &ex, std::string path);
    Task<void> publishVm(std::string id, std::optional<nlohmann::json> entry);
    void removeLapsed(Clock::time_point now);
    Result<store::Object> apply(const http::Exchange &ex, const std::string &kind, const std::string &name);

    settings::PlatformSettings m_settings;
    store::ObjectStore m_store;
    store::ObjectStore::Copy m_copy; ///< the last one that was taken
    limits::TokenBucket m_writes;
    limits::TokenBucket m_reads;
    Faults m_faults;
    std::map<std::string, Clock::time_point> m_serverHeardAt; ///< by name, of the entries that servers keep themselves
    Notifier m_changed;
};

} // namespace yucca::platform
