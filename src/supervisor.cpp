#include "supervisor.h"

#include <algorithm>

namespace yucca
{

namespace
{
constexpr Millis initialRestartDelay{50};
constexpr Millis maxRestartDelay{5000};
constexpr int maxDoublings = 10;
} // namespace

Supervisor::Supervisor(asio::io_context &loop, OnFailure onFailure)
    : m_loop(loop)
    , m_onFailure(std::move(onFailure))
{
}

void Supervisor::start(Child child)
{
    auto shared = std::make_shared<Child>(std::move(child));
    m_children.push_back(shared);
    ++m_running;
    asio::co_spawn(m_loop, supervise(shared), [this](std::exception_ptr) {
        --m_running;
    });
}

void Supervisor::stop()
{
    m_stopping = true;
    for (auto it = m_children.rbegin(); it != m_children.rend(); ++it) {
        if ((*it)->stop) {
            (*it)->stop();
        }
    }
}

// Runs one child until it returns, and restarts it after each failure.
Task<void> Supervisor::supervise(std::shared_ptr<Child> child)
{
    for (int failures = 0; !m_stopping;) {
        std::string error;
        try {
            co_await child->run();
            co_return;
        } catch (const std::exception &e) {
            error = e.what();
        }
        ++failures;
        if (m_onFailure) {
            m_onFailure(child->name, error, failures);
        }
        const Millis delay = std::min(initialRestartDelay * (1 << std::min(failures - 1, maxDoublings)), maxRestartDelay);
        co_await sleepFor(delay);
    }
}

} // namespace yucca
