#include "shared_replica.h"

#include "log.h"

#include <random>

namespace yucca::replica
{

namespace
{

/// A state that could not be had is not asked for again so soon: each word of
/// it would end the follower's pause after a failed call. Without this 58
/// routers, a third of them refused by the store, made 330 calls in 4 s.
constexpr Millis notHadAgainAfter{1000};
constexpr Millis trailEvery{500}; ///< revisions are remembered this often: six of them span the time until they are trusted

double drawnSpread()
{
    std::minstd_rand random{std::random_device{}()};
    return std::uniform_real_distribution<double>(0, 1)(random);
}

} // namespace

SharedReplica::SharedReplica(std::string kind, Rank rank, ChangeSource &source, FreshnessOptions options)
    : m_kind(std::move(kind))
    , m_rank(std::move(rank))
    , m_source(source)
    , m_freshness(options, drawnSpread())
{
}

void SharedReplica::listed(const store::Listing &listing, store::Freshness freshness, Clock::time_point now)
{
    m_listed = true;
    if (listing.epoch != m_objects.epoch()) {
        m_notHadDigest = 0;
    }
    m_objects.listed(listing);
    m_lastChange = listing.revision;
    m_trail.clear();
    m_newer.reset();
    if (freshness == store::Freshness::MayLag) {
        m_freshness.expectFrom(now);
        return;
    }
    noteConfirmed(listing.revision, now, now);
    if (onNews) {
        onNews();
    }
}

void SharedReplica::changed(const store::Object &object, bool deleted, uint64_t revision)
{
    m_objects.changed(object, deleted, revision);
    m_lastChange = std::max(m_lastChange, revision);
}

void SharedReplica::confirmed(uint64_t revision, Clock::time_point at, bool news)
{
    noteConfirmed(revision, at, at);
    if (m_newer && m_newer->position <= Position{m_objects.epoch(), revision}) {
        m_newer.reset();
    }
    if (news && onNews) {
        onNews();
    }
}

void SharedReplica::noteConfirmed(uint64_t revision, Clock::time_point at, Clock::time_point now)
{
    m_objects.reached(revision);
    m_freshness.confirmed(at);
    if (m_trail.empty() || now - m_trail.back().at >= trailEvery) {
        m_trail.push_back({now, m_objects.revision()});
    }
    while (m_trail.size() > 1 && now - m_trail[1].at >= m_freshness.options().trustedAfter) {
        m_trail.pop_front();
    }
    if (onConfirmed) {
        onConfirmed(m_freshness.confirmedAt());
    }
}

Clock::time_point SharedReplica::askAt(Clock::time_point now)
{
    const auto place = m_rank(now);
    if (place && !m_wasShared) {
        m_freshness.expectFrom(now);
    }
    m_wasShared = place.has_value();
    return place ? m_freshness.askAt(*place) : m_freshness.confirmedAt();
}

uint64_t SharedReplica::watchFrom(Clock::time_point now) const
{
    const bool old = !m_trail.empty() && now - m_trail.front().at >= m_freshness.options().trustedAfter;
    return old ? std::max(m_lastChange, m_trail.front().revision) : m_lastChange;
}

void SharedReplica::heard(const Confirmation &word, const http::Address &from, Clock::time_point now)
{
    if (!m_listed) {
        return; // nothing is held yet that a word could speak of
    }
    // Versions of two epochs may be equal and stand for different objects.
    if (word.epoch < m_objects.epoch()) {
        return;
    }
    if (word.epoch == m_objects.epoch() && word.digest == m_objects.digest()) {
        if (word.at > m_freshness.confirmedAt()) {
            const bool wasDue = askAt(now) <= now;
            noteConfirmed(word.revision, word.at, now);
            // Only a confirmation that holds ends a pause. In an outage words
            // still get a little newer while they spread: each made a router
            // ask the silent store again, 26 times a second.
            if (wasDue && askAt(now) > now) {
                m_wake.notifyAll();
            }
        }
        return;
    }
    if (word.digest == m_notHadDigest && now - m_notHadAt < notHadAgainAfter) {
        return;
    }
    const Position told{word.epoch, word.revision};
    const bool newer = told > position() && (!m_newer || told > m_newer->position);
    if (newer) {
        const bool first = !m_newer;
        m_newer = Newer{from, told, word.digest, word.at};
        if (first) {
            m_wake.notifyAll();
        }
    }
}

std::optional<Confirmation> SharedReplica::told() const
{
    if (!confirmed()) {
        return std::nullopt;
    }
    return Confirmation{m_kind, m_objects.revision(), m_objects.digest(), m_freshness.confirmedAt(), m_objects.epoch()};
}

Task<Fetched> SharedReplica::fetch(HandOn handOn, FetchSink sink)
{
    if (!m_newer) {
        co_return Fetched::NotHad;
    }
    const Newer asked = *m_newer;
    m_newer.reset();
    auto result = co_await m_source.fetch(asked.from, m_kind, position(), handOn);
    if (!ok(result)) {
        noteNotHad(asked);
        const auto &error = std::get<Error>(result);
        log::Line{log::Event::ChangesNotHad}.add("kind", m_kind).add("peer", asked.from.host).add("code", int64_t{error.code}).add("why", error.message);
        co_return Fetched::NotHad;
    }
    const auto &changes = std::get<Changes>(result);
    const bool same = changes.whole ? replace(changes, sink) : take(changes, sink);
    if (!same) {
        noteNotHad(asked);
        log::Line{log::Event::ChangesNotHad}.add("kind", m_kind).add("peer", asked.from.host).add("code", int64_t{409}).add("why", "it holds other objects");
        co_return Fetched::Differs;
    }
    noteConfirmed(changes.revision, asked.at, Clock::now());
    if (onNews) {
        onNews();
    }
    co_return Fetched::Whole;
}

void SharedReplica::noteNotHad(const Newer &asked)
{
    m_notHadDigest = asked.digest;
    m_notHadAt = Clock::now();
}

// Takes all that the teller holds of a later epoch; true when both hold the same then.
bool SharedReplica::replace(const Changes &changes, const FetchSink &sink)
{
    if (changes.epoch <= m_objects.epoch()) {
        return false;
    }
    store::Listing listing{changes.revision, {}, false, changes.epoch};
    for (const auto &handed : changes.objects) {
        listing.items.push_back({m_kind, handed.name, handed.version, handed.value});
    }
    m_objects.listed(listing);
    m_lastChange = listing.revision;
    m_trail.clear();
    sink.replaced(listing);
    return m_objects.digest() == changes.digest;
}

// Takes what is newer than what is held; true when both hold the same then.
bool SharedReplica::take(const Changes &changes, const FetchSink &sink)
{
    if (changes.epoch != m_objects.epoch()) {
        return false;
    }
    for (const auto &handed : changes.objects) {
        const store::Object object{m_kind, handed.name, handed.version, handed.value};
        if (m_objects.changed(object, false, handed.version)) {
            m_lastChange = std::max(m_lastChange, handed.version);
            sink.changed(object, false);
        }
    }
    for (const auto &name : changes.deleted) {
        const store::Object object{m_kind, name, m_objects.versionOf(name), {}};
        if (object.version <= changes.revision && m_objects.changed(object, true, changes.revision)) {
            sink.changed(object, true);
        }
    }
    return m_objects.digest() == changes.digest;
}

} // namespace yucca::replica
