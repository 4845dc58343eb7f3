#include "soak/proxy.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

namespace yucca::soak
{

namespace
{

constexpr Millis pieceDelay{150}; ///< of each piece; shorter than the target for a stream's event gaps
constexpr std::size_t maxPieceBytes = 16384;

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

Proxy::Proxy(asio::io_context &loop, uint16_t port, uint16_t serverPort)
    : m_loop(loop)
    , m_acceptor(loop, loopback(port))
    , m_serverPort(serverPort)
{
    asio::co_spawn(loop, accept(), asio::detached);
}

void Proxy::resetPair(Pair &pair)
{
    pair.reset = true;
    resetSocket(pair.client);
    resetSocket(pair.server);
}

void Proxy::disturb(Disturbance disturbance)
{
    m_disturbance = disturbance;
    m_pairs.remove_if([](const auto &pair) {
        return pair.expired();
    });
    for (const auto &weak : m_pairs) {
        if (const auto pair = weak.lock()) {
            pair->dropsToServer = pair->dropsToServer || disturbance == Disturbance::MuteForth || disturbance == Disturbance::Silence;
            pair->dropsToClient = pair->dropsToClient || disturbance == Disturbance::MuteBack || disturbance == Disturbance::Silence;
            if (disturbance == Disturbance::Reset) {
                resetPair(*pair);
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
        if (m_disturbance == Disturbance::Reset) {
            resetSocket(pair->client);
            continue;
        }
        pair->dropsToServer = m_disturbance == Disturbance::MuteForth || m_disturbance == Disturbance::Silence;
        pair->dropsToClient = m_disturbance == Disturbance::MuteBack || m_disturbance == Disturbance::Silence;
        m_pairs.push_back(pair);
        asio::co_spawn(m_loop, connect(pair), asio::detached);
    }
}

Task<void> Proxy::connect(PairPtr pair)
{
    boost::system::error_code ec;
    co_await pair->server.async_connect(loopback(m_serverPort), asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
        resetPair(*pair); // the server does not listen
        co_return;
    }
    pair->client.set_option(Tcp::no_delay(true), ec);
    pair->server.set_option(Tcp::no_delay(true), ec);
    asio::co_spawn(m_loop, forward(pair, false), asio::detached);
    co_await forward(pair, true);
}

// Forwards bytes in one direction until the sender closes, and then closes the receiver's direction too.
Task<void> Proxy::forward(PairPtr pair, bool toServer)
{
    auto &from = toServer ? pair->client : pair->server;
    auto &to = toServer ? pair->server : pair->client;
    std::vector<char> piece(maxPieceBytes);
    for (;;) {
        boost::system::error_code ec;
        const auto n = co_await from.async_read_some(asio::buffer(piece), asio::redirect_error(asio::use_awaitable, ec));
        const bool dropped = toServer ? pair->dropsToServer : pair->dropsToClient;
        if (pair->reset) {
            co_return;
        }
        if (ec == asio::error::eof && !dropped) {
            to.shutdown(Tcp::socket::shutdown_send, ec);
            co_return;
        }
        if (ec) {
            if (!dropped) {
                resetPair(*pair);
            }
            co_return;
        }
        if (dropped) {
            continue;
        }
        if (m_disturbance == Disturbance::Delay) {
            co_await sleepFor(pieceDelay);
        }
        co_await asio::async_write(to, asio::buffer(piece.data(), n), asio::redirect_error(asio::use_awaitable, ec));
        if (ec) {
            resetPair(*pair);
            co_return;
        }
    }
}

} // namespace yucca::soak
