// The router's control plane: keeps the catalogue and the endpoint set up to date
// by watching the platform's object API, on a thread of its own.
#pragma once

#include "catalogue.h"
#include "entry/control.h"
#include "follower.h"
#include "object_api.h"
#include "router_core.h"
#include "settings.h"

#include <atomic>
#include <memory>
#include <mutex>

namespace yucca::router
{

/// Owns the control state of one router. Only the control thread's event loop
/// writes it; traffic threads read the published snapshot.
class Control
{
public:
    Control(const settings::RouterSettings &settings, platform::ObjectApi &api, RoutingTable &table);

    /// The object kinds that are followed.
    static const std::vector<std::string> &kinds();
    /// Follows the n-th of kinds() until stop() is called.
    Task<void> run(std::size_t n);
    /// Asks run() to return; from the control thread.
    void stop();
    /// Makes one listing or one watch call for each kind. Returns false when the platform could not be reached for one of them.
    Task<bool> step();

    /// True once every kind has been listed and at least one endpoint is known.
    bool ready() const
    {
        return m_ready.load();
    }
    /// Returns the last published snapshot; from any thread.
    std::shared_ptr<const catalogue::Snapshot> snapshot() const;
    /// The same state in the form that the request pipeline reads.
    const entry::Published &published() const
    {
        return m_published;
    }

private:
    /// Applies what the follower of one kind reports.
    struct Sink {
        Control &control;
        std::string kind;
        bool dirty = false; ///< changes were applied that are not published yet
        void onListing(const platform::Listing &listing, platform::Freshness freshness);
        void onPartialListing(const platform::Listing &)
        {
        }
        void onIncompleteListing(const platform::Listing &listing);
        void onChange(const platform::Object &object, bool deleted);
        void onBatchEnd();
        void onStoreRecovered(Clock::duration)
        {
        }
        void onStoreRestored();
    };
    struct Followed {
        Followed(Control &control, platform::ObjectApi &api, const std::string &kind, FollowerOptions options);
        Sink sink;
        Follower<Sink> follower;
        bool loaded = false;
    };
    void publish();
    void recordLoaded(const std::string &kind);

    settings::RouterSettings m_settings;
    catalogue::View m_view;
    entry::Published m_published;
    std::vector<std::unique_ptr<Followed>> m_followed; ///< one for each of kinds()
    std::size_t m_loaded = 0; ///< kinds that have been listed
    std::atomic<bool> m_ready{false};
    mutable std::mutex m_mutex;
    std::shared_ptr<const catalogue::Snapshot> m_snapshot;
};

} // namespace yucca::router
