#include "model/fleet.h"

#include "peers/load_exchange.h"
#include "yucca/ring.h"

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/random_number_generator.hpp>
#include <boost/random/uniform_01.hpp>

#include <algorithm>
#include <cmath>

namespace yucca::model
{

namespace
{

constexpr Ms sampleInterval = 100; ///< between two samples of the loads
constexpr Ms listingDelay = 600; ///< until routers learn of a restart: half a heartbeat interval
constexpr Ms shareDelay = 0.5; ///< to send and process a datagram within a failure domain
constexpr std::size_t boundWindowS = 5; ///< the load bound is judged over windows of this length

std::string memberName(const std::string &pool, std::size_t member)
{
    return pool + "-" + std::to_string(member);
}

std::string domainName(std::size_t domain)
{
    return "domain-" + std::to_string(domain);
}

// Returns the largest share of arrivals over the load bound in any window.
double worstWindowOf(const PoolOutcome &pool)
{
    double worst = 0;
    for (std::size_t from = 0; from + boundWindowS <= pool.arrivalsAt.size(); ++from) {
        int64_t arrivals = 0;
        int64_t over = 0;
        for (std::size_t s = from; s < from + boundWindowS; ++s) {
            arrivals += pool.arrivalsAt[s];
            over += s < pool.overBoundAt.size() ? pool.overBoundAt[s] : 0;
        }
        worst = arrivals > 0 ? std::max(worst, static_cast<double>(over) / static_cast<double>(arrivals)) : worst;
    }
    return worst;
}

entry::Route routeOf(const KindModel &kind)
{
    entry::Route route;
    route.name = kind.name;
    route.kind = kind.kind;
    route.resumable = kind.resumable;
    route.maxAttempts = static_cast<int>(kind.maxAttempts);
    route.timeout = Millis(kind.timeoutMs);
    route.targetLatency = Millis(kind.targetMs);
    return route;
}

} // namespace

Fleet::Fleet(const Scenario &scenario, const router::TableOptions &table)
    : m_scenario(scenario)
    , m_rng(static_cast<uint64_t>(scenario.seed))
{
    m_retryLimits.ratio = scenario.retryRatio;
    m_retryLimits.slack = static_cast<double>(scenario.retrySlack);
    for (int64_t i = 0; i < scenario.routers; ++i) {
        auto options = table;
        options.home.spillSeed = ring::hash("router-" + std::to_string(i));
        m_routers.push_back(std::make_unique<Router>(options));
    }
    makePools();
    makeSources();
}

// Converts virtual time for the routing code. The result is well after the clock's epoch, which means "never" there.
Clock::time_point Fleet::clockTime(Ms ms)
{
    return Clock::time_point(std::chrono::hours(1)) + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double, std::milli>(ms));
}

void Fleet::schedule(Ms at, std::function<void(Ms)> action)
{
    m_events.push({at, m_nextOrder++, std::move(action)});
}

double Fleet::uniform()
{
    return boost::random::uniform_01<double>()(m_rng);
}

// Draws a lognormal value with the given mean and standard deviation of the logarithm.
double Fleet::lognormal(double mean, double sigma)
{
    return boost::random::lognormal_distribution<double>(std::log(mean) - sigma * sigma / 2, sigma)(m_rng);
}

void Fleet::makePools()
{
    for (const auto &model : m_scenario.pools) {
        auto &pool = m_pools[model.name];
        pool.model = m_scenario.pool(model.name);
        for (std::size_t i = 0; i < static_cast<std::size_t>(model.members); ++i) {
            const double slowdown = i % 3 == 2 ? model.slowest : 1.0;
            const auto scheduler = [this](Ms at, std::function<void(Ms)> action) {
                schedule(at, std::move(action));
            };
            pool.members.push_back(std::make_unique<Member>(*pool.model, slowdown, scheduler, pool.prefilledParts, pool.counts));
            Endpoint e;
            e.id = memberName(model.name, i);
            e.port = static_cast<uint16_t>(i);
            e.pool = model.name;
            e.zone = domainName(i % static_cast<std::size_t>(m_scenario.failureDomains));
            e.kind = model.engines ? EndpointKind::Engine : EndpointKind::Service;
            m_endpoints.push_back(std::move(e));
        }
        pool.down.assign(pool.members.size(), false);
    }
    for (const auto &router : m_routers) {
        router->table.setEndpoints(m_endpoints, clockTime(0));
    }
}

