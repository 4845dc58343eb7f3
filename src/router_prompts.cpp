// Prompts in the routing table: which endpoints likely hold them.
#include "router_core.h"

#include <algorithm>

namespace yucca::router
{

namespace
{

/// An endpoint that joined within this time does not yet hold the prompts whose home it became.
constexpr Millis recentJoinPeriod{15000};

/// Announcements kept while nobody fetches them; enough for several seconds of traffic.
constexpr std::size_t maxPendingAnnouncements = 1000;

// Finds the first endpoint in a prompt's rendezvous order, with at most one endpoint excluded.
class RendezvousFirst
{
public:
    explicit RendezvousFirst(uint64_t prompt, std::string excluded = {})
        : m_prompt(prompt)
        , m_excluded(std::move(excluded))
    {
    }
    void consider(const Endpoint &endpoint)
    {
        const uint64_t rank = placement::rendezvousScoreOf(endpoint.id, m_prompt);
        if (endpoint.id != m_excluded && (!m_first || rank > m_rank)) {
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
    std::string m_excluded; ///< endpoint id; empty for none
    const Endpoint *m_first = nullptr;
    uint64_t m_rank = 0;
};

} // namespace

std::optional<Endpoint> RoutingTable::homeOf(const std::string &pool, uint64_t prompt) const
{
    std::lock_guard lock(m_mutex);
    const auto it = m_pools.find(pool);
    RendezvousFirst home(prompt);
    if (it != m_pools.end()) {
        for (const auto &member : it->second.members) {
            home.consider(*member);
        }
    }
    return home.found() ? std::optional(*home.found()) : std::nullopt;
}

std::optional<PlacementView> RoutingTable::placementView(const Endpoint &endpoint, uint64_t prompt, Clock::time_point now,
                                                         const PlacementConstraints &constraints)
{
    std::lock_guard lock(m_mutex);
    std::size_t member = 0;
    auto *pool = findPool(endpoint.id, member);
    if (!pool) {
        return std::nullopt;
    }
    return std::visit(
        [&](const auto &picker) -> std::optional<PlacementView> {
            if constexpr (requires { picker.loadView(member, now); }) {
                return PlacementView{likelyHolders(prompt, now, constraints).size(), picker.loadView(member, now)};
            }
            return std::nullopt;
        },
        pool->picker);
}

// The first endpoint in a prompt's rendezvous order. Endpoints listed as leaving are included, because they still hold the
// prompts that they received.
const Endpoint *RoutingTable::firstInOrder(const std::string &pool, uint64_t prompt, const std::string &excluded, Clock::time_point now,
                                           const PlacementConstraints &constraints) const
{
    RendezvousFirst first(prompt, excluded);
    for (const auto *list : {&m_endpoints, &m_leaving}) {
        for (const auto &[id, endpoint] : *list) {
            if (endpoint.pool == pool && !isEvacuated(endpoint) && !m_refusals.refuses(endpoint, now) && constraints.allows(endpoint)) {
                first.consider(endpoint);
            }
        }
    }
    return first.found();
}

// True if the listed incarnation of the endpoint is the given one.
bool RoutingTable::isListed(const Endpoint &endpoint) const
{
    const auto *current = findListed(endpoint.id);
    return current && sameIncarnation(*current, endpoint);
}

void RoutingTable::recordPromptHolder(uint64_t prompt, const Endpoint &endpoint, Clock::time_point now)
{
    std::lock_guard lock(m_mutex);
    if (!isListed(endpoint)) {
        return;
    }
    if (m_holders.record(prompt, endpoint, HolderSource::OwnRequest, now)) {
        m_promptAnnouncements.push_back({prompt, endpoint.id});
    }
    if (m_promptAnnouncements.size() > maxPendingAnnouncements) {
        m_promptAnnouncements.pop_front();
    }
}

void RoutingTable::mergePeerPrompt(const peers::PromptAnnouncement &announcement, Clock::time_point now)
{
    std::lock_guard lock(m_mutex);
    if (const auto *endpoint = findListed(idOf(announcement.endpoint))) {
        m_holders.record(announcement.prompt, *endpoint, HolderSource::Peer, now);
    }
}

std::vector<peers::PromptAnnouncement> RoutingTable::takePromptAnnouncements(std::size_t limit)
{
    std::lock_guard lock(m_mutex);
    const auto end = m_promptAnnouncements.begin() + static_cast<std::ptrdiff_t>(std::min(limit, m_promptAnnouncements.size()));
    std::vector<peers::PromptAnnouncement> taken(m_promptAnnouncements.begin(), end);
    m_promptAnnouncements.erase(m_promptAnnouncements.begin(), end);
    return taken;
}

std::vector<peers::PromptAnnouncement> RoutingTable::knownPrompts(std::size_t limit, Clock::time_point now) const
{
    std::lock_guard lock(m_mutex);
    std::vector<peers::PromptAnnouncement> out;
    for (const auto &held : m_holders.recent(limit, now)) {
        if (isListed(held.endpoint)) {
            out.push_back({held.prompt, held.endpoint.id});
        }
    }
    return out;
}

// The endpoints that received a prompt and have neither restarted nor become unusable since, the latest first.
std::vector<Endpoint> RoutingTable::likelyHolders(uint64_t prompt, Clock::time_point now, const PlacementConstraints &constraints) const
{
    auto found = m_holders.find(prompt, now);
    std::erase_if(found, [&](const Endpoint &e) {
        return !isListed(e) || m_refusals.refuses(e, now) || isSuspected(e.id, now) || isEvacuated(e) || !constraints.allows(e);
    });
    return found;
}

PromptEstimate RoutingTable::estimatePrompt(uint64_t prompt, const Endpoint &receiver, Clock::time_point now, const PlacementConstraints &constraints) const
{
    std::lock_guard lock(m_mutex);
    const auto holders = likelyHolders(prompt, now, constraints);
    const bool holds = std::any_of(holders.begin(), holders.end(), [&](const Endpoint &e) {
        return e.id == receiver.id;
    });
    if (holds) {
        return {true, std::nullopt};
    }
    if (!holders.empty()) {
        return {false, holders.front()};
    }
    // No endpoint is known to have received the prompt, so its home likely holds it. If the receiver is the home only
    // because it joined recently, the previous home does.
    const auto *home = firstInOrder(receiver.pool, prompt, "", now, constraints);
    const auto health = m_health.find(receiver.id);
    const bool joinedRecently = health != m_health.end() && now - health->second.joinedAt <= recentJoinPeriod;
    if (home && home->id == receiver.id) {
        home = joinedRecently ? firstInOrder(receiver.pool, prompt, receiver.id, now, constraints) : nullptr;
    }
    return {false, home && !isSuspected(home->id, now) ? std::optional(*home) : std::nullopt};
}

} // namespace yucca::router
