// The router's control thread: keeps the catalogue and the endpoint set
// up to date from the platform's object API and VM list.
#pragma once

#include "catalogue.h"
#include "platform_client.h"
#include "router_core.h"
#include "settings.h"

#include <atomic>
#include <mutex>
#include <thread>

namespace yucca::router
{

/// Owns the control state of one router. Only its thread writes it;
/// traffic threads read through the accessors.
class Control
{
public:
    Control(const settings::RouterSettings &s, platform::ObjectApi &api, RoutingTable &table);
    ~Control();

    void start();
    void stop();
    /// One round of control work: watch, VM list, probes. Public so that
    /// a test can drive it step by step.
    void step();

    /// True once a full catalogue has been loaded and the VM list read.
    bool ready() const
    {
        return m_loaded.load() && m_endpointsSeen.load();
    }
    std::optional<catalogue::Workspace> workspace(const std::string &name) const;
    std::optional<catalogue::WorkClass> workClass(const std::string &name) const;
    uint64_t revision() const;
    /// Bytes of probes this router sent and received (object API bytes are counted by its client).
    uint64_t probeBytes() const
    {
        return m_probeBytes.load();
    }

private:
    void loadCatalogue();
    void watchOnce(std::chrono::milliseconds wait);
    void pollVms();
    void probeEndpoints();

    settings::RouterSettings m_settings;
    platform::ObjectApi &m_api;
    RoutingTable &m_table;
    mutable std::mutex m_mutex;
    catalogue::View m_view;
    uint64_t m_watchFrom = 0;
    std::atomic<bool> m_loaded{false};
    std::atomic<bool> m_endpointsSeen{false};
    std::atomic<bool> m_stopping{false};
    std::atomic<uint64_t> m_probeBytes{0};
    Clock::time_point m_nextVmPoll{};
    Clock::time_point m_nextProbe{};
    std::thread m_thread;
};

} // namespace yucca::router
