// What callers are promised, checked against what they got and what the
// endpoints ran.
#pragma once

#include "http_client.h"

#include <map>
#include <string>
#include <vector>

namespace yucca::soak
{

/// The kinds of requests that are sent.
enum class Kind {
    Booking, ///< runs once at most
    Reminder, ///< may run again
    Chat, ///< a stream that may be resumed
    Single, ///< a stream that runs once at most
};

inline constexpr NameTable<Kind, 4> kindNames{{{Kind::Booking, "booking"}, {Kind::Reminder, "reminder"}, {Kind::Chat, "chat"}, {Kind::Single, "single"}}};

/// What a caller knows of one request.
struct Record {
    Kind kind = Kind::Booking;
    unsigned status = 0; ///< 0: no answer came
    bool whole = false; ///< the answer ended as complete
    bool authentic = false; ///< it bears an endpoint's signature
    std::string body;
};

/// Collects records and looks for broken promises.
class Promises
{
public:
    /// A stream's events are numbered from 1 to this.
    explicit Promises(int events)
        : m_events(events)
    {
    }
    void note(const std::string &id, Record record);
    /// Counts a run of a request at some endpoint.
    void ran(const std::string &id)
    {
        ++m_runs[id];
    }
    /// Every broken promise, with the request's id.
    std::vector<std::string> broken() const;
    /// How many requests were answered with success.
    std::size_t served() const;
    std::size_t sent() const
    {
        return m_records.size();
    }

private:
    std::string brokenBy(const std::string &id, const Record &record) const;
    std::string wrongStream(const Record &record) const;

    int m_events;
    std::map<std::string, Record> m_records;
    std::map<std::string, int> m_runs;
};

} // namespace yucca::soak
