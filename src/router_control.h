// The router's control side: keeps the catalogue and the endpoint set up
// to date by watching the platform's object API, on a thread of its own.
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

/// Owns the control state of one router. Only its event loop writes it;
/// traffic threads read the published snapshot.
class Control
{
public:
    Control(const settings::RouterSettings &settings, platform::ObjectApi &api, RoutingTable &table);

    /// The kinds of objects that are followed.
    static const std::vector<std::string> &kinds();
    /// Follows the n-th of kinds() until stopped.
    Task<void> run(std::size_t n);
    /// Asks run() to return; from the control thread.
    void stop();
    /// One listing or one watch of each kind. False when the platform could not be reached.
    Task<bool> step();

    /// True once the catalogue is loaded and an endpoint is known.
    bool ready() const
    {
        return m_ready.load();
    }
    std::shared_ptr<const catalogue::Snapshot> snapshot() const;
    /// The same as the request pipeline reads it.
    const entry::Published &published() const
    {
        return m_published;
    }

private:
    /// Takes the news of one kind.
    struct Sink {
        Control &control;
        std::string kind;
        bool dirty = false;
        void listed(const platform::Listing &listing, platform::Freshness freshness);
        void listedSoFar(const platform::Listing &)
        {
        }
        void changed(const platform::Object &object, bool deleted);
        void batchEnded();
        void regained(Clock::duration)
        {
        }
        void restored();
    };
    struct Followed {
        Followed(Control &control, platform::ObjectApi &api, const std::string &kind, FollowerOptions options);
        Sink sink;
        Follower<Sink> follower;
        bool loaded = false;
    };
    void publish();

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
