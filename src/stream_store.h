// Keeps in the store what binds streams to the software that began them, so that it outlives a restart of all routers: for each
// service the versions that streams under way may be of, and, while these are several, the origins of streams. One router records
// them; any router reads them when a stream is taken up that no running router knows. What the store does not tell is not guessed.
#pragma once

#include "object_api.h"
#include "router_core.h"
#include "stream_origins.h"

#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace yucca::streams
{

/// Kinds of the objects. The name of a record of versions is that of its service, abbreviated like all names in records.
inline constexpr const char *versionKind = "stream-versions";
inline constexpr const char *originKind = "stream-origins";

/// Intervals and limits.
struct StreamStoreOptions {
    Millis startDelay{3000}; ///< before this router records anything: routers that started together have heard each other by then
    Millis resumptionWindow{20000}; ///< for which a stream may be taken up
    Millis pollInterval{200}; ///< between checks for something to record; a check makes no call
    Millis rankInterval{1000}; ///< between checks whether this router is a recorder
    Millis writeInterval{100}; ///< between writes of origins; those after the last write are lost if all routers end
    /// Objects to which origins are written in turn. Each write holds new origins only: resumptionWindow / writeInterval objects hold all.
    std::size_t originObjects = 200;
    std::size_t maxOriginsPerObject = 16384; ///< of 16 bytes each, of the 1 MB that an object may have
    std::size_t versionRecorders = 3; ///< routers that record versions; one after the other tries
    Millis recorderInterval{500}; ///< between the attempts of two of them
    Millis versionMemory{60000}; ///< how long a version that is no longer listed may have streams under way
    Millis readInterval{1000}; ///< between two reads of origins
    /// Interval between the starts of two reads of versions, per router of the fleet, with its minimum and maximum. A request waits for a
    /// read that starts after its arrival.
    Millis versionsIntervalPerRouter{5};
    Millis minVersionsInterval{200};
    Millis maxVersionsInterval{400};
    Millis readTimeout{500}; ///< for which a request waits for a read
    Millis readDelayPerRouter{5}; ///< maximum delay of the first read, for each router of the fleet: routers restarted together share the store's link
};

/// What this object needs of the rest of its process. All functions are called on its event loop.
struct StreamStoreParts {
    platform::ObjectApi &api;
    router::RoutingTable &table;
    StreamOrigins &origins;
    std::function<std::set<std::string>()> services; ///< with streams that may be taken up
    std::function<std::size_t()> rank; ///< of this router by name, among those that run; 0 for the first
    std::function<std::size_t()> routers; ///< in the fleet
    /// Compares the endpoints of the table with the store's, see Follower::catchUp().
    std::function<Task<bool>(Clock::time_point until)> catchUpEndpoints;
};

/// Reads and writes the records on one event loop.
class StreamStore
{
public:
    StreamStore(StreamStoreParts parts, asio::any_io_executor executor, StreamStoreOptions options = {});

    /// Records versions and origins until stop() is called.
    Task<void> run();
    void stop()
    {
        m_stopping = true;
    }
    /// Returns the version that all streams of a service under way are of; nothing if there may be several, or if the store cannot
    /// tell. The state held before the call is not relied on: another version may have joined while this router was suspended or
    /// partitioned. Called from any thread.
    Task<std::optional<std::string>> soleVersion(std::string service);
    /// Returns the origin of a stream that no router knows. Called from any thread.
    Task<std::optional<Origin>> find(uint64_t stream, std::string service);

    /// Records the listed versions of all services that lack them. Returns false if the store could not be reached.
    Task<bool> saveVersions();
    /// Writes the origins that were collected since the last call. Returns false if the store could not be reached.
    Task<bool> saveOrigins();

private:
    using Versions = std::set<std::string>;

    std::map<std::string, Versions> listedVersions() const;
    std::string serviceOf(const Origin &origin) const;
    std::string versionOf(const Origin &origin, const std::string &service) const;
    nlohmann::json encodeOrigins(const std::vector<OriginRecord> &records) const;
    void announceUnrecorded(Clock::time_point now);
    bool hasSeveralVersions(const std::string &service, Clock::time_point now) const;
    void collectOrigins(Clock::time_point now);
    Task<void> recordVersions(Clock::time_point now);
    Task<bool> saveVersions(std::string service, Versions listed);
    Task<bool> putOrigins(nlohmann::json value);
    Task<Result<store::Object>> putNextObject(nlohmann::json value);
    Task<std::optional<Error>> findNextObject();
    Millis currentInterval() const;
    bool isExpired(const std::string &service, const std::string &version, const Versions &listed, Clock::time_point now) const;
    bool hasExpired(const std::string &service, const Versions &listed, Clock::time_point now) const;
    void noteAbsent(const std::string &service, const Versions &listed, Clock::time_point now);
    bool isRecorded(const std::string &service, const Versions &listed) const;
    void setRecorded(const std::string &service, Versions versions);
    std::optional<std::string> recordedVersion(const std::string &service, Clock::time_point now) const;
    Task<bool> checkVersions();
    Task<void> readVersionsAndEndpoints();
    Task<void> refreshOrigins();
    Task<void> readAllOrigins();
    Task<bool> awaitFirstRead(Clock::time_point until);
    void startRead(Task<void> read, bool &running, Notifier &ended);
    Task<bool> readVersions();
    Task<bool> readOrigins();

    StreamStoreParts m_parts;
    asio::any_io_executor m_executor;
    StreamStoreOptions m_options;
    std::minstd_rand m_random{std::random_device{}()};
    bool m_stopping = false;
    std::size_t m_rank = 0; ///< as last checked
    std::set<std::string> m_mixed; ///< services that have several versions
    std::deque<std::pair<Clock::time_point, OriginRecord>> m_pending; ///< origins that were collected and not written, the oldest first
    std::optional<std::size_t> m_nextObject; ///< to which origins are written; nothing until the newest one is known
    std::vector<uint64_t> m_objectVersions; ///< of the objects, as last read or written; 0: none
    Clock::time_point m_unrecordedSince{}; ///< since when a listed version is not recorded, as far as this router knows
    std::map<std::pair<std::string, std::string>, Clock::time_point> m_absentSince; ///< by service and version: recorded, not listed
    store::Epoch m_epoch = 0;
    bool m_versionsLoaded = false; ///< by this router as a recorder
    Clock::time_point m_firstReadAt{}; ///< for a stream that no router knows
    bool m_checking = false; ///< versions and endpoints are being read
    Notifier m_checkEnded;
    Clock::time_point m_checkNotBefore{};
    Clock::time_point m_checkedAt{}; ///< when the last successful check began
    bool m_reading = false; ///< origins are being read
    Notifier m_readEnded;
    Clock::time_point m_readNotBefore{};
    mutable std::mutex m_mutex;
    std::map<std::string, Versions> m_recorded; ///< by service, as last read or written
};

} // namespace yucca::streams
