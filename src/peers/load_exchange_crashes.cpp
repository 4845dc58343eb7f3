// Exchange of what routers know of requests that crash endpoints. A single crash or suspicion is sent to the few routers that
// count it. From the second crash on, and once suspicions hold a request back, all routers are informed, and each router that
// learns it passes it on.
#include "member_state.h"
#include "peers/load_exchange.h"

#include <algorithm>

namespace yucca::peers
{

// Returns the routers that count a content's crashes: the first ones in its rendezvous order. This router is left out, as it
// needs no datagram.
std::vector<Peer> LoadExchange::countersFor(uint64_t content, const std::vector<Peer> &others) const
{
    const auto scoreOf = [content](const Peer &peer) {
        return placement::rendezvousScore(ring::hash(peer.id), content);
    };
    std::vector<Peer> counters = others;
    counters.push_back(m_self);
    std::sort(counters.begin(), counters.end(), [&](const Peer &a, const Peer &b) {
        return scoreOf(a) > scoreOf(b);
    });
    counters.resize(std::min(counters.size(), m_options.crashCounterRouters));
    std::erase_if(counters, [this](const Peer &peer) {
        return peer.id == m_self.id;
    });
    return counters;
}

Task<void> LoadExchange::sendCrashRecords(bool includeSilent, Clock::time_point now)
{
    if (!m_quarantine) {
        co_return;
    }
    auto others = m_directory.domainPeers();
    others.insert(others.end(), m_directory.otherDomainPeers().begin(), m_directory.otherDomainPeers().end());
    const bool reachesAllPeers = others.size() <= m_options.maxPeersPerRound;
    auto updates = m_quarantine->takeUpdates(maxCrashRecords);
    PeerMessage forAll;
    forAll.completeResponses = std::move(updates.answers);
    std::map<std::string, std::pair<Peer, PeerMessage>> forCounters; // by router id
    const auto addForCounters = [&](uint64_t content, auto member, const auto &item) {
        for (const auto &peer : countersFor(content, others)) {
            auto &[to, message] = forCounters[peer.id];
            to = peer;
            (message.*member).push_back(item);
        }
    };
    for (const auto &record : updates.records) {
        if (reachesAllPeers || updates.urgent.count(record.content) || record.endpoints.size() >= m_quarantine->options().minCrashesToShare) {
            forAll.crashes.push_back(record);
        } else {
            addForCounters(record.content, &PeerMessage::crashes, record);
        }
    }
    for (const auto &suspicion : updates.suspicions) {
        if (reachesAllPeers || updates.urgent.count(suspicion.content)) {
            forAll.suspicions.push_back(suspicion);
        } else {
            addForCounters(suspicion.content, &PeerMessage::suspicions, suspicion);
        }
    }
    if (includeSilent) {
        auto held = m_quarantine->nextQuarantined(maxCrashRecords - forAll.crashes.size(), now);
        std::move(held.begin(), held.end(), std::back_inserter(forAll.crashes));
    }
    if (!forAll.crashes.empty() || !forAll.suspicions.empty() || !forAll.completeResponses.empty()) {
        co_await send(randomPeers(others, m_options.maxPeersPerRound, includeSilent, now), forAll, now);
    }
    for (const auto &[id, batch] : forCounters) {
        const std::vector<Peer> to{batch.first};
        co_await send(to, batch.second, now);
    }
}

} // namespace yucca::peers
