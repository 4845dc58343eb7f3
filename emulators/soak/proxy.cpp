#include "soak/proxy.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

namespace yucca::soak
{

namespace
{

constexpr Millis lateBy{150}; ///< each piece, so that a stream's pauses stay under its target
constexpr std::size_t pieceBytes = 16384;

asio::ip::tcp::endpoint loopback(uint16_t port)
{
    return {asio::ip::make_address("127.0.0.1"), port};
}

void resetSocket(asio::ip::tcp::socket &socket)
{
    boost::system::error_code ec;
    socket.set_option(asio::socket_base::linger(true, 0), ec);
    socket.close(ec);
}

} // namespace

Proxy::Proxy(asio::io_context &loop, uint16_t port, uint16_t server)
    : m_loop(loop)
    , m_acceptor(loop, loopback(port))
    , m_server(server)
{
    asio::co_spawn(loop, accept(), asio::detached);
}

void Proxy::resetBoth(Pair &pair)
{
    pair.reset = true;
    resetSocket(pair.client);
    resetSocket(pair.server);
}

void Proxy::disturb(Disturbance how)
{
    m_how = how;
    m_pairs.remove_if([](const auto &pair) {
        return pair.expired();
    });
    for (const auto &weak : m_pairs) {
        if (const auto pair = weak.lock()) {
            pair->muteForth = pair->muteForth || how == Disturbance::MuteForth || how == Disturbance::Silence;
            pair->muteBack = pair->muteBack || how == Disturbance::MuteBack || how == Disturbance::Silence;
            if (how == Disturbance::Reset) {
                resetBoth(*pair);
            }
        }
    }
}

Task<void> Proxy::accept()
{
    for (;;) {
        auto pair = std::make_shared<Pair>(m_loop);
        boost::system::error_code ec;
        co_await m_acceptor.async_accept(pair->client, asio::redirect_error(asio::use_awaitable, ec));
        if (ec) {
            co_return;
        }
        if (m_how == Disturbance::Reset) {
            resetSocket(pair->client);
            continue;
        }
        pair->muteForth = m_how == Disturbance::MuteForth || m_how == Disturbance::Silence;
        pair->muteBack = m_how == Disturbance::MuteBack || m_how == Disturbance::Silence;
        m_pairs.push_back(pair);
        asio::co_spawn(m_loop, connect(pair), asio::detached);
    }
}

Task<void> Proxy::connect(PairPtr pair)
{
    boost::system::error_code ec;
    co_await pair->server.async_connect(loopback(m_server), asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
        resetBoth(*pair); // nobody listens there
        co_return;
    }
    pair->client.set_option(Tcp::no_delay(true), ec);
    pair->server.set_option(Tcp::no_delay(true), ec);
    asio::co_spawn(m_loop, pump(pair, false), asio::detached);
    co_await pump(pair, true);
}

// Moves bytes one way until that side ends; the end is passed on.
Task<void> Proxy::pump(PairPtr pair, bool forth)
{
    auto &from = forth ? pair->client : pair->server;
    auto &to = forth ? pair->server : pair->client;
    std::vector<char> piece(pieceBytes);
    for (;;) {
        boost::system::error_code ec;
        const auto n = co_await from.async_read_some(asio::buffer(piece), asio::redirect_error(asio::use_awaitable, ec));
        const bool muted = forth ? pair->muteForth : pair->muteBack;
        if (pair->reset) {
            co_return;
        }
        if (ec == asio::error::eof && !muted) {
            to.shutdown(Tcp::socket::shutdown_send, ec);
            co_return;
        }
        if (ec) {
            if (!muted) {
                resetBoth(*pair);
            }
            co_return;
        }
        if (muted) {
            continue;
        }
        if (m_how == Disturbance::Delay) {
            co_await sleepFor(lateBy);
        }
        co_await asio::async_write(to, asio::buffer(piece.data(), n), asio::redirect_error(asio::use_awaitable, ec));
        if (ec) {
            resetBoth(*pair);
            co_return;
        }
    }
}

} // namespace yucca::soak
