// Which endpoint a router last sent each prompt to: the one that likely
// still holds what it read of it.
#pragma once

#include "router_core.h"
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

/// An endpoint that joined so lately does not yet hold what its place in the
/// prompts' orders would make it hold.
inline constexpr Millis newlyJoined{15000};

/// Another endpoint that likely holds a prompt, when the one it goes to
/// likely does not: the one this router last sent it to; else the prompt's
/// home; for an endpoint that is the home because it has just joined, the
/// home before that.
inline std::optional<Endpoint> holderBeside(const Endpoint &endpoint, const std::string &pool, uint64_t prompt, const PromptHolders &holders,
                                            const router::RoutingTable &table, const std::optional<Endpoint> &home, Clock::time_point now)
{
    const auto last = holders.find(prompt, now);
    const auto alive = last ? table.find(last->id, now) : std::nullopt;
    if (alive && sameIncarnation(*alive, *last)) {
        return alive->id == endpoint.id ? std::nullopt : alive;
    }
    if (home && home->id != endpoint.id) {
        return home;
    }
    if (now - table.joinedAt(endpoint.id) > newlyJoined) {
        return std::nullopt;
    }
    return table.homeOf(pool, prompt, endpoint.id);
}

} // namespace yucca::entry
