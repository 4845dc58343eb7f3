// Estimates the requests in flight on a service from all routers, from the counts that routers announce to each other. No I/O.
#pragma once

#include "http.h"
#include "task.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace yucca::peers
{

/// A router's own requests in flight on one service.
struct InflightCount {
    std::string service;
    int64_t inflight = 0;
    bool operator==(const InflightCount &) const = default;
};

/// The number of peers from which datagrams are expected at the same rate.
struct PeerGroup {
    std::size_t size = 0; ///< listed peers
    Clock::duration interval{}; ///< mean time between two datagrams from one of them
};

/// Returns the group of peers that each send to perRound randomly drawn members of such a group in every round.
PeerGroup makePeerGroup(std::size_t size, std::size_t perRound, Millis roundInterval);

/// Which peers a sender draws for its rounds; each kind is drawn at a rate of its own.
enum class PeerKind {
    SameDomain,
    OtherDomain,
};

/// Tracks the latest counts of the peers heard. Only a random part of the fleet is heard within the lifetime of a count, so
/// the counts are extrapolated: from the peers heard to those that run, and from those that announce counts to all heard.
/// A peer that has ended, or is cut off, drops out with its last count; a router that hears no counts has no estimate.
class FleetInflight
{
public:
    /// countLifetime spans several rounds: a shorter one leaves too few counts, a longer one delays the estimate.
    explicit FleetInflight(Millis countLifetime = Millis(2000))
        : m_countLifetime(countLifetime)
    {
    }

    void setGroup(PeerKind kind, PeerGroup group)
    {
        m_groups[static_cast<std::size_t>(kind)] = group;
    }
    /// Records a datagram of a peer and the counts in it. A peer of an earlier release announces none.
    void recordDatagram(const http::Address &from, PeerKind kind, std::vector<InflightCount> counts, Clock::time_point now);
    /// Returns the estimated requests in flight, by service, from all other routers; empty if no counts are known.
    std::map<std::string, double> estimate(Clock::time_point now);

private:
    struct Heard {
        PeerKind kind = PeerKind::SameDomain;
        Clock::time_point at{};
        std::vector<InflightCount> counts;
    };
    /// Sums over a part of the peers heard.
    struct Sample {
        std::size_t heard = 0;
        std::size_t announcing = 0; ///< of these, the peers that announce counts
        std::map<std::string, double> sums; ///< of their counts, by service
    };
    static void add(Sample &sample, const Heard &peer);
    double runningPeers(PeerKind kind, std::size_t heard) const;

    Millis m_countLifetime;
    std::array<PeerGroup, 2> m_groups;
    std::map<http::Address, Heard> m_heard;
};

} // namespace yucca::peers
