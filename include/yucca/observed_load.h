// What a router knows of the load of a pool's members, from its own requests
// and from the members' late reports.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace yucca::placement
{

using TimePoint = std::chrono::steady_clock::time_point;

/// Which members a request may go to, in the order of the members.
using Usable = std::vector<bool>;

/// What a router knows of one member's load: what it has in flight there
/// itself, and the member's last report of what it has from all routers.
class ObservedLoad
{
public:
    void placed()
    {
        ++m_own;
    }
    void finished()
    {
        m_own = m_own > 0 ? m_own - 1 : 0;
    }
    /// Takes a report; one that is older than the last is left out.
    void reported(int64_t load, TimePoint now);
    int64_t own() const
    {
        return m_own;
    }
    /// The last report, or -1 before the first.
    int64_t report() const
    {
        return m_report;
    }
    /// How much the last report still weighs: 1 when fresh, less by e with each lifetime; 0 without one.
    double weight(TimePoint now, std::chrono::duration<double> lifetime) const;
    /// The load from all routers. A fresh report counts as it is, corrected
    /// by what this router has sent and finished since; with age it gives
    /// way to the prior. Never below what this router has there.
    double estimate(double prior, TimePoint now, std::chrono::duration<double> lifetime) const;

private:
    int64_t m_own = 0;
    int64_t m_ownAtReport = 0;
    int64_t m_report = -1;
    TimePoint m_reportedAt{};
};

/// What a member without a report counts for in a mean.
enum class Unreported {
    LeaveOut, ///< nothing: the mean is that of the others
    CountOwn, ///< what this router has there: a few busy members do not pass for the mean of an idle pool
};

/// The mean load of the members that may be used: of the reports, weighted
/// by their age, and never below the mean of what this router has in flight.
/// Reports age slower here than in a member's own estimate: a pool's mean
/// moves slowly, and many reports average out.
double meanLoad(const std::vector<ObservedLoad> &loads, const Usable &usable, TimePoint now, std::chrono::duration<double> lifetime, Unreported unreported);

/// A member's rank in a key's rendezvous order; the highest is the key's home.
uint64_t rankOf(const std::string &memberId, uint64_t key);

/// The members of a pool with what is known of their loads: what policies
/// that place by load have in common.
class ObservedMembers
{
public:
    void setMembers(std::vector<std::string> ids);
    const std::vector<std::string> &members() const
    {
        return m_ids;
    }
    void placed(std::size_t member, TimePoint now);
    void finished(std::size_t member, TimePoint now);
    void reported(std::size_t member, int64_t load, TimePoint now);
    /// Endpoints of the service that are no members now, and get no work: the
    /// service's mean load is that of all.
    void setIdle(std::size_t endpoints)
    {
        m_idle = endpoints;
    }

protected:
    /// The mean load of the service: of all members, whether or not they may be
    /// used now, and of those that are idle.
    double serviceMean(TimePoint now, std::chrono::duration<double> lifetime) const;

    std::vector<std::string> m_ids;
    std::vector<uint64_t> m_hashes; ///< of the ids
    std::vector<ObservedLoad> m_loads;
    std::size_t m_idle = 0;
};

} // namespace yucca::placement
