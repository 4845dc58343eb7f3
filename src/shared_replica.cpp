#include "shared_replica.h"

#include "log.h"

#include <algorithm>
#include <random>

namespace yucca::replica
{

namespace
{

/// Minimum delay before a state that could not be fetched is requested again. Without it, each announcement of that state ends
/// the follower's retry delay, and routers that the store refuses flood it with calls.
constexpr Millis failedFetchRetryDelay{1000};
constexpr std::size_t maxNewerPeerStates = 8; ///< a round of datagrams reaches eight routers
/// A busy peer is asked again after a random delay up to this; it sends 64 KB in 26 ms on the slowest supported link.
constexpr Millis maxBusyRetryDelay{150};
constexpr Millis minBusyRetryDelay{50};
constexpr Millis revisionSampleInterval{500}; ///< six samples span watchRevisionMinAge

double randomJitter()
{
    std::minstd_rand random{std::random_device{}()};
    return std::uniform_real_distribution<double>(0, 1)(random);
}

} // namespace

SharedReplica::SharedReplica(std::string kind, RankProvider rank, ChangeSource &source, QueryScheduleOptions options)
    : m_kind(std::move(kind))
    , m_rank(std::move(rank))
    , m_source(source)
    , m_querySchedule(options, randomJitter())
{
}

void SharedReplica::applyListing(const store::Listing &listing, store::Freshness freshness, Clock::time_point now)
{
    m_listed = true;
    m_listedAt = now;
    if (listing.epoch != m_objects.epoch()) {
        m_unfetchedDigest = 0;
    }
    m_objects.applyListing(listing);
    m_lastChange = listing.revision;
    m_confirmedRevisions.clear();
    m_newerPeerStates.clear();
    if (freshness == store::Freshness::MayLag) {
        m_querySchedule.expectConfirmationsFrom(now);
        return;
    }
    applyConfirmation(listing.revision, now, now);
    if (onChange) {
        onChange();
    }
}

void SharedReplica::applyChange(const store::Object &object, bool deleted, uint64_t revision)
{
    m_objects.applyChange(object, deleted, revision);
    m_lastChange = std::max(m_lastChange, revision);
}

void SharedReplica::recordConfirmation(uint64_t revision, Clock::time_point at, bool hasChanges)
{
    applyConfirmation(revision, at, at);
    dropReachedStates();
    if (hasChanges && onChange) {
        onChange();
    }
}

void SharedReplica::applyConfirmation(uint64_t revision, Clock::time_point at, Clock::time_point now)
{
    m_objects.advanceTo(revision);
    m_querySchedule.recordConfirmation(at);
    if (m_confirmedRevisions.empty() || now - m_confirmedRevisions.back().at >= revisionSampleInterval) {
        m_confirmedRevisions.push_back({now, m_objects.revision()});
    }
    while (m_confirmedRevisions.size() > 1 && now - m_confirmedRevisions[1].at >= m_querySchedule.options().watchRevisionMinAge) {
        m_confirmedRevisions.pop_front();
    }
    if (onConfirmed) {
        onConfirmed(m_querySchedule.confirmedAt());
    }
}

Clock::time_point SharedReplica::queryDueAt(Clock::time_point now)
{
    const auto currentRank = m_rank(now);
    if (currentRank && !m_hadActivePeers) {
        m_querySchedule.expectConfirmationsFrom(now);
    }
    m_hadActivePeers = currentRank.has_value();
    if (currentRank) {
        return m_querySchedule.queryDueAt(*currentRank);
    }
    if (isConfirmed()) {
        return m_querySchedule.confirmedAt();
    }
    return m_querySchedule.firstConfirmationDueAt(m_listedAt, routerCount ? routerCount() : 0, now);
}

uint64_t SharedReplica::watchFrom(Clock::time_point now) const
{
    const bool old = !m_confirmedRevisions.empty() && now - m_confirmedRevisions.front().at >= m_querySchedule.options().watchRevisionMinAge;
    return old ? std::max(m_lastChange, m_confirmedRevisions.front().revision) : m_lastChange;
}

void SharedReplica::receiveConfirmation(const Confirmation &confirmation, const http::Address &from, Clock::time_point now)
{
    if (!m_listed) {
        return; // no state is held yet that the confirmation could refer to
    }
    // Equal versions of different epochs may belong to different objects.
    if (confirmation.epoch < m_objects.epoch()) {
        return;
    }
    if (confirmation.epoch == m_objects.epoch() && confirmation.digest == m_objects.digest()) {
        if (confirmation.at > m_querySchedule.confirmedAt()) {
            const bool wasDue = queryDueAt(now) <= now;
            applyConfirmation(confirmation.revision, confirmation.at, now);
            // Only a confirmation that is recent enough ends a wait. During an outage, confirmations still advance slightly while they
            // spread; if each ended the wait, routers would call the unreachable store many times per second.
            if (wasDue && queryDueAt(now) > now) {
                m_wake.notifyAll();
            }
        }
        return;
    }
    if (confirmation.digest == m_unfetchedDigest && now - m_unfetchedAt < failedFetchRetryDelay) {
        return;
    }
    const Position announced{confirmation.epoch, confirmation.revision};
    if (announced > position()) {
        const bool wasBehind = behindPeer(now);
        if (m_newerPeerStates.empty()) {
            m_querySchedule.expectConfirmationsFrom(confirmation.at); // peers hold the newer state and can be expected to send it
        }
        addPeerState({from, announced, confirmation.digest, confirmation.at, now}, now);
        if (!wasBehind && behindPeer(now)) {
            m_wake.notifyAll();
        }
    }
}

// Records a newer state that a peer announced. A peer that may not be asked yet stays excluded.
void SharedReplica::addPeerState(PeerState state, Clock::time_point now)
{
    const auto known = std::find_if(m_newerPeerStates.begin(), m_newerPeerStates.end(), [&state](const PeerState &other) {
        return other.from == state.from;
    });
    if (known != m_newerPeerStates.end()) {
        if (state.position <= known->position) {
            return;
        }
        state.mayAskAt = std::max(known->mayAskAt, now);
        m_newerPeerStates.erase(known);
    }
    if (m_newerPeerStates.size() >= maxNewerPeerStates) {
        m_newerPeerStates.erase(m_newerPeerStates.begin());
    }
    m_newerPeerStates.push_back(std::move(state));
}

// Drops the announced states that are not newer than the held one.
void SharedReplica::dropReachedStates()
{
    std::erase_if(m_newerPeerStates, [this](const PeerState &state) {
        const bool sameObjects = state.position.epoch == m_objects.epoch() && state.digest == m_objects.digest();
        return sameObjects || state.position <= position();
    });
}

bool SharedReplica::behindEpoch() const
{
    return std::any_of(m_newerPeerStates.begin(), m_newerPeerStates.end(), [this](const PeerState &state) {
        return state.position.epoch > m_objects.epoch();
    });
}

Clock::time_point SharedReplica::nextFetchAt() const
{
    auto next = Clock::time_point::max();
    for (const auto &state : m_newerPeerStates) {
        next = std::min(next, state.mayAskAt);
    }
    return next;
}

bool SharedReplica::adoptAnnouncedState(Clock::time_point now)
{
    const auto announced = std::find_if(m_newerPeerStates.begin(), m_newerPeerStates.end(), [this](const PeerState &state) {
        return state.position.epoch == m_objects.epoch() && state.digest == m_objects.digest();
    });
    if (announced == m_newerPeerStates.end()) {
        return m_objects.digest() == m_unfetchedDigest;
    }
    applyConfirmation(announced->position.revision, announced->at, now);
    dropReachedStates();
    if (onChange) {
        onChange();
    }
    return true;
}

std::optional<Confirmation> SharedReplica::currentConfirmation() const
{
    if (!isConfirmed()) {
        return std::nullopt;
    }
    return Confirmation{m_kind, m_objects.revision(), m_objects.digest(), m_querySchedule.confirmedAt(), m_objects.epoch()};
}

// Asks for the changes since the held state. Changes beyond the regular limit are asked for again, because the peer sends only a few
// large answers concurrently.
Task<Result<Changes>> SharedReplica::request() const
{
    auto result = co_await m_source.fetch(m_requested.from, m_kind, position(), TransferLimit::Regular);
    const auto *error = std::get_if<Error>(&result);
    if (error && error->code == ChangesTooLarge) {
        result = co_await m_source.fetch(m_requested.from, m_kind, position(), TransferLimit::Large);
    }
    co_return result;
}

Task<FetchOutcome> SharedReplica::fetch(FetchSink sink)
{
    const auto now = Clock::now();
    const PeerState *newest = nullptr;
    for (const auto &state : m_newerPeerStates) {
        // Of several peers with the same state, the last one to announce it has had the fewest requests for it.
        if (state.mayAskAt <= now && (!newest || state.position >= newest->position)) {
            newest = &state;
        }
    }
    if (!newest) {
        co_return FetchOutcome::Unavailable;
    }
    m_requested = *newest;
    auto result = co_await request();
    if (const auto *error = std::get_if<Error>(&result)) {
        co_return recordFetchError(*error);
    }
    const auto &changes = std::get<Changes>(result);
    const bool identical = changes.isSnapshot ? replaceAll(changes, sink) : applyChanges(changes, sink);
    if (!identical) {
        recordFetchFailure();
        log::Line{log::Event::ChangesNotHad}
            .add("kind", m_kind)
            .add("peer", m_requested.from.host)
            .add("code", int64_t{409})
            .add("why", "the peer holds different objects");
        co_return FetchOutcome::Mismatch;
    }
    applyConfirmation(changes.revision, m_requested.at, Clock::now());
    dropReachedStates();
    if (onChange) {
        onChange();
    }
    co_return FetchOutcome::Complete;
}

// Decides when the peer, or any peer with the same state, may be asked again.
FetchOutcome SharedReplica::recordFetchError(const Error &error)
{
    if (error.code == PeerBusy) {
        excludePeer(Clock::now() + busyRetryDelay());
        return FetchOutcome::Busy;
    }
    log::Line{log::Event::ChangesNotHad}.add("kind", m_kind).add("peer", m_requested.from.host).add("code", int64_t{error.code}).add("why", error.message);
    if (error.code == store::Unavailable) {
        excludePeer(Clock::now() + failedFetchRetryDelay);
    } else {
        recordFetchFailure();
    }
    return FetchOutcome::Unavailable;
}

Millis SharedReplica::busyRetryDelay()
{
    return Millis(std::uniform_int_distribution<int64_t>(minBusyRetryDelay.count(), maxBusyRetryDelay.count())(m_random));
}

// Keeps the requested peer from being asked until the given time.
void SharedReplica::excludePeer(Clock::time_point until)
{
    for (auto &state : m_newerPeerStates) {
        if (state.from == m_requested.from) {
            state.mayAskAt = until;
        }
    }
}

// No peer can send the requested state: it is not asked for again before failedFetchRetryDelay.
void SharedReplica::recordFetchFailure()
{
    m_unfetchedDigest = m_requested.digest;
    m_unfetchedAt = Clock::now();
    std::erase_if(m_newerPeerStates, [this](const PeerState &state) {
        return state.digest == m_unfetchedDigest;
    });
}

// Replaces the held objects by all objects of a peer with a later epoch. Returns true if both hold the same objects then.
bool SharedReplica::replaceAll(const Changes &changes, const FetchSink &sink)
{
    if (changes.epoch <= m_objects.epoch()) {
        return false;
    }
    store::Listing listing{changes.revision, {}, false, changes.epoch};
    for (const auto &received : changes.objects) {
        listing.items.push_back({m_kind, received.name, received.version, received.value, changes.epoch, received.problem});
    }
    m_objects.applyListing(listing);
    m_lastChange = listing.revision;
    m_confirmedRevisions.clear();
    sink.replaced(listing);
    return m_objects.digest() == changes.digest;
}

// Applies the changes that are newer than the held objects. Returns true if both hold the same objects then.
bool SharedReplica::applyChanges(const Changes &changes, const FetchSink &sink)
{
    if (changes.epoch != m_objects.epoch()) {
        return false;
    }
    for (const auto &received : changes.objects) {
        const store::Object object{m_kind, received.name, received.version, received.value, changes.epoch, received.problem};
        if (m_objects.applyChange(object, false, received.version)) {
            m_lastChange = std::max(m_lastChange, received.version);
            sink.changed(object, false);
        }
    }
    for (const auto &name : changes.deleted) {
        const store::Object object{m_kind, name, m_objects.versionOf(name), {}};
        if (object.version <= changes.revision && m_objects.applyChange(object, true, changes.revision)) {
            sink.changed(object, true);
        }
    }
    return m_objects.digest() == changes.digest;
}

} // namespace yucca::replica
