#include "model/detector_fleet.h"

#include "yucca/ring.h"

#include <algorithm>
#include <string>

namespace yucca::model
{

namespace
{

constexpr Millis step{50};
constexpr std::size_t headerBytes = 28; ///< of IP and UDP
constexpr std::size_t probeBytes = 12; ///< of a sequence number and what it means
constexpr std::size_t statusBytes = 15; ///< of a router's key, incarnation and state
constexpr std::size_t pingRequestBytes = 21; ///< of two keys and what they mean
const Clock::time_point epoch{std::chrono::hours(1)};

} // namespace

DetectorFleet::DetectorFleet(DetectorFleetOptions options)
    : m_options(options)
    , m_routers(options.routers)
    , m_random(options.seed)
{
    for (std::size_t n = 0; n < options.routers; ++n) {
        m_keys.push_back(ring::hash("router-" + std::to_string(n)));
        m_indexes[m_keys.back()] = n;
    }
    for (std::size_t n = 0; n < options.routers; ++n) {
        m_routers[n].phase = step * static_cast<int64_t>(m_random() % static_cast<uint64_t>(peers::DetectorOptions{}.tickInterval / step));
        start(n);
    }
}

void DetectorFleet::start(std::size_t router)
{
    auto others = m_keys;
    others.erase(others.begin() + static_cast<std::ptrdiff_t>(router));
    m_routers[router].detector = std::make_unique<peers::FailureDetector>(m_keys[router], m_random());
    m_routers[router].detector->setRouters(others);
}

void DetectorFleet::kill(std::size_t router)
{
    m_routers[router].running = false;
}

void DetectorFleet::restart(std::size_t router)
{
    m_routers[router].running = true;
    start(router);
}

void DetectorFleet::pause(std::size_t router, Millis time)
{
    m_routers[router].pausedUntil = m_now + time;
}

void DetectorFleet::setCutOff(std::size_t domain, bool cutOff)
{
    if (cutOff) {
        m_cutOff.insert(domain);
    } else {
        m_cutOff.erase(domain);
    }
}

bool DetectorFleet::isAwake(std::size_t router) const
{
    return m_routers[router].running && m_now >= m_routers[router].pausedUntil;
}

void DetectorFleet::run(Millis time)
{
    const auto tickInterval = peers::DetectorOptions{}.tickInterval;
    for (const auto end = m_now + time; m_now < end; m_now += step) {
        for (std::size_t n = 0; n < m_routers.size(); ++n) {
            if (isAwake(n) && m_now % tickInterval == m_routers[n].phase) {
                post(n, m_routers[n].detector->tick(epoch + m_now));
                deliverAll();
            }
        }
    }
}

std::optional<Millis> DetectorFleet::runUntilUnreachable(std::size_t router, double share, Millis limit)
{
    const auto begin = m_now;
    while (m_now - begin < limit) {
        run(step);
        std::size_t running = 0;
        std::size_t aware = 0;
        for (std::size_t n = 0; n < m_routers.size(); ++n) {
            if (n != router && m_routers[n].running) {
                ++running;
                aware += reaches(n, router) ? 0 : 1;
            }
        }
        if (static_cast<double>(aware) >= share * static_cast<double>(running)) {
            return m_now - begin;
        }
    }
    return std::nullopt;
}

std::size_t DetectorFleet::doubtfulRouters() const
{
    return static_cast<std::size_t>(std::count_if(m_routers.begin(), m_routers.end(), [](const Router &router) {
        return router.running && router.detector->reachableCount() < router.detector->routerCount();
    }));
}

std::size_t DetectorFleet::firstByName() const
{
    std::size_t count = 0;
    for (std::size_t n = 0; n < m_routers.size(); ++n) {
        bool first = m_routers[n].running;
        for (std::size_t before = 0; before < n && first; ++before) {
            first = !reaches(n, before);
        }
        count += first ? 1 : 0;
    }
    return count;
}

void DetectorFleet::post(std::size_t from, std::vector<peers::DetectorMessage> messages)
{
    for (auto &message : messages) {
        m_messages.push_back({from, std::move(message)});
    }
}

void DetectorFleet::deliverAll()
{
    while (!m_messages.empty()) {
        const auto message = std::move(m_messages.front());
        m_messages.pop_front();
        deliver(message);
    }
}

// Counts a datagram, and returns true if it arrives.
bool DetectorFleet::arrives(std::size_t from, std::size_t to, std::size_t bytes)
{
    ++m_traffic.datagrams;
    m_traffic.bytes += headerBytes + bytes;
    const auto fromDomain = from % m_options.domains;
    const auto toDomain = to % m_options.domains;
    const bool connected = fromDomain == toDomain || (!m_cutOff.count(fromDomain) && !m_cutOff.count(toDomain));
    return connected && isAwake(to) && std::uniform_real_distribution<double>(0, 1)(m_random) >= m_options.loss;
}

// Probes and their answers go into one datagram, all else into another.
void DetectorFleet::deliver(const Message &message)
{
    const auto to = m_indexes.at(message.content.to);
    const auto &content = message.content;
    const auto probes = content.pings.size() + content.acks.size();
    if (probes > 0 && arrives(message.from, to, probes * probeBytes)) {
        receive(message.from, to, {content.to, content.pings, content.acks});
    }
    const auto others = content.pingRequests.size() * pingRequestBytes + content.statuses.size() * statusBytes;
    if (others > 0 && arrives(message.from, to, others)) {
        receive(message.from, to, {content.to, {}, {}, content.pingRequests, content.statuses});
    }
}

void DetectorFleet::receive(std::size_t from, std::size_t to, const peers::DetectorMessage &message)
{
    auto &detector = *m_routers[to].detector;
    if (!message.pings.empty()) {
        peers::DetectorMessage answer{m_keys[from]};
        answer.acks = message.pings;
        answer.statuses = detector.reminders();
        post(to, {std::move(answer)});
    }
    post(to, detector.recordHeard(m_keys[from]));
    for (const auto &status : message.statuses) {
        post(to, detector.merge(status, m_keys[from]));
    }
    for (const auto sequence : message.acks) {
        post(to, detector.recordAck(sequence, m_keys[from]));
    }
    for (const auto &request : message.pingRequests) {
        post(to, detector.recordPingRequest(request, m_keys[from]));
    }
}

} // namespace yucca::model
