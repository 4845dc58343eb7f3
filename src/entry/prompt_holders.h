// Which endpoint a router last sent each prompt to: the one that likely
// still holds what it read of it.
#pragma once

#include "task.h"
#include "yucca/types.h"

#include <list>
#include <optional>
#include <unordered_map>

namespace yucca::entry
{

/// A bounded memory of prompts and their last endpoints; the least recently
/// sent gives way. Used from one thread.
class PromptHolders
{
public:
    explicit PromptHolders(std::size_t capacity = 4096, Clock::duration lifetime = std::chrono::seconds(30))
        : m_capacity(capacity)
        , m_lifetime(lifetime)
    {
    }

    /// The endpoint that last took a prompt, unless that is too long ago.
    std::optional<Endpoint> find(uint64_t prompt, Clock::time_point now) const
    {
        const auto it = m_places.find(prompt);
        if (it == m_places.end() || now - it->second->at > m_lifetime) {
            return std::nullopt;
        }
        return it->second->endpoint;
    }

    void note(uint64_t prompt, const Endpoint &endpoint, Clock::time_point now)
    {
        const auto it = m_places.find(prompt);
        if (it != m_places.end()) {
            m_entries.erase(it->second);
        }
        m_entries.push_front({prompt, endpoint, now});
        m_places[prompt] = m_entries.begin();
        if (m_entries.size() > m_capacity) {
            m_places.erase(m_entries.back().prompt);
            m_entries.pop_back();
        }
    }

    std::size_t size() const
    {
        return m_entries.size();
    }

private:
    struct Entry {
        uint64_t prompt = 0;
        Endpoint endpoint;
        Clock::time_point at;
    };
    std::size_t m_capacity;
    Clock::duration m_lifetime; ///< about as long as engines keep what nobody asks for
    std::list<Entry> m_entries; ///< the last sent first
    std::unordered_map<uint64_t, std::list<Entry>::iterator> m_places;
};

} // namespace yucca::entry
