// Helpers for tests that run servers and clients. Everything runs on one event loop in one thread and waits only for
// events, so the tests are deterministic.
#pragma once

#include "http_client.h"
#include "http_server.h"
#include "local_object_api.h"
#include "notifier.h"
#include "router_traffic.h"

#include <exception>
#include <functional>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>

namespace yucca::fixture
{

/// Fails the test if the condition is false. For fixtures, whose headers come before CppUTest's.
inline void require(bool done)
{
    if (!done) {
        throw std::runtime_error("the test fixture could not be set up");
    }
}

/// A one-time event that tasks can wait for.
class Signal
{
public:
    void fire()
    {
        m_fired = true;
        m_notifier.notifyAll();
    }
    bool fired() const
    {
        return m_fired;
    }
    Task<void> wait()
    {
        while (!m_fired) {
            co_await m_notifier.wait(Clock::time_point::max());
        }
    }

private:
    bool m_fired = false;
    Notifier m_notifier;
};

/// An event loop that runs one task to completion together with the tasks that were started before.
class Loop
{
public:
    template <typename T> T run(Task<T> task)
    {
        std::optional<T> value;
        std::exception_ptr failure;
        asio::co_spawn(io, std::move(task), [&](std::exception_ptr e, T v) {
            failure = e;
            value = std::move(v);
        });
        io.restart(); // a previous task may have left the loop stopped
        while (!value && io.run_one() > 0) { }
        if (failure) {
            std::rethrow_exception(failure);
        }
        if (!value) {
            throw std::runtime_error("the event loop ran out of work before the task completed");
        }
        return std::move(*value);
    }
    /// Starts a task in the background and stores its value in out.
    template <typename T> void start(Task<T> task, std::optional<T> &out)
    {
        asio::co_spawn(io, std::move(task), [&out](std::exception_ptr, T v) {
            out = std::move(v);
        });
    }
    /// Runs the loop until the condition is true.
    void runUntil(const std::function<bool()> &done)
    {
        io.restart();
        while (!done() && io.run_one() > 0) { }
    }
    asio::io_context io;
};

/// A fake endpoint on an ephemeral port that passes each request to the handler.
struct FakeEndpoint {
    FakeEndpoint(Loop &loop, http::Handler handler)
        : server({&loop.io}, "127.0.0.1", 0, std::move(handler))
        , port(std::get<uint16_t>(server.start()))
    {
    }
    http::Server server;
    uint16_t port;
};

inline Endpoint endpointAt(const std::string &id, uint16_t port, const std::string &pool, EndpointKind kind)
{
    Endpoint e;
    e.id = id;
    e.host = "127.0.0.1";
    e.port = port;
    e.pool = pool;
    e.kind = kind;
    return e;
}

/// The headers that an engine's answer carries for a request.
inline http::Headers requestIdHeaders(const http::Exchange &ex)
{
    return {{"x-request-id", ex.header("x-request-id")}};
}

/// One router connected to the in-process object API and a set of endpoints. Workspace "ws" uses engines (pool "p");
/// workspace "sched" uses a plain service (pool "s").
struct RouterFixture {
    RouterFixture(Loop &l, const std::vector<Endpoint> &endpoints, settings::RouterSettings given = {})
        : loop(l)
        , s(std::move(given))
    {
        store.put(catalogue::classKind, "counsel", {{"pool", "p"}, {"kind", "engine"}}, std::nullopt);
        store.put(catalogue::classKind, "appointments", {{"pool", "s"}, {"kind", "service"}}, std::nullopt);
        store.put(catalogue::workspaceKind, "ws", {{"owner", "o"}, {"class", "counsel"}}, std::nullopt);
        store.put(catalogue::workspaceKind, "sched", {{"owner", "o"}, {"class", "appointments"}}, std::nullopt);
        for (const auto &e : endpoints) {
            store.put(platform::vmKind, e.id, platform::toJson(e), std::nullopt);
        }
        loop.run(control.step());
        port = std::get<uint16_t>(server.start());
    }

    /// Sends one request to the router and reads the complete answer.
    Task<http::CallResult<http::Reply>> post(std::string path, std::string workspace, std::string body, http::Headers extra = {})
    {
        extra.emplace_back("x-workspace", workspace);
        http::CallOptions options;
        options.deadline = Clock::now() + std::chrono::seconds(60);
        http::Address to;
        to.host = "127.0.0.1";
        to.port = port;
        co_return co_await client.call(to, http::makeRequest("POST", path, body, extra), options);
    }
    http::CallResult<http::Reply> chat(const std::string &body, http::Headers extra = {})
    {
        return loop.run(post("/v1/chat/completions", "ws", body, std::move(extra)));
    }
    http::Reply book(const std::string &key)
    {
        http::Headers headers{{"idempotency-key", key}};
        auto r = loop.run(post("/v1/ops/book", "sched", "{}", headers));
        if (auto *error = std::get_if<http::CallError>(&r)) {
            throw std::runtime_error("booking: " + error->message);
        }
        return std::get<http::Reply>(r);
    }

    Loop &loop;
    settings::RouterSettings s;
    store::ObjectStore store;
    platform::LocalObjectApi api{store};
    router::RoutingTable table;
    router::Control control{s, api, table};
    quarantine::RequestQuarantine quarantine;
    router::Router router{s, api, nullptr, nullptr, table, control, quarantine};
    http::Server server{{&loop.io}, "127.0.0.1", 0, [this](http::Exchange &ex) {
                            return router.handle(ex);
                        }};
    http::Client client;
    uint16_t port = 0;
};

inline std::string outcomeOf(const http::Reply &reply)
{
    const auto j = nlohmann::json::parse(reply.body, nullptr, false);
    return j.is_object() ? j.value("outcome", "") : "";
}

inline const char *chatBody = R"({"messages":[{"role":"user","content":"hello"}]})";
inline const char *streamBody = R"({"stream":true,"messages":[{"role":"user","content":"hello"}]})";

} // namespace yucca::fixture
