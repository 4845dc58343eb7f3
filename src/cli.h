// Command line parsing with popt, settings loading and exit codes, shared by all programs.
#pragma once

#include "findings.h"
#include "settings.h"
#include "task.h"

#include <popt.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace yucca::cli
{

/// Exit codes of all programs (documented in docs/OPERATIONS.md).
enum ExitCode : int {
    ExitOk = 0, ///< success
    ExitFailure = 1, ///< the operation failed (lost or wrong answer, unreachable service)
    ExitUsage = 2, ///< invalid command line or settings; nothing was started
    ExitConflict = 3, ///< yucca-ctl: a conditional update conflicted with another change
};

/// Options that all programs accept.
struct CommonOptions {
    char *config = nullptr; ///< --config FILE
    int version = 0; ///< --version
};

/// Parses argv with popt. Returns an exit code if the program must exit now
/// (version, usage error); otherwise appends the positional arguments to arguments and
/// returns nothing. The help option prints the options and exits.
std::optional<int> parse(const char *program, int argc, const char **argv, const poptOption *programOptions, CommonOptions &common,
                         std::vector<std::string> &arguments, const char *usage = nullptr);

/// Loads and parses the settings file named by --config, or an empty document
/// without one. If there are findings, prints all of them to stderr and returns
/// nothing.
template <typename T> std::optional<T> loadSettings(const CommonOptions &common, const std::function<T(const nlohmann::json &, Findings &)> &parseFn)
{
    Findings findings;
    nlohmann::json doc = common.config ? settings::loadFile(common.config, findings) : nlohmann::json::object();
    T value = parseFn(doc, findings);
    if (!findings.empty()) {
        fprintf(stderr, "settings rejected (%zu problems):\n%s", findings.items().size(), findings.report().c_str());
        return std::nullopt;
    }
    return value;
}

/// Waits for SIGTERM or SIGINT.
Task<void> waitForStopSignal();

} // namespace yucca::cli
