// Estimates of the load of a pool's members, made from this router's own requests and from the members' delayed load
// reports.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace yucca::placement
{

using TimePoint = std::chrono::steady_clock::time_point;

/// For each member, in member order: true if the member may receive a request.
using Usable = std::vector<bool>;

/// One member's load as this router sees it: the requests this router has in flight on the member, and the member's
/// last report of its requests from all routers.
class ObservedLoad
{
public:
    void requestStarted()
    {
        ++m_ownInflight;
    }
    void requestFinished()
    {
        m_ownInflight = m_ownInflight > 0 ? m_ownInflight - 1 : 0;
    }
    /// Records the member's reported load at the given time. A report older than the last one is ignored.
    void recordLoadReport(int64_t load, TimePoint now);
    /// The number of requests that this router has in flight on the member.
    int64_t ownInflight() const
    {
        return m_ownInflight;
    }
    /// The last reported load, or -1 before the first report.
    int64_t lastReport() const
    {
        return m_lastReport;
    }
    /// The weight of the last report: 1 when fresh, divided by e per elapsed lifetime, 0 without a report.
    double weight(TimePoint now, std::chrono::duration<double> lifetime) const;
    /// The age of the last report, or nothing before the first one.
    std::optional<std::chrono::duration<double>> reportAge(TimePoint now) const
    {
        return m_lastReport < 0 ? std::nullopt : std::optional<std::chrono::duration<double>>(now - m_reportedAt);
    }
    /// Estimates the requests in flight from all routers. A fresh report is corrected by what this router has sent and
    /// finished since. As the report ages, the estimate moves toward the prior. The result is never below this router's
    /// own requests in flight.
    double estimate(double prior, TimePoint now, std::chrono::duration<double> lifetime) const;

private:
    int64_t m_ownInflight = 0;
    int64_t m_ownInflightAtReport = 0;
    int64_t m_lastReport = -1;
    TimePoint m_reportedAt{};
};

/// What a policy knows of a member's load when it places a request.
struct LoadView {
    double estimate = 0; ///< requests in flight on the member from all routers
    double mean = 0; ///< mean load of the service
    std::optional<std::chrono::duration<double>> reportAge; ///< age of the last report; nothing before the first one
};

/// How a member without a load report enters a mean.
enum class MissingReport {
    Exclude, ///< the mean is taken over the other members
    CountOwnInflight, ///< as this router's own requests there, so that a few busy members do not set the mean of an idle pool
};

/// The mean load of the usable members: the reports weighted by their age, and never below the mean of this router's
/// own requests in flight. Of each report, the request whose response carries it is deducted: reports are made only when
/// a member has a request, so they would show a load that is higher by one than the mean over time. Reports decay more
/// slowly here than in a member's own estimate, because the mean of a pool changes slowly and errors of many reports
/// average out.
double meanLoad(const std::vector<ObservedLoad> &loads, const Usable &usable, TimePoint now, std::chrono::duration<double> lifetime,
                MissingReport missingReport);

/// A member's score in a key's rendezvous order. The member with the highest score is the key's home.
uint64_t rendezvousScoreOf(const std::string &memberId, uint64_t key);

/// The members of a pool with their observed loads. Base class of the load-based policies.
class ObservedMembers
{
public:
    void setMembers(std::vector<std::string> ids);
    /// Adds and removes members; both lists must be sorted. A member that is in both loses its state. Takes time in proportion to the
    /// changes, besides one pass that moves the other members.
    void updateMembers(const std::vector<std::string> &added, const std::vector<std::string> &removed);
    const std::vector<std::string> &members() const
    {
        return m_ids;
    }
    void requestStarted(std::size_t member, TimePoint now);
    void requestFinished(std::size_t member, TimePoint now);
    void recordLoadReport(std::size_t member, int64_t load, TimePoint now);
    /// Sets the number of the service's endpoints that are not members and receive no requests. They count toward the
    /// mean load of the service.
    void setIdleCount(std::size_t endpoints)
    {
        m_idleCount = endpoints;
    }
    /// Records an estimate of the service's requests in flight besides those of this router on the members. While it is
    /// fresh, it sets the level of the mean load, and load reports only show how the members differ: reports arrive late,
    /// and mostly from loaded members.
    void recordOtherInflight(double requests, TimePoint now);

protected:
    /// The mean load of the service over all members, usable or not, and its idle endpoints.
    double serviceMeanLoad(TimePoint now, std::chrono::duration<double> lifetime) const;
    /// The mean load of the usable members.
    double usableMeanLoad(const Usable &usable, TimePoint now, std::chrono::duration<double> lifetime) const;

    std::vector<std::string> m_ids;
    std::vector<uint64_t> m_hashes; ///< hash of each id
    std::vector<ObservedLoad> m_loads;
    std::size_t m_idleCount = 0;

private:
    std::optional<double> membersMeanFromCounts(TimePoint now) const;

    double m_otherInflight = 0;
    std::optional<TimePoint> m_otherInflightAt;
};

} // namespace yucca::placement
