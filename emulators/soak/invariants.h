// Checks the guarantees to callers against the responses they received and the requests that endpoints ran.
#pragma once

#include "http_client.h"

#include <map>
#include <string>
#include <vector>

namespace yucca::soak
{

/// The kinds of requests that callers send.
enum class Kind {
    Booking, ///< runs at most once
    Reminder, ///< idempotent: may run more than once
    Chat, ///< a resumable stream
    Single, ///< a stream that runs at most once
};

inline constexpr NameTable<Kind, 4> kindNames{{{Kind::Booking, "booking"}, {Kind::Reminder, "reminder"}, {Kind::Chat, "chat"}, {Kind::Single, "single"}}};

/// The response that a caller received to one request.
struct RequestRecord {
    Kind kind = Kind::Booking;
    unsigned status = 0; ///< 0 without a response
    bool complete = false; ///< the response ended as complete
    bool hasSignature = false; ///< the response carries an endpoint's signature
    std::string body;
};

/// Collects responses and runs, and reports violations of the guarantees to callers.
class InvariantChecker
{
public:
    /// The events of a complete stream are numbered from 1 to eventsPerStream.
    explicit InvariantChecker(int eventsPerStream)
        : m_eventsPerStream(eventsPerStream)
    {
    }
    /// Records what a caller received; a second record under the same id replaces the first.
    void recordResponse(const std::string &id, RequestRecord record);
    /// Counts one run of a request at any endpoint.
    void recordRun(const std::string &id)
    {
        ++m_runs[id];
    }
    /// Returns a message with the request's id for each violation.
    std::vector<std::string> violations() const;
    /// Returns the number of requests with a complete success response.
    std::size_t served() const;
    /// Returns the number of requests with a record.
    std::size_t sent() const
    {
        return m_records.size();
    }

private:
    std::string violationOf(const std::string &id, const RequestRecord &record) const;
    std::string streamViolation(const RequestRecord &record) const;

    int m_eventsPerStream;
    std::map<std::string, RequestRecord> m_records;
    std::map<std::string, int> m_runs;
};

} // namespace yucca::soak