// Lists the restart of a member under its old id. Routers learn of it after a delay.
void Fleet::listRestart(const PoolModel &pool, std::size_t member, Ms now)
{
    const std::string id = memberName(pool.name, member);
    const auto entry = std::find_if(m_endpoints.begin(), m_endpoints.end(), [&](const Endpoint &e) {
        return e.id == id;
    });
    entry->startedAtMs = static_cast<int64_t>(now);
    schedule(now + listingDelay, [this](Ms at) {
        for (const auto &router : m_routers) {
            router->table.setEndpoints(m_endpoints, clockTime(at));
        }
    });
}

void Fleet::makeSources()
{
    for (const auto &kind : m_scenario.kinds) {
        Source source;
        source.kind = &kind;
        source.route = routeOf(kind);
        for (int64_t i = 0; i < kind.sharedParts; ++i) {
            const uint64_t id = ring::hash(kind.name + "/shared/" + std::to_string(i), static_cast<uint64_t>(m_scenario.seed));
            source.sharedParts.push_back({id, std::max<int64_t>(1, static_cast<int64_t>(lognormal(kind.sharedTokens, 0.4)))});
        }
        double sum = 0;
        for (int64_t i = 0; i < kind.sessions; ++i) {
            sum += std::pow(static_cast<double>(i + 1), -kind.sessionSkew);
            source.popularity.push_back(sum);
            const uint64_t id = ring::hash(kind.name + "/session/" + std::to_string(i), static_cast<uint64_t>(m_scenario.seed));
            source.sessionParts.push_back({id, std::max<int64_t>(1, static_cast<int64_t>(lognormal(kind.sessionTokens, kind.sessionSpread)))});
            source.sharedPartOf.push_back(m_rng() % source.sharedParts.size());
        }
        m_sources.push_back(std::move(source));
    }
}

Outcome Fleet::play()
{
    for (std::size_t i = 0; i < m_sources.size(); ++i) {
        schedule(0, [this, i](Ms now) {
            sendNextRequest(i, now);
        });
    }
    for (std::size_t i = 0; i < m_routers.size() && m_scenario.shareEveryMs > 0; ++i) {
        schedule(uniform() * static_cast<double>(m_scenario.shareEveryMs), [this, i](Ms now) {
            shareLoads(i, now);
        });
    }
    for (const auto &c : m_scenario.crashes) {
        schedule(c.atS * 1000, [this, c](Ms now) {
            crash(c, now);
        });
    }
    for (const auto &e : m_scenario.evacuations) {
        const std::string domain = domainName(static_cast<std::size_t>(e.domain));
        schedule(e.atS * 1000, [this, domain](Ms now) {
            setEvacuated(domain, true, now);
        });
        schedule((e.atS + e.forS) * 1000, [this, domain](Ms now) {
            setEvacuated(domain, false, now);
        });
    }
    std::function<void(Ms)> sample = [this, &sample](Ms now) {
        for (auto &[name, pool] : m_pools) {
            int64_t total = 0;
            int64_t highest = 0;
            for (const auto &member : pool.members) {
                total += member->load();
                highest = std::max(highest, member->load());
            }
            const double mean = static_cast<double>(total) / static_cast<double>(pool.members.size());
            auto &worst = m_outcome.pools[name].worstSkew;
            worst = mean >= 1 ? std::max(worst, static_cast<double>(highest) / mean) : worst;
        }
        if (now < m_scenario.seconds * 1000) {
            schedule(now + sampleInterval, sample);
        }
    };
    schedule(sampleInterval, sample);
    // No request is sent after the scenario's duration; the loop runs until the last ones have ended.
    while (!m_events.empty()) {
        const Event event = m_events.top();
        m_events.pop();
        event.action(event.at);
    }
    for (auto &[name, pool] : m_pools) {
        auto &out = m_outcome.pools[name];
        out.rejected = pool.counts.rejected;
        out.tokensPrefilled = pool.counts.tokensPrefilled;
        out.tokensCached = pool.counts.tokensCached;
        out.sharedTokensPrefilledAgain = pool.counts.sharedTokensPrefilledAgain;
        out.tokensFetched = pool.counts.tokensFetched;
        out.worstWindow = worstWindowOf(out);
    }
    return m_outcome;
}

