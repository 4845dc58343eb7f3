// A request's way through the modelled fleet: a caller's attempt, the
// router's attempts at members, and its end.
#include "model/fleet.h"

#include "entry/entry_settings.h"

#include <algorithm>

namespace yucca::model
{

namespace
{

constexpr double boundSlack = 3; ///< requests: the users' bound on a member's load is their multiple of the mean, plus three
constexpr Ms refusedConnectMs = 1; ///< until a dead member's port answers a SYN with a reset
constexpr Ms longestWait = 1.0 / 3; ///< of the time left that a caller waits when told to come back

} // namespace

// A caller's attempt: at a router that the balancer picks.
void Fleet::send(const RequestPtr &request, Ms now)
{
    auto flight = std::make_shared<Flight>();
    flight->request = request;
    flight->router = m_random() % m_routers.size();
    const uint64_t key = request->parts.empty() ? m_random() : request->parts[1].id;
    flight->affinity = {key, key};
    const std::string &pool = request->source->kind->pool;
    auto &budgets = m_routers[flight->router]->budgets;
    budgets.try_emplace(pool, m_retries).first->second.earn(timeOf(now));
    schedule(now + m_scenario.callerMs, [this, flight](Ms at) {
        attempt(flight, at);
    });
}

std::size_t Fleet::memberOf(const Endpoint &endpoint) const
{
    return endpoint.port;
}

double Fleet::oneWay(std::size_t router, std::size_t member) const
{
    const auto domains = static_cast<std::size_t>(m_scenario.failureDomains);
    return router % domains == member % domains ? 0.2 : m_scenario.crossDomainMs;
}

void Fleet::attempt(const FlightPtr &flight, Ms now)
{
    Router &router = *m_routers[flight->router];
    const auto &request = *flight->request;
    const std::string &pool = request.source->kind->pool;
    if (now >= request.deadline) {
        finish(flight, false, false, now);
        return;
    }
    const auto at = timeOf(now);
    const auto endpoint = router.table.acquire(pool, flight->affinity, flight->tried, at);
    if (!endpoint) {
        refuse(flight, now);
        return;
    }
    if (flight->count.arrivals > 0) {
        if (!router.budgets.at(pool).spend(at)) {
            router.table.release(*endpoint, at);
            refuse(flight, now);
            return;
        }
        ++m_outcome.retries;
    }
    flight->tried.insert(endpoint->id);
    ++flight->count.sends;
    std::optional<Endpoint> holder;
    if (!request.parts.empty()) {
        holder = router.table.beliefOf(flight->affinity.conversation, *endpoint, at).source;
    }
    const std::size_t member = memberOf(*endpoint);
    schedule(now + oneWay(flight->router, member), [this, flight, e = *endpoint, member, holder](Ms reachedAt) {
        reach(flight, e, member, reachedAt, holder);
    });
}

// Counts a request that reaches a member, and whether that one is over the bound.
void Fleet::noteArrival(Pool &pool, std::size_t member, Ms now)
{
    int64_t total = 0;
    int64_t up = 0;
    for (std::size_t i = 0; i < pool.members.size(); ++i) {
        total += pool.down[i] ? 0 : pool.members[i]->load();
        up += pool.down[i] ? 0 : 1;
    }
    const double mean = static_cast<double>(total) / static_cast<double>(std::max<int64_t>(1, up));
    const bool over = static_cast<double>(pool.members[member]->load()) > m_scenario.loadFactor * mean + boundSlack;
    auto &out = m_outcome.pools[pool.model->name];
    ++out.arrivals;
    out.overBound += over ? 1 : 0;
    addAt<int64_t>(out.arrivalsAt, now, 1000, 1);
    addAt<int64_t>(out.overBoundAt, now, 1000, over ? 1 : 0);
}

// A request reaches a member: it is turned away, or works until it is done
// or its time is up.
void Fleet::reach(const FlightPtr &flight, const Endpoint &endpoint, std::size_t memberAt, Ms now, const std::optional<Endpoint> &holder)
{
    auto &request = *flight->request;
    const KindModel &kind = *request.source->kind;
    Pool &pool = m_pools.at(kind.pool);
    const double back = oneWay(flight->router, memberAt);
    if (pool.down[memberAt]) {
        schedule(now + back + refusedConnectMs, [this, flight, endpoint](Ms at) {
            m_routers[flight->router]->table.suspect(endpoint.id, timeOf(at));
            ended(flight, endpoint, entry::AttemptEnd::Unreached, at);
        });
        return;
    }
    Member &member = *pool.members[memberAt];
    noteArrival(pool, memberAt, now);
    ++flight->count.arrivals;
    if (holder) {
        member.fetch(*pool.members[memberOf(*holder)], {request.parts.begin(), request.parts.end() - 1});
    }
    const uint64_t id = m_nextId++;
    auto over = std::make_shared<bool>(false);
    Work work;
    work.id = id;
    work.priority = static_cast<int>(kind.priority);
    work.parts = request.parts;
    work.tokensToMake = request.tokensToMake;
    work.plainMs = request.plainMs;
    const bool fails = kind.failing > 0 && unit() < kind.failing;
    work.onTokens = [this, flight, endpoint, &member, back, over, fails](Ms madeAt, int64_t, bool done) {
        const int64_t load = member.reportedLoad(madeAt);
        schedule(madeAt + back, [this, flight, endpoint, over, load, done, fails](Ms at) {
            if (*over) {
                return;
            }
            auto &router = *m_routers[flight->router];
            if (flight->firstAt < 0) {
                flight->firstAt = at;
                router.table.reported(endpoint.id, load, timeOf(at));
                router.table.recovered(endpoint.id);
                if (!flight->request->parts.empty()) {
                    router.table.tookPrompt(flight->affinity.conversation, endpoint, timeOf(at));
                }
            }
            if (done) {
                *over = true;
                ended(flight, endpoint, fails ? entry::AttemptEnd::EngineFailed : entry::AttemptEnd::Delivered, at);
            }
        });
    };
    if (!member.take(std::move(work), now)) {
        const int64_t load = member.reportedLoad(now);
        schedule(now + back, [this, flight, endpoint, load](Ms at) {
            m_routers[flight->router]->table.reported(endpoint.id, load, timeOf(at));
            ended(flight, endpoint, entry::AttemptEnd::NotExecuted, at);
        });
        return;
    }
    schedule(std::max(now, request.deadline), [this, flight, endpoint, &member, id, over](Ms at) {
        if (!*over) {
            *over = true;
            member.cancel(id);
            ended(flight, endpoint, entry::AttemptEnd::Silent, at);
        }
    });
    // A member that crashes breaks off what it has in hand.
    for (const auto &c : m_scenario.crashes) {
        const Ms crashAt = c.atS * 1000;
        if (c.pool == kind.pool && crashAt > now) {
            schedule(crashAt + back, [this, flight, endpoint, &pool, memberAt, over](Ms at) {
                if (!*over && pool.down[memberAt]) {
                    *over = true;
                    ended(flight, endpoint, entry::AttemptEnd::Broken, at);
                }
            });
        }
    }
}

// An attempt is over: what the router learns of it, and what follows.
void Fleet::ended(const FlightPtr &flight, const Endpoint &endpoint, entry::AttemptEnd end, Ms now)
{
    Router &router = *m_routers[flight->router];
    const auto at = timeOf(now);
    const std::string &pool = flight->request->source->kind->pool;
    router.table.release(endpoint, at);
    const auto ejection = router.outliers[pool].record(endpoint.id, end != entry::AttemptEnd::Delivered, router.table.poolSize(pool), at);
    if (ejection) {
        router.table.eject(endpoint.id, ejection->until);
    }
    flight->count.runs += entry::mayHaveRun(end) ? 1 : 0;
    if (end == entry::AttemptEnd::Delivered) {
        finish(flight, true, false, now);
    } else if (entry::mayTryAgain(flight->request->source->route, end, flight->count)) {
        attempt(flight, now);
    } else if (flight->count.runs > 0) {
        finish(flight, false, false, now);
    } else {
        refuse(flight, now);
    }
}

// The router gives up; a caller whose request did not run comes back when it is told to.
void Fleet::refuse(const FlightPtr &flight, Ms now)
{
    auto &request = *flight->request;
    if (flight->count.runs > 0 || request.callerRetries == 0) {
        finish(flight, false, flight->count.runs == 0, now);
        return;
    }
    const auto why = flight->count.arrivals > 0 ? entry::Rejection::NotExecuted : entry::Rejection::NoEndpoint;
    const auto wait = entry::comeBackAfter(why, std::chrono::hours(1), m_comeBack, m_random);
    const Ms back = std::min(static_cast<double>(wait.count()), (request.deadline - now) * longestWait);
    --request.callerRetries;
    schedule(now + std::max(0.0, back) + m_scenario.callerMs, [this, sent = flight->request](Ms at) {
        send(sent, at);
    });
}

void Fleet::finish(const FlightPtr &flight, bool served, bool refused, Ms now)
{
    auto &request = *flight->request;
    const KindModel &kind = *request.source->kind;
    auto &out = m_outcome.kinds[kind.name];
    if (request.ended) {
        return;
    }
    request.ended = true;
    if (!served) {
        ++(refused ? out.refused : out.failed);
        return;
    }
    const Ms first = (flight->firstAt < 0 ? now : flight->firstAt) + m_scenario.callerMs - request.sentAt;
    const bool onTime = first <= static_cast<double>(kind.targetMs);
    ++(onTime ? out.onTime : out.late);
    const double worth = onTime ? kind.worth : kind.lateWorth;
    out.earned += worth;
    addAt(m_outcome.earnedAt, request.sentAt, windowMs, worth);
    out.firstMs(first);
}

} // namespace yucca::model
