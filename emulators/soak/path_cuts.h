// The paths from the routers of a soak test to its endpoints, each of which can be cut by itself.
#pragma once

#include "soak/proxy.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace yucca::soak
{

/// The endpoints to which a router loses its paths.
enum class CutScope {
    All,
    OneService, ///< the endpoints of one service
    Half, ///< half of the endpoints of each service
};

/// How the paths of a router are cut.
struct PathCut {
    CutScope scope = CutScope::All;
    Disturbance established = Disturbance::Silence; ///< of the connections that are open
    bool refusing = false; ///< new connections are refused; otherwise they stay unanswered
    bool operator==(const PathCut &) const = default;
};

/// The ports that the paths use.
struct PathPorts {
    uint16_t first = 0; ///< one for each path, then one that answers no connection
    std::vector<uint16_t> endpoints; ///< at which the routers look for the endpoints
};

/// Routes each router's connections to the endpoints through proxies of its own. Used from one event loop.
class PathCuts
{
public:
    PathCuts(asio::io_context &loop, std::size_t routers, PathPorts ports, std::string directory);
    /// The file with the redirects of a router, which must be in the environment of its process.
    std::string redirectsFile(std::size_t router) const;
    /// Cuts the paths of a router until heal().
    void cut(std::size_t router, const PathCut &cut);
    void heal(std::size_t router);

private:
    using Tcp = asio::ip::tcp;

    std::size_t index(std::size_t router, std::size_t endpoint) const
    {
        return router * m_ports.endpoints.size() + endpoint;
    }
    uint16_t pathPort(std::size_t router, std::size_t endpoint) const
    {
        return static_cast<uint16_t>(m_ports.first + index(router, endpoint));
    }
    void writeRedirects(std::size_t router, const std::optional<PathCut> &cut) const;

    PathPorts m_ports;
    std::string m_directory;
    std::vector<std::unique_ptr<Proxy>> m_proxies; ///< by index()
    Tcp::acceptor m_unanswered; ///< its queue of connections is full, so that further ones stay unanswered
    Tcp::socket m_queued;
    uint16_t m_unansweredPort;
};

} // namespace yucca::soak
