// Which endpoints took each prompt lately: those that likely still hold what
// they read of it. Known from own requests and from what other routers tell.
#pragma once

#include "task.h"
#include "yucca/types.h"

#include <algorithm>
#include <list>
#include <unordered_map>
#include <vector>

namespace yucca::router
{

/// How a router knows that an endpoint took a prompt.
enum class HolderSource {
    OwnRequest,
    Peer,
};

/// A bounded memory of prompts and the endpoints that took them last; the
/// least recently noted prompt gives way. Used under its owner's lock.
class PromptHolders
{
public:
    /// Endpoints remembered of one prompt: its home, and where it went while
    /// the home was at the bound or away.
    static constexpr std::size_t mostPerPrompt = 4;

    explicit PromptHolders(std::size_t capacity = 4096, Clock::duration lifetime = std::chrono::seconds(30),
                           Clock::duration toldAgainAfter = std::chrono::seconds(10))
        : m_capacity(capacity)
        , m_lifetime(lifetime)
        , m_toldAgainAfter(toldAgainAfter)
    {
    }

    /// The endpoints that took a prompt, the last one first, but for those
    /// that took it too long ago.
    std::vector<Endpoint> find(uint64_t prompt, Clock::time_point now) const
    {
        std::vector<Endpoint> out;
        const auto it = m_places.find(prompt);
        if (it == m_places.end()) {
            return out;
        }
        for (const auto &holder : it->second->holders) {
            if (now - holder.at <= m_lifetime) {
                out.push_back(holder.endpoint);
            }
        }
        return out;
    }

    /// Notes that an endpoint took a prompt. True when other routers likely do
    /// not know: nobody has told it for a while.
    bool note(uint64_t prompt, const Endpoint &endpoint, HolderSource source, Clock::time_point now)
    {
        auto &holders = entryOf(prompt).holders;
        const auto known = std::find_if(holders.begin(), holders.end(), [&](const Holder &h) {
            return sameIncarnation(h.endpoint, endpoint);
        });
        const bool news = source == HolderSource::OwnRequest && (known == holders.end() || now - known->toldAt >= m_toldAgainAfter);
        const auto toldAt = news || source == HolderSource::Peer ? now : known->toldAt;
        std::erase_if(holders, [&](const Holder &h) {
            return h.endpoint.id == endpoint.id;
        });
        holders.insert(holders.begin(), {endpoint, now, toldAt});
        if (holders.size() > mostPerPrompt) {
            holders.pop_back();
        }
        return news;
    }

    /// A prompt and an endpoint that took it.
    struct Held {
        uint64_t prompt = 0;
        Endpoint endpoint;
    };
    /// What is held, the last noted prompt first; no more than a number.
    std::vector<Held> recent(std::size_t most, Clock::time_point now) const
    {
        std::vector<Held> out;
        for (const auto &entry : m_entries) {
            for (const auto &holder : entry.holders) {
                if (out.size() == most) {
                    return out;
                }
                if (now - holder.at <= m_lifetime) {
                    out.push_back({entry.prompt, holder.endpoint});
                }
            }
        }
        return out;
    }

    std::size_t size() const
    {
        return m_entries.size();
    }

private:
    struct Holder {
        Endpoint endpoint;
        Clock::time_point at;
        Clock::time_point toldAt; ///< when a router last told the others
    };
    struct Entry {
        uint64_t prompt = 0;
        std::vector<Holder> holders; ///< the last one first
    };

    Entry &entryOf(uint64_t prompt)
    {
        const auto it = m_places.find(prompt);
        if (it != m_places.end()) {
            m_entries.splice(m_entries.begin(), m_entries, it->second);
            return m_entries.front();
        }
        m_entries.push_front({prompt, {}});
        m_places[prompt] = m_entries.begin();
        if (m_entries.size() > m_capacity) {
            m_places.erase(m_entries.back().prompt);
            m_entries.pop_back();
        }
        return m_entries.front();
    }

    std::size_t m_capacity;
    Clock::duration m_lifetime; ///< about as long as engines keep what nobody asks for
    Clock::duration m_toldAgainAfter; ///< well within the lifetime: who missed it once hears it in time
    std::list<Entry> m_entries; ///< the last noted first
    std::unordered_map<uint64_t, std::list<Entry>::iterator> m_places;
};

} // namespace yucca::router
