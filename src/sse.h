// Splits a byte stream into server-sent events, in order and without duplicates
// when the stream is resumed at another endpoint.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace yucca::sse
{

/// Assembles complete events from the bytes of one caller's stream, across all
/// endpoints that the stream is resumed at. Event ids increase by one; events that
/// were returned before are dropped.
class EventRelay
{
public:
    /// Adds received bytes. Returns the events that are complete now, in the form
    /// in which they are relayed.
    std::vector<std::string> push(std::string_view bytes);
    /// Sets the id of the last event that the caller received from an earlier stream.
    void setLastId(uint64_t lastId)
    {
        m_lastId = lastId;
    }
    /// True while an event is incomplete.
    bool hasPartialEvent() const
    {
        return !m_partial.empty();
    }
    /// Discards an incomplete event: its stream broke, and another one resumes after lastId().
    void discardPartialEvent()
    {
        m_partial.clear();
    }
    /// The id of the last event returned; 0 before the first.
    uint64_t lastId() const
    {
        return m_lastId;
    }
    /// True once the terminal event ("data: [DONE]") was returned.
    bool isComplete() const
    {
        return m_complete;
    }
    /// True if an event was missing: nothing after it may be relayed.
    bool hasGap() const
    {
        return m_gap;
    }

private:
    bool accept(const std::string &event);

    std::string m_partial;
    uint64_t m_lastId = 0;
    bool m_complete = false;
    bool m_gap = false;
};

} // namespace yucca::sse
