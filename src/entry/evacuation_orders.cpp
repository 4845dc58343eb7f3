#include "entry/evacuation_orders.h"

#include <utility>

namespace yucca::entry
{

void EvacuationOrders::replaceListed(std::set<std::string> domains)
{
    for (const auto &domain : domains) {
        m_lost.erase(domain);
    }
    m_listed = std::move(domains);
}

void EvacuationOrders::setListed(const std::string &domain, bool listed)
{
    m_lost.erase(domain); // the store decides on this domain from now on
    if (listed) {
        m_listed.insert(domain);
    } else {
        m_listed.erase(domain);
    }
}

void EvacuationOrders::recordRestore(Clock::time_point now)
{
    m_lost.merge(m_listed);
    m_listed.clear();
    m_restoredAt = now;
}

bool EvacuationOrders::recordConfirmation(Clock::time_point at)
{
    if (m_lost.empty() || at < m_restoredAt + orderRewriteTime) {
        return false;
    }
    m_lost.clear();
    return true;
}

std::set<std::string> EvacuationOrders::inEffect() const
{
    auto domains = m_listed;
    domains.insert(m_lost.begin(), m_lost.end());
    return domains;
}

} // namespace yucca::entry
