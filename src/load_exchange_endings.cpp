// Exchange of what routers know of requests that end endpoints. A single ending or suspicion is sent to the few routers that
// count it. From the second ending on, and once suspicions hold a request back, all routers are informed, and each router that
// learns it passes it on.
#include "load_exchange.h"
#include "member_state.h"

#include <algorithm>

namespace yucca::peers
{

// Returns the routers that count a content's endings: the first ones in its rendezvous order. This router is left out, as it
// needs no datagram.
std::vector<Peer> LoadExchange::countersFor(uint64_t content, const std::vector<Peer> &others) const
{
    const auto rankOf = [content](const Peer &peer) {
        return placement::rank(ring::hash(peer.id), content);
    };
    std::vector<Peer> counters = others;
    counters.push_back(m_self);
    std::sort(counters.begin(), counters.end(), [&](const Peer &a, const Peer &b) {
        return rankOf(a) > rankOf(b);
    });
    counters.resize(std::min(counters.size(), m_options.endingCounters));
    std::erase_if(counters, [this](const Peer &peer) {
        return peer.id == m_self.id;
    });
    return counters;
}

Task<void> LoadExchange::sendEndings(bool includeSilent, Clock::time_point now)
{
    if (!m_quarantine) {
        co_return;
    }
    auto others = m_directory.domainPeers();
    others.insert(others.end(), m_directory.otherDomainPeers().begin(), m_directory.otherDomainPeers().end());
    const bool reachesAllPeers = others.size() <= m_options.maxPeersPerRound;
    auto news = m_quarantine->takeNews(mostEndings);
    Digest forAll;
    forAll.answers = std::move(news.answers);
    std::map<std::string, std::pair<Peer, Digest>> forCounters; // by router id
    const auto addForCounters = [&](uint64_t content, auto member, const auto &item) {
        for (const auto &peer : countersFor(content, others)) {
            auto &[to, digest] = forCounters[peer.id];
            to = peer;
            (digest.*member).push_back(item);
        }
    };
    for (const auto &record : news.records) {
        if (reachesAllPeers || news.urgent.count(record.content) || record.endpoints.size() >= m_quarantine->options().leastShared) {
            forAll.endings.push_back(record);
        } else {
            addForCounters(record.content, &Digest::endings, record);
        }
    }
    for (const auto &suspicion : news.suspicions) {
        if (reachesAllPeers || news.urgent.count(suspicion.content)) {
            forAll.suspicions.push_back(suspicion);
        } else {
            addForCounters(suspicion.content, &Digest::suspicions, suspicion);
        }
    }
    if (includeSilent) {
        auto held = m_quarantine->someHeld(mostEndings - forAll.endings.size(), now);
        std::move(held.begin(), held.end(), std::back_inserter(forAll.endings));
    }
    if (!forAll.endings.empty() || !forAll.suspicions.empty() || !forAll.answers.empty()) {
        co_await send(randomPeers(others, m_options.maxPeersPerRound, includeSilent, now), forAll, now);
    }
    for (const auto &[id, batch] : forCounters) {
        const std::vector<Peer> to{batch.first};
        co_await send(to, batch.second, now);
    }
}

} // namespace yucca::peers
