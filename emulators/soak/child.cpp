#include "soak/child.h"

#include <csignal>
#include <cstring>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace yucca::soak
{

namespace
{

int exitCodeOf(int status)
{
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

} // namespace

Child::~Child()
{
    kill();
}

Result<pid_t> Child::start()
{
    std::vector<char *> argv;
    for (auto &argument : m_command) {
        argv.push_back(argument.data());
    }
    argv.push_back(nullptr);
    std::vector<char *> environment;
    for (char **variable = environ; *variable; ++variable) {
        environment.push_back(*variable);
    }
    for (auto &variable : m_environment) {
        environment.push_back(variable.data());
    }
    environment.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, m_outputFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int error = posix_spawn(&m_pid, argv[0], &actions, nullptr, argv.data(), environment.data());
    posix_spawn_file_actions_destroy(&actions);
    if (error) {
        m_pid = -1;
        return Error{500, m_command[0] + ": " + std::strerror(error)};
    }
    return m_pid;
}

void Child::signal(int number) const
{
    if (m_pid > 0) {
        ::kill(m_pid, number);
    }
}

void Child::kill()
{
    if (m_pid > 0) {
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
        m_pid = -1;
    }
}

std::optional<int> Child::pollExit()
{
    int status = 0;
    if (m_pid <= 0 || ::waitpid(m_pid, &status, WNOHANG) != m_pid) {
        return std::nullopt;
    }
    m_pid = -1;
    return exitCodeOf(status);
}

} // namespace yucca::soak
