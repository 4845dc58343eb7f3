// The path of a request through the simulated fleet: the attempts of the caller, the attempts of the router at
// members, and the result.
#include "model/fleet.h"

#include "entry/entry_settings.h"

#include <algorithm>

namespace yucca::model
{

namespace
{

constexpr double loadBoundSlack = 3; ///< requests: a member may hold loadFactor times the mean load plus this
constexpr Ms refusedConnectMs = 1; ///< until a connection to a crashed member is refused
constexpr Ms maxWaitShare = 1.0 / 3; ///< share of the remaining time that a caller waits at most after Retry-After

} // namespace

// Starts an attempt of a caller at a random router.
void Fleet::send(const RequestPtr &request, Ms now)
{
    auto callerAttempt = std::make_shared<CallerAttempt>();
    callerAttempt->request = request;
    callerAttempt->router = m_rng() % m_routers.size();
    const uint64_t key = request->parts.empty() ? m_rng() : request->parts[1].id;
    callerAttempt->affinity = {key, key};
    const std::string &pool = request->source->kind->pool;
    auto &budgets = m_routers[callerAttempt->router]->budgets;
    budgets.try_emplace(pool, m_retryLimits).first->second.recordRequest(bootTime(now));
    schedule(now + m_scenario.callerMs, [this, callerAttempt](Ms at) {
        tryNextMember(callerAttempt, at);
    });
}

std::size_t Fleet::indexOfMember(const Endpoint &endpoint) const
{
    return endpoint.port;
}

double Fleet::oneWayDelay(std::size_t router, std::size_t member) const
{
    const auto domains = static_cast<std::size_t>(m_scenario.failureDomains);
    return router % domains == member % domains ? 0.2 : m_scenario.crossDomainMs;
}

void Fleet::tryNextMember(const CallerAttemptPtr &callerAttempt, Ms now)
{
    Router &router = *m_routers[callerAttempt->router];
    const auto &request = *callerAttempt->request;
    const std::string &pool = request.source->kind->pool;
    if (now >= request.deadline) {
        finish(callerAttempt, false, false, now);
        return;
    }
    const auto at = clockTime(now);
    const auto endpoint = router.table.acquire(pool, callerAttempt->affinity, callerAttempt->tried, at);
    if (!endpoint) {
        reject(callerAttempt, now);
        return;
    }
    if (callerAttempt->count.arrivals > 0) {
        auto &budget = router.budgets.at(pool);
        if (!budget.tryRetry(bootTime(now), 1.0 / static_cast<double>(m_routers.size()))) {
            router.table.release(*endpoint, at);
            reject(callerAttempt, now);
            return;
        }
        budget.recordRetryArrival(bootTime(now));
        ++m_outcome.retries;
    }
    callerAttempt->tried.insert(endpoint->id);
    ++callerAttempt->count.attempts;
    std::optional<Endpoint> holder;
    if (!request.parts.empty()) {
        holder = router.table.estimatePrompt(callerAttempt->affinity.conversation, *endpoint, at).source;
    }
    const std::size_t member = indexOfMember(*endpoint);
    schedule(now + oneWayDelay(callerAttempt->router, member), [this, callerAttempt, e = *endpoint, member, holder](Ms reachedAt) {
        arriveAtMember(callerAttempt, e, member, reachedAt, holder);
    });
}

// Counts a request that arrives at a member, and whether the member is over the load bound.
void Fleet::countArrival(Pool &pool, std::size_t member, Ms now)
{
    int64_t total = 0;
    int64_t up = 0;
    for (std::size_t i = 0; i < pool.members.size(); ++i) {
        total += pool.down[i] ? 0 : pool.members[i]->load();
        up += pool.down[i] ? 0 : 1;
    }
    const double mean = static_cast<double>(total) / static_cast<double>(std::max<int64_t>(1, up));
    const bool over = static_cast<double>(pool.members[member]->load()) > m_scenario.loadFactor * mean + loadBoundSlack;
    auto &out = m_outcome.pools[pool.model->name];
    ++out.arrivals;
    out.overBound += over ? 1 : 0;
    addAt<int64_t>(out.arrivalsAt, now, 1000, 1);
    addAt<int64_t>(out.overBoundAt, now, 1000, over ? 1 : 0);
}

// Handles the arrival of a request at a member: the member is down, rejects the request, or runs it until it is done,
// the deadline passes or the member crashes.
void Fleet::arriveAtMember(const CallerAttemptPtr &callerAttempt, const Endpoint &endpoint, std::size_t memberIndex, Ms now,
                           const std::optional<Endpoint> &holder)
{
    auto &request = *callerAttempt->request;
    const KindModel &kind = *request.source->kind;
    Pool &pool = m_pools.at(kind.pool);
    const double returnDelay = oneWayDelay(callerAttempt->router, memberIndex);
    if (pool.down[memberIndex]) {
        schedule(now + returnDelay + refusedConnectMs, [this, callerAttempt, endpoint](Ms at) {
            m_routers[callerAttempt->router]->table.suspect(endpoint.id, clockTime(at));
            finishAttempt(callerAttempt, endpoint, entry::AttemptEnd::Unreached, at);
        });
        return;
    }
    Member &member = *pool.members[memberIndex];
    countArrival(pool, memberIndex, now);
    ++callerAttempt->count.arrivals;
    if (holder) {
        member.fetchParts(*pool.members[indexOfMember(*holder)], {request.parts.begin(), request.parts.end() - 1});
    }
    const uint64_t id = m_nextId++;
    auto finished = std::make_shared<bool>(false);
    MemberRequest memberRequest;
    memberRequest.id = id;
    memberRequest.priority = static_cast<int>(kind.priority);
    memberRequest.parts = request.parts;
    memberRequest.outputTokens = request.outputTokens;
    memberRequest.plainMs = request.plainMs;
    const bool fails = kind.failing > 0 && uniform() < kind.failing;
    memberRequest.onTokens = [this, callerAttempt, endpoint, &member, returnDelay, finished, fails](Ms generatedAt, int64_t, bool done) {
        const int64_t load = member.reportedLoad(generatedAt);
        schedule(generatedAt + returnDelay, [this, callerAttempt, endpoint, finished, load, done, fails](Ms at) {
            if (*finished) {
                return;
            }
            auto &router = *m_routers[callerAttempt->router];
            if (callerAttempt->firstAt < 0) {
                callerAttempt->firstAt = at;
                router.table.recordLoadReport(endpoint.id, load, clockTime(at));
                router.table.clearFailures(endpoint.id);
                if (!callerAttempt->request->parts.empty()) {
                    router.table.recordPromptHolder(callerAttempt->affinity.conversation, endpoint, clockTime(at));
                }
            }
            if (done) {
                *finished = true;
                finishAttempt(callerAttempt, endpoint, fails ? entry::AttemptEnd::EngineFailed : entry::AttemptEnd::Delivered, at);
            }
        });
    };
    if (!member.submit(std::move(memberRequest), now)) {
        const int64_t load = member.reportedLoad(now);
        schedule(now + returnDelay, [this, callerAttempt, endpoint, load](Ms at) {
            m_routers[callerAttempt->router]->table.recordLoadReport(endpoint.id, load, clockTime(at));
            finishAttempt(callerAttempt, endpoint, entry::AttemptEnd::NotExecuted, at);
        });
        return;
    }
    schedule(std::max(now, request.deadline), [this, callerAttempt, endpoint, &member, id, finished](Ms at) {
        if (!*finished) {
            *finished = true;
            member.cancel(id);
            finishAttempt(callerAttempt, endpoint, entry::AttemptEnd::Silent, at);
        }
    });
    // A crash of the member breaks the connections of its requests.
    for (const auto &c : m_scenario.crashes) {
        const Ms crashAt = c.atS * 1000;
        if (c.pool == kind.pool && crashAt > now) {
            schedule(crashAt + returnDelay, [this, callerAttempt, endpoint, &pool, memberIndex, finished](Ms at) {
                if (!*finished && pool.down[memberIndex]) {
                    *finished = true;
                    finishAttempt(callerAttempt, endpoint, entry::AttemptEnd::Broken, at);
                }
            });
        }
    }
}

// Ends an attempt at a member: updates the state of the router, then retries or ends the request.
void Fleet::finishAttempt(const CallerAttemptPtr &callerAttempt, const Endpoint &endpoint, entry::AttemptEnd end, Ms now)
{
    Router &router = *m_routers[callerAttempt->router];
    const auto at = clockTime(now);
    const std::string &pool = callerAttempt->request->source->kind->pool;
    router.table.release(endpoint, at);
    const auto ejection = router.outliers[pool].record(endpoint.id, end != entry::AttemptEnd::Delivered, router.table.poolSize(pool), at);
    if (ejection) {
        router.table.eject(endpoint.id, ejection->until);
    }
    callerAttempt->count.runs += entry::mayHaveRun(end) ? 1 : 0;
    if (end == entry::AttemptEnd::Delivered) {
        finish(callerAttempt, true, false, now);
    } else if (entry::mayRetry(callerAttempt->request->source->route, end, callerAttempt->count)) {
        tryNextMember(callerAttempt, now);
    } else if (callerAttempt->count.runs > 0) {
        finish(callerAttempt, false, false, now);
    } else {
        reject(callerAttempt, now);
    }
}

// Rejects an attempt of a caller. The caller retries after the Retry-After delay if the request did not run and it
// has an attempt left.
void Fleet::reject(const CallerAttemptPtr &callerAttempt, Ms now)
{
    auto &request = *callerAttempt->request;
    if (callerAttempt->count.runs > 0 || request.callerRetries == 0) {
        finish(callerAttempt, false, callerAttempt->count.runs == 0, now);
        return;
    }
    const auto reason = callerAttempt->count.arrivals > 0 ? entry::Rejection::NotExecuted : entry::Rejection::NoEndpoint;
    const auto wait = entry::retryAfterFor(reason, std::chrono::hours(1), m_retryAfterOptions, m_rng);
    const Ms retryDelay = std::min(static_cast<double>(wait.count()), (request.deadline - now) * maxWaitShare);
    --request.callerRetries;
    schedule(now + std::max(0.0, retryDelay) + m_scenario.callerMs, [this, sent = callerAttempt->request](Ms at) {
        send(sent, at);
    });
}

void Fleet::finish(const CallerAttemptPtr &callerAttempt, bool served, bool rejected, Ms now)
{
    auto &request = *callerAttempt->request;
    const KindModel &kind = *request.source->kind;
    auto &out = m_outcome.kinds[kind.name];
    if (request.ended) {
        return;
    }
    request.ended = true;
    if (!served) {
        ++(rejected ? out.refused : out.failed);
        return;
    }
    const Ms first = (callerAttempt->firstAt < 0 ? now : callerAttempt->firstAt) + m_scenario.callerMs - request.sentAt;
    const bool onTime = first <= static_cast<double>(kind.targetMs);
    ++(onTime ? out.onTime : out.late);
    const double worth = onTime ? kind.worth : kind.lateWorth;
    out.earned += worth;
    addAt(m_outcome.earnedAt, request.sentAt, windowMs, worth);
    out.firstMs(first);
}

} // namespace yucca::model
