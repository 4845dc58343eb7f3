#include "peers/load_exchange.h"

#include "log.h"

#include <boost/asio/buffer.hpp>

#include <algorithm>
#include <iterator>
#include <set>

namespace yucca::peers
{

namespace
{

constexpr Millis startJitter{1000};
constexpr uint64_t silentPeerRounds = 10; ///< a silent peer gets a datagram in one of this many rounds

} // namespace

LoadExchange::LoadExchange(platform::ObjectApi &api, Peer self, router::RoutingTable &table, ExchangeOptions options)
    : m_self(self)
    , m_table(table)
    , m_options(options)
    , m_directory(api, std::move(self))
{
}

void LoadExchange::stop()
{
    m_stopping = true;
    if (m_socket) {
        boost::system::error_code ec;
        m_socket->close(ec);
    }
}

// Binds the socket if it is not bound. Without it, a router works with the loads that it receives itself.
bool LoadExchange::openSocket(const asio::any_io_executor &ex)
{
    if (m_socket) {
        return true;
    }
    boost::system::error_code ec;
    const auto address = asio::ip::make_address(m_self.address.host, ec);
    Udp::socket socket(ex);
    if (!ec) {
        socket.open(Udp::v4(), ec);
    }
    if (!ec) {
        socket.bind({address, m_self.address.port}, ec);
    }
    if (ec) {
        logWarning(m_self.id, ec.message(), Clock::now());
        return false;
    }
    m_socket = std::move(socket);
    m_socketEmptyAt = Clock::now();
    return true;
}

void LoadExchange::checkSocketEmpty(Clock::time_point now)
{
    boost::system::error_code ec;
    if (m_socket->available(ec) == 0) {
        m_socketEmptyAt = now;
    }
}

// Returns the arrival time to assume for a datagram that is read now.
Clock::time_point LoadExchange::arrivalTime(Clock::time_point now) const
{
    return now - m_socketEmptyAt > m_options.maxReceiveDelay ? m_socketEmptyAt : now;
}

Task<void> LoadExchange::runPeerRefresh()
{
    // Spreads the listings of routers that start together.
    co_await sleepFor(Millis(m_random() % startJitter.count()));
    while (!m_stopping) {
        const bool reached = co_await refreshPeers(Clock::now());
        const bool settled = m_listings >= 2 && m_directory.listsSelf();
        const auto next = settled ? m_options.refreshInterval : m_options.firstRefreshDelay;
        co_await sleepFor(reached ? next : m_options.retryDelay);
    }
}

Task<bool> LoadExchange::refreshPeers(Clock::time_point now)
{
    const auto begunAt = BootClock::now();
    const bool reached = co_await m_directory.refresh();
    if (!reached) {
        co_return false;
    }
    recordListing(begunAt);
    if (++m_listings >= 2) {
        m_table.setRouters(m_self.id, m_membership.mayBeRunning()); // they share the limits of cold and brittle endpoints
        updatePeerGroups();
    }
    std::set<http::Address> listed;
    for (const auto *peers : {&m_directory.domainPeers(), &m_directory.otherDomainPeers()}) {
        for (const auto &peer : *peers) {
            m_lastHeardAt.try_emplace(peer.address, now);
            listed.insert(peer.address);
        }
    }
    m_neighbours = neighbours();
    std::erase_if(m_lastHeardAt, [&listed](const auto &heard) {
        return !listed.count(heard.first);
    });
    co_await removeSilentEntries(now);
    co_return true;
}

void LoadExchange::recordListing(BootClock::time_point begunAt)
{
    std::vector<std::string> others;
    for (const auto *peers : {&m_directory.domainPeers(), &m_directory.otherDomainPeers()}) {
        for (const auto &peer : *peers) {
            others.push_back(peer.id);
        }
    }
    m_membership.recordListing(others, m_directory.listsSelf(), begunAt, BootClock::now());
}

// Computes how often a datagram of a given peer is expected, on the assumption that the failure domains are of similar sizes.
void LoadExchange::updatePeerGroups()
{
    const auto near = m_directory.domainPeers().size();
    const auto far = m_directory.otherDomainPeers().size();
    const auto nearPerRound = std::min(near, m_options.maxDomainPeersPerRound);
    m_fleetInflight.setGroup(PeerKind::SameDomain, makePeerGroup(near, nearPerRound, m_options.roundInterval));
    m_fleetInflight.setGroup(PeerKind::OtherDomain, makePeerGroup(far, m_options.maxPeersPerRound - nearPerRound, m_options.roundInterval));
    m_domainAddresses.clear();
    for (const auto &peer : m_directory.domainPeers()) {
        m_domainAddresses.insert(peer.address);
    }
}

// Removes the entries of silent peers: those of VMs that no longer exist would accumulate.
Task<void> LoadExchange::removeSilentEntries(Clock::time_point now)
{
    const auto peers = m_directory.domainPeers();
    for (const auto &peer : peers) {
        const auto heard = m_lastHeardAt.find(peer.address);
        if (heard != m_lastHeardAt.end() && now - heard->second > m_options.entryRemovedAfter) {
            co_await m_directory.removeEntry(peer);
        }
    }
}

bool LoadExchange::isSilent(const Peer &peer, Clock::time_point now) const
{
    const auto heard = m_lastHeardAt.find(peer.address);
    return heard == m_lastHeardAt.end() || now - heard->second > m_options.peerSilentAfter;
}

void LoadExchange::shareReplicas(std::vector<replica::SharedReplica *> replicas)
{
    m_replicas = std::move(replicas);
    for (auto *replica : m_replicas) {
        replica->onChange = [this] {
            requestRound();
        };
    }
}

bool LoadExchange::reachesAllPeers() const
{
    return m_directory.domainPeers().size() + m_directory.otherDomainPeers().size() <= m_options.maxPeersPerRound;
}

// Returns the routers of the failure domain, or all routers of a fleet small enough to be reached in one round.
std::vector<Peer> LoadExchange::neighbours() const
{
    auto out = m_directory.domainPeers();
    const auto &far = m_directory.otherDomainPeers();
    if (reachesAllPeers()) {
        out.insert(out.end(), far.begin(), far.end());
    }
    std::sort(out.begin(), out.end(), [](const Peer &a, const Peer &b) {
        return a.id < b.id;
    });
    return out;
}

std::optional<std::size_t> LoadExchange::rank(Clock::time_point now) const
{
    if (m_neighbours.empty() || now - m_neighbourHeardAt > m_options.neighbourSilentAfter) {
        return std::nullopt;
    }
    const auto peersPerRound = std::min(m_neighbours.size(), m_options.maxDomainPeersPerRound);
    const auto silence = std::max<Clock::duration>(m_options.neighbourSilentAfter, m_options.roundInterval * 3 * m_neighbours.size() / peersPerRound);
    return static_cast<std::size_t>(std::count_if(m_neighbours.begin(), m_neighbours.end(), [&](const Peer &peer) {
        const auto heard = m_lastHeardAt.find(peer.address);
        return peer.id < m_self.id && heard != m_lastHeardAt.end() && now - heard->second <= silence;
    }));
}

Task<void> LoadExchange::runSender()
{
    const auto ex = co_await asio::this_coro::executor;
    while (!m_stopping) {
        const auto next = Clock::now() + m_options.roundInterval;
        co_await sleepFor(m_options.minRoundInterval);
        if (!m_updatePending) {
            co_await m_updateNotifier.wait(next);
        }
        m_updatePending = false;
        if (openSocket(ex) && !m_stopping) {
            checkSocketEmpty(Clock::now());
            co_await sendRound();
        }
    }
}

// Returns at most maxCount peers, drawn at random; silent ones only if includeSilent is set.
std::vector<Peer> LoadExchange::randomPeers(const std::vector<Peer> &peers, std::size_t maxCount, bool includeSilent, Clock::time_point now)
{
    std::vector<Peer> out;
    std::copy_if(peers.begin(), peers.end(), std::back_inserter(out), [&](const Peer &peer) {
        return includeSilent || !isSilent(peer, now);
    });
    std::shuffle(out.begin(), out.end(), m_random);
    out.resize(std::min(out.size(), maxCount));
    return out;
}

// Sends the counts of requests in flight, and the load reports and prompt announcements since the last round, to random peers, and to
// neighbours also the store's confirmations. In one round of silentPeerRounds, silent peers are included and empty datagrams are sent,
// which show that this router is running.
Task<void> LoadExchange::sendRound()
{
    const auto now = Clock::now();
    PeerMessage message;
    message.loads = m_table.reportsReceivedSince(m_sentUpTo);
    if (!reachesAllPeers()) {
        const auto forwarded = m_table.reportsToForward(m_sentUpTo, m_options.maxForwardedReports, m_options.maxForwardedAge, now);
        message.loads.insert(message.loads.end(), forwarded.begin(), forwarded.end());
    }
    m_sentUpTo = now;
    countActivePeers(now);
    message.prompts = m_table.takePromptAnnouncements(maxPrompts);
    message.inflight = m_table.inflightCounts();
    m_table.recordPeerInflight(m_fleetInflight.estimate(now), now);
    const bool keepaliveRound = m_round++ % silentPeerRounds == 0;
    const bool idle = std::all_of(message.inflight.begin(), message.inflight.end(), [](const InflightCount &count) {
        return count.inflight == 0;
    });
    const bool nothingNew = message.loads.empty() && message.prompts.empty() && idle;
    for (const auto *replica : m_replicas) {
        if (auto confirmation = replica->currentConfirmation()) {
            message.confirmations.push_back(std::move(*confirmation));
        }
    }
    const auto near = randomPeers(m_directory.domainPeers(), m_options.maxDomainPeersPerRound, keepaliveRound, now);
    if (!nothingNew || !message.confirmations.empty() || keepaliveRound) {
        co_await send(near, message, now);
    }
    const bool smallFleet = m_neighbours.size() > m_directory.domainPeers().size();
    if (!smallFleet) {
        message.confirmations.clear();
    }
    if (!nothingNew || !message.confirmations.empty() || keepaliveRound) {
        co_await send(randomPeers(m_directory.otherDomainPeers(), m_options.maxPeersPerRound - near.size(), keepaliveRound, now), message, now);
    }
    co_await sendCrashRecords(keepaliveRound, now);
}

Task<void> LoadExchange::send(const std::vector<Peer> &receivers, const PeerMessage &message, Clock::time_point now)
{
    const auto datagrams = encode(message, now);
    for (const auto &peer : receivers) {
        boost::system::error_code ec;
        const auto address = asio::ip::make_address(peer.address.host, ec);
        if (ec) {
            continue;
        }
        const Udp::endpoint to(address, peer.address.port);
        for (const auto &datagram : datagrams) {
            // A lost datagram is not logged: the next round sends newer state.
            co_await m_socket->async_send_to(asio::buffer(datagram), to, asio::redirect_error(asio::use_awaitable, ec));
        }
    }
}

Task<void> LoadExchange::runReceiver()
{
    const auto ex = co_await asio::this_coro::executor;
    std::vector<uint8_t> buffer(maxReceivedBytes);
    while (!m_stopping) {
        if (!openSocket(ex)) {
            co_await sleepFor(m_options.retryDelay);
            continue;
        }
        checkSocketEmpty(Clock::now());
        Udp::endpoint from;
        boost::system::error_code ec;
        const auto n = co_await m_socket->async_receive_from(asio::buffer(buffer), from, asio::redirect_error(asio::use_awaitable, ec));
        if (ec && !m_stopping) {
            co_await sleepFor(m_options.roundInterval); // an earlier datagram of this router was rejected by its receiver's host
            continue;
        }
        handleDatagram({buffer.data(), n}, {from.address().to_string(), from.port()}, arrivalTime(Clock::now()));
    }
}

void LoadExchange::handleDatagram(std::span<const uint8_t> datagram, const http::Address &from, Clock::time_point now)
{
    const auto heard = m_lastHeardAt.find(from);
    if (heard == m_lastHeardAt.end()) {
        return; // the sender is not listed
    }
    const auto decoded = decode(datagram, now);
    if (const auto *error = std::get_if<Error>(&decoded)) {
        ++m_unreadableItems;
        logWarning(from.host, error->message, now);
        return;
    }
    heard->second = now;
    const auto &message = std::get<PeerMessage>(decoded);
    if (message.unreadable > 0) {
        m_unreadableItems += message.unreadable;
        logUnreadable(from.host, message.unreadable, now);
    }
    if (m_listings >= 2) {
        const auto kind = m_domainAddresses.count(from) ? PeerKind::SameDomain : PeerKind::OtherDomain;
        m_fleetInflight.recordDatagram(from, kind, message.inflight, now);
    }
    for (const auto &report : message.loads) {
        m_table.mergePeerReport(report, now);
    }
    for (const auto &announcement : message.prompts) {
        m_table.mergePeerPrompt(announcement, now);
    }
    if (m_quarantine) {
        for (const auto &record : message.crashes) {
            m_quarantine->merge(record, now);
        }
        for (const auto &suspicion : message.suspicions) {
            m_quarantine->merge(suspicion, now);
        }
        for (const auto &response : message.completeResponses) {
            m_quarantine->merge(response);
        }
    }
    handleOrigins(message, from, now);
    const auto neighbour = std::find_if(m_neighbours.begin(), m_neighbours.end(), [&from](const Peer &peer) {
        return peer.address == from;
    });
    if (neighbour == m_neighbours.end()) {
        return;
    }
    m_neighbourHeardAt = now;
    for (const auto &confirmation : message.confirmations) {
        dispatchConfirmation(confirmation, *neighbour, now);
    }
}

void LoadExchange::dispatchConfirmation(const replica::Confirmation &confirmation, const Peer &from, Clock::time_point now)
{
    for (auto *replica : m_replicas) {
        if (replica->kind() == confirmation.kind) {
            replica->receiveConfirmation(confirmation, from.address, now);
        }
    }
}

std::size_t LoadExchange::rankByName(Clock::time_point now) const
{
    const auto before = [&](const Peer &peer) {
        return peer.id < m_self.id && !isSilent(peer, now);
    };
    const auto &near = m_directory.domainPeers();
    const auto &far = m_directory.otherDomainPeers();
    return static_cast<std::size_t>(std::count_if(near.begin(), near.end(), before) + std::count_if(far.begin(), far.end(), before));
}

// Logs a problem that may recur with each round or datagram, at most once per warningInterval.
void LoadExchange::logWarning(const std::string &peer, const std::string &why, Clock::time_point now)
{
    if (now - m_warnedAt >= m_options.warningInterval) {
        m_warnedAt = now;
        log::Line{log::Event::PeersUnreachable}.add("peer", peer).add("why", why);
    }
}

// Logs that items of a peer's datagrams were skipped, at most once per warningInterval.
void LoadExchange::logUnreadable(const std::string &peer, std::size_t items, Clock::time_point now)
{
    if (now - m_unreadableLoggedAt >= m_options.warningInterval) {
        m_unreadableLoggedAt = now;
        log::Line{log::Event::PeerItemsUnreadable}
            .add("peer", peer)
            .add("items", static_cast<int64_t>(items))
            .add("total", static_cast<int64_t>(m_unreadableItems.load()));
    }
}

std::vector<Peer> LoadExchange::activePeers(Clock::time_point now) const
{
    std::vector<Peer> active;
    for (const auto *peers : {&m_directory.domainPeers(), &m_directory.otherDomainPeers()}) {
        for (const auto &peer : *peers) {
            if (!isSilent(peer, now)) {
                active.push_back(peer);
            }
        }
    }
    return active;
}

std::optional<std::size_t> LoadExchange::listedRouters() const
{
    const auto others = m_directory.domainPeers().size() + m_directory.otherDomainPeers().size();
    return m_listings > 0 ? std::optional(others + 1) : std::nullopt;
}

std::set<std::string> LoadExchange::listedHosts() const
{
    std::set<std::string> hosts;
    for (const auto *peers : {&m_directory.domainPeers(), &m_directory.otherDomainPeers()}) {
        for (const auto &peer : *peers) {
            hosts.insert(peer.address.host);
        }
    }
    return hosts;
}

void LoadExchange::countActivePeers(Clock::time_point now)
{
    const auto &peers = m_directory.domainPeers();
    m_activePeerCount = static_cast<std::size_t>(std::count_if(peers.begin(), peers.end(), [&](const Peer &peer) {
        return !isSilent(peer, now);
    }));
}

} // namespace yucca::peers
