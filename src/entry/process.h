// The process of an entry router: a supervised control thread, a traffic thread, and stop and
// reload by signals.
#pragma once

#include "change_exchange.h"
#include "cli.h"
#include "entry/gateway.h"
#include "peers/load_exchange.h"
#include "prompt_snapshot.h"
#include "quarantine_store.h"
#include "relay_peers.h"
#include "relay_server.h"
#include "settings.h"
#include "stream_store.h"
#include "supervisor.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <thread>

namespace yucca::entry
{

/// Timing of a stop, within the grace period of the settings.
struct StopOptions {
    Millis acceptRequestsFor{3000}; ///< how long new requests are still accepted: the load balancer needs two probes, a second apart, to stop sending them
    Millis reserve{400}; ///< kept free at the end of the grace period for the last responses and the exit of the process
    Millis lastResponses{200}; ///< of the reserve: to answer the requests that are still in flight
    Millis pollInterval{20};
};

/// Runs one entry router until a stop signal arrives.
template <Dialect D, Codec C> class Process
{
public:
    /// settingsPath is the file that is read again on a reload.
    Process(const Settings &settings, std::string settingsPath, platform::ObjectApi &store)
        : m_settings(settings)
        , m_settingsPath(std::move(settingsPath))
        , m_table(tableOptions(settings))
        , m_published(m_table, publishedOptions(settings))
        , m_store(store)
        , m_configurationReplica(C::configurationKind, rankAmongNeighbours(), m_changeClient, querySchedule(settings))
        , m_endpointReplica(C::endpointKind, rankAmongNeighbours(), m_changeClient, querySchedule(settings))
        , m_evacuationReplica(C::evacuationKind, rankAmongNeighbours(), m_changeClient, replica::queryScheduleWithin(Millis(settings.evacuationBoundMs)))
        , m_control(store, m_published, {&m_configurationReplica, &m_endpointReplica, &m_evacuationReplica}, failureDomains(settings))
        , m_exchange(store, {settings.id, settings.failureDomain, settings.peers}, m_table)
        , m_snapshot(
              store, m_table,
              [this] {
                  return m_published.endpointsKnown();
              },
              [this] {
                  return m_exchange.isFirstByName(Clock::now());
              })
        , m_quarantineStore(
              store, m_quarantine,
              [this] {
                  return !m_exchange.rank(Clock::now()).has_value();
              },
              [this] {
                  return m_exchange.isFirstByName(Clock::now());
              })
        , m_relayPeers(settings.regions)
        , m_streamStore(streamStoreParts(store), m_controlLoop.get_executor())
        , m_gateway(GatewayParts{m_published, m_table, m_admission, m_quarantine, nullptr, &m_relayPeers, &m_exchange.membership(), &m_origins, &m_streamStore},
                    gatewayOptions(settings))
        , m_changes(sharedReplicas(settings))
        , m_relay(
              m_trafficLoop, m_table, m_relayPeers,
              [this](const Endpoint &endpoint) {
                  return m_gateway.reachesDirectly(endpoint);
              },
              relayOptions(settings))
        , m_supervisor(m_controlLoop, logChildFailure)
        , m_callerServer({&m_trafficLoop}, settings.traffic.host, settings.traffic.port,
                         [this](http::Exchange &ex) {
                             return m_gateway.handle(ex);
                         })
        , m_probeServer({&m_trafficLoop}, settings.readiness.host, settings.readiness.port,
                        [this](http::Exchange &ex) {
                            return answerProbe(ex);
                        })
        , m_metricsServer({&m_trafficLoop}, settings.metrics.host, settings.metrics.port,
                          [this](http::Exchange &ex) {
                              return answerMetrics(ex);
                          })
        , m_neighbourServer({&m_controlLoop}, settings.peers.host, settings.peers.port, [this](http::Exchange &ex) {
            return answerPeer(ex);
        })
    {
        m_exchange.shareReplicas(sharedReplicas(settings));
        m_exchange.setLimitWindow(retryLimits(settings).window);
        m_exchange.shareQuarantine(m_quarantine);
        m_exchange.shareOrigins(m_origins);
        if (settings.peers.port != 0) {
            for (auto *replica : sharedReplicas(settings)) {
                replica->routerCount = [this] {
                    return m_exchange.listedRouters();
                };
            }
            m_origins.sendCopies = [this](const streams::OriginRecord &record) {
                asio::co_spawn(m_controlLoop, m_exchange.sendOriginCopies(record), asio::detached);
            };
            m_origins.sendQueries = [this](uint64_t stream) {
                asio::co_spawn(m_controlLoop, m_exchange.sendOriginQueries(stream), asio::detached);
            };
        }
        m_quarantine.onUrgentUpdate = [this] {
            asio::post(m_controlLoop, [this] {
                m_exchange.requestRound();
            });
        };
    }

    /// Runs until a stop signal, then ends the process. Returns an exit status only if the router
    /// could not start.
    int run()
    {
        std::vector<http::Server *> servers{&m_callerServer, &m_probeServer, &m_metricsServer};
        if (m_settings.peers.port != 0) {
            servers.push_back(&m_neighbourServer);
        }
        for (auto *server : servers) {
            auto bound = server->start();
            if (!ok(bound)) {
                log::Line{log::Event::SettingsRejected}.add("why", std::get<Error>(bound).message);
                return cli::ExitFailure;
            }
        }
        startControl();
        asio::co_spawn(m_trafficLoop, m_gateway.runStallMonitor(), asio::detached);
        std::thread control([this] {
            m_controlLoop.run();
        });
        const auto work = asio::make_work_guard(m_trafficLoop);
        std::thread traffic([this] {
            m_trafficLoop.run();
        });
        log::Line{log::Event::ProgramStarted}.add("id", m_settings.id).add("zone", m_settings.failureDomain);
        runBlocking(drainAfterStopSignal());
        m_trafficLoop.stop();
        m_controlLoop.stop();
        traffic.join();
        control.join();
        log::Line{log::Event::ProgramStopped}.add("inflight", m_callerServer.inflight());
        // Destructors are skipped: requests cut off at the end of the grace period are suspended in
        // the event loops, and refer to objects that would be destroyed before them.
        std::_Exit(m_callerServer.inflight() == 0 ? cli::ExitOk : cli::ExitFailure);
    }

private:
    replica::SharedReplica::RankProvider rankAmongNeighbours()
    {
        return [this](Clock::time_point now) {
            return m_exchange.rank(now);
        };
    }
    streams::StreamStoreParts streamStoreParts(platform::ObjectApi &store)
    {
        return {store,
                m_table,
                m_origins,
                [this] {
                    return currentResumableServices();
                },
                [this] {
                    return m_exchange.rankByName(Clock::now());
                },
                [this] {
                    return m_exchange.listedHosts().size();
                },
                [this](Clock::time_point until) {
                    return m_control.catchUpEndpoints(until);
                }};
    }
    // Called often, on the control thread; a configuration may have more than a thousand routes.
    std::set<std::string> currentResumableServices()
    {
        auto configuration = m_published.configuration();
        if (configuration != m_resumableOf) {
            m_resumable = resumableServices(configuration);
            m_resumableOf = std::move(configuration);
        }
        return m_resumable;
    }
    std::vector<replica::SharedReplica *> sharedReplicas(const Settings &s)
    {
        std::vector<replica::SharedReplica *> replicas{&m_configurationReplica, &m_endpointReplica};
        if (s.evacuationBoundMs > 0) {
            replicas.push_back(&m_evacuationReplica);
        }
        return replicas;
    }
    static std::vector<std::string> failureDomains(const Settings &s)
    {
        std::vector<std::string> domains;
        for (const auto &[domain, region] : s.regions) {
            domains.push_back(domain);
        }
        return domains;
    }
    static PublishedOptions publishedOptions(const Settings &s)
    {
        return {s.evacuationBoundMs > 0, s.coldOvershoot, s.coldSlack, s.regions};
    }
    static replica::QueryScheduleOptions querySchedule(const Settings &s)
    {
        return replica::queryScheduleWithin(Millis(std::min(s.configurationBoundMs, s.drainBoundMs)));
    }
    static router::TableOptions tableOptions(const Settings &s)
    {
        router::TableOptions options;
        options.policy = Policy::Home;
        options.servicePolicy = Policy::LeastLoaded;
        options.home.loadFactor = std::min(s.loadFactor, options.home.loadFactor);
        options.home.spillSeed = ring::hash(s.id);
        return options;
    }
    static GatewayOptions gatewayOptions(const Settings &s)
    {
        GatewayOptions options;
        options.retries = retryLimits(s);
        return options;
    }
    static relay::RelayOptions relayOptions(const Settings &s)
    {
        relay::RelayOptions options;
        options.maxTunnels = s.maxTunnels;
        return options;
    }
    static void logChildFailure(const std::string &child, const std::string &error, int failures)
    {
        log::Line{log::Event::ChildFailed}.add("child", child).add("failures", int64_t{failures}).add("error", error);
    }

    void startControl()
    {
        const auto stop = [this] {
            m_control.stop();
        };
        m_supervisor.start({"configuration",
                            [this] {
                                return m_control.followConfiguration();
                            },
                            stop});
        m_supervisor.start({"endpoints",
                            [this] {
                                return m_control.followEndpoints();
                            },
                            stop});
        if (m_settings.evacuationBoundMs > 0) {
            m_supervisor.start({"evacuations",
                                [this] {
                                    return m_control.followEvacuations();
                                },
                                stop});
        }
        m_supervisor.start({"store",
                            [this] {
                                return m_control.watchStore();
                            },
                            {}});
        m_supervisor.start({"quarantine",
                            [this] {
                                return m_quarantineStore.run();
                            },
                            [this] {
                                m_quarantineStore.stop();
                            }});
        m_supervisor.start({"streams",
                            [this] {
                                return m_streamStore.run();
                            },
                            [this] {
                                m_streamStore.stop();
                            }});
        if (m_settings.peers.port != 0) {
            startExchange();
        }
        m_supervisor.start({"upkeep",
                            [this] {
                                return runMaintenance();
                            },
                            {}});
    }

    void startExchange()
    {
        const auto stop = [this] {
            m_exchange.stop();
        };
        m_supervisor.start({"peers",
                            [this] {
                                return m_exchange.runPeerRefresh();
                            },
                            stop});
        m_supervisor.start({"tell",
                            [this] {
                                return m_exchange.runSender();
                            },
                            stop});
        m_supervisor.start({"prompts",
                            [this] {
                                return m_snapshot.run();
                            },
                            [this] {
                                m_snapshot.stop();
                            }});
        m_supervisor.start({"hear",
                            [this] {
                                return m_exchange.runReceiver();
                            },
                            stop});
    }

    // Periodic work: applies new limits on callers, updates the peers that may relay, removes endpoints whose retention has ended,
    // cancels attempts at restarted endpoints, and reloads a changed settings file.
    Task<void> runMaintenance()
    {
        ConfigurationPtr seen;
        uint64_t restarts = 0;
        Clock::time_point peersDue{};
        Clock::time_point usageDue{};
        for (;;) {
            const auto configuration = m_published.configuration();
            if (configuration != seen) {
                seen = configuration;
                m_callerServer.setLimits(configuration->callerLimits);
            }
            m_published.endExpiredRetention(Clock::now());
            if (const auto now = Clock::now(); now >= peersDue) {
                updateRelayPeers(now);
                peersDue = now + relayPeersInterval;
            }
            if (const auto now = Clock::now(); now >= usageDue) {
                logStoreCalls();
                usageDue = now + usageLogInterval;
            }
            if (m_table.restartCount() != restarts) {
                restarts = m_table.restartCount();
                asio::post(m_trafficLoop, [this] {
                    m_gateway.cancelAttemptsAtRestarted();
                });
            }
            if (modificationTime(m_settingsPath) != m_settingsWritten) {
                reload();
            }
            co_await sleepFor(maintenanceInterval);
        }
    }

    void updateRelayPeers(Clock::time_point now)
    {
        std::vector<relay::RelayPeer> active;
        for (const auto &peer : m_exchange.activePeers(now)) {
            active.push_back({peer.address, peer.failureDomain});
        }
        m_relayPeers.setPeers(std::move(active), m_exchange.listedHosts());
    }

    static std::filesystem::file_time_type modificationTime(const std::string &path)
    {
        std::error_code ec;
        return std::filesystem::last_write_time(path, ec);
    }

    // Reads the settings file again. An invalid file is reported with all its problems and changes
    // nothing. Only the retry limits and the grace period of a stop are applied; all other settings
    // stay as they were at the start.
    void reload()
    {
        m_settingsWritten = modificationTime(m_settingsPath); // a signal and the file change that it announces cause one reload
        Findings findings;
        const auto document = settings::loadFile(m_settingsPath, findings);
        Settings fresh = parseSettings(document, findings);
        if (!findings.empty()) {
            log::Line{log::Event::SettingsRejected}.add("file", m_settingsPath).add("problems", findings.report());
            return;
        }
        log::Line{log::Event::SettingsReloaded}.add("file", m_settingsPath);
        asio::post(m_trafficLoop, [this, fresh = std::move(fresh)] {
            m_stopGraceMs = fresh.stopGraceMs;
            m_gateway.setRetryLimits(retryLimits(fresh));
        });
        m_exchange.setLimitWindow(retryLimits(fresh).window);
    }

    Task<void> answerPeer(http::Exchange &ex)
    {
        if (relay::RelayServer::isTunnelRequest(ex)) {
            m_relay.handle(ex);
            co_return;
        }
        co_await m_changes.handle(ex);
    }

    Task<void> answerProbe(http::Exchange &ex)
    {
        const bool ready = m_published.ready() && !m_stopping;
        co_await ex.reply(ready ? 200 : 503, ready ? "ready\n" : "not ready\n", {}, "text/plain");
    }

    Task<void> answerMetrics(http::Exchange &ex)
    {
        const auto configuration = m_published.configuration();
        Gauges gauges;
        gauges.configurationVersion = configuration ? configuration->version : -1;
        gauges.storeSilenceSeconds = std::chrono::duration<double>(Clock::now() - m_published.lastContact()).count();
        gauges.stateAges = stateAges(Clock::now());
        gauges.storeUsage = m_store.usage();
        gauges.endpoints = m_published.endpointCount();
        gauges.versions = versionGauges(m_table.endpoints());
        gauges.inflight = m_callerServer.inflight();
        gauges.peers = m_exchange.activePeerCount();
        gauges.evacuatedDomains = m_table.evacuated().size();
        gauges.coldEndpoints = m_table.coldCount(Clock::now());
        gauges.quarantined = m_quarantine.quarantinedCount(Clock::now());
        gauges.streamOrigins = m_origins.size();
        gauges.unreadablePeerItems = m_exchange.unreadableItems();
        gauges.tunnels = m_relay.counters().open;
        gauges.tunnelsAccepted = m_relay.counters().accepted;
        gauges.tunnelsRefused = m_relay.counters().refused;
        gauges.unanswered = m_callerServer.counters().unanswered;
        gauges.truncated = m_callerServer.counters().truncated;
        gauges.handlerFailures = m_callerServer.counters().handlerFailures;
        std::string text = m_gateway.metricsText(gauges);
        co_await ex.reply(200, std::move(text), {}, "text/plain; version=0.0.4");
    }

    std::vector<StateAgeGauge> stateAges(Clock::time_point now) const
    {
        std::vector<StateAgeGauge> ages;
        for (const auto &[kind, at] : m_control.confirmedAt()) {
            if (at != Clock::time_point{}) {
                ages.push_back({kind, std::chrono::duration<double>(now - at).count()});
            }
        }
        return ages;
    }

    // Logs the calls to the store by class, if there were any since the last time.
    void logStoreCalls()
    {
        const auto usage = m_store.usage();
        for (const auto &[call, count] : usage) {
            const auto before = m_loggedUsage.find(call);
            if (before != m_loggedUsage.end() && before->second == count) {
                continue;
            }
            log::Line{log::Event::StoreCalls}
                .add("kind", call.kind)
                .add("operation", nameOf(store::operationNames, call.operation))
                .add("freshness", nameOf(store::freshnessNames, call.freshness))
                .add("calls", static_cast<int64_t>(count.calls))
                .add("failed", static_cast<int64_t>(count.failed))
                .add("bytes", static_cast<int64_t>(count.bytesReceived));
        }
        m_loggedUsage = usage;
    }

    // Readiness ends first. New requests are accepted for a while, because the load balancer still
    // sends some; then the requests in flight are finished.
    Task<void> drainAfterStopSignal()
    {
        // Kept for the whole stop: without it, the default action of another signal would end the process in the middle.
        asio::signal_set signals(co_await asio::this_coro::executor, SIGTERM, SIGINT, SIGHUP);
        co_await awaitStopSignal(signals);
        const auto began = Clock::now();
        const auto end = began + Millis(m_stopGraceMs) - m_stop.reserve;
        m_stopping = true;
        m_gateway.stopBy(end);
        m_callerServer.closeConnectionsAfterResponses();
        m_relay.stop(); // peers have other routers to ask, and open tunnels must end within the grace period
        log::Line{log::Event::StopRequested}.add("inflight", m_callerServer.inflight());
        co_await sleepFor(std::min(m_stop.acceptRequestsFor, Millis(m_stopGraceMs) / 2));
        m_gateway.rejectNewRequests();
        m_callerServer.stopAccepting();
        while ((m_callerServer.inflight() > 0 || m_relay.counters().open > 0) && Clock::now() < end) {
            co_await sleepFor(m_stop.pollInterval);
        }
        asio::post(m_trafficLoop, [this] {
            m_gateway.endRequests();
        });
        while (m_callerServer.inflight() > 0 && Clock::now() < end + m_stop.lastResponses) {
            co_await sleepFor(m_stop.pollInterval);
        }
    }

    // Waits for SIGTERM or SIGINT; each SIGHUP in the meantime triggers a reload.
    Task<void> awaitStopSignal(asio::signal_set &signals)
    {
        for (;;) {
            boost::system::error_code ec;
            const int signal = co_await signals.async_wait(asio::redirect_error(asio::use_awaitable, ec));
            if (!ec && signal != SIGHUP) {
                co_return;
            }
            asio::post(m_controlLoop, [this] {
                reload();
            });
        }
    }

    static constexpr Millis relayPeersInterval{1000}; ///< between updates of the peers that may relay
    static constexpr Millis usageLogInterval{10000}; ///< between log lines on the calls to the store
    static constexpr Millis maintenanceInterval{200}; ///< maximum delay until new limits on callers are in effect and expired endpoints are removed

    const Settings m_settings; ///< as at the start
    std::string m_settingsPath;
    std::filesystem::file_time_type m_settingsWritten = modificationTime(m_settingsPath); ///< modification time of the file that was read last
    std::atomic<int64_t> m_stopGraceMs{m_settings.stopGraceMs};
    StopOptions m_stop;
    asio::io_context m_controlLoop{1};
    asio::io_context m_trafficLoop{1};
    router::RoutingTable m_table;
    Published m_published;
    platform::ObjectApi &m_store;
    store::UsageCounts m_loggedUsage;
    replica::ChangeClient m_changeClient;
    replica::SharedReplica m_configurationReplica;
    replica::SharedReplica m_endpointReplica;
    replica::SharedReplica m_evacuationReplica;
    Control<C> m_control;
    peers::LoadExchange m_exchange;
    router::PromptSnapshot m_snapshot;
    quarantine::RequestQuarantine m_quarantine;
    quarantine::QuarantineStore m_quarantineStore;
    limits::Admission m_admission; ///< sets no limits here, because the workspaces of the platform define none
    relay::RelayPeers m_relayPeers;
    streams::StreamOrigins m_origins;
    ConfigurationPtr m_resumableOf; ///< the configuration of m_resumable
    std::set<std::string> m_resumable; ///< services with streams that callers may take up
    streams::StreamStore m_streamStore;
    Gateway<D> m_gateway;
    replica::ChangeServer m_changes;
    relay::RelayServer m_relay;
    Supervisor m_supervisor;
    http::Server m_callerServer;
    http::Server m_probeServer;
    http::Server m_metricsServer;
    http::Server m_neighbourServer; ///< serves changes of store objects and tunnels to other routers
    std::atomic<bool> m_stopping{false};
};

} // namespace yucca::entry
