#include "yucca/observed_load.h"

#include "member_state.h"

#include <algorithm>
#include <cmath>

namespace yucca::placement
{

namespace
{

constexpr std::chrono::milliseconds otherInflightLifetime{1000}; ///< three rounds in which routers announce their counts

} // namespace

uint64_t rendezvousScoreOf(const std::string &memberId, uint64_t key)
{
    return rendezvousScore(ring::hash(memberId), key);
}

void ObservedLoad::recordLoadReport(int64_t load, TimePoint now)
{
    if (now < m_reportedAt) {
        return;
    }
    m_lastReport = load;
    m_ownInflightAtReport = m_ownInflight;
    m_reportedAt = now;
}

double ObservedLoad::weight(TimePoint now, std::chrono::duration<double> lifetime) const
{
    if (m_lastReport < 0) {
        return 0;
    }
    const double age = std::chrono::duration<double>(now - m_reportedAt).count();
    return std::exp(-std::max(0.0, age) / lifetime.count());
}

double ObservedLoad::estimate(double prior, TimePoint now, std::chrono::duration<double> lifetime) const
{
    const double freshness = weight(now, lifetime);
    const double corrected = static_cast<double>(m_lastReport + m_ownInflight - m_ownInflightAtReport);
    return std::max(static_cast<double>(m_ownInflight), freshness * corrected + (1 - freshness) * prior);
}

double meanLoad(const std::vector<ObservedLoad> &loads, const Usable &usable, TimePoint now, std::chrono::duration<double> lifetime,
                MissingReport missingReport)
{
    constexpr double meanLifetimeFactor = 5; // multiple of the report lifetime in a member's own estimate
    constexpr int64_t answeredRequests = 1; // a report counts the request whose response carries it
    double sum = 0;
    double weights = 0;
    int64_t own = 0;
    std::size_t n = 0;
    for (std::size_t i = 0; i < loads.size(); ++i) {
        if (!usable[i]) {
            continue;
        }
        ++n;
        own += loads[i].ownInflight();
        if (loads[i].lastReport() < 0 && missingReport == MissingReport::CountOwnInflight) {
            sum += static_cast<double>(loads[i].ownInflight());
            weights += 1;
            continue;
        }
        const double w = loads[i].weight(now, meanLifetimeFactor * lifetime);
        sum += w * static_cast<double>(std::max<int64_t>(0, loads[i].lastReport() - answeredRequests));
        weights += w;
    }
    const double ownMean = n ? static_cast<double>(own) / static_cast<double>(n) : 0;
    return weights > 0 ? std::max(ownMean, sum / weights) : ownMean;
}

void ObservedMembers::setMembers(std::vector<std::string> ids)
{
    std::sort(ids.begin(), ids.end());
    m_loads = remapMemberState(m_ids, m_loads, ids);
    m_ids = std::move(ids);
    m_hashes = memberHashes(m_ids);
}

void ObservedMembers::updateMembers(const std::vector<std::string> &added, const std::vector<std::string> &removed)
{
    const auto edit = MemberEdit::of(m_ids, added, removed);
    if (edit.empty()) {
        return;
    }
    m_loads = edit.apply(std::move(m_loads), [](std::size_t) {
        return ObservedLoad();
    });
    m_hashes = edit.apply(std::move(m_hashes), [&added](std::size_t i) {
        return ring::hash(added[i]);
    });
    m_ids = edit.apply(std::move(m_ids), [&added](std::size_t i) {
        return added[i];
    });
}

void ObservedMembers::recordOtherInflight(double requests, TimePoint now)
{
    m_otherInflight = requests;
    m_otherInflightAt = now;
}

// The mean load of the members according to the routers' counts of their own requests; nothing without a fresh estimate.
std::optional<double> ObservedMembers::membersMeanFromCounts(TimePoint now) const
{
    if (!m_otherInflightAt || now - *m_otherInflightAt > otherInflightLifetime || m_loads.empty()) {
        return std::nullopt;
    }
    int64_t own = 0;
    for (const auto &load : m_loads) {
        own += load.ownInflight();
    }
    return (m_otherInflight + static_cast<double>(own)) / static_cast<double>(m_loads.size());
}

double ObservedMembers::serviceMeanLoad(TimePoint now, std::chrono::duration<double> lifetime) const
{
    const auto members = static_cast<double>(m_loads.size());
    const double mean = usableMeanLoad(Usable(m_loads.size(), true), now, lifetime);
    return members > 0 ? mean * members / (members + static_cast<double>(m_idleCount)) : 0;
}

double ObservedMembers::usableMeanLoad(const Usable &usable, TimePoint now, std::chrono::duration<double> lifetime) const
{
    const double reported = meanLoad(m_loads, usable, now, lifetime, MissingReport::CountOwnInflight);
    const auto counted = membersMeanFromCounts(now);
    if (!counted) {
        return reported;
    }
    const double reportedByAll = meanLoad(m_loads, Usable(m_loads.size(), true), now, lifetime, MissingReport::CountOwnInflight);
    return reportedByAll > 0 ? *counted * reported / reportedByAll : *counted;
}

void ObservedMembers::requestStarted(std::size_t member, TimePoint)
{
    m_loads[member].requestStarted();
}

void ObservedMembers::requestFinished(std::size_t member, TimePoint)
{
    m_loads[member].requestFinished();
}

void ObservedMembers::recordLoadReport(std::size_t member, int64_t load, TimePoint now)
{
    m_loads[member].recordLoadReport(load, now);
}

} // namespace yucca::placement
