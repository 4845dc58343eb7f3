// Reconstructs the timeline of one request from the logs of several routers.
#pragma once

#include <cstdint>
#include <istream>
#include <string>
#include <vector>

namespace yucca::explain
{

/// One log event that concerns the request.
struct Entry {
    int64_t timeMs = 0; ///< time in Unix ms; clocks of different routers may differ slightly
    std::string source; ///< name of the log file
    std::string event;
    std::string text; ///< the event in words
};

/// The events of one request in all logs.
struct Timeline {
    std::vector<Entry> entries; ///< by time
    std::string cause; ///< why the request ended the way it did
    int64_t skippedLines = 0; ///< number of lines that are not log events
};

/// Builds the timeline of a request: call read() for each log, then finish().
class TimelineBuilder
{
public:
    explicit TimelineBuilder(std::string requestId)
        : m_requestId(std::move(requestId))
    {
    }
    /// Reads a whole log in JSON lines format. Lines that are not log events are counted and skipped.
    void read(std::istream &log, const std::string &source);
    /// Returns the timeline sorted by time, with the cause of the outcome. Call it once, after the last read().
    Timeline finish();

private:
    std::string m_requestId;
    Timeline m_timeline;
    std::string m_causeCandidate;
    int m_causeRank = -1; ///< rank of the event that m_causeCandidate was taken from
    std::vector<Entry> m_endpointEvents; ///< ejections and departures; those of attempted endpoints join the timeline
    std::vector<std::string> m_eventEndpoints; ///< the endpoint of each of m_endpointEvents
    std::vector<std::string> m_attemptedEndpoints; ///< endpoints that the request was sent to
    void proposeCause(int rank, const std::string &cause);
};

/// Formats a timeline as text for a terminal.
std::string format(const Timeline &timeline);

} // namespace yucca::explain
