#include "change_exchange.h"

#include "text.h"
#include "uri.h"

#include <algorithm>

namespace yucca::replica
{

namespace
{

constexpr std::string_view changesPath = "/changes";

// Releases an acquired slot at the end of its scope.
class AcquiredSlot
{
public:
    AcquiredSlot(AnswerSlots &slots, TransferLimit limit)
        : m_slots(slots)
        , m_limit(limit)
    {
    }
    ~AcquiredSlot()
    {
        m_slots.release(m_limit);
    }
    AcquiredSlot(const AcquiredSlot &) = delete;
    AcquiredSlot &operator=(const AcquiredSlot &) = delete;

private:
    AnswerSlots &m_slots;
    TransferLimit m_limit;
};

std::string textOf(const std::vector<uint8_t> &bytes)
{
    return {bytes.begin(), bytes.end()};
}

std::span<const uint8_t> bytesOf(const std::string &text)
{
    return {reinterpret_cast<const uint8_t *>(text.data()), text.size()};
}

} // namespace

bool AnswerSlots::acquire(TransferLimit limit)
{
    auto &count = active(limit);
    if (count >= (limit == TransferLimit::Large ? m_options.maxConcurrentLarge : m_options.maxConcurrent)) {
        return false;
    }
    ++count;
    return true;
}

ChangeServer::ChangeServer(std::vector<SharedReplica *> replicas, ChangeExchangeOptions options)
    : m_replicas(std::move(replicas))
    , m_slots(options)
{
}

Task<void> ChangeServer::handle(http::Exchange &ex)
{
    const std::string path = ex.path();
    const auto since = text::parseNumber<uint64_t>(ex.query("since"));
    const auto epoch = text::parseNumber<store::Epoch>(ex.query("epoch"));
    const auto replica = std::find_if(m_replicas.begin(), m_replicas.end(), [&path](const SharedReplica *r) {
        return path == uri::Target(changesPath).segment(r->kind()).text();
    });
    if (replica == m_replicas.end() || !since || !epoch) {
        co_await ex.reply(404, "no such kind\n", {}, "text/plain");
        co_return;
    }
    const auto limit = ex.query("whole") == "1" ? TransferLimit::Large : TransferLimit::Regular;
    if (!m_slots.acquire(limit)) {
        co_await ex.reply(static_cast<unsigned>(PeerBusy), "busy\n", {}, "text/plain");
        co_return;
    }
    const AcquiredSlot slot(m_slots, limit);
    const auto changes = (*replica)->changesSince({*epoch, *since}, limit);
    if (const auto *error = std::get_if<Error>(&changes)) {
        co_await ex.reply(static_cast<unsigned>(error->code), error->message + "\n", {}, "text/plain");
        co_return;
    }
    std::string body = textOf(encode(std::get<Changes>(changes)));
    co_await ex.reply(200, std::move(body), {}, "application/cbor");
}

Task<Result<Changes>> ChangeClient::fetch(http::Address from, std::string kind, Position since, TransferLimit limit)
{
    http::CallOptions options;
    options.deadline = Clock::now() + (limit == TransferLimit::Large ? m_options.fetchLargeTimeout : m_options.fetchTimeout);
    options.connectTimeout = m_options.connectTimeout;
    options.reuse = http::ConnectionReuse::KeepAliveWithRetry;
    auto target = uri::Target(changesPath).segment(kind);
    target.parameter("since", std::to_string(since.revision)).parameter("epoch", std::to_string(since.epoch));
    if (limit == TransferLimit::Large) {
        target.parameter("whole", "1");
    }
    auto request = http::makeRequest("GET", target.text());
    auto called = co_await m_client.call(from, std::move(request), options);
    if (const auto *error = std::get_if<http::CallError>(&called)) {
        co_return Error{store::Unavailable, error->message};
    }
    const auto &reply = std::get<http::Reply>(called);
    if (reply.status != 200) {
        co_return Error{static_cast<int>(reply.status), "refused"};
    }
    co_return decode(bytesOf(reply.body));
}

} // namespace yucca::replica
