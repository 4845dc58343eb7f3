#include "rejection_limit.h"

namespace yucca::limits
{

void RejectionLimiter::recordStatement(const std::string &service, std::optional<int64_t> maxPerSecond, Clock::time_point now)
{
    const auto known = m_statements.find(service);
    if (!maxPerSecond) {
        if (known != m_statements.end()) {
            m_statements.erase(known);
            applyStatements();
        }
        return;
    }
    const bool changed = known == m_statements.end() || known->second.maxPerSecond != *maxPerSecond;
    m_statements[service] = {*maxPerSecond, now};
    if (changed) {
        applyStatements();
    }
}

void RejectionLimiter::applyStatements()
{
    std::map<std::string, ColdAllowance> allowances;
    for (const auto &[service, statement] : m_statements) {
        const auto limit = static_cast<double>(statement.maxPerSecond);
        allowances[service] = {Millis(0), limit, limit};
    }
    m_shares.setAllowances(std::move(allowances));
}

bool RejectionLimiter::isBrittle(const std::string &service, Clock::time_point now) const
{
    const auto statement = m_statements.find(service);
    return statement != m_statements.end() && now - statement->second.at < statementLifetime;
}

} // namespace yucca::limits
