// Fixtures of the entry router's tests: scripted endpoints that respond with arbitrary bytes, and a
// gateway between them and a caller. All of them run on one event loop in one thread.
#pragma once

#include "codec.h"
#include "dialect.h"
#include "entry/gateway.h"
#include "fixture.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace yucca::fixture
{

using tcp = asio::ip::tcp;

/// A request as an endpoint received it.
struct ReceivedRequest {
    std::string head; ///< as received, including the final empty line
    std::string body;
    std::string connection; ///< number of the connection, starting with 1

    /// Returns the value of a header, or "(none)".
    std::string header(const std::string &name) const
    {
        const auto at = head.find("\r\n" + name + ": ");
        if (at == std::string::npos) {
            return "(none)";
        }
        const auto from = at + name.size() + 4;
        return head.substr(from, head.find("\r\n", from) - from);
    }
};

/// A TCP endpoint that passes each request to a script. The script writes arbitrary bytes and may
/// close the connection.
class ScriptedEndpoint
{
public:
    using Script = std::function<Task<void>(tcp::socket &, const ReceivedRequest &)>;

    ScriptedEndpoint(Loop &loop, Script script)
        : m_script(std::move(script))
        , m_acceptor(loop.io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
        , port(m_acceptor.local_endpoint().port())
    {
        asio::co_spawn(loop.io, accept(), asio::detached);
    }

    /// Closes the listening socket, as when a process ends: new connections are refused from now
    /// on.
    void stopListening()
    {
        boost::system::error_code ec;
        m_acceptor.close(ec);
    }

    std::vector<ReceivedRequest> seen;
    int connections = 0;

private:
    Task<void> accept()
    {
        for (;;) {
            boost::system::error_code ec;
            auto socket = std::make_shared<tcp::socket>(co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, ec)));
            if (ec) {
                co_return;
            }
            ++connections;
            asio::co_spawn(m_acceptor.get_executor(), serve(socket, std::to_string(connections)), asio::detached);
        }
    }

    // Reads consecutive requests, each with a Content-Length header or without a body.
    Task<void> serve(std::shared_ptr<tcp::socket> socket, std::string connection)
    {
        std::string bytes;
        for (;;) {
            std::size_t end;
            while ((end = bytes.find("\r\n\r\n")) == std::string::npos) {
                const bool more = co_await readMore(*socket, bytes);
                if (!more) {
                    co_return;
                }
            }
            ReceivedRequest request;
            request.head = bytes.substr(0, end + 4);
            request.connection = connection;
            bytes.erase(0, end + 4);
            const std::string length = request.header("Content-Length");
            const std::size_t wanted = length == "(none)" ? 0 : std::stoul(length);
            while (bytes.size() < wanted) {
                const bool more = co_await readMore(*socket, bytes);
                if (!more) {
                    co_return;
                }
            }
            request.body = bytes.substr(0, wanted);
            bytes.erase(0, wanted);
            seen.push_back(request);
            co_await m_script(*socket, request);
            if (!socket->is_open()) {
                co_return;
            }
        }
    }

    static Task<bool> readMore(tcp::socket &socket, std::string &bytes)
    {
        char buffer[4096];
        boost::system::error_code ec;
        const auto n = co_await socket.async_read_some(asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, ec));
        bytes.append(buffer, n);
        co_return !ec;
    }

    Script m_script;
    tcp::acceptor m_acceptor;

public:
    uint16_t port;
};

/// Writes bytes to a socket; errors are ignored, because the peer may close the connection first.
inline Task<void> sendBytes(tcp::socket &socket, std::string bytes)
{
    boost::system::error_code ec;
    co_await asio::async_write(socket, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, ec));
}

/// Closes a connection with a TCP reset, as when a process dies.
inline void resetConnection(tcp::socket &socket)
{
    boost::system::error_code ec;
    socket.set_option(asio::socket_base::linger(true, 0), ec);
    socket.close(ec);
}

