// Coroutine tasks on Boost.Asio: the task type, sleeping, and running a task to completion from blocking code.
#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>
#include <exception>
#include <optional>
#include <utility>

namespace yucca
{

namespace asio = boost::asio;

using Millis = std::chrono::milliseconds;

/// The clock of all timers and deadlines: the steady clock, or the virtual time of a simulation that runs on this thread.
struct Clock {
    using duration = std::chrono::steady_clock::duration;
    using rep = std::chrono::steady_clock::rep;
    using period = std::chrono::steady_clock::period;
    using time_point = std::chrono::steady_clock::time_point;
    static constexpr bool is_steady = true;
    static time_point now() noexcept
    {
        return virtualNow ? *virtualNow : std::chrono::steady_clock::now();
    }
    static inline thread_local const time_point *virtualNow = nullptr; ///< set by a simulation on its thread, null otherwise
};

/// Tells Asio how long to wait for a timer. In virtual time no timer waits: the simulation polls after each step.
struct TimerTraits {
    static Clock::duration to_wait_duration(const Clock::duration &d)
    {
        return Clock::virtualNow ? Clock::duration::zero() : d;
    }
    static Clock::duration to_wait_duration(const Clock::time_point &t)
    {
        return to_wait_duration(t - Clock::now());
    }
};

/// A timer that follows Clock.
using Timer = asio::basic_waitable_timer<Clock, TimerTraits>;

/// A coroutine that yields a T when awaited. It runs on the executor of its awaiter.
template <typename T> using Task = asio::awaitable<T>;

/// Suspends the calling task for the given duration.
inline Task<void> sleepFor(Clock::duration d)
{
    Timer timer(co_await asio::this_coro::executor, d);
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

/// The event loop of a thread that runs blocking code. It lives as long as the thread, so that connections kept between
/// calls of runBlocking() keep their loop.
inline asio::io_context &blockingLoop()
{
    static thread_local asio::io_context loop(1);
    return loop;
}

/// Runs a task to completion and returns its value, or rethrows its exception. For command line tools, program start
/// and stop, and tests. Must not be called from within a task.
template <typename T> T runBlocking(Task<T> task)
{
    auto &loop = blockingLoop();
    std::optional<T> value;
    std::exception_ptr failure;
    asio::co_spawn(loop, std::move(task), [&](std::exception_ptr e, T v) {
        failure = e;
        value = std::move(v);
    });
    loop.restart();
    while (!value && loop.run_one() > 0) { }
    if (failure) {
        std::rethrow_exception(failure);
    }
    return std::move(value.value());
}

/// Runs a task without a value to completion.
inline void runBlocking(Task<void> task)
{
    auto valued = [](Task<void> t) -> Task<bool> {
        co_await std::move(t);
        co_return true;
    };
    runBlocking(valued(std::move(task)));
}

} // namespace yucca
