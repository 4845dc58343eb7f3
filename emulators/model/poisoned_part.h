// Model of a fleet whose requests share parts of their prompts, one of which crashes each engine that begins to write on it.
// The routers' real quarantines decide; engines, detection of crashes and datagrams are modelled in virtual time.
#pragma once

#include "quarantine.h"

#include <cstdint>

namespace yucca::model
{

/// The parameters of a run.
struct PoisonedPartScenario {
    uint64_t seed = 1;
    std::size_t routers = 9;
    std::size_t engines = 9;
    std::size_t slots = 64; ///< requests that an engine runs at the same time
    double soundPerS = 500; ///< sound requests
    double poisonedPerS = 4; ///< requests with the poisoned part
    double chanceCrashesPerS = 0; ///< crashes of engines that no request causes
    std::size_t firstParts = 3; ///< shared by sound requests and poisoned ones
    std::size_t middleParts = 40; ///< second parts of sound requests; popularity falls with the number
    Millis duration{15000};
    Millis poisonFrom{3000}; ///< when the poisoned requests begin
    Millis contact{3000}; ///< after the fifth crash, in which routers must have learned of it
};

/// What callers and engines saw.
struct PoisonedPartOutcome {
    std::size_t crashes = 0; ///< of engines, under poisoned requests
    std::size_t lateSends = 0; ///< poisoned requests that reached engines later than contact after the fifth crash
    std::size_t soundLate = 0; ///< sound requests from twice contact after the fifth crash on
    std::size_t soundWithheldLate = 0; ///< of these, the ones that the quarantine kept from engines
    std::size_t sound = 0; ///< sound requests
    std::size_t soundWithheld = 0; ///< of these, the ones that the quarantine kept from engines
    std::size_t updates = 0; ///< datagrams of the routers about crashes
};

PoisonedPartOutcome simulatePoisonedPart(const PoisonedPartScenario &scenario);

} // namespace yucca::model
