// Starts, signals and reaps a program under test as a child process, by its process id.
#pragma once

#include "yucca/types.h"

#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace yucca::soak
{

/// One child process. Its standard output and standard error are appended to a file.
class Child
{
public:
    /// environment holds variables, NAME=VALUE, in addition to those of this process.
    Child(std::vector<std::string> command, std::string outputFile, std::vector<std::string> environment = {})
        : m_command(std::move(command))
        , m_outputFile(std::move(outputFile))
        , m_environment(std::move(environment))
    {
    }
    /// Kills and reaps the process if it still runs.
    ~Child();
    Child(const Child &) = delete;
    Child &operator=(const Child &) = delete;

    /// Starts the process and returns its id, or an Error with status 500 when it cannot be started.
    Result<pid_t> start();
    /// Sends a signal; does nothing when no process runs.
    void signal(int number) const;
    /// Sends SIGKILL and reaps the process; does nothing when no process runs.
    void kill();
    /// Reaps the process if it has ended and returns its exit code, or the negated number of the signal that ended it.
    /// Returns nothing while the process runs and after its end was reported.
    std::optional<int> pollExit();
    bool isRunning() const
    {
        return m_pid > 0;
    }

private:
    std::vector<std::string> m_command;
    std::string m_outputFile;
    std::vector<std::string> m_environment;
    pid_t m_pid = -1;
};

} // namespace yucca::soak
