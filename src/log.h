// Structured logging of numbered events through log4cxx. docs/EVENTS.md lists the events.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace yucca::log
{

/// All events that the programs log. The numbers are stable and listed in docs/EVENTS.md.
enum class Event {
    ProgramStarted = 1001,
    StopRequested = 1002,
    ProgramStopped = 1003,
    SettingsRejected = 1004,
    CatalogueApplied = 2005,
    WatchRestarted = 2006,
    PlatformUnreachable = 2007,
    IdempotentReplay = 2009,
    CatalogueEntryRejected = 2010,
    AnswerMismatched = 2012,
    RecordNotSettled = 2013,
    ChildFailed = 2014,
    LeaseTaken = 2015,
    LeaseLost = 2016,
    OrderSent = 2017,
    RecordsSwept = 2018,
    RequestFinished = 2020,
    AttemptEnded = 2021,
    RequestRejected = 2022,
    ConfigurationApplied = 2030,
    ConfigurationRejected = 2031,
    EndpointJoined = 2032,
    EndpointLeft = 2033,
    StoreLost = 2034,
    StoreRegained = 2035,
    EndpointEjected = 2036,
    EndpointRestarted = 2037,
    SettingsReloaded = 2038,
    LinesLeftOut = 2039,
    PeersUnreachable = 2040,
    PeerForgotten = 2041,
    PromptsLoaded = 2042,
    ChangesNotHad = 2043,
    EndpointsListed = 2044,
    EndpointEnded = 2045,
    RequestQuarantined = 2046,
    RequestCleared = 2047,
    DomainEvacuated = 2048,
    DomainReturned = 2049,
    EndpointBacksOff = 2050,
    StoreRestored = 2051,
    PathCut = 2052,
    PathRestored = 2053,
    RelayRefused = 2054,
    StreamRefused = 2055,
    RequestWithheld = 2056,
    HandlerFailed = 2057,
    ConnectionFailed = 2058,
    RequestFailed = 2059,
    TaskFailed = 2060,
    ChangesReceived = 2061,
    StoreCalls = 2062,
    ListIncomplete = 2063,
    TunnelNotOpened = 2064,
    StreamsRead = 2065,
    PeerItemsUnreadable = 2066,
    StreamVersionsRead = 2067,
    OrderAccepted = 3001,
    OrderRefused = 3002,
    Draining = 3003,
    FaultSet = 4001,
    RateLimited = 4002,
    AuditWritten = 5001,
    ConflictLost = 5002,
};

enum class Level { Debug, Info, Warn, Error };

/// One row of the event catalogue.
struct EventInfo {
    Event event;
    std::string_view name;
    Level level;
};

/// Returns the catalogue of all events.
std::span<const EventInfo> events();
/// Returns the catalogue row of an event.
const EventInfo &info(Event e);

/// Format and destination of the log.
enum class Output {
    Text, ///< for people, on standard error: time, level, program, event and detail
    Json, ///< for log pipelines, on standard output: one JSON object per line; lines that do not fit into the pipe are dropped and counted
};

/// Configures log4cxx for a program. An unknown level means "info". Must be called before other threads start.
void init(std::string_view program, std::string_view level, Output output = Output::Text);

/// Logs an event with its number, its name and a detail string of key=value pairs.
void event(Event e, const std::string &detail = {});

/// A log line for one event with typed fields, written by the destructor. Cheap
/// if the level of the event is disabled.
class Line
{
public:
    explicit Line(Event e);
    ~Line();
    Line(const Line &) = delete;
    Line &operator=(const Line &) = delete;

    /// Appends a field; returns the line for chaining.
    Line &add(std::string_view key, std::string_view value);
    Line &add(std::string_view key, const char *value)
    {
        return add(key, std::string_view(value));
    }
    Line &add(std::string_view key, int64_t value);
    Line &add(std::string_view key, bool value);

private:
    friend void event(Event e, const std::string &detail);
    void text(const std::string &detail);
    void beginField(std::string_view key);

    Event m_event;
    bool m_enabled;
    std::string m_fields; ///< JSON members with leading commas, or key=value pairs with leading spaces
};

} // namespace yucca::log
