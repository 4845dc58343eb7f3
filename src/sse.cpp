#include "sse.h"

#include "text.h"

namespace yucca::sse
{

namespace
{

constexpr std::string_view terminalEvent = "data: [DONE]";
constexpr std::string_view eventEnd = "\n\n";
constexpr std::string_view idField = "id: ";
constexpr std::size_t maxEventBytes = 1024 * 1024; // a longer one is not an event but the output of a broken endpoint

// Returns the id of an event, if it has one.
std::optional<uint64_t> eventId(std::string_view event)
{
    std::size_t lineStart = 0;
    while (lineStart < event.size()) {
        const auto end = std::min(event.find('\n', lineStart), event.size());
        const auto line = event.substr(lineStart, end - lineStart);
        if (line.substr(0, idField.size()) == idField) {
            return text::parseNumber<uint64_t>(line.substr(idField.size()));
        }
        lineStart = end + 1;
    }
    return std::nullopt;
}

} // namespace

std::vector<std::string> EventRelay::push(std::string_view bytes)
{
    const auto searchFrom = m_partial.empty() ? 0 : m_partial.size() - 1; // the end may begin with the last byte of before
    m_partial += bytes;
    std::vector<std::string> out;
    for (auto end = m_partial.find(eventEnd, searchFrom); end != std::string::npos && !m_gap; end = m_partial.find(eventEnd)) {
        std::string event = m_partial.substr(0, end + eventEnd.size());
        m_partial.erase(0, event.size());
        if (accept(event)) {
            out.push_back(std::move(event));
        }
    }
    if (m_partial.size() > maxEventBytes) {
        m_partial.clear();
        m_gap = true;
    }
    return out;
}

// Returns true if the event is to be relayed; updates the last id and detects a missing event.
bool EventRelay::accept(const std::string &event)
{
    if (m_complete) {
        return false; // nothing after the terminal event is relayed
    }
    if (const auto id = eventId(event)) {
        if (*id <= m_lastId) {
            return false;
        }
        m_gap = *id != m_lastId + 1;
        if (m_gap) {
            return false;
        }
        m_lastId = *id;
    }
    m_complete = event.compare(0, terminalEvent.size(), terminalEvent) == 0;
    return true;
}

} // namespace yucca::sse
