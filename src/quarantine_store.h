// Persists the quarantine in the store, so that a router that starts continues
// with it, also when all routers start at once, and so that a router without
// contact to other routers learns of it.
#pragma once

#include "object_api.h"
#include "quarantine.h"

#include <functional>
#include <optional>
#include <set>
#include <string>

namespace yucca::quarantine
{

/// The kind of the records in the store; a record's name is its content hash in hexadecimal.
inline constexpr const char *recordKind = "quarantine";

/// Returns the value that an operator writes in place of a record to release a
/// content: the crashes so far no longer count. It names the author and the reason.
nlohmann::json makeReleaseRecord(const std::string &author, const std::string &reason);

/// Intervals and limits of the calls to the store.
struct QuarantineStoreOptions {
    Millis reloadInterval{30000}; ///< between listings; other routers send updates within a second
    Millis reloadIntervalAlone{2000}; ///< between listings while no other router is heard; they are current
    /// Time before the second listing while other routers are heard: the first may be served by a lagging replica and miss what was
    /// written just before the start.
    Millis secondLoadDelay{5000};
    Millis retryDelay{1000}; ///< after a failed call
    Millis savePollInterval{100}; ///< between checks for unsaved records; a check makes no call
    int maxSaveAttempts = 3; ///< for one record that other routers write at the same time
};

/// Reads and writes the records; runs on one event loop.
class QuarantineStore
{
public:
    /// isAlone returns true while no other router is heard. isSweeper returns
    /// true when this router removes expired records; one router does.
    QuarantineStore(platform::ObjectApi &api, RequestQuarantine &quarantine, std::function<bool()> isAlone, std::function<bool()> isSweeper,
                    QuarantineStoreOptions options = {});

    /// Loads the records periodically and saves changed ones, until stop() is called.
    Task<void> run();
    /// Asks run() to return; from its thread.
    void stop()
    {
        m_stopping = true;
    }
    /// Lists the records once and merges them. Returns false when the store could not be reached.
    Task<bool> load();
    /// Merges the stored record of a content with this router's and writes the
    /// result. Returns false when the call failed and must be retried.
    Task<bool> save(uint64_t content);

private:
    void recordEpoch();
    Task<void> saveAll();
    Task<void> applyEntry(platform::Object object);
    Task<int> writeRecord(std::string name, std::optional<CrashRecord> record, uint64_t storedVersion);
    Millis interval() const;
    void logUnreadable(const std::string &name);

    platform::ObjectApi &m_api;
    RequestQuarantine &m_quarantine;
    std::function<bool()> m_isAlone;
    std::function<bool()> m_isSweeper;
    QuarantineStoreOptions m_options;
    std::set<std::string> m_loggedUnreadable; ///< names of unreadable entries that were logged
    int m_loadCount = 0;
    store::Epoch m_epoch = 0;
    bool m_storeReachable = false; ///< as of the last call
    Clock::time_point m_lastCallAt{}; ///< of the last listing or save, also a failed one
    bool m_stopping = false;
};

} // namespace yucca::quarantine
