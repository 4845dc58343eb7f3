#include "load_exchange.h"

#include "log.h"

#include <boost/asio/buffer.hpp>

#include <algorithm>
#include <iterator>
#include <set>

namespace yucca::peers
{

namespace
{

constexpr std::size_t longestDatagram = 2048;
constexpr Millis startSpread{1000};
constexpr uint64_t silentEvery = 10; ///< rounds between datagrams to a peer that is silent

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

// Binds the socket; routers work without it, each on what it hears itself.
bool LoadExchange::open(const asio::any_io_executor &ex)
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
        complain(m_self.id, ec.message(), Clock::now());
        return false;
    }
    m_socket = std::move(socket);
    return true;
}

Task<void> LoadExchange::followPeers()
{
    // Routers that start together do not list together.
    co_await sleepFor(Millis(m_random() % startSpread.count()));
    Millis next = m_options.refreshSoon;
    while (!m_stopping) {
        const bool reached = co_await refreshPeers(Clock::now());
        co_await sleepFor(reached ? next : m_options.refreshAgain);
        next = reached ? m_options.refreshEvery : next;
    }
}

Task<bool> LoadExchange::refreshPeers(Clock::time_point now)
{
    const bool reached = co_await m_directory.refresh();
    if (!reached) {
        co_return false;
    }
    if (++m_listings >= 2) {
        m_listedRouters = m_directory.peers().size() + m_directory.farPeers().size() + 1;
        shareLimits();
    }
    std::set<http::Address> listed;
    for (const auto *peers : {&m_directory.peers(), &m_directory.farPeers()}) {
        for (const auto &peer : *peers) {
            m_heardAt.try_emplace(peer.address, now);
            listed.insert(peer.address);
        }
    }
    m_neighbours = neighbours();
    std::erase_if(m_heardAt, [&listed](const auto &heard) {
        return !listed.count(heard.first);
    });
    co_await forgetSilent(now);
    co_return true;
}

// Tells the routing table who shares what cold endpoints bear.
void LoadExchange::shareLimits()
{
    std::vector<std::string> others;
    for (const auto *peers : {&m_directory.peers(), &m_directory.farPeers()}) {
        for (const auto &peer : *peers) {
            others.push_back(peer.id);
        }
    }
    m_table.setRouters(m_self.id, others);
}

// Entries of VMs that are gone would pile up.
Task<void> LoadExchange::forgetSilent(Clock::time_point now)
{
    const auto peers = m_directory.peers();
    for (const auto &peer : peers) {
        const auto heard = m_heardAt.find(peer.address);
        if (heard != m_heardAt.end() && now - heard->second > m_options.forgottenAfter) {
            co_await m_directory.forget(peer);
        }
    }
}

bool LoadExchange::silent(const Peer &peer, Clock::time_point now) const
{
    const auto heard = m_heardAt.find(peer.address);
    return heard == m_heardAt.end() || now - heard->second > m_options.silentAfter;
}

void LoadExchange::share(std::vector<replica::SharedReplica *> replicas)
{
    m_replicas = std::move(replicas);
    for (auto *replica : m_replicas) {
        replica->onNews = [this] {
            tellSoon();
        };
    }
}

// The failure domain; a small fleet whole, as one round of datagrams reaches it.
std::vector<Peer> LoadExchange::neighbours() const
{
    auto out = m_directory.peers();
    const auto &far = m_directory.farPeers();
    if (out.size() + far.size() <= m_options.mostTold) {
        out.insert(out.end(), far.begin(), far.end());
    }
    std::sort(out.begin(), out.end(), [](const Peer &a, const Peer &b) {
        return a.id < b.id;
    });
    return out;
}

std::optional<std::size_t> LoadExchange::rank(Clock::time_point now) const
{
    if (m_neighbours.empty() || now - m_neighbourHeardAt > m_options.askerSilentAfter) {
        return std::nullopt;
    }
    const auto toldByEach = std::min(m_neighbours.size(), m_options.mostNearTold);
    const auto silence = std::max<Clock::duration>(m_options.askerSilentAfter, m_options.every * 3 * m_neighbours.size() / toldByEach);
    return static_cast<std::size_t>(std::count_if(m_neighbours.begin(), m_neighbours.end(), [&](const Peer &peer) {
        const auto heard = m_heardAt.find(peer.address);
        return peer.id < m_self.id && heard != m_heardAt.end() && now - heard->second <= silence;
    }));
}

Task<void> LoadExchange::tell()
{
    const auto ex = co_await asio::this_coro::executor;
    while (!m_stopping) {
        const auto next = Clock::now() + m_options.every;
        co_await sleepFor(m_options.newsAfter);
        if (!m_newsToTell) {
            co_await m_news.wait(next);
        }
        m_newsToTell = false;
        if (open(ex) && !m_stopping) {
            co_await sendRound();
        }
    }
}

// Some of the peers, at random; the silent ones only now and then.
std::vector<Peer> LoadExchange::drawn(const std::vector<Peer> &peers, std::size_t most, bool alsoSilent, Clock::time_point now)
{
    std::vector<Peer> out;
    std::copy_if(peers.begin(), peers.end(), std::back_inserter(out), [&](const Peer &peer) {
        return alsoSilent || !silent(peer, now);
    });
    std::shuffle(out.begin(), out.end(), m_random);
    out.resize(std::min(out.size(), most));
    return out;
}

