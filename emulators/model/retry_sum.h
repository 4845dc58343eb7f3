// Simulates the retry budgets of all routers of a fleet against one service that fails, and counts the retries of the whole fleet
// over any window. Routers restart, stand still, and see lists of routers that change or are old. Seeded and deterministic.
#pragma once

#include "retry_count.h"

#include <cstdint>
#include <optional>

namespace yucca::model
{

/// What happens to the fleet.
struct RetrySumScenario {
    int64_t seed = 1;
    std::size_t routers = 9;
    emulators::RetryAllowance allowance;
    double requestsPerS = 20; ///< to the service, over all routers
    Millis duration{120000}; ///< in virtual time
    bool restarts = false; ///< of single routers, in series, and of all routers at once
    bool pauses = false; ///< routers stand still for up to 5 s
    bool listChanges = false; ///< the store is away for some routers or all, loses entries, and routers are added, removed and replaced
    bool moves = false; ///< callers move from one half of the routers to the other
};

/// The result of one simulation.
struct RetrySum {
    std::optional<emulators::RetryWindow> worst;
    std::size_t demanded = 0; ///< retries that routers asked for
    std::size_t permitted = 0;
};

RetrySum simulateRetrySum(const RetrySumScenario &scenario);

} // namespace yucca::model
