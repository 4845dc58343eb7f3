// yucca-router: the entry router. Routes each conversation to an engine that
// likely holds its prompt prefix, within a load bound on every engine. Runs
// non-idempotent service calls at most once.
#include "background_tasks.h"
#include "cli.h"
#include "entry/entry_settings.h"
#include "log.h"
#include "object_store.h"
#include "quarantine_store.h"
#include "router_traffic.h"
#include "run.h"
#include "supervisor.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>

#include <csignal>
#include <cstdlib>
#include <thread>

using namespace yucca;

namespace
{

/// The interface that a router offers to callers.
enum class Interface {
    Native, ///< chat completions and operations, with the catalogue of yucca-ctl
    Platform, ///< the platform's requests and configuration
};

constexpr NameTable<Interface, 2> interfaceNames{{{Interface::Native, "own"}, {Interface::Platform, "platform"}}};

// Returns the interface that a settings file selects. The parser of that
// interface reads the file again and checks it.
Interface configuredInterface(const char *path)
{
    Findings ignored;
    const auto document = settings::loadFile(path, ignored);
    const auto name = document.is_object() && document.contains("interface") ? document["interface"] : nlohmann::json();
    return name.is_string() ? parseName(interfaceNames, name.get<std::string>()).value_or(Interface::Native) : Interface::Native;
}

/// One router process: the supervised control tasks run on a thread of their own,
/// requests run on one or more traffic threads.
class RouterProcess
{
public:
    explicit RouterProcess(const settings::RouterSettings &settings)
        : m_settings(settings)
        , m_controlApi({settings.platform.host, settings.platform.port})
        , m_recordsApi({settings.platform.host, settings.platform.port})
        , m_table(tableOptions(settings))
        , m_control(settings, m_controlApi, m_table)
        , m_quarantine(quarantineOptions())
        , m_backgroundTasks(settings, m_controlApi, m_control, background::makeHttpOrderSender(m_orderClient, m_control, m_table, settings.id), m_quarantine)
        , m_quarantineStore(
              m_controlApi, m_quarantine,
              [] {
                  return true;
              },
              [] {
                  return true; // removals are conditional, so several routers may sweep concurrently
              },
              quarantineStoreOptions())
        , m_router(settings, m_recordsApi, &m_controlApi.bytes(), &m_recordsApi.bytes(), m_table, m_control, m_quarantine)
        , m_supervisor(m_controlLoop, logChildFailure)
    {
        for (int64_t i = 0; i < settings.threads; ++i) {
            m_trafficLoops.push_back(std::make_unique<asio::io_context>(1));
        }
    }

    // Runs until a stop signal and returns the exit code.
    int run()
    {
        std::vector<asio::io_context *> loops;
        for (auto &loop : m_trafficLoops) {
            loops.push_back(loop.get());
        }
        http::Server server(loops, m_settings.listen.host, m_settings.listen.port, [this](http::Exchange &ex) {
            return m_router.handle(ex);
        });
        auto boundPort = server.start();
        if (!ok(boundPort)) {
            fprintf(stderr, "yucca-router: %s\n", std::get<Error>(boundPort).message.c_str());
            return cli::ExitFailure;
        }
        for (std::size_t n = 0; n < router::Control::kinds().size(); ++n) {
            m_supervisor.start({"control " + router::Control::kinds()[n],
                                [this, n] {
                                    return m_control.run(n);
                                },
                                [this] {
                                    m_control.stop();
                                }});
        }
        m_supervisor.start({"duties",
                            [this] {
                                return m_backgroundTasks.run();
                            },
                            [this] {
                                m_backgroundTasks.stop();
                            }});
        m_supervisor.start({"records",
                            [this] {
                                return m_router.maintainRecords(m_controlApi);
                            },
                            [this] {
                                m_router.beginStop();
                            }});
        m_supervisor.start({"quarantine",
                            [this] {
                                return m_quarantineStore.run();
                            },
                            [this] {
                                m_quarantineStore.stop();
                            }});
        std::vector<std::thread> threads;
        threads.emplace_back([this] {
            m_controlLoop.run();
        });
        std::vector<asio::executor_work_guard<asio::io_context::executor_type>> workGuards;
        for (auto *loop : loops) {
            workGuards.push_back(asio::make_work_guard(*loop));
            threads.emplace_back([loop] {
                loop->run();
            });
        }
        log::event(log::Event::ProgramStarted,
                   "id=" + m_settings.id + " port=" + std::to_string(std::get<uint16_t>(boundPort))
                       + " policy=" + std::string(nameOf(policyNames, m_settings.policy)));
        runBlocking(cli::waitForStopSignal());
        const bool clean = stop(server);
        for (auto *loop : loops) {
            loop->stop();
        }
        for (auto &thread : threads) {
            thread.join();
        }
        log::event(log::Event::ProgramStopped, std::string("clean=") + (clean ? "true" : "false"));
        // Destructors are skipped: tasks suspended in the event loops refer to objects that would be destroyed before them.
        std::_Exit(clean ? cli::ExitOk : cli::ExitFailure);
    }

private:
    static router::TableOptions tableOptions(const settings::RouterSettings &s)
    {
        router::TableOptions options;
        options.policy = s.policy;
        options.affinity.loadFactor = s.loadFactor;
        options.affinity.fillFactor = s.fillFactor;
        options.virtualNodes = static_cast<int>(s.virtualNodes);
        options.suspectDuration = Millis(s.suspectMs);
        options.maxSuspectDuration = Millis(s.suspectMs * 16);
        return options;
    }