/// Returns a complete, signed response of a platform endpoint.
inline std::string signedAnswer(const std::string &id, const std::string &body, const std::string &status = "200 OK", const std::string &extra = {})
{
    return "HTTP/1.1 " + status + "\r\nYuccasaddle-Attempt-Id: " + id + "\r\nYuccasaddle-Response-Signature: sig-" + id + "\r\n" + extra
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Returns the head of a chunked event stream.
inline std::string streamHead(const std::string &id)
{
    return "HTTP/1.1 200 OK\r\nYuccasaddle-Attempt-Id: " + id + "\r\nYuccasaddle-Response-Signature: sig-" + id
        + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}

inline std::string chunk(const std::string &bytes)
{
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

inline std::string eventNumber(int id)
{
    return "id: " + std::to_string(id) + "\ndata: token" + std::to_string(id) + "\n\n";
}

/// Returns a configuration with routes of each kind to service "s" (plain) or "m" (model engines).
inline nlohmann::json entryConfiguration(int64_t version = 1)
{
    return nlohmann::json::parse(R"({
        "routes": [
            {"name": "book", "host": "h.example", "path_prefix": "/book/", "kind": "non_idempotent", "timeout_ms": 5000,
             "target_latency_ms": 300, "priority": 2, "service": "s", "max_attempts": 1, "public": false},
            {"name": "remind", "host": "h.example", "path_prefix": "/remind/", "kind": "idempotent", "timeout_ms": 5000,
             "target_latency_ms": 300, "priority": 2, "service": "s", "max_attempts": 2, "public": false},
            {"name": "chat", "host": "h.example", "path_prefix": "/chat/", "kind": "streaming", "timeout_ms": 5000, "gap_aim_ms": 600,
             "target_latency_ms": 1000, "priority": 0, "service": "m", "max_attempts": 2, "public": false, "sticky": true, "resumable": true},
            {"name": "once", "host": "h.example", "path_prefix": "/once/", "kind": "streaming", "timeout_ms": 5000, "gap_aim_ms": 600,
             "target_latency_ms": 1000, "priority": 1, "service": "m", "max_attempts": 1, "public": false, "sticky": true, "resumable": false},
            {"name": "deep", "host": "h.example", "path_prefix": "/book/deep/", "kind": "idempotent", "timeout_ms": 5000,
             "target_latency_ms": 300, "service": "s", "max_attempts": 2, "public": true}],
        "services": [{"name": "s", "health_path": "/health", "max_conns": 100},
                     {"name": "m", "health_path": "/health", "max_conns": 360, "engine": {"slots": 64, "kv_tokens": 400000}}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "north", "api_keys": ["key-n"], "priority": 1}, {"name": "south", "api_keys": ["key-s"]}]})")
        .patch(nlohmann::json::array({{{"op", "add"}, {"path", "/version"}, {"value", version}}}));
}

/// Returns the value of an endpoint's entry in the store.
inline nlohmann::json endpointEntryAt(const std::string &address)
{
    return {{"service", "m"},   {"address", address},     {"zone", "zone-a"}, {"version", "v1"},      {"slots", 64},
            {"state", "ready"}, {"cold_remaining_ms", 0}, {"sequence", 4},    {"born", 1796260000000}};
}

/// An entry router with a server for callers, in front of the given endpoints (id to service and
/// port).
class EntryFixture
{
public:
    explicit EntryFixture(Loop &loop, std::map<std::string, std::pair<std::string, uint16_t>> endpoints, int64_t retrySlack = 1000,
                          const entry::GatewayOptions &tuned = {})
        : loop(loop)
        , settings{settingsWithSlack(retrySlack)}
        , gateway(entry::GatewayParts{published, table, admission, quarantine, nullptr, &relayPeers, &fleet, &origins, &streamStore}, options(settings, tuned))
    {
        listOtherRouters();
        configure(entryConfiguration());
        std::map<std::string, Endpoint> listed;
        for (const auto &[id, place] : endpoints) {
            listed.emplace(id, endpointAt(id, place.second, place.first, EndpointKind::Service));
        }
        published.replaceEndpoints(listed);
        published.recordContact(Clock::now());
        recordVersions();
        port = std::get<uint16_t>(server.start());
    }

    /// Lets the first router of the fleet record the listed versions, as it does within a second.
    void recordVersions()
    {
        require(loop.run(streamStore.saveVersions()));
    }

