// A TCP proxy on loopback that can disturb the connections through it.
#pragma once

#include "http.h"
#include "task.h"

#include <boost/asio/ip/tcp.hpp>

#include <list>
#include <memory>

namespace yucca::soak
{

/// How a proxy treats connections and their bytes.
enum class Disturbance {
    None,
    Delay, ///< each piece is delayed
    Reset, ///< open connections are reset, and new ones as soon as they are accepted
    MuteForth, ///< bytes to the server are dropped
    MuteBack, ///< bytes to the client are dropped
    Silence, ///< bytes in both directions are dropped
};

inline constexpr NameTable<Disturbance, 6> disturbanceNames{{{Disturbance::None, "none"},
                                                             {Disturbance::Delay, "delay"},
                                                             {Disturbance::Reset, "reset"},
                                                             {Disturbance::MuteForth, "mute_forth"},
                                                             {Disturbance::MuteBack, "mute_back"},
                                                             {Disturbance::Silence, "silence"}}};

/// Forwards connections from one loopback port to another. A connection that once dropped a direction's bytes drops
/// them until it is closed, like a connection that does not survive a network partition.
class Proxy
{
public:
    /// Listens on port and connects to serverPort for each connection; throws boost::system::system_error when the
    /// port cannot be opened.
    Proxy(asio::io_context &loop, uint16_t port, uint16_t serverPort);
    /// Applies a disturbance to open and new connections until the next call; None ends it.
    void disturb(Disturbance disturbance);

private:
    using Tcp = asio::ip::tcp;
    struct Pair {
        explicit Pair(asio::io_context &loop)
            : client(loop)
            , server(loop)
        {
        }
        Tcp::socket client;
        Tcp::socket server;
        bool dropsToServer = false;
        bool dropsToClient = false;
        bool reset = false;
    };
    using PairPtr = std::shared_ptr<Pair>;

    Task<void> accept();
    Task<void> connect(PairPtr pair);
    Task<void> forward(PairPtr pair, bool toServer);
    static void resetPair(Pair &pair);

    asio::io_context &m_loop;
    Tcp::acceptor m_acceptor;
    uint16_t m_serverPort;
    Disturbance m_disturbance = Disturbance::None;
    std::list<std::weak_ptr<Pair>> m_pairs;
};

} // namespace yucca::soak
