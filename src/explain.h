// One request's story, read out of the logs of several routers.
#pragma once

#include <cstdint>
#include <istream>
#include <string>
#include <vector>

namespace yucca::explain
{

/// One line of a log that has to do with the request.
struct Entry {
    int64_t ms = 0; ///< when, since 1970; the routers' clocks may differ a little
    std::string source; ///< the file it came from
    std::string event;
    std::string text; ///< what it says, in a sentence
};

/// What the logs say of a request.
struct Story {
    std::vector<Entry> entries; ///< in order
    std::string cause; ///< why it ended as it did
    int64_t skipped = 0; ///< lines that are no event of ours
};

/// Collects a request's story. Call read() for each log, then finish().
class Reader
{
public:
    explicit Reader(std::string requestId)
        : m_id(std::move(requestId))
    {
    }
    void read(std::istream &log, const std::string &source);
    Story finish();

private:
    std::string m_id;
    Story m_story;
    std::string m_causeCandidate;
    int m_weight = -1; ///< of the line that the cause was read from
    std::vector<Entry> m_endpointNews; ///< ejections and departures, kept if the request met the endpoint
    std::vector<std::string> m_endpointNames; ///< of m_endpointNews, in its order
    std::vector<std::string> m_endpoints; ///< that the request was sent to
    void note(int weight, const std::string &cause);
};

/// The story as text for a terminal.
std::string format(const Story &story);

} // namespace yucca::explain