    void configure(const nlohmann::json &written)
    {
        Findings findings;
        auto parsed = platform::ObjectCodec::configuration(written, findings);
        if (!parsed) {
            throw std::runtime_error(findings.report());
        }
        published.apply(std::move(*parsed));
    }

    /// Sends one request on a connection of its own and reads its response.
    Task<http::CallResult<http::Reply>> send(std::string method, std::string target, http::Headers headers, std::string body)
    {
        http::CallOptions options;
        options.deadline = Clock::now() + std::chrono::seconds(30);
        const http::Address to{"127.0.0.1", port};
        auto request = http::makeRequest(method, target, std::move(body), headers);
        co_return co_await client.call(to, std::move(request), options);
    }

    /// Returns the headers of a request by workspace "north".
    static http::Headers caller(const std::string &id, http::Headers extra = {})
    {
        http::Headers headers{{"Host", "h.example"}, {"Yuccasaddle-Attempt-Id", id}, {"X-Api-Key", "key-n"}};
        headers.insert(headers.end(), extra.begin(), extra.end());
        return headers;
    }

    http::CallResult<http::Reply> call(const std::string &method, const std::string &target, const std::string &id, http::Headers extra = {},
                                       const std::string &body = {})
    {
        return loop.run(send(method, target, caller(id, std::move(extra)), body));
    }
    /// Returns the response, or one with status 0 if the connection closed before a complete
    /// response.
    http::Reply reply(const std::string &method, const std::string &target, const std::string &id, http::Headers extra = {}, const std::string &body = {})
    {
        auto result = call(method, target, id, std::move(extra), body);
        return std::holds_alternative<http::Reply>(result) ? std::get<http::Reply>(result) : http::Reply{};
    }

    Loop &loop;
    entry::Settings settings;
    router::RoutingTable table{tableOptions()};
    entry::Published published{table};
    limits::Admission admission;
    quarantine::RequestQuarantine quarantine;
    relay::RelayPeers relayPeers{{{"zone-near", "region-1"}, {"zone-far", "region-2"}}}; ///< empty until a test sets some
    peers::FleetMembership fleet;
    streams::StreamOrigins origins;
    store::ObjectStore durable; ///< the platform's, as far as the gateway uses it
    platform::LocalObjectApi durableApi{durable};
    streams::StreamStore streamStore{streamStoreParts(), loop.io.get_executor()};
    entry::Gateway<platform::PlatformDialect> gateway;
    http::Server server{{&loop.io}, "127.0.0.1", 0, [this](http::Exchange &ex) {
                            return gateway.handle(ex);
                        }};
    http::Client client;
    uint16_t port = 0;

private:
    streams::StreamStoreParts streamStoreParts()
    {
        return {durableApi,
                table,
                origins,
                [this] {
                    return entry::resumableServices(published.configuration());
                },
                [] {
                    return std::size_t(0);
                },
                [] {
                    return std::size_t(1);
                },
                [](Clock::time_point) -> Task<bool> {
                    co_return true;
                }};
    }
    // Makes this router one of a hundred, all of which have been listed for long.
    void listOtherRouters()
    {
        std::vector<std::string> others;
        for (int i = 1; i < 100; ++i) {
            others.push_back("router-" + std::to_string(i));
        }
        const auto now = BootClock::now();
        const auto longAgo = now - std::chrono::minutes(5);
        for (auto at = longAgo; at <= now; at += std::chrono::seconds(10)) {
            fleet.recordListing(others, true, at, at);
        }
        fleet.recordListing(others, true, now, now);
    }
    // The default slack allows ten retries at once, for tests that don't concern the retry budget.
    static entry::Settings settingsWithSlack(int64_t retrySlack)
    {
        entry::Settings s;
        s.retrySlack = retrySlack;
        return s;
    }
    static entry::GatewayOptions options(const entry::Settings &settings, entry::GatewayOptions o)
    {
        o.retries = entry::retryLimits(settings);
        return o;
    }
    static router::TableOptions tableOptions()
    {
        router::TableOptions options;
        options.policy = Policy::Home;
        options.servicePolicy = Policy::LeastLoaded;
        return options;
    }
};

} // namespace yucca::fixture