// Tells some peers what was heard since the last round, and neighbours also
// what the store confirmed; where nothing was heard, other peers are told now
// and then that this router lives.
Task<void> LoadExchange::sendRound()
{
    const auto now = Clock::now();
    Digest digest;
    digest.loads = m_table.heardSince(m_toldUpTo);
    m_toldUpTo = now;
    countHeard(now);
    digest.prompts = m_table.takePromptNews(mostPrompts);
    const bool breath = m_round++ % silentEvery == 0;
    const bool heardNothing = digest.loads.empty() && digest.prompts.empty();
    for (const auto *replica : m_replicas) {
        if (auto told = replica->told()) {
            digest.confirmations.push_back(std::move(*told));
        }
    }
    const auto near = drawn(m_directory.peers(), m_options.mostNearTold, breath, now);
    if (!heardNothing || !digest.confirmations.empty() || breath) {
        co_await send(near, digest, now);
    }
    const bool smallFleet = m_neighbours.size() > m_directory.peers().size();
    if (!smallFleet) {
        digest.confirmations.clear();
    }
    if (!heardNothing || !digest.confirmations.empty() || breath) {
        co_await send(drawn(m_directory.farPeers(), m_options.mostTold - near.size(), breath, now), digest, now);
    }
    co_await sendEndings(breath, now);
}

Task<void> LoadExchange::send(const std::vector<Peer> &told, const Digest &digest, Clock::time_point now)
{
    const auto datagram = encode(digest, now);
    for (const auto &peer : told) {
        boost::system::error_code ec;
        const auto address = asio::ip::make_address(peer.address.host, ec);
        if (!ec) {
            const Udp::endpoint to(address, peer.address.port);
            co_await m_socket->async_send_to(asio::buffer(datagram), to, asio::redirect_error(asio::use_awaitable, ec));
        }
        // A datagram that is lost is not worth a word: the next round tells more.
    }
}

Task<void> LoadExchange::hear()
{
    const auto ex = co_await asio::this_coro::executor;
    std::array<uint8_t, longestDatagram> buffer;
    while (!m_stopping) {
        if (!open(ex)) {
            co_await sleepFor(m_options.refreshAgain);
            continue;
        }
        Udp::endpoint from;
        boost::system::error_code ec;
        const auto n = co_await m_socket->async_receive_from(asio::buffer(buffer), from, asio::redirect_error(asio::use_awaitable, ec));
        if (ec && !m_stopping) {
            co_await sleepFor(m_options.every); // an earlier datagram of ours found no listener
            continue;
        }
        take({buffer.data(), n}, {from.address().to_string(), from.port()}, Clock::now());
    }
}

void LoadExchange::take(std::span<const uint8_t> datagram, const http::Address &from, Clock::time_point now)
{
    const auto heard = m_heardAt.find(from);
    if (heard == m_heardAt.end()) {
        return; // not listed, or not yet
    }
    const auto decoded = decode(datagram, now);
    if (const auto *error = std::get_if<Error>(&decoded)) {
        complain(from.host, error->message, now);
        return;
    }
    heard->second = now;
    const auto &digest = std::get<Digest>(decoded);
    for (const auto &report : digest.loads) {
        m_table.toldOf(report);
    }
    for (const auto &news : digest.prompts) {
        m_table.toldOfPrompt(news, now);
    }
    if (m_quarantine) {
        for (const auto &record : digest.endings) {
            m_quarantine->told(record, now);
        }
        for (const auto &suspicion : digest.suspicions) {
            m_quarantine->told(suspicion, now);
        }
        for (const auto &answer : digest.answers) {
            m_quarantine->told(answer);
        }
    }
    const auto neighbour = std::find_if(m_neighbours.begin(), m_neighbours.end(), [&from](const Peer &peer) {
        return peer.address == from;
    });
    if (neighbour == m_neighbours.end()) {
        return;
    }
    m_neighbourHeardAt = now;
    for (const auto &word : digest.confirmations) {
        takeConfirmation(word, *neighbour, now);
    }
}

void LoadExchange::takeConfirmation(const replica::Confirmation &word, const Peer &from, Clock::time_point now)
{
    for (auto *replica : m_replicas) {
        if (replica->kind() == word.kind) {
            replica->heard(word, from.address, now);
        }
    }
}

bool LoadExchange::firstByName(Clock::time_point now) const
{
    const auto before = [&](const Peer &peer) {
        return peer.id < m_self.id && !silent(peer, now);
    };
    const auto &near = m_directory.peers();
    const auto &far = m_directory.farPeers();
    return std::none_of(near.begin(), near.end(), before) && std::none_of(far.begin(), far.end(), before);
}

// Logs a trouble that comes with each round or datagram, now and then.
void LoadExchange::complain(const std::string &peer, const std::string &why, Clock::time_point now)
{
    if (now - m_complainedAt >= m_options.complainEvery) {
        m_complainedAt = now;
        log::Line{log::Event::PeersUnreachable}.add("peer", peer).add("why", why);
    }
}

void LoadExchange::countHeard(Clock::time_point now)
{
    const auto &peers = m_directory.peers();
    m_heardPeers = static_cast<std::size_t>(std::count_if(peers.begin(), peers.end(), [&](const Peer &peer) {
        return !silent(peer, now);
    }));
}

} // namespace yucca::peers