// Returns the current request rate of a kind as a multiple of its usual one.
double Fleet::rateFactor(const KindModel &kind, Ms now) const
{
    double factor = m_scenario.rate;
    for (const auto &s : m_scenario.surges) {
        const bool active = now >= s.atS * 1000 && now < (s.atS + s.forS) * 1000;
        factor *= active && (s.kind.empty() || s.kind == kind.name) ? s.factor : 1;
    }
    return factor;
}

std::size_t Fleet::drawSession(const Source &source, Ms now)
{
    for (const auto &s : m_scenario.surges) {
        const bool active = now >= s.atS * 1000 && now < (s.atS + s.forS) * 1000;
        if (active && s.kind == source.kind->name && uniform() < s.hotShare) {
            return 0;
        }
    }
    const double at = uniform() * source.popularity.back();
    return static_cast<std::size_t>(std::upper_bound(source.popularity.begin(), source.popularity.end(), at) - source.popularity.begin());
}

// Sends one request of a kind and schedules the next one.
void Fleet::sendNextRequest(std::size_t sourceIndex, Ms now)
{
    if (now >= m_scenario.seconds * 1000) {
        return;
    }
    Source &source = m_sources[sourceIndex];
    const KindModel &kind = *source.kind;
    const double perMs = kind.perS * rateFactor(kind, now) / 1000;
    const Ms gap = perMs > 0 ? boost::random::exponential_distribution<double>(perMs)(m_rng) : sampleInterval;
    schedule(now + gap, [this, sourceIndex](Ms at) {
        sendNextRequest(sourceIndex, at);
    });
    if (perMs <= 0) {
        return;
    }
    auto request = std::make_shared<Request>();
    request->source = &source;
    request->sentAt = now;
    request->deadline = now + static_cast<double>(kind.timeoutMs);
    if (m_scenario.pool(kind.pool)->engines) {
        const std::size_t session = drawSession(source, now);
        const auto own = std::max<int64_t>(1, static_cast<int64_t>(lognormal(kind.ownTokens, kind.ownSpread)));
        request->parts = {source.sharedParts[source.sharedPartOf[session]], source.sessionParts[session], {m_rng(), own}};
        const double events = std::max(1.0, lognormal(kind.events, kind.eventsSpread));
        request->outputTokens = std::max<int64_t>(1, static_cast<int64_t>(events * static_cast<double>(m_scenario.pool(kind.pool)->tokensPerEvent)));
    } else {
        request->plainMs = lognormal(kind.workMs, kind.workSpread);
    }
    auto &k = m_outcome.kinds[kind.name];
    ++k.offered;
    k.owed += kind.worth;
    addAt(m_outcome.owedAt, now, windowMs, kind.worth);
    send(request, now);
}

// Reduces a list to a random subset of at most the given size.
void Fleet::keepRandomSubset(std::vector<std::size_t> &list, std::size_t limit)
{
    boost::random::random_number_generator<decltype(m_rng)> draw(m_rng);
    for (std::size_t i = list.size(); i > 1; --i) {
        std::swap(list[i - 1], list[static_cast<std::size_t>(draw(static_cast<long>(i)))]);
    }
    list.resize(std::min(list.size(), limit));
}

