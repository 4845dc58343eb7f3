// A supervisor within a process. It runs named children as coroutines, restarts
// failed ones with exponential backoff, and stops them in reverse order of start.
#pragma once

#include "task.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace yucca
{

/// Runs children on one event loop. A child is a coroutine that returns when its
/// work is done or it was asked to stop, and throws on failure.
class Supervisor
{
public:
    struct Child {
        std::string name;
        std::function<Task<void>()> run;
        std::function<void()> stop; ///< asks the child to return; may be empty
    };
    /// Called with the name of a failed child, the exception's text and the number of its failures so far.
    using OnFailure = std::function<void(const std::string &child, const std::string &error, int failures)>;

    Supervisor(asio::io_context &loop, OnFailure onFailure);

    /// Starts a child.
    void start(Child child);
    /// Asks every child to stop, the last started first. From the loop's thread.
    void stop();
    /// Returns the number of children that have not returned.
    std::size_t running() const
    {
        return m_running;
    }

private:
    Task<void> supervise(std::shared_ptr<Child> child);

    asio::io_context &m_loop;
    OnFailure m_onFailure;
    std::vector<std::shared_ptr<Child>> m_children;
    std::atomic<std::size_t> m_running{0};
    bool m_stopping = false;
};

} // namespace yucca
