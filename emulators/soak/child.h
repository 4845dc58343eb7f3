// A program under test as a child process: started, signalled and reaped by
// its own id.
#pragma once

#include "yucca/types.h"

#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace yucca::soak
{

/// One child process. Its output is appended to a file.
class Child
{
public:
    Child(std::vector<std::string> command, std::string outputFile)
        : m_command(std::move(command))
        , m_outputFile(std::move(outputFile))
    {
    }
    /// Kills and reaps a child that still runs.
    ~Child();
    Child(const Child &) = delete;
    Child &operator=(const Child &) = delete;

    /// Starts it; an Error (500) when that is impossible.
    Result<pid_t> start();
    void signal(int number) const;
    /// Kills and reaps it.
    void kill();
    /// The exit code, or the negated signal, of a child that has ended since it was started.
    std::optional<int> ended();
    bool started() const
    {
        return m_pid > 0;
    }

private:
    std::vector<std::string> m_command;
    std::string m_outputFile;
    pid_t m_pid = -1;
};

} // namespace yucca::soak
