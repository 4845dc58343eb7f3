// Exchanges state with other routers by datagrams: reported endpoint loads, counts of requests in flight, which endpoints processed
// which prompts, and the store's confirmations, most of all within a failure domain. A router with a small part of the traffic gets a
// report of a given endpoint only about every ten seconds; all routers of the domain together get one within a second.
#pragma once

#include "notifier.h"
#include "peers/fleet_inflight.h"
#include "peers/fleet_membership.h"
#include "peers/peer_directory.h"
#include "peers/peer_message.h"
#include "router_core.h"
#include "stream_origins.h"

#include <boost/asio/ip/udp.hpp>

#include <atomic>
#include <map>
#include <random>
#include <set>

namespace yucca::peers
{

/// Intervals and limits of the exchange.
struct ExchangeOptions {
    /// Interval between rounds of datagrams. Without the exchange, far more requests exceed the load bound in the worst seconds, and
    /// with rounds of 1 s still about twice as many as with this interval.
    Millis roundInterval{300};
    /// Peers that receive a round's datagrams, drawn at random: 12 x 3.3 datagrams/s of about 80 B are 3 KB/s, of the 5 KB/s that a
    /// router may spend on control traffic.
    std::size_t maxPeersPerRound = 12;
    /// Of these, peers of the same failure domain, where loads are most useful and bytes are cheapest. The remaining datagrams go to
    /// other domains.
    std::size_t maxDomainPeersPerRound = 8;
    /// Peers' reports that a round forwards, if one round does not reach the whole fleet. Only endpoints at the load bound are
    /// reported again: each router reaches them seldom itself, and a report below the bound does not change a placement.
    std::size_t maxForwardedReports = 4;
    Millis maxForwardedAge{200}; ///< of a forwarded report; below roundInterval, so that most reports are forwarded once
    Millis refreshInterval{10000}; ///< between reads of the list of routers
    Millis firstRefreshDelay{1200}; ///< after the first read, and while this router is not listed; routers that started together are all listed by then
    Millis retryDelay{5000}; ///< after the store could not be reached, or the socket could not be bound
    Millis peerSilentAfter{10000}; ///< a peer not heard for this long gets datagrams in one round of ten only
    Millis entryRemovedAfter{std::chrono::minutes(10)}; ///< the store entry of a peer not heard for this long is removed
    /// Minimum interval between rounds. Changes of the store's objects are sent after it, before the next regular round is due.
    Millis minRoundInterval{30};
    /// A neighbour counts among the routers that query the store if it was heard within this time, or within three times the average
    /// interval between its datagrams to a given router.
    Millis neighbourSilentAfter{2000};
    /// Number of routers that count the crashes attributed to one request; every router selects the same ones. Three, because any
    /// of them may be restarted or unreachable.
    std::size_t crashCounterRouters = 3;
    /// Datagrams queue in the socket while this process is suspended, and the ages in them are as of their sending. If the socket was last
    /// empty longer ago than this, a datagram counts as received at that time.
    Millis maxReceiveDelay{1000};
    Millis warningInterval{10000}; ///< minimum interval between warnings about the socket or about malformed datagrams
};

/// Sends and receives the datagrams on one event loop.
class LoadExchange
{
public:
    LoadExchange(platform::ObjectApi &api, Peer self, router::RoutingTable &table, ExchangeOptions options = {});

    /// Refreshes the list of peers and announces this router, until stop() is called.
    Task<void> runPeerRefresh();
    /// Sends datagrams to peers, until stop() is called.
    Task<void> runSender();
    /// Receives datagrams from peers, until stop() is called.
    Task<void> runReceiver();
    void stop();

