#include "peers/fleet_inflight.h"

#include <algorithm>
#include <cmath>

namespace yucca::peers
{

PeerGroup makePeerGroup(std::size_t size, std::size_t perRound, Millis roundInterval)
{
    const double rounds = std::max(1.0, static_cast<double>(size) / static_cast<double>(std::max<std::size_t>(1, perRound)));
    return {size, std::chrono::duration_cast<Clock::duration>(roundInterval * rounds)};
}

void FleetInflight::recordDatagram(const http::Address &from, PeerKind kind, std::vector<InflightCount> counts, Clock::time_point now)
{
    auto &peer = m_heard[from];
    const bool hasCounts = !peer.counts.empty() && now - peer.at <= m_countLifetime;
    if (counts.empty() && hasCounts) {
        return; // datagrams about other matters carry no counts
    }
    peer = {kind, now, std::move(counts)};
}

// Returns the estimated number of running peers of a group. Of these, the expected share was heard within the lifetime.
double FleetInflight::runningPeers(PeerKind kind, std::size_t heard) const
{
    const auto &group = m_groups[static_cast<std::size_t>(kind)];
    const double lifetime = std::chrono::duration<double>(m_countLifetime).count();
    const double interval = std::chrono::duration<double>(group.interval).count();
    const double expectedShare = interval > 0 ? 1 - std::exp(-lifetime / interval) : 1;
    return std::min(static_cast<double>(group.size), static_cast<double>(heard) / expectedShare);
}

void FleetInflight::add(Sample &sample, const Heard &peer)
{
    ++sample.heard;
    sample.announcing += peer.counts.empty() ? 0 : 1;
    for (const auto &count : peer.counts) {
        sample.sums[count.service] += static_cast<double>(count.inflight);
    }
}

std::map<std::string, double> FleetInflight::estimate(Clock::time_point now)
{
    std::erase_if(m_heard, [&](const auto &entry) {
        return now - entry.second.at > m_countLifetime;
    });
    std::array<Sample, 2> samples;
    Sample all;
    for (const auto &[address, peer] : m_heard) {
        for (auto *sample : {&samples[static_cast<std::size_t>(peer.kind)], &all}) {
            add(*sample, peer);
        }
    }
    std::map<std::string, double> out;
    for (const auto &[service, sum] : all.sums) {
        for (const auto kind : {PeerKind::SameDomain, PeerKind::OtherDomain}) {
            auto &sample = samples[static_cast<std::size_t>(kind)];
            // A group of which no heard peer announces counts, as during an upgrade, is taken to be like the others.
            const double mean =
                sample.announcing > 0 ? sample.sums[service] / static_cast<double>(sample.announcing) : sum / static_cast<double>(all.announcing);
            out[service] += mean * runningPeers(kind, sample.heard);
        }
    }
    return out;
}

} // namespace yucca::peers
