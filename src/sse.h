// Server-sent events as the relay needs them: whole events out of a byte
// stream, in order and without repeats across a resumed stream.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace yucca::sse
{

/// Collects the bytes of one caller's stream, over all the runs it is
/// resumed in, and hands out whole events. Events carry increasing ids; one
/// that was handed out already is dropped.
class EventRelay
{
public:
    /// Takes bytes as they arrive; returns the whole events among them, as
    /// they are to be sent on.
    std::vector<std::string> push(std::string_view bytes);
    /// The caller has the events up to this one from an earlier stream.
    void startAfter(uint64_t lastId)
    {
        m_lastId = lastId;
    }
    /// True while an event has begun and not ended.
    bool midEvent() const
    {
        return !m_partial.empty();
    }
    /// Forgets a half event: its run broke off, another goes on after lastId().
    void runEnded()
    {
        m_partial.clear();
    }
    /// The id of the last event handed out; 0 before the first.
    uint64_t lastId() const
    {
        return m_lastId;
    }
    /// True once the terminal event ("data: [DONE]") was handed out.
    bool complete() const
    {
        return m_complete;
    }
    /// True when an event was missing: what follows must not be sent on.
    bool gap() const
    {
        return m_gap;
    }

private:
    bool take(const std::string &event);

    std::string m_partial;
    uint64_t m_lastId = 0;
    bool m_complete = false;
    bool m_gap = false;
};

} // namespace yucca::sse
