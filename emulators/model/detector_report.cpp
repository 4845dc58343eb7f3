#include "model/detector_report.h"

#include "cli.h"
#include "model/detector_fleet.h"

#include <cstdio>
#include <cstdlib>

namespace yucca::model
{

namespace
{

constexpr std::size_t fleetSizes[] = {9, 68, 295, 986, 1972};
constexpr std::size_t domains = 5;
constexpr Millis detectionLimit{30000};
constexpr Millis maxPause{1000};

struct Cost {
    double datagrams = 0; ///< a second and router
    double bytes = 0; ///< a second and router
};

Cost costOf(DetectorFleet &fleet, Millis time)
{
    fleet.takeTraffic();
    fleet.run(time);
    const auto traffic = fleet.takeTraffic();
    const double share = 1000.0 / static_cast<double>(time.count()) / static_cast<double>(fleet.size());
    return {static_cast<double>(traffic.datagrams) * share, static_cast<double>(traffic.bytes) * share};
}

// The times until a killed router is unreachable for half of the others, 99 of 100 and all; of several kills the longest.
struct Detection {
    Millis half{0};
    Millis most{0};
    Millis all{0};
};

Detection detect(const DetectorFleetOptions &options, int kills)
{
    Detection longest;
    for (int kill = 0; kill < kills; ++kill) {
        auto seeded = options;
        seeded.seed = static_cast<uint64_t>(kill + 1);
        DetectorFleet fleet(seeded);
        fleet.run(std::chrono::seconds(3));
        fleet.kill(0);
        const auto half = fleet.runUntilUnreachable(0, 0.5, detectionLimit).value_or(detectionLimit);
        const auto most = half + fleet.runUntilUnreachable(0, 0.99, detectionLimit).value_or(detectionLimit);
        const auto all = most + fleet.runUntilUnreachable(0, 1, detectionLimit).value_or(detectionLimit);
        longest = {std::max(longest.half, half), std::max(longest.most, most), std::max(longest.all, all)};
    }
    return longest;
}

// Simulated seconds in which a router took a running, connected one for unreachable, while datagrams are lost and routers stand still.
std::size_t falseSeconds(const DetectorFleetOptions &options, std::size_t seconds)
{
    DetectorFleet fleet(options);
    std::mt19937_64 random(options.seed);
    std::size_t count = 0;
    for (std::size_t second = 0; second < seconds; ++second) {
        fleet.pause((fleet.size() + second * 7 + random() % 2) % fleet.size(),
                    Millis(static_cast<int64_t>(random() % static_cast<uint64_t>(maxPause.count()))));
        fleet.run(std::chrono::seconds(1));
        count += fleet.doubtfulRouters() > 0 ? 1 : 0;
    }
    return count;
}

// The time from the end of a cut of one failure domain until all routers reach all others again.
Millis recoveryFromCut(const DetectorFleetOptions &options)
{
    DetectorFleet fleet(options);
    fleet.setCutOff(0, true);
    fleet.run(std::chrono::seconds(20));
    fleet.setCutOff(0, false);
    Millis time{0};
    while (fleet.doubtfulRouters() > 0 && time < detectionLimit) {
        fleet.run(Millis(100));
        time += Millis(100);
    }
    return time;
}

void printRow(std::size_t routers, std::size_t quietSeconds)
{
    DetectorFleetOptions options;
    options.routers = routers;
    options.domains = domains;
    DetectorFleet fleet(options);
    fleet.run(std::chrono::seconds(3));
    const auto quiet = costOf(fleet, std::chrono::seconds(20));
    for (std::size_t n = 0; n < routers; n += 6) {
        fleet.kill(n);
    }
    const auto kills = costOf(fleet, std::chrono::seconds(10));
    const auto one = detect(options, 3);
    const auto cut = recoveryFromCut(options);
    options.loss = 0.01;
    const auto doubtful = falseSeconds(options, quietSeconds);
    std::printf("%7zu %12.1f %8.0f %10.0f %9lld %9lld %9lld %10lld %10zu/%zu\n", routers, quiet.datagrams, quiet.bytes, kills.bytes,
                static_cast<long long>(one.half.count()), static_cast<long long>(one.most.count()), static_cast<long long>(one.all.count()),
                static_cast<long long>(cut.count()), doubtful, quietSeconds);
    std::fflush(stdout);
}

} // namespace

int runDetectorReport(int argc, const char **argv)
{
    const std::size_t quietSeconds = argc > 1 ? static_cast<std::size_t>(std::strtoul(argv[1], nullptr, 10)) : 60;
    if (argc > 2 || quietSeconds == 0) {
        std::fprintf(stderr, "usage: yucca-sim detect [SECONDS]\n");
        return cli::ExitUsage;
    }
    std::printf("routers  datagrams/s      B/s  B/s(kills)  half(ms)   99%%(ms)   all(ms)   cut(ms)  false seconds\n");
    for (const auto routers : fleetSizes) {
        printRow(routers, quietSeconds);
    }
    return cli::ExitOk;
}

} // namespace yucca::model
