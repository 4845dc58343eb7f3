#include "sse.h"

#include "text.h"

namespace yucca::sse
{

namespace
{

constexpr std::string_view terminalEvent = "data: [DONE]";
constexpr std::string_view eventEnd = "\n\n";
constexpr std::string_view idField = "id: ";

// The id line of an event, if it has one.
std::optional<uint64_t> eventId(std::string_view event)
{
    std::size_t at = 0;
    while (at < event.size()) {
        const auto end = std::min(event.find('\n', at), event.size());
        const auto line = event.substr(at, end - at);
        if (line.substr(0, idField.size()) == idField) {
            return text::number<uint64_t>(line.substr(idField.size()));
        }
        at = end + 1;
    }
    return std::nullopt;
}

} // namespace

std::vector<std::string> EventRelay::push(std::string_view bytes)
{
    m_partial += bytes;
    std::vector<std::string> out;
    for (auto end = m_partial.find(eventEnd); end != std::string::npos && !m_gap; end = m_partial.find(eventEnd)) {
        std::string event = m_partial.substr(0, end + eventEnd.size());
        m_partial.erase(0, event.size());
        if (take(event)) {
            out.push_back(std::move(event));
        }
    }
    return out;
}

// True when the event is the next one; notes its id and a missing one.
bool EventRelay::take(const std::string &event)
{
    if (m_complete) {
        return false; // bytes after the end belong to nobody
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
