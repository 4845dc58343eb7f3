// Records which endpoints recently received each prompt and so likely still hold its prefix. Learned from this router's
// own requests and from peer routers.
#pragma once

#include "task.h"
#include "yucca/types.h"

#include <algorithm>
#include <list>
#include <unordered_map>
#include <vector>

namespace yucca::router
{

/// How a router learned that an endpoint received a prompt.
enum class HolderSource {
    OwnRequest,
    Peer,
};

/// A bounded LRU map from prompts to the endpoints that received them last. Not thread-safe; the owner holds a lock.
class PromptHolders
{
public:
    /// A prompt has its home, and the endpoints that received it while the home was overloaded or unavailable.
    static constexpr std::size_t maxPerPrompt = 4;

    explicit PromptHolders(std::size_t capacity = 4096, Clock::duration lifetime = std::chrono::seconds(30),
                           Clock::duration announceInterval = std::chrono::seconds(10))
        : m_capacity(capacity)
        , m_lifetime(lifetime)
        , m_announceInterval(announceInterval)
    {
    }

    /// The endpoints that received a prompt within the lifetime, the latest first.
    std::vector<Endpoint> find(uint64_t prompt, Clock::time_point now) const
    {
        std::vector<Endpoint> out;
        const auto it = m_index.find(prompt);
        if (it == m_index.end()) {
            return out;
        }
        for (const auto &holder : it->second->holders) {
            if (now - holder.at <= m_lifetime) {
                out.push_back(holder.endpoint);
            }
        }
        return out;
    }

    /// Records that an endpoint received a prompt. Returns true if peers should be informed: the request was this router's
    /// own, and no router has announced it for a while.
    bool record(uint64_t prompt, const Endpoint &endpoint, HolderSource source, Clock::time_point now)
    {
        auto &holders = touchEntry(prompt).holders;
        const auto known = std::find_if(holders.begin(), holders.end(), [&](const Holder &h) {
            return sameIncarnation(h.endpoint, endpoint);
        });
        const bool announce = source == HolderSource::OwnRequest && (known == holders.end() || now - known->announcedAt >= m_announceInterval);
        const auto announcedAt = announce || source == HolderSource::Peer ? now : known->announcedAt;
        std::erase_if(holders, [&](const Holder &h) {
            return h.endpoint.id == endpoint.id;
        });
        holders.insert(holders.begin(), {endpoint, now, announcedAt});
        if (holders.size() > maxPerPrompt) {
            holders.pop_back();
        }
        return announce;
    }

    /// A prompt and an endpoint that likely holds it.
    struct HeldPrompt {
        uint64_t prompt = 0;
        Endpoint endpoint;
    };
    /// At most `limit` holders within the lifetime, in order from the most recently recorded prompt.
    std::vector<HeldPrompt> recent(std::size_t limit, Clock::time_point now) const
    {
        std::vector<HeldPrompt> out;
        for (const auto &entry : m_entries) {
            for (const auto &holder : entry.holders) {
                if (out.size() == limit) {
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
        Clock::time_point announcedAt; ///< when a router last announced it to its peers
    };
    struct Entry {
        uint64_t prompt = 0;
        std::vector<Holder> holders; ///< latest first
    };

    Entry &touchEntry(uint64_t prompt)
    {
        const auto it = m_index.find(prompt);
        if (it != m_index.end()) {
            m_entries.splice(m_entries.begin(), m_entries, it->second);
            return m_entries.front();
        }
        m_entries.push_front({prompt, {}});
        m_index[prompt] = m_entries.begin();
        if (m_entries.size() > m_capacity) {
            m_index.erase(m_entries.back().prompt);
            m_entries.pop_back();
        }
        return m_entries.front();
    }

    std::size_t m_capacity;
    Clock::duration m_lifetime; ///< about as long as engines keep an unused prefix
    Clock::duration m_announceInterval; ///< well within the lifetime, so that a peer that missed one announcement hears the next in time
    std::list<Entry> m_entries; ///< most recently recorded first
    std::unordered_map<uint64_t, std::list<Entry>::iterator> m_index;
};

} // namespace yucca::router
