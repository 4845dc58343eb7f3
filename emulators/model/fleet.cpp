#include "model/fleet.h"

#include "load_exchange.h"
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

constexpr Ms sampleEvery = 100;
constexpr Ms listedAfter = 600; ///< until routers hear of a heartbeat: half of its interval
constexpr Ms sharedAfter = 0.5; ///< a datagram within a failure domain, and its reading
constexpr std::size_t boundWindowS = 5;

std::string memberName(const std::string &pool, std::size_t member)
{
    return pool + "-" + std::to_string(member);
}

// The largest share of arrivals over the bound in any window.
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
    , m_random(static_cast<uint64_t>(scenario.seed))
{
    m_retries.ratio = scenario.retryRatio;
    m_retries.reserve = static_cast<double>(scenario.retrySlack) / static_cast<double>(scenario.routers);
    for (int64_t i = 0; i < scenario.routers; ++i) {
        m_routers.push_back(std::make_unique<Router>(table));
    }
    makePools();
    makeSources();
}

// Virtual time as the decisions see it: well after the epoch, which means "never" to them.
Clock::time_point Fleet::timeOf(Ms ms)
{
    return Clock::time_point(std::chrono::hours(1)) + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double, std::milli>(ms));
}

void Fleet::schedule(Ms at, std::function<void(Ms)> action)
{
    m_events.push({at, m_order++, std::move(action)});
}

double Fleet::unit()
{
    return boost::random::uniform_01<double>()(m_random);
}

// A lognormal figure with a mean, and a spread of its logarithm.
double Fleet::spread(double mean, double sigma)
{
    return boost::random::lognormal_distribution<double>(std::log(mean) - sigma * sigma / 2, sigma)(m_random);
}

void Fleet::makePools()
{
    for (const auto &model : m_scenario.pools) {
        auto &pool = m_pools[model.name];
        pool.model = m_scenario.pool(model.name);
        for (std::size_t i = 0; i < static_cast<std::size_t>(model.members); ++i) {
            const double slowness = i % 3 == 2 ? model.slowest : 1.0;
            const auto scheduler = [this](Ms at, std::function<void(Ms)> action) {
                schedule(at, std::move(action));
            };
            pool.members.push_back(std::make_unique<Member>(*pool.model, slowness, scheduler, pool.partsRead, pool.counts));
            Endpoint e;
            e.id = memberName(model.name, i);
            e.port = static_cast<uint16_t>(i);
            e.pool = model.name;
            e.kind = model.engines ? EndpointKind::Engine : EndpointKind::Service;
            m_listed.push_back(std::move(e));
        }
        pool.down.assign(pool.members.size(), false);
    }
    for (const auto &router : m_routers) {
        router->table.setEndpoints(m_listed, timeOf(0));
    }
}

