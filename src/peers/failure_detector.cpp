#include "peers/failure_detector.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace yucca::peers
{

namespace
{

/// Copies of a status that each router sends, as a multiple of the logarithm of the fleet's size. SWIM shows that a small multiple
/// reaches all routers with high probability.
constexpr double copiesPerLogarithm = 3;

constexpr std::size_t drawsPerRouter = 16; ///< attempts to draw a reachable router, for each router wanted

} // namespace

FailureDetector::FailureDetector(RouterKey self, uint64_t seed, DetectorOptions options)
    : m_self(self)
    , m_options(options)
    , m_random(seed)
    , m_sequence(m_random())
{
}

void FailureDetector::setRouters(const std::vector<RouterKey> &others)
{
    const bool unchanged = others.size() == m_routers.size() && std::all_of(others.begin(), others.end(), [this](RouterKey key) {
                               return m_routers.count(key) > 0;
                           });
    if (unchanged) {
        return;
    }
    std::unordered_map<RouterKey, Router> routers;
    for (const auto key : others) {
        const auto known = m_routers.find(key);
        routers[key] = known == m_routers.end() ? Router{} : known->second;
    }
    m_routers = std::move(routers);
    m_suspects.clear();
    m_absentees.clear();
    m_order.clear();
    for (const auto &[key, router] : m_routers) {
        m_order.push_back(key);
        if (router.state == RouterState::Suspected) {
            m_suspects.push_back(key);
        } else if (isAbsent(router.state)) {
            m_absentees.push_back(key);
        }
    }
    m_absent = m_absentees.size();
    std::shuffle(m_order.begin(), m_order.end(), m_random);
    m_next = 0;
    std::erase_if(m_copiesLeft, [this](const auto &entry) {
        return entry.first != m_self && !m_routers.count(entry.first);
    });
}

std::vector<DetectorMessage> FailureDetector::tick(Clock::time_point now)
{
    const auto elapsed = m_lastTick ? now - *m_lastTick : Clock::duration::zero();
    m_running += std::clamp<Clock::duration>(elapsed, Clock::duration::zero(), 2 * m_options.tickInterval);
    m_lastTick = now;
    std::vector<DetectorMessage> out;
    checkProbes(out);
    checkSuspicions();
    if (m_running - m_lastProbeAt >= m_options.probeInterval) {
        m_lastProbeAt = m_running;
        startProbe(out);
    }
    spread(out);
    return out;
}

void FailureDetector::startProbe(std::vector<DetectorMessage> &out)
{
    if (const auto target = nextTarget()) {
        m_probes[++m_sequence] = {*target, m_running};
        DetectorMessage message{*target};
        message.pings.push_back(m_sequence);
        const auto status = statusOf(*target);
        if (status && status->state != RouterState::Alive) {
            message.statuses.push_back(*status);
        }
        out.push_back(std::move(message));
    }
}

// Returns the router to probe next. All reachable ones are probed in turn, in an order that changes with each pass, so that the time
// between two probes of a router is bounded. Now and then it is an unreachable one.
std::optional<RouterKey> FailureDetector::nextTarget()
{
    if (++m_probeCount % m_options.unreachableProbeRatio == 0 && !m_absentees.empty()) {
        return m_absentees[m_random() % m_absentees.size()];
    }
    for (std::size_t step = 0; step < m_order.size(); ++step) {
        if (m_next == m_order.size()) {
            m_next = 0;
            std::shuffle(m_order.begin(), m_order.end(), m_random);
        }
        const auto key = m_order[m_next++];
        if (isReachable(key)) {
            return key;
        }
    }
    return std::nullopt;
}

// Asks others about the routers that do not answer, and suspects those that nobody reached.
void FailureDetector::checkProbes(std::vector<DetectorMessage> &out)
{
    for (auto it = m_probes.begin(); it != m_probes.end();) {
        auto &[sequence, probe] = *it;
        const auto elapsed = m_running - probe.startedAt;
        if (elapsed >= m_options.probeTimeout) {
            const auto router = m_routers.find(probe.target);
            if (!probe.requestedBy && router != m_routers.end() && router->second.state == RouterState::Alive) {
                setState(probe.target, router->second, router->second.incarnation, RouterState::Suspected);
                DetectorMessage message{probe.target};
                message.statuses.push_back(*statusOf(probe.target));
                out.push_back(std::move(message));
            }
            it = m_probes.erase(it);
            continue;
        }
        if (elapsed >= m_options.directTimeout && !probe.othersAsked && !probe.requestedBy) {
            askOthers(sequence, probe, out);
        }
        ++it;
    }
}

void FailureDetector::askOthers(uint64_t sequence, Probe &probe, std::vector<DetectorMessage> &out)
{
    probe.othersAsked = true;
    for (const auto helper : randomReachable(m_options.indirectProbes, probe.target)) {
        DetectorMessage message{helper};
        message.pingRequests.push_back({sequence, probe.target});
        out.push_back(std::move(message));
    }
}

void FailureDetector::checkSuspicions()
{
    const auto timeout = suspicionTimeout();
    const auto suspects = std::exchange(m_suspects, {});
    for (const auto key : suspects) {
        const auto router = m_routers.find(key);
        if (router == m_routers.end() || router->second.state != RouterState::Suspected) {
            continue;
        }
        if (m_running - router->second.since >= timeout) {
            setState(key, router->second, router->second.incarnation, RouterState::Unreachable);
        } else {
            m_suspects.push_back(key);
        }
    }
    std::erase_if(m_absentees, [this](RouterKey key) {
        return isReachable(key);
    });
}

// Returns what to spread next: the routers whose statuses have the most copies left, in random order where equal, so that routers
// with much to spread begin with different ones.
std::vector<RouterKey> FailureDetector::nextToSpread()
{
    std::vector<std::pair<std::size_t, RouterKey>> waiting;
    for (const auto &[key, copies] : m_copiesLeft) {
        waiting.emplace_back(copies, key);
    }
    const auto count = std::min(waiting.size(), m_options.maxStatuses);
    if (count < waiting.size()) {
        std::shuffle(waiting.begin(), waiting.end(), m_random);
        std::partial_sort(waiting.begin(), waiting.begin() + static_cast<std::ptrdiff_t>(count), waiting.end(), [](const auto &a, const auto &b) {
            return a.first > b.first;
        });
    }
    std::vector<RouterKey> out;
    for (std::size_t i = 0; i < count; ++i) {
        out.push_back(waiting[i].second);
    }
    return out;
}

void FailureDetector::spread(std::vector<DetectorMessage> &out)
{
    if (m_copiesLeft.empty()) {
        return;
    }
    const auto receivers = randomReachable(m_options.spreadPeers, m_self);
    std::vector<RouterStatus> statuses;
    for (const auto key : nextToSpread()) {
        if (const auto status = statusOf(key)) {
            statuses.push_back(*status);
        }
        auto &copies = m_copiesLeft[key];
        copies -= std::min(copies, receivers.size());
        if (copies == 0) {
            m_copiesLeft.erase(key);
        }
    }
    for (const auto receiver : receivers) {
        DetectorMessage message{receiver};
        message.statuses = statuses;
        out.push_back(std::move(message));
    }
}

std::vector<DetectorMessage> FailureDetector::recordHeard(RouterKey from)
{
    const auto router = m_routers.find(from);
    if (router == m_routers.end() || router->second.state == RouterState::Alive) {
        return {};
    }
    if (router->second.remindedAt != Clock::duration::min() && m_running - router->second.remindedAt < m_options.probeInterval) {
        return {};
    }
    router->second.remindedAt = m_running;
    DetectorMessage message{from};
    message.statuses.push_back(*statusOf(from));
    return {std::move(message)};
}

std::vector<RouterStatus> FailureDetector::reminders()
{
    std::vector<RouterStatus> out;
    for (const auto *list : {&m_absentees, &m_suspects}) {
        for (std::size_t i = 0; i < std::min(m_options.reminderStatuses / 2, list->size()); ++i) {
            const auto status = statusOf((*list)[m_random() % list->size()]);
            if (status && status->state != RouterState::Alive) {
                out.push_back(*status);
            }
        }
    }
    return out;
}

std::vector<DetectorMessage> FailureDetector::recordAck(uint64_t sequence, RouterKey from)
{
    const auto it = m_probes.find(sequence);
    if (it == m_probes.end()) {
        return {};
    }
    const auto probe = it->second;
    m_probes.erase(it);
    if (!probe.requestedBy || from != probe.target) {
        return {};
    }
    DetectorMessage message{probe.requester};
    message.acks.push_back(probe.requestedBy->sequence);
    return {std::move(message)};
}

std::vector<DetectorMessage> FailureDetector::recordPingRequest(const PingRequest &request, RouterKey from)
{
    if (!m_routers.count(request.target)) {
        return {};
    }
    m_probes[++m_sequence] = {request.target, m_running, request, from};
    DetectorMessage message{request.target};
    message.pings.push_back(m_sequence);
    return {std::move(message)};
}

std::vector<DetectorMessage> FailureDetector::merge(const RouterStatus &status, RouterKey from)
{
    if (status.router == m_self) {
        if (status.state == RouterState::Alive || m_leaving) {
            return {};
        }
        if (status.incarnation >= m_incarnation) {
            m_incarnation = status.incarnation + 1;
            startSpreading(m_self);
        }
        DetectorMessage contradiction{from};
        contradiction.statuses.push_back(*statusOf(m_self));
        return {std::move(contradiction)};
    }
    const auto it = m_routers.find(status.router);
    if (it == m_routers.end()) {
        return {};
    }
    const auto &held = it->second;
    if (std::pair(status.incarnation, status.state) > std::pair(held.incarnation, held.state)) {
        const bool conclusive = status.state != RouterState::Unreachable || held.state == RouterState::Suspected;
        setState(status.router, it->second, status.incarnation, conclusive ? status.state : RouterState::Suspected);
    }
    return {};
}

void FailureDetector::announceLeaving()
{
    m_leaving = true;
    startSpreading(m_self);
}

void FailureDetector::setState(RouterKey key, Router &router, uint64_t incarnation, RouterState state)
{
    const bool wasAbsent = isAbsent(router.state);
    const bool absent = isAbsent(state);
    if (state != router.state) {
        router.since = m_running;
    }
    router.incarnation = incarnation;
    router.state = state;
    if (state == RouterState::Suspected) {
        m_suspects.push_back(key);
    }
    if (absent && !wasAbsent) {
        ++m_absent;
        m_absentees.push_back(key);
    } else if (!absent && wasAbsent) {
        --m_absent;
        std::erase(m_absentees, key);
    }
    startSpreading(key);
}

void FailureDetector::startSpreading(RouterKey router)
{
    m_copiesLeft[router] = static_cast<std::size_t>(copiesPerLogarithm * std::ceil(std::log(static_cast<double>(m_routers.size() + 2))));
}

std::optional<RouterStatus> FailureDetector::statusOf(RouterKey router) const
{
    if (router == m_self) {
        return RouterStatus{m_self, m_incarnation, m_leaving ? RouterState::Left : RouterState::Alive};
    }
    const auto it = m_routers.find(router);
    return it == m_routers.end() ? std::nullopt : std::optional(RouterStatus{router, it->second.incarnation, it->second.state});
}

// Returns different reachable routers, drawn at random; fewer if few are reachable.
std::vector<RouterKey> FailureDetector::randomReachable(std::size_t count, RouterKey except)
{
    std::vector<RouterKey> out;
    if (m_order.empty()) {
        return out;
    }
    for (std::size_t draw = 0; draw < drawsPerRouter * count && out.size() < count; ++draw) {
        const auto key = m_order[m_random() % m_order.size()];
        if (key != except && isReachable(key) && std::find(out.begin(), out.end(), key) == out.end()) {
            out.push_back(key);
        }
    }
    return out;
}

bool FailureDetector::isReachable(RouterKey router) const
{
    const auto it = m_routers.find(router);
    return it != m_routers.end() && !isAbsent(it->second.state);
}

Clock::duration FailureDetector::suspicionTimeout() const
{
    // A status reaches twice as many routers in each tick at least, and mostly four times as many.
    const auto ticks = std::ceil(std::log2(static_cast<double>(m_routers.size() + 1)) / 2);
    return m_options.minSuspicion + m_options.tickInterval * static_cast<int64_t>(ticks);
}

Clock::duration FailureDetector::unreachableFor(RouterKey router) const
{
    const auto it = m_routers.find(router);
    return it != m_routers.end() && isAbsent(it->second.state) ? m_running - it->second.since : Clock::duration::zero();
}

} // namespace yucca::peers
