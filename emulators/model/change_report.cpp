#include "model/change_report.h"

#include "model/change_fleet.h"

#include <cstdio>

namespace yucca::model
{

namespace
{

constexpr std::array<std::size_t, 4> fleetSizes{68, 295, 986, 1972};
constexpr std::array<std::size_t, 3> objectBytes{20 * 1024, 120 * 1024, 240 * 1024};
constexpr int seriesLength = 6;
constexpr Millis seriesInterval{460};
constexpr Millis observed{15000};

void printRow(std::size_t routers, std::size_t bytes, double refused, int versions)
{
    ChangeFleetOptions options;
    options.routers = routers;
    options.refusedShare = refused;
    ChangeFleet fleet(options);
    const auto bytesBefore = fleet.storeBytes();
    const auto callsBefore = fleet.storeCalls();
    for (int n = 0; n < versions; ++n) {
        fleet.run(seriesInterval);
        fleet.write(bytes);
    }
    fleet.run(observed);
    const auto times = fleet.timesOfLastWrite();
    std::printf("%8zu %8zu %8.2f %9d %9zu %9lld %9lld %10.1f %10llu\n", routers, bytes / 1024, refused, versions, times.reached,
                static_cast<long long>(times.half.count()), static_cast<long long>(times.last.count()),
                static_cast<double>(fleet.storeBytes() - bytesBefore) / 1e6, static_cast<unsigned long long>(fleet.storeCalls() - callsBefore));
    std::fflush(stdout);
}

} // namespace

int runChangeReport()
{
    std::printf("%8s %8s %8s %9s %9s %9s %9s %10s %10s\n", "routers", "KB", "refused", "versions", "reached", "half ms", "last ms", "store MB", "calls");
    for (const double refused : {0.0, 0.33}) {
        for (const auto bytes : objectBytes) {
            for (const auto routers : fleetSizes) {
                printRow(routers, bytes, refused, 1);
                printRow(routers, bytes, refused, seriesLength);
            }
        }
    }
    return 0;
}

} // namespace yucca::model
