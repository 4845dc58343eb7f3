// The quarantine kept in the store: a router that starts, alone or with all
// others, goes on with it, and one that no other router reaches learns of it.
#pragma once

#include "object_api.h"
#include "quarantine.h"

#include <functional>
#include <optional>
#include <set>
#include <string>

namespace yucca::quarantine
{

/// The kind of the records in the store; their names are the contents, in hexadecimal.
inline constexpr const char *recordKind = "quarantine";

/// An operator's word that a request is harmless, in place of its record: what
/// ended under it so far no longer counts. Says who gave it, and why.
nlohmann::json releaseBy(const std::string &author, const std::string &reason);

/// When the store is asked.
struct StoreOptions {
    Millis reload{30000}; ///< news come from other routers in a second
    Millis reloadAlone{2000}; ///< while none is heard
    /// After the first listing: one that may lag may lack what was written just before the start.
    Millis reloadSoon{5000};
    Millis again{1000}; ///< after a call that failed
    Millis poll{100}; ///< for what is to be saved; costs no call
    int mostTries = 3; ///< of one record, where other routers write it too
};

/// Reads and writes the records; runs on one event loop.
class QuarantineStore
{
public:
    /// alone tells whether no other router is heard; isSweeper whether this
    /// router is to remove old records: one is enough.
    QuarantineStore(platform::ObjectApi &api, RequestQuarantine &quarantine, std::function<bool()> alone, std::function<bool()> isSweeper,
                    StoreOptions options = {});

    /// Loads now and then, and saves what is new, until stopped.
    Task<void> run();
    void stop()
    {
        m_stopping = true;
    }
    /// One listing; false when the store could not be reached.
    Task<bool> load();
    /// Brings the store up to date on one content; false when it is to be tried again.
    Task<bool> save(uint64_t content);

private:
    void noteEpoch();
    Task<void> saveAll();
    Task<void> take(platform::Object object);
    Task<int> write(std::string name, std::optional<Record> record, uint64_t heldVersion);
    Millis interval() const;
    void complain(const std::string &name);

    platform::ObjectApi &m_api;
    RequestQuarantine &m_quarantine;
    std::function<bool()> m_alone;
    std::function<bool()> m_isSweeper;
    StoreOptions m_options;
    std::set<std::string> m_complainedOf; ///< entries that could not be read
    int m_loads = 0;
    store::Epoch m_epoch = 0;
    bool m_reached = false; ///< by the last call
    Clock::time_point m_triedAt{};
    bool m_stopping = false;
};

} // namespace yucca::quarantine
