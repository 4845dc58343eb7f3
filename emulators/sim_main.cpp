// yucca-sim: the fleet simulator. "bench" runs all placement policies on the same conversations and prints a
// signature of their decisions; "play" simulates a scenario of a whole deployment; "detect" simulates the failure
// detectors of fleets; "changes" simulates how changes of the store's objects reach all routers.
#include "bench.h"
#include "model/change_report.h"
#include "model/detector_report.h"
#include "model/play.h"

#include <cstdio>
#include <cstring>

int main(int argc, const char **argv)
{
    if (argc >= 2 && std::strcmp(argv[1], "bench") == 0) {
        return yucca::bench::run(argc - 1, argv + 1);
    }
    if (argc >= 2 && std::strcmp(argv[1], "play") == 0) {
        return yucca::model::runPlay(argc - 1, argv + 1);
    }
    if (argc >= 2 && std::strcmp(argv[1], "detect") == 0) {
        return yucca::model::runDetectorReport(argc - 1, argv + 1);
    }
    if (argc >= 2 && std::strcmp(argv[1], "changes") == 0) {
        return yucca::model::runChangeReport();
    }
    std::fprintf(stderr, "usage: yucca-sim bench [--help] | play SCENARIO [--help] | detect [SECONDS] | changes\n");
    return 2;
}
