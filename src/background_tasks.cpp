#include "background_tasks.h"

#include "decode.h"

#include "connect_probe.h"
#include "idempotency.h"
#include "log.h"
#include "router_dialect.h"

#include <ctime>
#include <random>

namespace yucca::background
{

namespace
{

constexpr int renewalsPerTerm = 4; ///< renewals of the lease within its duration
constexpr std::chrono::seconds sweepInterval{120}; ///< a listed page of 500 records of 250 B costs 1 KB/s
constexpr int maxDeletesPerSweep = 100; ///< bounded, so that traffic keeps the platform's write rate
constexpr Millis stopPollInterval{100};
constexpr Millis orderTimeout{2000};
constexpr std::string_view undrainKind = "undrain"; ///< the only kind of order that is sent to a leaving engine
constexpr Millis probeOpenTime{100}; ///< a proxy whose server is gone closes a new connection within milliseconds

// Returns the body of an order's HTTP request. A plain function, because GCC 12
// cannot keep braced initializer lists in a coroutine frame.
nlohmann::json orderBody(const orders::Order &order, uint64_t fence, const std::string &holder)
{
    return {{"kind", order.kind}, {"argument", order.argument}, {"fence", fence}, {"holder", holder}};
}

// Maps the HTTP status of an engine's response to an order. After a 5xx the engine may have acted.
orders::SendResult resultForStatus(unsigned status)
{
    if (status == 200) {
        return orders::SendResult::Applied;
    }
    if (status == 409) {
        return orders::SendResult::StaleFence;
    }
    return status >= 500 ? orders::SendResult::Unknown : orders::SendResult::NotSent;
}

// Applies what the headers of an engine's response say about the engine: a request to back off, or that it is leaving.
void applyEngineHeaders(router::RoutingTable &table, const Endpoint &engine, const http::Reply &reply)
{
    const auto backOff = http::requestedBackOff(reply.status, reply.header("Retry-After"));
    if (backOff && table.backOff(engine, Clock::now() + *backOff)) {
        log::Line{log::Event::EndpointBacksOff}.add("endpoint", engine.id).add("service", engine.pool).add("for_ms", backOff->count());
    }
    const auto leaving = router::parseDraining(reply.header(router::drainingHeader));
    if (leaving && table.recordLeaving(engine, *leaving, Clock::now())) {
        log::Line{log::Event::Draining}.add("endpoint", engine.id).add("draining", *leaving);
    }
}

// Returns a random prefix of a record name.
std::string randomRecordName()
{
    std::random_device entropy;
    char name[20];
    snprintf(name, sizeof name, "%08x%08x", entropy(), entropy());
    return name;
}

// Returns a holder name that is unique per process, also across restarts.
std::string holderName(const std::string &id)
{
    std::random_device entropy;
    return id + "-" + std::to_string(entropy());
}

} // namespace

bool isExpired(const nlohmann::json &record, int64_t nowS, int64_t retentionS)
{
    const int64_t at = decode::fieldOr(record, "at", nowS);
    return decode::fieldOr<std::string>(record, "state", {}) != "started" && at < nowS - retentionS;
}

std::vector<orders::Order> desiredOrders(const catalogue::Snapshot &snapshot)
{
    std::vector<orders::Order> out;
    const auto evacuated = snapshot.evacuated();
    for (const auto &[name, workClass] : snapshot.classes) {
        if (workClass.model.empty()) {
            continue;
        }
        for (const auto &[id, endpoint] : snapshot.endpoints) {
            if (endpoint.pool == workClass.pool && endpoint.kind == EndpointKind::Engine && endpoint.state == EndpointState::Live
                && !evacuated.count(endpoint.zone)) {
                out.push_back({id, "load_model", workClass.model, "load_model." + name + "." + std::to_string(workClass.version)});
            }
        }
    }
    return out;
}

BackgroundTasks::BackgroundTasks(const settings::RouterSettings &settings, platform::ObjectApi &api, const router::Control &control, orders::Sender sender,
                                 quarantine::RequestQuarantine &quarantine)
    : m_settings(settings)
    , m_api(api)
    , m_control(control)
    , m_lease(api, leaseName, holderName(settings.id), Millis(settings.leaseMs))
    , m_dispatcher(api, m_lease, settings.id, std::move(sender), quarantine)
    , m_nextSweep(Clock::now() + sweepInterval)
{
}

Task<void> BackgroundTasks::run()
{
    while (!m_stopping) {
        co_await step();
        const auto next = Clock::now() + Millis(m_settings.leaseMs) / renewalsPerTerm;
        while (!m_stopping && Clock::now() < next) {
            co_await sleepFor(stopPollInterval);
        }
    }
    co_await m_lease.release();
}

Task<void> BackgroundTasks::step()
{
    co_await m_dispatcher.rewriteLostRecords();
    const bool holder = co_await m_lease.acquireOrRenew();
    if (holder != m_wasHolder) {
        log::event(holder ? log::Event::LeaseTaken : log::Event::LeaseLost, "lease=" + std::string(leaseName) + " fence=" + std::to_string(m_lease.fence()));
        m_wasHolder = holder;
    }
    if (holder) {
        co_await sendOrders();
    }
    if (m_settings.recordRetentionS > 0 && Clock::now() >= m_nextSweep) {
        m_nextSweep = Clock::now() + sweepInterval;
        co_await sweepPage();
    }
}

// Removes the expired records of one page that starts at a random name: record
// names begin with a hash, so over time every record is reached.
Task<void> BackgroundTasks::sweepPage()
{
    auto listed = co_await m_api.list(idempotency::recordKind, randomRecordName(), platform::Freshness::Current);
    if (!ok(listed)) {
        co_return;
    }
    const int64_t now = std::time(nullptr);
    int removed = 0;
    for (const auto &record : std::get<platform::Listing>(listed).items) {
        if (removed >= maxDeletesPerSweep) {
            break;
        }
        if (isExpired(record.value, now, m_settings.recordRetentionS)) {
            auto deleted = co_await m_api.remove(record.kind, record.name, record.version);
            removed += ok(deleted) ? 1 : 0;
        }
    }
    if (removed > 0) {
        log::event(log::Event::RecordsSwept, "removed=" + std::to_string(removed));
    }
}

// Sends the desired orders that are not settled yet, while the lease is held.
Task<void> BackgroundTasks::sendOrders()
{
    const auto snapshot = m_control.snapshot();
    std::set<std::string> stillSettled; // only orders that are still desired, so that the set does not grow
    for (const auto &order : desiredOrders(*snapshot)) {
        const std::string key = order.engine + "/" + order.id;
        if (m_settledOrders.count(key)) {
            stillSettled.insert(key);
            continue;
        }
        if (!m_lease.held()) {
            continue;
        }
        const auto outcome = co_await m_dispatcher.dispatch(order);
        if (outcome == orders::OrderResult::Quarantined) {
            continue; // RequestQuarantined is logged already; this would add one line per engine and round
        }
        log::event(log::Event::OrderSent,
                   "engine=" + order.engine + " kind=" + order.kind + " argument=" + order.argument
                       + " outcome=" + std::string(nameOf(orders::orderResultNames, outcome)));
        if (outcome == orders::OrderResult::Applied || outcome == orders::OrderResult::Refused) {
            stillSettled.insert(key);
        }
    }
    m_settledOrders = std::move(stillSettled);
}

orders::Sender makeHttpOrderSender(http::Client &client, const router::Control &control, router::RoutingTable &table, std::string holder)
{
    return [&client, &control, &table, holder](orders::Order order, uint64_t fence) -> Task<orders::SendResult> {
        const auto snapshot = control.snapshot();
        const auto found = snapshot->endpoints.find(order.engine);
        if (found == snapshot->endpoints.end()) {
            co_return orders::SendResult::NotSent;
        }
        const Endpoint engine = found->second;
        const auto listingState = table.listingState(engine);
        const bool skipLeaving = listingState == router::ListingState::Leaving && order.kind != undrainKind;
        if (skipLeaving || table.backsOff(engine, Clock::now())) {
            co_return orders::SendResult::NotSent;
        }
        const nlohmann::json body = orderBody(order, fence, holder);
        http::CallOptions options;
        options.deadline = Clock::now() + orderTimeout;
        http::Address address;
        address.host = engine.host;
        address.port = engine.port;
        auto called = co_await client.call(address, http::makeRequest("POST", "/v1/orders", body.dump()), options);
        if (auto *error = std::get_if<http::CallError>(&called)) {
            if (error->stage == http::CallStage::Connect) {
                co_return orders::SendResult::NotSent;
            }
            const auto probe = co_await http::probeConnection(address, orderTimeout, probeOpenTime);
            co_return probe == http::Probe::Refused ? orders::SendResult::EngineCrashed : orders::SendResult::Unknown;
        }
        const auto &reply = std::get<http::Reply>(called);
        applyEngineHeaders(table, engine, reply);
        co_return resultForStatus(reply.status);
    };
}

} // namespace yucca::background
