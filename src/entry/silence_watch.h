// Waits until the endpoint of an attempt has been silent for too long.
#pragma once

#include "task.h"

namespace yucca::entry
{

/// Shared by an attempt and the coroutine that seeks another endpoint for it. Used from one event loop.
class SilenceWatch
{
public:
    SilenceWatch(const asio::any_io_executor &executor, Clock::time_point silentAt)
        : m_timer(executor)
        , m_silentAt(silentAt)
    {
    }
    /// Sets when the endpoint counts as silent.
    void expectBy(Clock::time_point silentAt)
    {
        m_silentAt = silentAt;
        if (silentAt < m_timer.expiry()) {
            m_timer.cancel();
        }
    }
    /// The endpoint does not count as silent until expectBy() is called again.
    void suspend()
    {
        m_silentAt = Clock::time_point::max();
    }
    /// Ends the watch: the attempt is over.
    void end()
    {
        m_ended = true;
        m_timer.cancel();
    }
    bool ended() const
    {
        return m_ended;
    }
    bool isSilent(Clock::time_point now) const
    {
        return !m_ended && now >= m_silentAt;
    }
    /// Returns when the endpoint is silent or the watch has ended.
    Task<void> waitForSilence()
    {
        while (!m_ended && !isSilent(Clock::now())) {
            m_timer.expires_at(m_silentAt);
            boost::system::error_code ec;
            co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        }
    }

private:
    asio::steady_timer m_timer;
    Clock::time_point m_silentAt;
    bool m_ended = false;
};

} // namespace yucca::entry