    // Routers of this interface exchange endpoint crashes through the store only,
    // and its calls are free: every crash is stored at once, and the records are
    // reloaded every second.
    static quarantine::QuarantineOptions quarantineOptions()
    {
        quarantine::QuarantineOptions options;
        options.minCrashesToShare = 1;
        return options;
    }
    static quarantine::QuarantineStoreOptions quarantineStoreOptions()
    {
        quarantine::QuarantineStoreOptions options;
        options.reloadIntervalAlone = Millis(1000);
        options.secondLoadDelay = options.reloadIntervalAlone;
        return options;
    }

    static void logChildFailure(const std::string &child, const std::string &error, int failures)
    {
        log::event(log::Event::ChildFailed, "child=" + child + " failures=" + std::to_string(failures) + " error=\"" + error + "\"");
    }

    // Stops gracefully: first reports not ready, then stops accepting connections,
    // then waits for the requests in flight, and stops the control tasks last.
    // Returns true if no request was left.
    bool stop(http::Server &server)
    {
        m_router.beginStop();
        log::event(log::Event::StopRequested, "inflight=" + std::to_string(server.inflight()));
        server.stopAccepting();
        bool idle = runBlocking(server.waitIdle(Millis(m_settings.stopGraceMs)));
        if (!idle) {
            m_router.endRequests();
            idle = runBlocking(server.waitIdle(lastResponsesTime));
        }
        asio::post(m_controlLoop, [this] {
            m_supervisor.stop();
        });
        runBlocking(waitForBackgroundTasks());
        m_controlLoop.stop();
        return idle;
    }

    // Waits until the background tasks have released their lease. Watches need no wait: they end with their connections.
    Task<void> waitForBackgroundTasks()
    {
        const auto deadline = Clock::now() + controlStopGrace;
        while (!onlyWatchesLeft() && Clock::now() < deadline) {
            co_await sleepFor(Millis(10));
        }
    }

    // True if no more tasks run than there are watches.
    bool onlyWatchesLeft() const
    {
        return m_supervisor.running() <= router::Control::kinds().size();
    }

    static constexpr Millis controlStopGrace{1000};
    static constexpr Millis lastResponsesTime{200}; ///< to answer the requests that are in flight when the grace period ends

    settings::RouterSettings m_settings;
    asio::io_context m_controlLoop{1};
    std::vector<std::unique_ptr<asio::io_context>> m_trafficLoops;
    http::Client m_orderClient;
    platform::StoreClient m_controlApi;
    platform::StoreClient m_recordsApi;
    router::RoutingTable m_table;
    router::Control m_control;
    quarantine::RequestQuarantine m_quarantine;
    background::BackgroundTasks m_backgroundTasks;
    quarantine::QuarantineStore m_quarantineStore;
    router::Router m_router;
    Supervisor m_supervisor;
};

} // namespace

int main(int argc, const char **argv)
{
    // Ignored until the process installs handlers: a reload request during startup
    // or a closed log pipe must not end the process.
    std::signal(SIGHUP, SIG_IGN);
    std::signal(SIGPIPE, SIG_IGN);
    cli::CommonOptions common;
    int port = -1;
    int platformPort = -1;
    char *id = nullptr;
    char *policy = nullptr;
    int checkOnly = 0;
    const poptOption programOptions[] = {
        {"port", 'p', POPT_ARG_INT, &port, 0, "listen port (overrides settings)", "PORT"},
        {"platform-port", 0, POPT_ARG_INT, &platformPort, 0, "object API port (overrides settings)", "PORT"},
        {"id", 0, POPT_ARG_STRING, &id, 0, "router id (overrides settings)", "ID"},
        {"policy", 0, POPT_ARG_STRING, &policy, 0, "affinity, bounded or roundrobin (overrides settings)", "POLICY"},
        {"check-config", 0, POPT_ARG_NONE, &checkOnly, 0, "check the settings file, print every problem, and exit", nullptr},
        POPT_TABLEEND,
    };
    std::vector<std::string> arguments;
    if (auto rc = cli::parse("yucca-router", argc, argv, programOptions, common, arguments)) {
        return *rc;
    }
    if (common.config && configuredInterface(common.config) == Interface::Platform) {
        const auto entrySettings = cli::loadSettings<entry::Settings>(common, entry::parseSettings);
        if (!entrySettings) {
            return cli::ExitUsage;
        }
        if (checkOnly) {
            return cli::ExitOk;
        }
        log::init("yucca-router", entrySettings->logLevel, log::Output::Json);
        return platform::runEntryRouter(*entrySettings, common.config);
    }
    auto s = cli::loadSettings<settings::RouterSettings>(common, settings::parseRouter);
    if (!s) {
        return cli::ExitUsage;
    }
    if (checkOnly) {
        return cli::ExitOk;
    }
    if (port >= 0) {
        s->listen.port = static_cast<uint16_t>(port);
    }
    if (platformPort >= 0) {
        s->platform.port = static_cast<uint16_t>(platformPort);
    }
    if (id) {
        s->id = id;
    }
    if (policy) {
        auto p = parseName(policyNames, policy);
        if (!p) {
            fprintf(stderr, "yucca-router: --policy must be affinity, bounded or roundrobin\n");
            return cli::ExitUsage;
        }
        s->policy = *p;
    }
    log::init("yucca-router", s->logLevel);
    return RouterProcess(*s).run();
}
