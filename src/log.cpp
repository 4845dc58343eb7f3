#include "log.h"

#include <log4cxx/appenderskeleton.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <array>
#include <atomic>
#include <charconv>
#include <chrono>

#include <climits>

#include <poll.h>
#include <unistd.h>

namespace yucca::log
{

namespace
{

constexpr std::array<EventInfo, 64> catalogue{{
    {Event::ProgramStarted, "ProgramStarted", Level::Info},
    {Event::StopRequested, "StopRequested", Level::Info},
    {Event::ProgramStopped, "ProgramStopped", Level::Info},
    {Event::SettingsRejected, "SettingsRejected", Level::Error},
    {Event::CatalogueApplied, "CatalogueApplied", Level::Info},
    {Event::WatchRestarted, "WatchRestarted", Level::Warn},
    {Event::PlatformUnreachable, "PlatformUnreachable", Level::Warn},
    {Event::IdempotentReplay, "IdempotentReplay", Level::Info},
    {Event::CatalogueEntryRejected, "CatalogueEntryRejected", Level::Warn},
    {Event::AnswerMismatched, "AnswerMismatched", Level::Error},
    {Event::RecordNotSettled, "RecordNotSettled", Level::Error},
    {Event::ChildFailed, "ChildFailed", Level::Error},
    {Event::LeaseTaken, "LeaseTaken", Level::Info},
    {Event::LeaseLost, "LeaseLost", Level::Warn},
    {Event::OrderSent, "OrderSent", Level::Info},
    {Event::RecordsSwept, "RecordsSwept", Level::Info},
    {Event::RequestFinished, "RequestFinished", Level::Info},
    {Event::AttemptEnded, "AttemptEnded", Level::Info},
    {Event::RequestRejected, "RequestRejected", Level::Info},
    {Event::ConfigurationApplied, "ConfigurationApplied", Level::Info},
    {Event::ConfigurationRejected, "ConfigurationRejected", Level::Error},
    {Event::EndpointJoined, "EndpointJoined", Level::Info},
    {Event::EndpointLeft, "EndpointLeft", Level::Info},
    {Event::StoreLost, "StoreLost", Level::Warn},
    {Event::StoreRegained, "StoreRegained", Level::Info},
    {Event::EndpointEjected, "EndpointEjected", Level::Warn},
    {Event::EndpointRestarted, "EndpointRestarted", Level::Info},
    {Event::SettingsReloaded, "SettingsReloaded", Level::Info},
    {Event::LinesLeftOut, "LinesLeftOut", Level::Warn},
    {Event::PeersUnreachable, "PeersUnreachable", Level::Warn},
    {Event::PeerForgotten, "PeerForgotten", Level::Info},
    {Event::PromptsLoaded, "PromptsLoaded", Level::Info},
    {Event::ChangesNotHad, "ChangesNotHad", Level::Info},
    {Event::EndpointsListed, "EndpointsListed", Level::Info},
    {Event::EndpointEnded, "EndpointEnded", Level::Warn},
    {Event::RequestQuarantined, "RequestQuarantined", Level::Warn},
    {Event::RequestCleared, "RequestCleared", Level::Info},
    {Event::DomainEvacuated, "DomainEvacuated", Level::Warn},
    {Event::DomainReturned, "DomainReturned", Level::Info},
    {Event::EndpointBacksOff, "EndpointBacksOff", Level::Info},
    {Event::StoreRestored, "StoreRestored", Level::Warn},
    {Event::PathCut, "PathCut", Level::Warn},
    {Event::PathRestored, "PathRestored", Level::Info},
    {Event::RelayRefused, "RelayRefused", Level::Warn},
    {Event::StreamRefused, "StreamRefused", Level::Info},
    {Event::RequestWithheld, "RequestWithheld", Level::Info},
    {Event::HandlerFailed, "HandlerFailed", Level::Error},
    {Event::ConnectionFailed, "ConnectionFailed", Level::Warn},
    {Event::RequestFailed, "RequestFailed", Level::Error},
    {Event::TaskFailed, "TaskFailed", Level::Error},
    {Event::ChangesReceived, "ChangesReceived", Level::Info},
    {Event::StoreCalls, "StoreCalls", Level::Info},
    {Event::ListIncomplete, "ListIncomplete", Level::Warn},
    {Event::TunnelNotOpened, "TunnelNotOpened", Level::Info},
    {Event::StreamsRead, "StreamsRead", Level::Info},
    {Event::PeerItemsUnreadable, "PeerItemsUnreadable", Level::Warn},
    {Event::StreamVersionsRead, "StreamVersionsRead", Level::Info},
    {Event::OrderAccepted, "OrderAccepted", Level::Info},
    {Event::OrderRefused, "OrderRefused", Level::Warn},
    {Event::Draining, "Draining", Level::Info},
    {Event::FaultSet, "FaultSet", Level::Warn},
    {Event::RateLimited, "RateLimited", Level::Debug},
    {Event::AuditWritten, "AuditWritten", Level::Info},
    {Event::ConflictLost, "ConflictLost", Level::Warn},
}};

log4cxx::LoggerPtr logger()
{
    static log4cxx::LoggerPtr yuccaLogger = log4cxx::Logger::getLogger("yucca");
    return yuccaLogger;
}

// Set once by init(), before other threads start.
Output outputFormat = Output::Text;
std::string programName;

// Writes whole lines to standard output. Drops lines while the pipe is full, as a
// blocked write would delay requests. A pipe that polls as writable accepts
// PIPE_BUF bytes without blocking; longer lines are dropped.
class PipeAppender : public log4cxx::AppenderSkeleton
{
public:
    const log4cxx::helpers::Class &getClass() const override
    {
        return log4cxx::AppenderSkeleton::getStaticClass();
    }
    void close() override
    {
    }
    bool requiresLayout() const override
    {
        return false;
    }

protected:
    void append(const log4cxx::spi::LoggingEventPtr &event, log4cxx::helpers::Pool &) override
    {
        std::string line = event->getRenderedMessage();
        line += '\n';
        pollfd out{STDOUT_FILENO, POLLOUT, 0};
        const bool writable = line.size() <= PIPE_BUF && ::poll(&out, 1, 0) == 1 && (out.revents & POLLOUT) != 0;
        if (!writable || ::write(STDOUT_FILENO, line.data(), line.size()) < 0) {
            ++m_droppedLines;
        } else if (m_droppedLines > 0) {
            reportDroppedLines();
        }
    }

private:
    void reportDroppedLines();

