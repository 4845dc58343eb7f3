// explain::Reader builds the timeline of a request from the logs of several routers
// and names the cause of its outcome. The event catalogue must match the documentation.
#include "explain.h"
#include "log.h"

#include <fstream>
#include <set>
#include <sstream>

// CppUTest goes last: its memory-leak macros redefine operator new.
#include <CppUTest/TestHarness.h>

using namespace yucca;

TEST_GROUP(Explain){static explain::Timeline timelineOf(const std::string &id, const std::vector<std::string> &logs){explain::TimelineBuilder builder(id);
int n = 0;
for (const auto &log : logs) {
    std::istringstream in(log);
    builder.read(in, "router-" + std::to_string(++n));
}
return builder.finish();
}
}
;

TEST(Explain, EventsOfSeveralRoutersAreSortedByTimeAndOtherLinesAreCounted)
{
    const auto timeline =
        timelineOf("q1",
                   {"{\"at_ms\":30,\"name\":\"RequestFinished\",\"id\":\"q1\",\"end\":\"cut\",\"events\":7,\"endpoint\":\"e2\"}\n"
                    "not ours\n{\"half\":\n{\"at_ms\":5,\"name\":\"RequestFinished\",\"id\":\"other\",\"end\":\"delivered\"}\n",
                    "{\"at_ms\":10,\"name\":\"AttemptEnded\",\"id\":\"q1\",\"endpoint\":\"e1\",\"end\":\"broken\",\"ms\":99,\"again\":true}\n"});
    LONGS_EQUAL(2, timeline.entries.size());
    STRCMP_EQUAL("AttemptEnded", timeline.entries[0].event.c_str());
    STRCMP_EQUAL("router-2", timeline.entries[0].source.c_str());
    LONGS_EQUAL(2, timeline.skippedLines);
    CHECK(timeline.cause.find("after event 7 at endpoint e2") != std::string::npos);
}

TEST(Explain, DepartureOfAnAttemptedEndpointShortlyBeforeIsInTheTimeline)
{
    const auto timeline = timelineOf("q1",
                                     {"{\"at_ms\":9000,\"name\":\"EndpointLeft\",\"endpoint\":\"e1\"}\n"
                                      "{\"at_ms\":9000,\"name\":\"EndpointLeft\",\"endpoint\":\"e9\"}\n"
                                      "{\"at_ms\":9100,\"name\":\"AttemptEnded\",\"id\":\"q1\",\"endpoint\":\"e1\",\"end\":\"broken\",\"again\":false}\n"
                                      "{\"at_ms\":9100,\"name\":\"RequestRejected\",\"id\":\"q1\",\"why\":\"answer_lost\",\"status\":502}\n"});
    LONGS_EQUAL(3, timeline.entries.size());
    STRCMP_EQUAL("EndpointLeft", timeline.entries[0].event.c_str());
    CHECK(timeline.cause.find("its answer was lost") != std::string::npos);
}

TEST(Explain, UnknownRequestIdGivesAnEmptyTimelineAndACauseThatSaysSo)
{
    const auto timeline = timelineOf("q1", {"{\"at_ms\":1,\"name\":\"RequestFinished\",\"id\":\"q2\"}\n"});
    CHECK(timeline.entries.empty());
    CHECK(timeline.cause.find("no line") != std::string::npos);
}

TEST_GROUP(EventCatalogue){};

TEST(EventCatalogue, CodeAndDocumentationListTheSameEvents)
{
    std::ifstream file("docs/EVENTS.md");
    std::set<std::string> documented;
    for (std::string line; std::getline(file, line);) {
        std::istringstream row(line);
        std::string bar, number, bar2, name;
        if (row >> bar >> number >> bar2 >> name && bar == "|" && number.find_first_not_of("0123456789") == std::string::npos) {
            documented.insert(number + " " + name);
        }
    }
    std::set<std::string> known;
    for (const auto &row : log::events()) {
        known.insert(std::to_string(static_cast<int>(row.event)) + " " + std::string(row.name));
    }
    CHECK(!known.empty());
    for (const auto &event : known) {
        CHECK_TEXT(documented.count(event), ("not in docs/EVENTS.md: " + event).c_str());
    }
    for (const auto &event : documented) {
        CHECK_TEXT(known.count(event), ("not in the code: " + event).c_str());
    }
}
