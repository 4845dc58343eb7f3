// A TCP proxy on loopback that disturbs the connections through it.
#pragma once

#include "http.h"
#include "task.h"

#include <boost/asio/ip/tcp.hpp>

#include <list>
#include <memory>

namespace yucca::soak
{

/// What becomes of the bytes on their way.
enum class Disturbance {
    None,
    Delay, ///< each piece is late
    Reset, ///< open connections are reset, new ones at once
    MuteForth, ///< bytes towards the server are swallowed
    MuteBack, ///< bytes towards the client are swallowed
    Silence, ///< both
};

inline constexpr NameTable<Disturbance, 6> disturbanceNames{{{Disturbance::None, "none"},
                                                             {Disturbance::Delay, "delay"},
                                                             {Disturbance::Reset, "reset"},
                                                             {Disturbance::MuteForth, "mute_forth"},
                                                             {Disturbance::MuteBack, "mute_back"},
                                                             {Disturbance::Silence, "silence"}}};

/// Forwards connections from one port to another. A connection whose bytes
/// were swallowed stays silent, as one behind a partition that outlasts it.
class Proxy
{
public:
    Proxy(asio::io_context &loop, uint16_t port, uint16_t server);
    void disturb(Disturbance how);

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
        bool muteForth = false;
        bool muteBack = false;
        bool reset = false;
    };
    using PairPtr = std::shared_ptr<Pair>;

    Task<void> accept();
    Task<void> connect(PairPtr pair);
    Task<void> pump(PairPtr pair, bool forth);
    static void resetBoth(Pair &pair);

    asio::io_context &m_loop;
    Tcp::acceptor m_acceptor;
    uint16_t m_server;
    Disturbance m_how = Disturbance::None;
    std::list<std::weak_ptr<Pair>> m_pairs;
};

} // namespace yucca::soak