// Runs one share round of a router: sends load reports and prompts received since the last round to some other routers.
void Fleet::shareLoads(std::size_t router, Ms now)
{
    const auto domains = static_cast<std::size_t>(m_scenario.failureDomains);
    const auto since = clockTime(m_routers[router]->lastShareAt);
    auto reports = m_routers[router]->table.reportsReceivedSince(since);
    const peers::ExchangeOptions exchange;
    if (m_routers.size() > static_cast<std::size_t>(m_scenario.sharePeers) + 1) {
        const auto forwarded = m_routers[router]->table.reportsToForward(since, exchange.maxForwardedReports, exchange.maxForwardedAge, clockTime(now));
        reports.insert(reports.end(), forwarded.begin(), forwarded.end());
    }
    m_routers[router]->lastShareAt = now;
    const auto prompts = m_routers[router]->table.takePromptAnnouncements(peers::maxPrompts);
    const auto counts = m_routers[router]->table.inflightCounts();
    m_routers[router]->table.recordPeerInflight(m_routers[router]->fleetInflight.estimate(clockTime(now)), clockTime(now));
    std::vector<std::size_t> sameDomain;
    std::vector<std::size_t> otherDomains;
    for (std::size_t i = 0; i < m_routers.size(); ++i) {
        if (i != router) {
            (i % domains == router % domains ? sameDomain : otherDomains).push_back(i);
        }
    }
    const auto peerLimit = static_cast<std::size_t>(m_scenario.sharePeers);
    const auto domainLimit = std::min({peerLimit, exchange.maxDomainPeersPerRound, sameDomain.size()});
    const Millis interval(m_scenario.shareEveryMs);
    auto &fleetInflight = m_routers[router]->fleetInflight;
    fleetInflight.setGroup(peers::PeerKind::SameDomain, peers::makePeerGroup(sameDomain.size(), domainLimit, interval));
    fleetInflight.setGroup(peers::PeerKind::OtherDomain, peers::makePeerGroup(otherDomains.size(), peerLimit - domainLimit, interval));
    keepRandomSubset(sameDomain, domainLimit);
    keepRandomSubset(otherDomains, peerLimit - domainLimit);
    sameDomain.insert(sameDomain.end(), otherDomains.begin(), otherDomains.end());
    schedule(now + shareDelay, [this, router, domains, receivers = std::move(sameDomain), reports, prompts, counts](Ms at) {
        for (const std::size_t peer : receivers) {
            const auto kind = peer % domains == router % domains ? peers::PeerKind::SameDomain : peers::PeerKind::OtherDomain;
            m_routers[peer]->fleetInflight.recordDatagram({"router", static_cast<uint16_t>(router)}, kind, counts, clockTime(at));
            for (const auto &report : reports) {
                m_routers[peer]->table.mergePeerReport(report, clockTime(at));
            }
            for (const auto &prompt : prompts) {
                m_routers[peer]->table.mergePeerPrompt(prompt, clockTime(at));
            }
        }
    });
    if (now < m_scenario.seconds * 1000) {
        schedule(now + static_cast<double>(m_scenario.shareEveryMs), [this, router](Ms at) {
            shareLoads(router, at);
        });
    }
}

// Routers learn of an order after a delay.
void Fleet::setEvacuated(const std::string &domain, bool evacuated, Ms now)
{
    if (evacuated) {
        m_evacuated.insert(domain);
    } else {
        m_evacuated.erase(domain);
    }
    schedule(now + listingDelay, [this, domains = m_evacuated](Ms at) {
        for (const auto &router : m_routers) {
            router->table.setEvacuated(domains, clockTime(at));
        }
    });
}

void Fleet::crash(const Crash &crash, Ms now)
{
    Pool &pool = m_pools.at(crash.pool);
    const auto count = static_cast<std::size_t>(std::ceil(crash.share * static_cast<double>(pool.members.size())));
    const std::size_t first = m_rng() % pool.members.size();
    for (std::size_t i = 0; i < count; ++i) {
        const std::size_t at = (first + i) % pool.members.size();
        pool.down[at] = true;
        pool.members[at]->crash();
        schedule(now + crash.forS * 1000, [this, &pool, at](Ms restartedAt) {
            pool.down[at] = false;
            listRestart(*pool.model, at, restartedAt);
        });
    }
}

} // namespace yucca::model
