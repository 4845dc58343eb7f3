// Fixtures of the tests on the ends of requests: engines that answer once they are let go on, and callers that write and read
// arbitrary bytes.
#pragma once

#include "entry_fixture.h"

#include <memory>
#include <string>

#include <malloc.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

namespace yucca::fixture
{

inline constexpr Millis patience{3000}; ///< bounds the wait for what must happen at once

inline std::string idOf(const ReceivedRequest &request)
{
    return request.header("Yuccasaddle-Attempt-Id");
}

inline std::string eventsUpTo(int last)
{
    std::string out;
    for (int i = 1; i <= last; ++i) {
        out += eventNumber(i);
    }
    return out;
}

// Runs the loop until the condition is true. Returns false if that takes too long.
inline bool becomesTrue(Loop &loop, const std::function<bool()> &condition, Millis limit = patience)
{
    bool late = false;
    asio::steady_timer timer(loop.io, limit);
    timer.async_wait([&late](const boost::system::error_code &ec) {
        late = !ec;
    });
    loop.runUntil([&] {
        return late || condition();
    });
    return condition();
}

/// Runs a check in a process of its own, with an event loop of its own. Returns false if the check fails or ends the process.
/// Freed memory is filled there, so that a pointer into it is not followed unnoticed.
inline bool holdsInOwnProcess(const std::function<bool(Loop &)> &check)
{
    const pid_t child = ::fork();
    require(child >= 0);
    if (child == 0) {
        const rlimit noCore{0, 0};
        ::setrlimit(RLIMIT_CORE, &noCore);
        ::mallopt(M_PERTURB, 0x5a);
        Loop loop;
        const bool held = check(loop);
        ::_exit(held ? 0 : 1);
    }
    int status = 0;
    require(::waitpid(child, &status, 0) == child);
    return WIFEXITED(status) && WEXITSTATUS(status) == 0;
}

/// Runs the loop for a time.
inline void letPass(Loop &loop, Millis time)
{
    becomesTrue(
        loop,
        [] {
            return false;
        },
        time);
}

/// An engine that receives requests and completes its answers once it is let go on. A stream has two events, one before.
class GatedEngine
{
public:
    explicit GatedEngine(Loop &loop)
        : endpoint(loop, [this](tcp::socket &socket, const ReceivedRequest &request) {
            return serve(socket, request);
        })
    {
    }
    void goOn()
    {
        m_gate.fire();
    }

    ScriptedEndpoint endpoint;

private:
    Task<void> serve(tcp::socket &socket, const ReceivedRequest &request)
    {
        const std::string id = idOf(request);
        const bool streams = request.head.starts_with("POST /chat/") || request.head.starts_with("POST /once/");
        if (streams) {
            const bool resumed = request.header("Last-Event-Id") != "(none)";
            const std::string first = resumed ? "" : chunk(eventNumber(1));
            co_await sendBytes(socket, streamHead(id) + first);
        }
        co_await m_gate.wait();
        const std::string rest = streams ? chunk(eventNumber(2)) + "0\r\n\r\n" : signedAnswer(id, "ok");
        co_await sendBytes(socket, rest);
    }

    Signal m_gate;
};

/// What a caller has received of one response.
struct Received {
    unsigned status = 0;
    std::string body;
    bool complete = false;
    bool ended = false; ///< whole or broken
};

/// Sends one request and records its response as it arrives.
inline Task<void> request(EntryFixture &fixture, std::string target, std::string id, Received &received)
{
    http::CallOptions options;
    options.deadline = Clock::now() + std::chrono::seconds(30);
    const http::Address to{"127.0.0.1", fixture.port};
    auto message = http::makeRequest("POST", target, "", EntryFixture::caller(id));
    auto opened = co_await fixture.client.open(to, std::move(message), options);
    if (auto *response = std::get_if<std::unique_ptr<http::Response>>(&opened)) {
        received.status = (*response)->status();
        for (bool more = true; more;) {
            auto part = co_await(*response)->read();
            const auto *bytes = std::get_if<std::string>(&part);
            more = bytes && !bytes->empty();
            received.complete = bytes && bytes->empty();
            received.body += bytes ? *bytes : "";
        }
    }
    received.ended = true;
}

/// A caller's connection, written byte by byte and read until its end.
class RawCaller
{
public:
    RawCaller(Loop &loop, uint16_t port)
        : m_state(std::make_shared<State>(loop))
    {
        m_state->socket.connect({asio::ip::make_address("127.0.0.1"), port});
        asio::co_spawn(loop.io, read(m_state), asio::detached);
    }
    void send(const std::string &bytes)
    {
        asio::write(m_state->socket, asio::buffer(bytes));
    }
    void halfClose()
    {
        m_state->socket.shutdown(tcp::socket::shutdown_send);
    }
    void close()
    {
        m_state->socket.close();
    }
    const std::string &received() const
    {
        return m_state->received;
    }
    bool ended() const
    {
        return m_state->ended;
    }
    int responses() const
    {
        int count = 0;
        for (auto at = received().find("HTTP/1.1 "); at != std::string::npos; at = received().find("HTTP/1.1 ", at + 1)) {
            ++count;
        }
        return count;
    }

private:
    struct State {
        explicit State(Loop &loop)
            : socket(loop.io)
        {
        }
        tcp::socket socket;
        std::string received;
        bool ended = false;
    };
    static Task<void> read(std::shared_ptr<State> state)
    {
        char buffer[4096];
        boost::system::error_code ec;
        while (!ec) {
            const auto n = co_await state->socket.async_read_some(asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, ec));
            state->received.append(buffer, n);
        }
        state->ended = true;
    }

    std::shared_ptr<State> m_state;
};

inline std::string requestBytes(const std::string &method, const std::string &target, const std::string &id, const std::string &body = {})
{
    return method + " " + target + " HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: key-n\r\nYuccasaddle-Attempt-Id: " + id
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Lists an endpoint of service s or m again with a later start time, as after a restart.
inline void restart(EntryFixture &fixture, auto &gateway, const std::string &service, uint16_t port)
{
    auto endpoint = endpointAt("e1", port, service, EndpointKind::Service);
    endpoint.startedAtMs = 1796260000000;
    fixture.published.replaceEndpoints({{"e1", endpoint}});
    gateway.cancelAttemptsAtRestarted();
}

} // namespace yucca::fixture
