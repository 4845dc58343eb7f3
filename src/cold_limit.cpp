#include "cold_limit.h"

#include "member_state.h"

#include <algorithm>
#include <cmath>

namespace yucca::limits
{

namespace
{

/// A second, and what a send may take longer than the next one on its way.
constexpr Millis window{1050};

/// Windows kept: twice the endpoints of the two-year size.
constexpr std::size_t mostWindows = 4096;

} // namespace

ColdShare coldShare(const ColdAllowance &allowance, std::size_t routers)
{
    const double whole = std::min(allowance.mostPerSecond / 2, std::max(1.0, allowance.perSecond));
    const auto dealt = static_cast<std::size_t>(std::max(0.0, std::floor(whole)));
    ColdShare share;
    share.owners = std::min(routers, dealt);
    share.perSecond = share.owners == 0 ? 0 : dealt / share.owners;
    return share;
}

void ColdLimiter::setRouters(const std::string &self, const std::vector<std::string> &others)
{
    const auto selfHash = ring::hash(self);
    auto hashes = placement::hashesOf(others);
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

Millis ColdLimiter::coldFor(const std::string &service) const
{
    const auto it = m_allowances.find(service);
    return it == m_allowances.end() ? Millis(0) : it->second.coldFor;
}

// Owners are the first in the endpoint's rendezvous order of routers, which all
// routers that know the same fleet compute alike.
bool ColdLimiter::owns(const std::string &endpoint, std::size_t owners) const
{
    const auto key = ring::hash(endpoint);
    const auto own = placement::rank(m_self, key);
    const auto before = std::count_if(m_others.begin(), m_others.end(), [&](uint64_t other) {
        return placement::rank(other, key) > own;
    });
    return static_cast<std::size_t>(before) < owners;
}

ColdLimiter::Window &ColdLimiter::windowOf(const std::string &service, const std::string &endpoint)
{
    auto &held = m_windows[endpoint];
    const auto allowance = m_allowances.find(service);
    if (held.generation != m_generation && allowance != m_allowances.end()) {
        held.generation = m_generation;
        const auto dealt = coldShare(allowance->second, m_others.size() + 1);
        held.share = m_listed && owns(endpoint, dealt.owners) ? dealt.perSecond : 0;
    }
    return held;
}

std::size_t ColdLimiter::available(const std::string &service, const std::string &endpoint, Clock::time_point now)
{
    auto &held = windowOf(service, endpoint);
    forgetOld(held, now);
    return held.share - std::min(held.share, held.sends.size());
}

std::size_t ColdLimiter::share(const std::string &service, const std::string &endpoint)
{
    return windowOf(service, endpoint).share;
}

void ColdLimiter::sent(const std::string &service, const std::string &endpoint, Clock::time_point now)
{
    if (!limits(service)) {
        return;
    }
    auto &held = windowOf(service, endpoint);
    forgetOld(held, now);
    held.sends.push_back(now);
    forgetIdle(now);
}

void ColdLimiter::forgetOld(Window &held, Clock::time_point now)
{
    while (!held.sends.empty() && now - held.sends.front() >= window) {
        held.sends.pop_front();
    }
}

void ColdLimiter::forgetIdle(Clock::time_point now)
{
    if (m_windows.size() > mostWindows) {
        std::erase_if(m_windows, [now](const auto &entry) {
            return entry.second.sends.empty() || now - entry.second.sends.back() >= window;
        });
    }
}

} // namespace yucca::limits
