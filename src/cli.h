// Command line: popt parsing shared by every binary, and the exit codes.
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

/// Exit codes, the same for every binary (documented in docs/OPERATIONS.md).
enum ExitCode : int {
    ExitOk = 0, ///< success
    ExitFailure = 1, ///< the work failed (a lost or wrong answer, an unreachable service)
    ExitUsage = 2, ///< bad command line or settings; nothing was started
    ExitConflict = 3, ///< yucca-ctl: a conditional update lost a race
};

/// Options every binary takes besides its own.
struct Common {
    char *config = nullptr; ///< --config FILE
    int version = 0; ///< --version
};

/// Parses argv with popt. Returns an exit code when the program should stop
/// now (help, version, usage error); otherwise fills rest with the leftover
/// arguments and returns nothing.
std::optional<int> parse(const char *program, int argc, const char **argv, const poptOption *own, Common &common, std::vector<std::string> &rest,
                         const char *usage = nullptr);

/// Loads the settings file named by --config (or an empty document) and
/// parses it; prints every finding to stderr and returns nothing when any.
template <typename T> std::optional<T> loadSettings(const Common &common, const std::function<T(const nlohmann::json &, Findings &)> &parseFn)
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

/// Waits until SIGTERM or SIGINT arrives.
Task<void> stopSignal();

} // namespace yucca::cli
