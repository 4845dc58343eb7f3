// Routers tell each other which loads they heard, which endpoints took which
// prompts and what the store confirmed, most of all within a failure domain. A
// router that sees a sliver of the traffic hears of one endpoint only every ten
// seconds or so; the domain hears of it in a second.
#pragma once

#include "load_digest.h"
#include "notifier.h"
#include "peer_directory.h"
#include "router_core.h"

#include <boost/asio/ip/udp.hpp>

#include <atomic>
#include <map>
#include <random>

namespace yucca::peers
{

/// Times and bounds of the exchange.
struct ExchangeOptions {
    /// A round of datagrams. In the model of 84 routers and 90 engines the
    /// worst five seconds have 0.088 of the requests over the bound without an
    /// exchange, 0.024 with rounds of 0.3 s and 0.050 with rounds of 1 s.
    Millis every{300};
    /// Peers told in a round, drawn at random: 12 x 3.3 datagrams of about 80 B
    /// are 3 KB/s, of the 5 KB/s a router may spend on control.
    std::size_t mostTold = 12;
    /// Of these, peers of the own failure domain: loads are worth most there,
    /// where bytes cost least. What is left goes to the others.
    std::size_t mostNearTold = 8;
    Millis refreshEvery{10000}; ///< of the list of routers
    Millis refreshSoon{1200}; ///< the first time: routers that started together are all there by then
    Millis refreshAgain{5000}; ///< after the store could not be reached
    Millis silentAfter{10000}; ///< a peer that has not been heard for so long is told one round in ten
    Millis forgottenAfter{std::chrono::minutes(10)}; ///< its entry is removed from the store
    /// News of the store are told before the next round is due, but not sooner after the last one.
    Millis newsAfter{30};
    /// A neighbour counts among those that ask the store when it was heard in
    /// this time, or in three times as long as it takes on average to be told by one of them.
    Millis askerSilentAfter{2000};
    /// Routers that bring a request's single endings together, the same for all
    /// routers: three, as any may be restarted or cut off.
    std::size_t endingCounters = 3;
    Millis complainEvery{10000}; ///< a socket that cannot be bound, or a peer that sends nonsense, is logged so often
};

/// Sends and takes datagrams; runs on one event loop.
class LoadExchange
{
public:
    LoadExchange(platform::ObjectApi &api, Peer self, router::RoutingTable &table, ExchangeOptions options = {});

    /// Keeps the list of peers, until stopped.
    Task<void> followPeers();
    /// Tells peers what was heard, until stopped.
    Task<void> tell();
    /// Takes what peers tell, until stopped.
    Task<void> hear();
    void stop();

    /// Takes one datagram; from a sender that is no peer it is left out.
    void take(std::span<const uint8_t> datagram, const http::Address &from, Clock::time_point now);
    /// Peers that were heard lately; from any thread.
    std::size_t heardPeers() const
    {
        return m_heardPeers;
    }
    /// Routers that the store lists, this one too; 0 until it has listed them
    /// twice, as those that start together are not all there at first. From any thread.
    std::size_t listedRouters() const
    {
        return m_listedRouters;
    }
    /// True when no router that was heard lately has a name before this one's:
    /// what one router of the fleet is to do is this one's.
    bool firstByName(Clock::time_point now) const;
    /// What the store confirmed of these kinds is told to neighbours, and taken
    /// from them. They must outlive the exchange.
    void share(std::vector<replica::SharedReplica *> replicas);
    /// This router's place by name among the neighbours heard lately, 0 for the
    /// first; nothing when none is heard. Neighbours are the routers of the
    /// failure domain, or all of a fleet that is told whole in one round.
    std::optional<std::size_t> rank(Clock::time_point now) const;
    /// Others are to be told before the next round is due; from the exchange's loop.
    void tellSoon()
    {
        m_newsToTell = true;
        m_news.notifyAll();
    }
    /// What is known of requests under which endpoints end is told to others,
    /// and taken from them. It must outlive the exchange.
    void share(quarantine::RequestQuarantine &quarantine)
    {
        m_quarantine = &quarantine;
    }
    /// Reads the list of peers once, and removes the entries of those that
    /// have been silent for long. False when the store could not be reached.
    Task<bool> refreshPeers(Clock::time_point now);

private:
    using Udp = asio::ip::udp;
    bool open(const asio::any_io_executor &ex);
    Task<void> sendRound();
    Task<void> send(const std::vector<Peer> &told, const Digest &digest, Clock::time_point now);
    Task<void> sendEndings(bool alsoSilent, Clock::time_point now);
    std::vector<Peer> countersOf(uint64_t content, const std::vector<Peer> &others) const;
    std::vector<Peer> neighbours() const;
    void takeConfirmation(const replica::Confirmation &word, const Peer &from, Clock::time_point now);
    void shareLimits();
    Task<void> forgetSilent(Clock::time_point now);
    void countHeard(Clock::time_point now);
    void complain(const std::string &peer, const std::string &why, Clock::time_point now);
    bool silent(const Peer &peer, Clock::time_point now) const;
    std::vector<Peer> drawn(const std::vector<Peer> &peers, std::size_t most, bool alsoSilent, Clock::time_point now);

    Peer m_self;
    router::RoutingTable &m_table;
    ExchangeOptions m_options;
    Directory m_directory;
    std::optional<Udp::socket> m_socket;
    std::map<http::Address, Clock::time_point> m_heardAt; ///< by sender; when it was first listed, before that
    std::vector<Peer> m_neighbours; ///< by name
    std::vector<replica::SharedReplica *> m_replicas;
    quarantine::RequestQuarantine *m_quarantine = nullptr;
    Clock::time_point m_neighbourHeardAt{};
    Notifier m_news;
    bool m_newsToTell = false;
    Clock::time_point m_toldUpTo{};
    uint64_t m_round = 0;
    Clock::time_point m_complainedAt{};
    std::minstd_rand m_random{std::random_device{}()};
    std::atomic<std::size_t> m_heardPeers{0};
    std::atomic<std::size_t> m_listedRouters{0};
    int m_listings = 0;
    bool m_stopping = false;
};

} // namespace yucca::peers
