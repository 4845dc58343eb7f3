// Tests of the count of retries over sliding windows.
#include "retry_count.h"

#include <CppUTest/TestHarness.h>

using namespace yucca;
using emulators::RetryCount;

TEST_GROUP(RetryCounting)
{
    RetryCount count{{0.5, 1, Millis(1000)}};

    void arrive(const std::string &id, std::initializer_list<int> times)
    {
        for (const int at : times) {
            count.recordArrival(id, Millis(at));
        }
    }
};

TEST(RetryCounting, FirstArrivalsAreNoRetries)
{
    arrive("a", {100});
    arrive("b", {100});
    CHECK(!count.worstWindow());
}

TEST(RetryCounting, RetriesOverTheAllowanceOfAnyWindowAreFound)
{
    for (const int at : {100, 200, 300, 400}) {
        count.recordRequest(Millis(at));
    }
    arrive("a", {110, 150, 5000});
    arrive("b", {210, 5400});
    arrive("c", {310, 5900, 5901});
    const auto worst = count.worstWindow();
    CHECK(worst.has_value());
    LONGS_EQUAL(4, worst->retries); // 5000 to 5901; the requests are too long ago
    LONGS_EQUAL(0, worst->requests);
    DOUBLES_EQUAL(4, worst->used(), 1e-9);
}

TEST(RetryCounting, RequestsOfTheWindowBeforeAreCounted)
{
    for (int at = 0; at < 1000; at += 100) {
        count.recordRequest(Millis(at));
    }
    arrive("a", {900, 1400, 1500, 1600});
    const auto worst = count.worstWindow();
    CHECK(worst.has_value());
    LONGS_EQUAL(3, worst->retries);
    LONGS_EQUAL(6, worst->requests); // 0, 1 and 6 in the windows that begin at 1400, 900 and 400
    DOUBLES_EQUAL(0.75, worst->used(), 1e-9);
}