// A member starts again under its id; routers hear of it with its first heartbeat.
void Fleet::restarted(const PoolModel &pool, std::size_t member, Ms now)
{
    const std::string id = memberName(pool.name, member);
    const auto entry = std::find_if(m_listed.begin(), m_listed.end(), [&](const Endpoint &e) {
        return e.id == id;
    });
    entry->born = static_cast<int64_t>(now);
    schedule(now + listedAfter, [this](Ms at) {
        for (const auto &router : m_routers) {
            router->table.setEndpoints(m_listed, timeOf(at));
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
            source.sharedParts.push_back({id, std::max<int64_t>(1, static_cast<int64_t>(spread(kind.sharedTokens, 0.4)))});
        }
        double sum = 0;
        for (int64_t i = 0; i < kind.sessions; ++i) {
            sum += std::pow(static_cast<double>(i + 1), -kind.sessionSkew);
            source.popularity.push_back(sum);
            const uint64_t id = ring::hash(kind.name + "/session/" + std::to_string(i), static_cast<uint64_t>(m_scenario.seed));
            source.sessionParts.push_back({id, std::max<int64_t>(1, static_cast<int64_t>(spread(kind.sessionTokens, kind.sessionSpread)))});
            source.sharedPartOf.push_back(m_random() % source.sharedParts.size());
        }
        m_sources.push_back(std::move(source));
    }
}

Outcome Fleet::play()
{
    for (std::size_t i = 0; i < m_sources.size(); ++i) {
        schedule(0, [this, i](Ms now) {
            arrive(i, now);
        });
    }
    for (std::size_t i = 0; i < m_routers.size() && m_scenario.shareEveryMs > 0; ++i) {
        schedule(unit() * static_cast<double>(m_scenario.shareEveryMs), [this, i](Ms now) {
            shareLoads(i, now);
        });
    }
    for (const auto &c : m_scenario.crashes) {
        schedule(c.atS * 1000, [this, c](Ms now) {
            crash(c, now);
        });
    }
    std::function<void(Ms)> sample = [this, &sample](Ms now) {
        for (auto &[name, pool] : m_pools) {
            int64_t total = 0;
            int64_t most = 0;
            for (const auto &member : pool.members) {
                total += member->load();
                most = std::max(most, member->load());
            }
            const double mean = static_cast<double>(total) / static_cast<double>(pool.members.size());
            auto &worst = m_outcome.pools[name].worstSkew;
            worst = mean >= 1 ? std::max(worst, static_cast<double>(most) / mean) : worst;
        }
        if (now < m_scenario.seconds * 1000) {
            schedule(now + sampleEvery, sample);
        }
    };
    schedule(sampleEvery, sample);
    // Requests come until the day's end; the last ones are played to theirs.
    while (!m_events.empty()) {
        const Event event = m_events.top();
        m_events.pop();
        event.action(event.at);
    }
    for (auto &[name, pool] : m_pools) {
        auto &out = m_outcome.pools[name];
        out.turnedAway = pool.counts.turnedAway;
        out.tokensRead = pool.counts.tokensRead;
        out.tokensFound = pool.counts.tokensFound;
        out.sharedReadAgain = pool.counts.sharedReadAgain;
        out.tokensFetched = pool.counts.tokensFetched;
        out.worstWindow = worstWindowOf(out);
    }
    return m_outcome;
}

// How many times the usual rate a kind has now.
double Fleet::rateFactor(const KindModel &kind, Ms now) const
{
    double factor = m_scenario.rate;
    for (const auto &s : m_scenario.surges) {
        const bool in = now >= s.atS * 1000 && now < (s.atS + s.forS) * 1000;
        factor *= in && (s.kind.empty() || s.kind == kind.name) ? s.factor : 1;
    }
    return factor;
}

std::size_t Fleet::drawSession(const Source &source, Ms now)
{
    for (const auto &s : m_scenario.surges) {
        const bool in = now >= s.atS * 1000 && now < (s.atS + s.forS) * 1000;
        if (in && s.kind == source.kind->name && unit() < s.hotShare) {
            return 0;
        }
    }
    const double at = unit() * source.popularity.back();
    return static_cast<std::size_t>(std::upper_bound(source.popularity.begin(), source.popularity.end(), at) - source.popularity.begin());
}

// One request of a kind, and the time of the next.
void Fleet::arrive(std::size_t sourceAt, Ms now)
{
    if (now >= m_scenario.seconds * 1000) {
        return;
    }
    Source &source = m_sources[sourceAt];
    const KindModel &kind = *source.kind;
    const double perMs = kind.perS * rateFactor(kind, now) / 1000;
    const Ms gap = perMs > 0 ? boost::random::exponential_distribution<double>(perMs)(m_random) : sampleEvery;
    schedule(now + gap, [this, sourceAt](Ms at) {
        arrive(sourceAt, at);
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
        const auto own = std::max<int64_t>(1, static_cast<int64_t>(spread(kind.ownTokens, kind.ownSpread)));
        request->parts = {source.sharedParts[source.sharedPartOf[session]], source.sessionParts[session], {m_random(), own}};
        const double events = std::max(1.0, spread(kind.events, kind.eventsSpread));
        request->tokensToMake = std::max<int64_t>(1, static_cast<int64_t>(events * static_cast<double>(m_scenario.pool(kind.pool)->tokensPerEvent)));
    } else {
        request->plainMs = spread(kind.workMs, kind.workSpread);
    }
    auto &k = m_outcome.kinds[kind.name];
    ++k.offered;
    k.owed += kind.worth;
    addAt(m_outcome.owedAt, now, windowMs, kind.worth);
    send(request, now);
}

// Leaves some of a list, drawn at random.
void Fleet::drawSome(std::vector<std::size_t> &list, std::size_t most)
{
    boost::random::random_number_generator<decltype(m_random)> draw(m_random);
    for (std::size_t i = list.size(); i > 1; --i) {
        std::swap(list[i - 1], list[static_cast<std::size_t>(draw(static_cast<long>(i)))]);
    }
    list.resize(std::min(list.size(), most));
}

// Tells some routers the loads and prompts that are news since the last round.
void Fleet::shareLoads(std::size_t router, Ms now)
{
    const auto domains = static_cast<std::size_t>(m_scenario.failureDomains);
    const auto reports = m_routers[router]->table.heardSince(timeOf(m_routers[router]->toldUpTo));
    m_routers[router]->toldUpTo = now;
    const auto prompts = m_routers[router]->table.takePromptNews(peers::mostPrompts);
    std::vector<std::size_t> near;
    std::vector<std::size_t> far;
    for (std::size_t i = 0; i < m_routers.size(); ++i) {
        if (i != router) {
            (i % domains == router % domains ? near : far).push_back(i);
        }
    }
    const auto most = static_cast<std::size_t>(m_scenario.sharePeers);
    drawSome(near, std::min(most, peers::ExchangeOptions().mostNearTold));
    drawSome(far, most - near.size());
    near.insert(near.end(), far.begin(), far.end());
    schedule(now + sharedAfter, [this, told = std::move(near), reports, prompts](Ms at) {
        for (const std::size_t peer : told) {
            for (const auto &report : reports) {
                m_routers[peer]->table.toldOf(report);
            }
            for (const auto &news : prompts) {
                m_routers[peer]->table.toldOfPrompt(news, timeOf(at));
            }
        }
    });
    if (now < m_scenario.seconds * 1000) {
        schedule(now + static_cast<double>(m_scenario.shareEveryMs), [this, router](Ms at) {
            shareLoads(router, at);
        });
    }
}

void Fleet::crash(const Crash &crash, Ms now)
{
    Pool &pool = m_pools.at(crash.pool);
    const auto count = static_cast<std::size_t>(std::ceil(crash.share * static_cast<double>(pool.members.size())));
    const std::size_t first = m_random() % pool.members.size();
    for (std::size_t i = 0; i < count; ++i) {
        const std::size_t at = (first + i) % pool.members.size();
        pool.down[at] = true;
        pool.members[at]->crash();
        schedule(now + crash.forS * 1000, [this, &pool, at](Ms back) {
            pool.down[at] = false;
            restarted(*pool.model, at, back);
        });
    }
}

} // namespace yucca::model
