#include "cold_limit.h"

#include "member_state.h"

#include <algorithm>
#include <cmath>

namespace yucca::limits
{

namespace
{

/// One second, plus the time by which one request may travel longer than the next.
constexpr Millis windowLength{1050};

/// Twice the number of endpoints that the fleet is planned for.
constexpr std::size_t maxWindows = 4096;

} // namespace

ColdShare coldShare(const ColdAllowance &allowance, std::size_t routers)
{
    const double fleetRate = std::min(allowance.maxPerSecond / 2, std::max(1.0, allowance.perSecond));
    const auto fleetShare = static_cast<std::size_t>(std::max(0.0, std::floor(fleetRate)));
    ColdShare share;
    share.owners = std::min(routers, fleetShare);
    share.perSecond = share.owners == 0 ? 0 : fleetShare / share.owners;
    return share;
}

void ColdLimiter::setRouters(const std::string &self, const std::vector<std::string> &others)
{
    const auto selfHash = ring::hash(self);
    auto hashes = placement::memberHashes(others);
    std::sort(hashes.begin(), hashes.end());
    if (m_listed && m_self == selfHash && m_others == hashes) {
        return;
    }
    m_self = selfHash;
    m_others = std::move(hashes);
    m_listed = true;
    ++m_generation;
}

void ColdLimiter::setAllowances(std::map<std::string, ColdAllowance> allowances)
{
    if (m_allowances != allowances) {
        m_allowances = std::move(allowances);
        ++m_generation;
    }
}

Millis ColdLimiter::coldDuration(const std::string &service) const
{
    const auto it = m_allowances.find(service);
    return it == m_allowances.end() ? Millis(0) : it->second.coldDuration;
}

// The owners are the first routers in the endpoint's rendezvous order. All routers that see the same fleet compute the
// same order.
bool ColdLimiter::owns(const std::string &endpoint, std::size_t owners) const
{
    const auto key = ring::hash(endpoint);
    const auto own = placement::rendezvousScore(m_self, key);
    const auto before = std::count_if(m_others.begin(), m_others.end(), [&](uint64_t other) {
        return placement::rendezvousScore(other, key) > own;
    });
    return static_cast<std::size_t>(before) < owners;
}

ColdLimiter::Window &ColdLimiter::windowOf(const std::string &service, const std::string &endpoint)
{
    auto &window = m_windows[endpoint];
    const auto allowance = m_allowances.find(service);
    if (window.generation != m_generation && allowance != m_allowances.end()) {
        window.generation = m_generation;
        const auto ownerShare = coldShare(allowance->second, m_others.size() + 1);
        window.share = m_listed && owns(endpoint, ownerShare.owners) ? ownerShare.perSecond : 0;
    }
    return window;
}

std::size_t ColdLimiter::available(const std::string &service, const std::string &endpoint, Clock::time_point now)
{
    auto &window = windowOf(service, endpoint);
    dropExpired(window, now);
    return window.share - std::min(window.share, window.sends.size());
}

std::size_t ColdLimiter::share(const std::string &service, const std::string &endpoint)
{
    return windowOf(service, endpoint).share;
}

void ColdLimiter::recordSend(const std::string &service, const std::string &endpoint, Clock::time_point now)
{
    if (!isLimited(service)) {
        return;
    }
    auto &window = windowOf(service, endpoint);
    dropExpired(window, now);
    window.sends.push_back(now);
    dropIdleWindows(now);
}

void ColdLimiter::withdrawSend(const std::string &endpoint, Clock::time_point sentAt)
{
    const auto window = m_windows.find(endpoint);
    if (window == m_windows.end()) {
        return;
    }
    auto &sends = window->second.sends;
    const auto sent = std::find(sends.begin(), sends.end(), sentAt);
    if (sent != sends.end()) {
        sends.erase(sent);
    }
}

void ColdLimiter::dropExpired(Window &window, Clock::time_point now)
{
    while (!window.sends.empty() && now - window.sends.front() >= windowLength) {
        window.sends.pop_front();
    }
}

void ColdLimiter::dropIdleWindows(Clock::time_point now)
{
    if (m_windows.size() > maxWindows) {
        std::erase_if(m_windows, [now](const auto &entry) {
            return entry.second.sends.empty() || now - entry.second.sends.back() >= windowLength;
        });
    }
}

} // namespace yucca::limits
