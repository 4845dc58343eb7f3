// A caller that writes arbitrary bytes to a server and keeps everything that the server sends.
#pragma once

#include "fixture.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace yucca::fixture
{

/// Upper bound on a wait for something that a test expects, so that a failing test ends.
inline constexpr Millis waitLimit{3000};

/// Runs the loop until the condition is true, for at most the given time. Returns the condition.
inline bool runUntilOrFor(Loop &loop, const std::function<bool()> &done, Millis limit = waitLimit)
{
    const auto expired = std::make_shared<bool>(false); // the timer's handler may run after this function
    asio::steady_timer timer(loop.io, limit);
    timer.async_wait([expired](const boost::system::error_code &) {
        *expired = true;
    });
    loop.runUntil([&] {
        return done() || *expired;
    });
    return done();
}

/// A connection to a server on the loopback interface. Connects and writes at once, without the event loop.
class RawConnection
{
public:
    RawConnection(Loop &loop, uint16_t port)
        : m_loop(loop)
        , m_state(std::make_shared<State>(loop.io))
    {
        m_state->socket.connect({asio::ip::make_address("127.0.0.1"), port});
    }
    ~RawConnection()
    {
        boost::system::error_code ec;
        m_state->socket.close(ec);
    }
    RawConnection(const RawConnection &) = delete;
    RawConnection &operator=(const RawConnection &) = delete;

    void send(const std::string &bytes)
    {
        boost::system::error_code ec;
        asio::write(m_state->socket, asio::buffer(bytes), ec);
    }
    /// Starts to read what the server sends.
    void startReading()
    {
        if (!m_state->reading) {
            m_state->reading = true;
            asio::co_spawn(m_loop.io, readAll(m_state), asio::detached);
        }
    }
    /// Runs the loop until the server has ended the connection. Returns true if it has.
    bool runUntilEnd(Millis limit = waitLimit)
    {
        startReading();
        return runUntilOrFor(
            m_loop,
            [this] {
                return ended();
            },
            limit);
    }
    /// Runs the loop until the given text was received that many times. Returns true if it was.
    bool runUntilReceived(const std::string &text, int times = 1, Millis limit = waitLimit)
    {
        startReading();
        runUntilOrFor(
            m_loop,
            [&] {
                return count(text) >= times || ended();
            },
            limit);
        return count(text) >= times;
    }
    int count(const std::string &text) const
    {
        int found = 0;
        for (auto at = m_state->received.find(text); at != std::string::npos; at = m_state->received.find(text, at + text.size())) {
            ++found;
        }
        return found;
    }
    const std::string &received() const
    {
        return m_state->received;
    }
    bool ended() const
    {
        return m_state->ended;
    }
    asio::ip::tcp::socket &socket()
    {
        return m_state->socket;
    }

private:
    struct State {
        explicit State(asio::io_context &io)
            : socket(io)
        {
        }
        asio::ip::tcp::socket socket;
        std::string received;
        bool reading = false;
        bool ended = false;
    };

    static Task<void> readAll(std::shared_ptr<State> state)
    {
        char buffer[16 * 1024];
        boost::system::error_code ec;
        while (!ec) {
            const auto n = co_await state->socket.async_read_some(asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, ec));
            state->received.append(buffer, n);
        }
        state->ended = true;
    }

    Loop &m_loop;
    std::shared_ptr<State> m_state;
};

/// Blocks the loop's thread for the given time, then runs the action before the loop handles what has become ready
/// meanwhile, timers that have expired included.
inline void stallThen(Loop &loop, Millis stall, std::function<void()> action)
{
    auto first = std::make_shared<asio::steady_timer>(loop.io, Millis(0)); // expires before the timers that it delays
    asio::post(loop.io, [first, stall, action = std::move(action)] {
        first->async_wait([first, action](const boost::system::error_code &) {
            action();
        });
        std::this_thread::sleep_for(stall);
    });
}

} // namespace yucca::fixture
