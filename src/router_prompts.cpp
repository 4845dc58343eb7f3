// The routing table's part on prompts: which endpoints likely hold them.
#include "router_core.h"

#include <algorithm>

namespace yucca::router
{

namespace
{

/// An endpoint that joined so lately does not yet hold what its place in the
/// prompts' orders would make it hold.
constexpr Millis newlyJoined{15000};

/// Prompts to be told that are kept where nobody takes them: seconds of them.
constexpr std::size_t mostPromptNews = 1000;

// Finds the first endpoint in a prompt's rendezvous order, but for one.
class FirstOf
{
public:
    explicit FirstOf(uint64_t prompt, std::string except = {})
        : m_prompt(prompt)
        , m_except(std::move(except))
    {
    }
    void offer(const Endpoint &endpoint)
    {
        const uint64_t rank = placement::rankOf(endpoint.id, m_prompt);
        if (endpoint.id != m_except && (!m_first || rank > m_rank)) {
            m_first = &endpoint;
            m_rank = rank;
        }
    }
    const Endpoint *found() const
    {
        return m_first;
    }

private:
    uint64_t m_prompt;
    std::string m_except; ///< an id; empty: none
    const Endpoint *m_first = nullptr;
    uint64_t m_rank = 0;
};

} // namespace

std::optional<Endpoint> RoutingTable::homeOf(const std::string &pool, uint64_t prompt) const
{
    std::lock_guard lock(m_mutex);
    const auto it = m_pools.find(pool);
    FirstOf home(prompt);
    if (it != m_pools.end()) {
        for (const auto &member : it->second.members) {
            home.offer(member);
        }
    }
    return home.found() ? std::optional(*home.found()) : std::nullopt;
}

// The first in a prompt's order, also among those that are leaving: they
// still hold what they read.
const Endpoint *RoutingTable::firstInOrder(const std::string &pool, uint64_t prompt, const std::string &except, Clock::time_point now,
                                           const Constraints &constraints) const
{
    FirstOf first(prompt, except);
    for (const auto *list : {&m_endpoints, &m_leaving}) {
        for (const auto &endpoint : *list) {
            if (endpoint.pool == pool && !isEvacuated(endpoint) && !m_refusals.refuses(endpoint, now) && constraints.regions.allows(endpoint.region)) {
                first.offer(endpoint);
            }
        }
    }
    return first.found();
}

// True when the endpoint is listed as this incarnation.
bool RoutingTable::isListed(const Endpoint &endpoint) const
{
    const auto *current = listed(endpoint.id);
    return current && sameIncarnation(*current, endpoint);
}

void RoutingTable::tookPrompt(uint64_t prompt, const Endpoint &endpoint, Clock::time_point now)
{
    std::lock_guard lock(m_mutex);
    if (!isListed(endpoint)) {
        return;
    }
    if (m_holders.note(prompt, endpoint, HolderSource::OwnRequest, now)) {
        m_promptNews.push_back({prompt, endpoint.id});
    }
    if (m_promptNews.size() > mostPromptNews) {
        m_promptNews.pop_front();
    }
}

void RoutingTable::toldOfPrompt(const peers::PromptNews &news, Clock::time_point now)
{
    std::lock_guard lock(m_mutex);
    if (const auto *endpoint = listed(news.endpoint)) {
        m_holders.note(news.prompt, *endpoint, HolderSource::Peer, now);
    }
}

std::vector<peers::PromptNews> RoutingTable::takePromptNews(std::size_t most)
{
    std::lock_guard lock(m_mutex);
    const auto end = m_promptNews.begin() + static_cast<std::ptrdiff_t>(std::min(most, m_promptNews.size()));
    std::vector<peers::PromptNews> taken(m_promptNews.begin(), end);
    m_promptNews.erase(m_promptNews.begin(), end);
    return taken;
}

std::vector<peers::PromptNews> RoutingTable::knownPrompts(std::size_t most, Clock::time_point now) const
{
    std::lock_guard lock(m_mutex);
    std::vector<peers::PromptNews> out;
    for (const auto &held : m_holders.recent(most, now)) {
        if (isListed(held.endpoint)) {
            out.push_back({held.prompt, held.endpoint.id});
        }
    }
    return out;
}

// Those of the endpoints that took a prompt that still are what they were
// then, the last one first.
std::vector<Endpoint> RoutingTable::likelyHolders(uint64_t prompt, Clock::time_point now, const Constraints &constraints) const
{
    auto found = m_holders.find(prompt, now);
    std::erase_if(found, [&](const Endpoint &e) {
        return !isListed(e) || m_refusals.refuses(e, now) || suspected(e.id, now) || isEvacuated(e) || !constraints.regions.allows(e.region);
    });
    return found;
}

PromptBelief RoutingTable::beliefOf(uint64_t prompt, const Endpoint &taker, Clock::time_point now, const Constraints &constraints) const
{
    std::lock_guard lock(m_mutex);
    const auto holders = likelyHolders(prompt, now, constraints);
    const bool holds = std::any_of(holders.begin(), holders.end(), [&](const Endpoint &e) {
        return e.id == taker.id;
    });
    if (holds) {
        return {true, std::nullopt};
    }
    if (!holders.empty()) {
        return {false, holders.front()};
    }
    // Nothing is known of the prompt: its home has likely read it. Where the
    // taker is the home because it has just joined, the home before did.
    const auto *home = firstInOrder(taker.pool, prompt, "", now, constraints);
    const auto health = m_health.find(taker.id);
    const bool joinedLately = health != m_health.end() && now - health->second.joinedAt <= newlyJoined;
    if (home && home->id == taker.id) {
        home = joinedLately ? firstInOrder(taker.pool, prompt, taker.id, now, constraints) : nullptr;
    }
    return {false, home && !suspected(home->id, now) ? std::optional(*home) : std::nullopt};
}

} // namespace yucca::router
