#include "soak/path_cuts.h"

#include <filesystem>
#include <fstream>

namespace yucca::soak
{

namespace
{

constexpr uint16_t refusingPort = 1; ///< nothing listens on it

// Returns true if a cut affects an endpoint. Endpoints with odd numbers serve streams.
bool affects(CutScope scope, std::size_t endpoint)
{
    switch (scope) {
    case CutScope::All:
        return true;
    case CutScope::OneService:
        return endpoint % 2 == 0;
    case CutScope::Half:
        return endpoint % 4 < 2;
    }
    return true;
}

} // namespace

PathCuts::PathCuts(asio::io_context &loop, std::size_t routers, PathPorts ports, std::string directory)
    : m_ports(std::move(ports))
    , m_directory(std::move(directory))
    , m_unanswered(loop)
    , m_queued(loop)
    , m_unansweredPort(static_cast<uint16_t>(m_ports.first + routers * m_ports.endpoints.size()))
{
    for (std::size_t router = 0; router < routers; ++router) {
        for (std::size_t endpoint = 0; endpoint < m_ports.endpoints.size(); ++endpoint) {
            m_proxies.push_back(std::make_unique<Proxy>(loop, pathPort(router, endpoint), m_ports.endpoints[endpoint]));
        }
        writeRedirects(router, std::nullopt);
    }
    const Tcp::endpoint address(asio::ip::make_address("127.0.0.1"), m_unansweredPort);
    m_unanswered.open(address.protocol());
    m_unanswered.set_option(Tcp::acceptor::reuse_address(true));
    m_unanswered.bind(address);
    m_unanswered.listen(0);
    m_queued.connect(address); // fills the queue
}

std::string PathCuts::redirectsFile(std::size_t router) const
{
    return m_directory + "/redirects-" + std::to_string(router);
}

// The file is replaced as a whole, because the router may read it at any time.
void PathCuts::writeRedirects(std::size_t router, const std::optional<PathCut> &cut) const
{
    const std::string fresh = redirectsFile(router) + ".new";
    std::ofstream out(fresh);
    for (std::size_t endpoint = 0; endpoint < m_ports.endpoints.size(); ++endpoint) {
        const bool isCut = cut && affects(cut->scope, endpoint);
        const auto cutPort = cut && cut->refusing ? refusingPort : m_unansweredPort;
        out << m_ports.endpoints[endpoint] << " " << (isCut ? cutPort : pathPort(router, endpoint)) << "\n";
    }
    out.close();
    std::filesystem::rename(fresh, redirectsFile(router));
}

void PathCuts::cut(std::size_t router, const PathCut &cut)
{
    writeRedirects(router, cut);
    for (std::size_t endpoint = 0; endpoint < m_ports.endpoints.size(); ++endpoint) {
        if (affects(cut.scope, endpoint)) {
            m_proxies[index(router, endpoint)]->disturb(cut.established);
        }
    }
}

void PathCuts::heal(std::size_t router)
{
    for (std::size_t endpoint = 0; endpoint < m_ports.endpoints.size(); ++endpoint) {
        m_proxies[index(router, endpoint)]->disturb(Disturbance::None);
    }
    writeRedirects(router, std::nullopt);
}

} // namespace yucca::soak