    int64_t m_droppedLines = 0;
};

log4cxx::LevelPtr levelOf(Level level)
{
    switch (level) {
    case Level::Debug:
        return log4cxx::Level::getDebug();
    case Level::Info:
        return log4cxx::Level::getInfo();
    case Level::Warn:
        return log4cxx::Level::getWarn();
    case Level::Error:
        break;
    }
    return log4cxx::Level::getError();
}

// Appends a JSON string. Escapes bytes outside printable ASCII, since values from
// callers may contain arbitrary bytes.
void appendQuoted(std::string &out, std::string_view value)
{
    constexpr std::string_view hex = "0123456789abcdef";
    out += '"';
    for (const char c : value) {
        const auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\') {
            out += '\\';
            out += c;
        } else if (byte >= 0x20 && byte < 0x7f) {
            out += c;
        } else {
            out += "\\u00";
            out += hex[byte >> 4];
            out += hex[byte & 15];
        }
    }
    out += '"';
}

// Returns the common members of a JSON line: time, event, level and program.
std::string jsonPrefix(const EventInfo &row)
{
    using namespace std::chrono;
    static constexpr std::array<std::string_view, 4> levelNames{"debug", "info", "warn", "error"};
    const auto now = duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
    std::string line = "{\"at_ms\":" + std::to_string(now) + ",\"event\":" + std::to_string(static_cast<int>(row.event)) + ",\"name\":\"";
    line += row.name;
    line += "\",\"level\":\"";
    line += levelNames[static_cast<std::size_t>(row.level)];
    line += "\",\"program\":\"" + programName + '"';
    return line;
}

void emit(const EventInfo &row, const std::string &text)
{
    LOG4CXX_LOG(logger(), levelOf(row.level), text);
}

void PipeAppender::reportDroppedLines()
{
    std::string line = jsonPrefix(info(Event::LinesLeftOut)) + ",\"lines\":" + std::to_string(m_droppedLines) + "}\n";
    m_droppedLines = 0;
    [[maybe_unused]] const auto n = ::write(STDOUT_FILENO, line.data(), line.size());
}

} // namespace

std::span<const EventInfo> events()
{
    return catalogue;
}

const EventInfo &info(Event e)
{
    for (const auto &row : catalogue) {
        if (row.event == e) {
            return row;
        }
    }
    return catalogue[0];
}

void init(std::string_view program, std::string_view level, Output output)
{
    outputFormat = output;
    programName = program;
    auto root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    if (output == Output::Json) {
        root->addAppender(std::make_shared<PipeAppender>());
    } else {
        auto layout = std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%d{ISO8601} %-5p ") + log4cxx::LogString(program) + LOG4CXX_STR(" %m%n"));
        root->addAppender(std::make_shared<log4cxx::ConsoleAppender>(layout, LOG4CXX_STR("System.err")));
    }
    root->setLevel(log4cxx::Level::toLevel(log4cxx::LogString(level), log4cxx::Level::getInfo()));
}

void event(Event e, const std::string &detail)
{
    Line line(e);
    if (outputFormat == Output::Json && !detail.empty()) {
        line.add("detail", detail);
    } else if (!detail.empty()) {
        line.text(detail);
    }
}

Line::Line(Event e)
    : m_event(e)
    , m_enabled(logger()->isEnabledFor(levelOf(info(e).level)))
{
}

Line::~Line()
{
    if (!m_enabled) {
        return;
    }
    const auto &row = info(m_event);
    if (outputFormat == Output::Json) {
        emit(row, jsonPrefix(row) + m_fields + "}");
    } else {
        emit(row, "E" + std::to_string(static_cast<int>(m_event)) + " " + std::string(row.name) + m_fields);
    }
}

void Line::text(const std::string &detail)
{
    if (m_enabled) {
        m_fields += " " + detail;
    }
}

Line &Line::add(std::string_view key, std::string_view value)
{
    if (!m_enabled) {
        return *this;
    }
    beginField(key);
    appendQuoted(m_fields, value);
    return *this;
}

Line &Line::add(std::string_view key, int64_t value)
{
    if (m_enabled) {
        beginField(key);
        m_fields += std::to_string(value);
    }
    return *this;
}

Line &Line::add(std::string_view key, bool value)
{
    if (m_enabled) {
        beginField(key);
        m_fields += value ? "true" : "false";
    }
    return *this;
}

// Appends a field's key and the separators around it.
void Line::beginField(std::string_view key)
{
    if (outputFormat == Output::Json) {
        m_fields += ",\"";
        m_fields += key;
        m_fields += "\":";
    } else {
        m_fields += ' ';
        m_fields += key;
        m_fields += '=';
    }
}

} // namespace yucca::log
