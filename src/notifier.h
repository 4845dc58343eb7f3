// A condition that coroutines of one event loop wait for.
#pragma once

#include "task.h"

#include <list>

namespace yucca
{

/// Wakes all waiting coroutines at once; used from one event loop.
class Notifier
{
public:
    /// Suspends until notifyAll() is called or the deadline passes.
    Task<void> wait(Clock::time_point deadline)
    {
        Timer timer(co_await asio::this_coro::executor, deadline);
        const auto position = m_waiting.insert(m_waiting.end(), &timer);
        boost::system::error_code ec;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        m_waiting.erase(position);
    }
    void notifyAll()
    {
        for (auto *timer : m_waiting) {
            timer->cancel();
        }
    }

private:
    std::list<Timer *> m_waiting;
};

} // namespace yucca