    /// Processes one datagram. A datagram from an address that is not listed as a peer's is ignored.
    void handleDatagram(std::span<const uint8_t> datagram, const http::Address &from, Clock::time_point now);
    /// Returns the number of recently heard peers of the failure domain; callable from any thread.
    std::size_t activePeerCount() const
    {
        return m_activePeerCount;
    }
    /// Returns the items of datagrams, or whole datagrams, that could not be read; callable from any thread.
    uint64_t unreadableItems() const
    {
        return m_unreadableItems;
    }
    /// Returns all peers that were heard recently, in any failure domain.
    std::vector<Peer> activePeers(Clock::time_point now) const;
    /// Returns the number of listed routers with this one; nothing before the first listing.
    std::optional<std::size_t> listedRouters() const;
    /// Returns the host addresses of all listed peers.
    std::set<std::string> listedHosts() const;
    /// Returns the routers that may be running, for limits that all routers share.
    const FleetMembership &membership() const
    {
        return m_membership;
    }
    /// Sets the longest window of a limit that all routers share.
    void setLimitWindow(Millis window)
    {
        m_membership.setLimitWindow(window);
    }
    /// Returns true if no recently heard router has a name before this one's. The router for which this is true does the tasks that
    /// only one router of the fleet must do.
    bool isFirstByName(Clock::time_point now) const
    {
        return rankByName(now) == 0;
    }
    /// Returns how many recently heard routers of the fleet have a name before this one's.
    std::size_t rankByName(Clock::time_point now) const;
    /// Shares the store's confirmations of these kinds with the neighbours. The replicas must outlive the exchange.
    void shareReplicas(std::vector<replica::SharedReplica *> replicas);
    /// Returns the rank by name of this router among the recently heard neighbours, 0 for the first; nothing if none is heard. The
    /// neighbours are the routers of the failure domain, or all routers of a fleet small enough to be reached in one round.
    std::optional<std::size_t> rank(Clock::time_point now) const;
    /// Requests a round before the next regular one is due; called on the exchange's event loop.
    void requestRound()
    {
        m_updatePending = true;
        m_updateNotifier.notifyAll();
    }
    /// Shares with all routers what is known of requests that crash endpoints. The quarantine must outlive the exchange.
    void shareQuarantine(quarantine::RequestQuarantine &quarantine)
    {
        m_quarantine = &quarantine;
    }
    /// Answers queries of other routers from these origins, which must outlive the exchange.
    void shareOrigins(streams::StreamOrigins &origins)
    {
        m_origins = &origins;
    }
    /// Sends an origin to the routers that keep copies of it; on the exchange's event loop.
    Task<void> sendOriginCopies(streams::OriginRecord record);
    /// Asks the routers that may keep an origin, and records which ones; on the exchange's event loop.
    Task<void> sendOriginQueries(uint64_t stream);
    /// Reads the list of peers once, and removes the entries of peers that have not been heard for entryRemovedAfter. Returns false
    /// if the store could not be reached.
    Task<bool> refreshPeers(Clock::time_point now);

private:
    using Udp = asio::ip::udp;
    bool openSocket(const asio::any_io_executor &ex);
    void checkSocketEmpty(Clock::time_point now);
    Clock::time_point arrivalTime(Clock::time_point now) const;
    Task<void> sendRound();
    Task<void> send(const std::vector<Peer> &receivers, const PeerMessage &message, Clock::time_point now);
    Task<void> sendCrashRecords(bool includeSilent, Clock::time_point now);
    std::vector<Peer> countersFor(uint64_t content, const std::vector<Peer> &others) const;
    std::vector<Peer> originKeepers(uint64_t stream, std::size_t count, Clock::time_point now) const;
    std::optional<Peer> originRecorder(Clock::time_point now) const;
    void handleOrigins(const PeerMessage &message, const http::Address &from, Clock::time_point now);
    Task<void> sendReply(Peer to, PeerMessage reply);
    /// True if one round of datagrams can reach all routers of the fleet.
    bool reachesAllPeers() const;
    std::vector<Peer> neighbours() const;
    void dispatchConfirmation(const replica::Confirmation &confirmation, const Peer &from, Clock::time_point now);
    void recordListing(BootClock::time_point begunAt);
    void updatePeerGroups();
    Task<void> removeSilentEntries(Clock::time_point now);
    void countActivePeers(Clock::time_point now);
    void logWarning(const std::string &peer, const std::string &why, Clock::time_point now);
    void logUnreadable(const std::string &peer, std::size_t items, Clock::time_point now);
    bool isSilent(const Peer &peer, Clock::time_point now) const;
    std::vector<Peer> randomPeers(const std::vector<Peer> &peers, std::size_t maxCount, bool includeSilent, Clock::time_point now);

    Peer m_self;
    router::RoutingTable &m_table;
    ExchangeOptions m_options;
    PeerDirectory m_directory;
    std::optional<Udp::socket> m_socket;
    Clock::time_point m_socketEmptyAt{}; ///< when the socket last had no queued datagram
    std::map<http::Address, Clock::time_point> m_lastHeardAt; ///< by sender; the time of the first listing for a sender not heard yet
    std::set<http::Address> m_domainAddresses; ///< of the peers of this failure domain
    FleetInflight m_fleetInflight;
    std::vector<Peer> m_neighbours; ///< sorted by name
    std::vector<replica::SharedReplica *> m_replicas;
    quarantine::RequestQuarantine *m_quarantine = nullptr;
    streams::StreamOrigins *m_origins = nullptr;
    Clock::time_point m_neighbourHeardAt{};
    Notifier m_updateNotifier;
    bool m_updatePending = false;
    Clock::time_point m_sentUpTo{};
    uint64_t m_round = 0;
    Clock::time_point m_warnedAt{};
    Clock::time_point m_unreadableLoggedAt{};
    std::atomic<uint64_t> m_unreadableItems{0};
    std::minstd_rand m_random{std::random_device{}()};
    std::atomic<std::size_t> m_activePeerCount{0};
    FleetMembership m_membership;
    int m_listings = 0;
    bool m_stopping = false;
};

} // namespace yucca::peers
