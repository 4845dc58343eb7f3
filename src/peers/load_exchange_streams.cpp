// Exchange of the origins of streams: copies to the routers that keep them, and queries of those that a stream is taken up at.
#include "member_state.h"
#include "peers/load_exchange.h"

#include <boost/asio/detached.hpp>

#include <algorithm>

namespace yucca::peers
{

// Returns the routers first in a stream's rendezvous order, of the ones heard recently.
std::vector<Peer> LoadExchange::originKeepers(uint64_t stream, std::size_t count, Clock::time_point now) const
{
    std::vector<std::pair<uint64_t, const Peer *>> scored;
    for (const auto *peers : {&m_directory.domainPeers(), &m_directory.otherDomainPeers()}) {
        for (const auto &peer : *peers) {
            if (!isSilent(peer, now)) {
                scored.emplace_back(placement::rendezvousScore(ring::hash(peer.id), stream), &peer);
            }
        }
    }
    count = std::min(count, scored.size());
    std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(count), scored.end(), std::greater<>());
    std::vector<Peer> keepers;
    for (std::size_t i = 0; i < count; ++i) {
        keepers.push_back(*scored[i].second);
    }
    return keepers;
}

// Returns the router that writes origins to the store; nothing if it is this one.
std::optional<Peer> LoadExchange::originRecorder(Clock::time_point now) const
{
    const Peer *first = nullptr;
    for (const auto *peers : {&m_directory.domainPeers(), &m_directory.otherDomainPeers()}) {
        for (const auto &peer : *peers) {
            const bool earlier = peer.id < (first ? first->id : m_self.id);
            first = earlier && !isSilent(peer, now) ? &peer : first;
        }
    }
    return first ? std::optional(*first) : std::nullopt;
}

// Copies go to the routers that keep them and, while the service has several versions, to the one that writes them to the store.
Task<void> LoadExchange::sendOriginCopies(streams::OriginRecord record)
{
    if (m_socket) {
        const auto now = Clock::now();
        PeerMessage message;
        message.origins.push_back(record);
        auto receivers = originKeepers(record.stream, streams::originCopies, now);
        const auto recorder = m_table.soleVersion(record.origin.service, now) ? std::nullopt : originRecorder(now);
        if (recorder && std::find(receivers.begin(), receivers.end(), *recorder) == receivers.end()) {
            receivers.push_back(*recorder);
        }
        co_await send(receivers, message, now);
    }
}

Task<void> LoadExchange::sendOriginQueries(uint64_t stream)
{
    const auto now = Clock::now();
    std::vector<Peer> keepers;
    if (m_socket) {
        keepers = originKeepers(stream, streams::originQueries, now);
    }
    std::set<http::Address> asked;
    for (const auto &peer : keepers) {
        asked.insert(peer.address);
    }
    m_origins->recordAsked(stream, asked);
    if (!keepers.empty()) {
        PeerMessage message;
        message.originQueries.push_back(stream);
        co_await send(keepers, message, now);
    }
}

void LoadExchange::handleOrigins(const PeerMessage &message, const http::Address &from, Clock::time_point now)
{
    if (!m_origins) {
        return;
    }
    for (const auto &record : message.origins) {
        m_origins->merge(record, now);
    }
    for (const auto stream : message.unknownOrigins) {
        m_origins->recordUnknown(stream, from);
    }
    if (message.originQueries.empty() || !m_socket) {
        return;
    }
    PeerMessage reply;
    for (const auto stream : message.originQueries) {
        if (const auto origin = m_origins->find(stream, now)) {
            reply.origins.push_back({stream, *origin});
        } else {
            reply.unknownOrigins.push_back(stream);
        }
    }
    Peer asker;
    asker.address = from;
    asio::co_spawn(m_socket->get_executor(), sendReply(std::move(asker), std::move(reply)), asio::detached);
}

Task<void> LoadExchange::sendReply(Peer to, PeerMessage reply)
{
    const std::vector<Peer> receivers{std::move(to)};
    co_await send(receivers, reply, Clock::now());
}

} // namespace yucca::peers
