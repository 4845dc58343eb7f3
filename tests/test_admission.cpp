// Tests of the traffic limits, the supervisor and the decisions of the background tasks, with the time passed in.
#include "admission.h"
#include "background_tasks.h"
#include "entry/stall_monitor.h"
#include "supervisor.h"

#include <CppUTest/TestHarness.h>

#include <numeric>
#include <random>
#include <stdexcept>
#include <vector>

using namespace yucca;

TEST_GROUP(Limits)
{
    Clock::time_point now{std::chrono::hours(1)};
    limits::Admission admission;
    limits::Limits limits{2, 4};
    Clock::duration retryAfter{};

    limits::AdmissionResult admit()
    {
        return admission.admit("ws", limits, now, retryAfter);
    }
};

TEST(Limits, RequestAboveInflightLimitIsRejectedUntilOneFinishes)
{
    CHECK(admit() == limits::AdmissionResult::Admitted);
    CHECK(admit() == limits::AdmissionResult::Admitted);
    CHECK(admit() == limits::AdmissionResult::AtCapacity);
    admission.release("ws");
    CHECK(admit() == limits::AdmissionResult::Admitted);
}

TEST(Limits, RequestAboveRateIsRejectedWithTimeUntilNextToken)
{
    for (int i = 0; i < 4; ++i) {
        CHECK(admit() == limits::AdmissionResult::Admitted);
        admission.release("ws");
    }
    CHECK(admit() == limits::AdmissionResult::RateLimited);
    LONGS_EQUAL(250, std::chrono::duration_cast<Millis>(retryAfter).count());
    now += Millis(250);
    CHECK(admit() == limits::AdmissionResult::Admitted);
}

TEST(Limits, ChangedRateAppliesToNextRequest)
{
    limits.requestsPerS = 1;
    CHECK(admit() == limits::AdmissionResult::Admitted);
    admission.release("ws");
    CHECK(admit() == limits::AdmissionResult::RateLimited);
    limits.requestsPerS = 1000;
    now += Millis(1);
    CHECK(admit() == limits::AdmissionResult::Admitted);
}

TEST(Limits, RetriesReachTheirShareOfSteadyRequestsPlusSlack)
{
    limits::RetryBudget budget({0.2, 2, Millis(10000)});
    BootClock::time_point now{std::chrono::hours(1)};
    int retriesInLastWindow = 0;
    for (int i = 0; i < 400; ++i) { // 10 requests per second for 40 seconds
        budget.recordRequest(now);
        const bool permitted = budget.tryRetry(now, 1);
        if (permitted) {
            budget.recordRetryArrival(now);
            retriesInLastWindow += i >= 300 ? 1 : 0;
        }
        now += Millis(100);
    }
    CHECK(retriesInLastWindow >= 18 && retriesInLastWindow <= 22); // a fifth of the requests, and the slack at most
}

TEST(Limits, OnlyTheShareOfTheSlackIsSpent)
{
    limits::RetryBudget budget({0.2, 12, Millis(10000)});
    const BootClock::time_point now{std::chrono::hours(1)};
    CHECK(!budget.tryRetry(now, 0));
    int retries = 0;
    while (budget.tryRetry(now, 0.25)) {
        ++retries;
    }
    LONGS_EQUAL(3, retries);
}

TEST(Limits, RetriesUnusedInWindowAreAvailableWhenEndpointFails)
{
    limits::RetryBudget budget({0.2, 2, Millis(10000)});
    BootClock::time_point now{std::chrono::hours(1)};
    for (int i = 0; i < 90; ++i) { // 10 requests per second for 9 seconds
        budget.recordRequest(now);
        now += Millis(100);
    }
    int atOnce = 0;
    while (budget.tryRetry(now, 1)) {
        ++atOnce;
        budget.recordRetryArrival(now);
    }
    LONGS_EQUAL(11, atOnce); // 0.2 x 90 / 2 + 2
    now += Millis(9000);
    CHECK(!budget.tryRetry(now, 1)); // the earlier retries still count, and there were no requests since
    now += Millis(12000);
    CHECK(budget.tryRetry(now, 1));
    CHECK(budget.tryRetry(now, 1));
    CHECK(!budget.tryRetry(now, 1));
}

TEST(Limits, RetriesInAnyWindowStayWithinShareOfAnOverlappingWindow)
{
    limits::RetryBudget budget({0.2, 2, Millis(10000)});
    const BootClock::time_point start{std::chrono::hours(1)};
    std::vector<int> requestsAt(600); // in slices of 100 ms
    std::vector<int> retriesAt(600);
    std::minstd_rand random(7);
    for (std::size_t i = 0; i < requestsAt.size(); ++i) {
        const auto now = start + Millis(100) * static_cast<int64_t>(i);
        const bool surge = i / 70 % 3 == 1;
        for (unsigned k = 0; k < (surge ? 9 : 2) * (random() % 3); ++k) {
            budget.recordRequest(now);
            ++requestsAt[i];
            const bool failing = i / 40 % 2 == 0;
            while (failing && random() % 2 == 0 && budget.tryRetry(now, 1)) {
                budget.recordRetryArrival(now);
                ++retriesAt[i];
            }
        }
    }
    const auto sum = [](const std::vector<int> &v, std::size_t from) {
        return std::accumulate(v.begin() + static_cast<std::ptrdiff_t>(from), v.begin() + static_cast<std::ptrdiff_t>(from + 100), 0);
    };
    for (std::size_t at = 100; at + 100 <= requestsAt.size(); ++at) {
        const int most = std::max({sum(requestsAt, at), sum(requestsAt, at - 50), sum(requestsAt, at - 100)});
        CHECK(sum(retriesAt, at) <= 0.2 * most + 2);
    }
}

TEST(Limits, CountsAreKeptWhenLimitsChange)
{
    limits::RetryBudget budget({0.2, 2, Millis(10000)});
    const BootClock::time_point now{std::chrono::hours(1)};
    CHECK(budget.tryRetry(now, 1));
    CHECK(budget.tryRetry(now, 1));
    budget.setLimits({0.2, 3, Millis(10000)});
    CHECK(budget.tryRetry(now, 1));
    CHECK(!budget.tryRetry(now, 1));
}

TEST(Limits, PendingRetryCountsInAllWindowsUntilItHasArrived)
{
    limits::RetryBudget budget({0.2, 1, Millis(10000)});
    BootClock::time_point now{std::chrono::hours(1)};
    CHECK(budget.tryRetry(now, 1));
    now += Millis(60000);
    CHECK(!budget.tryRetry(now, 1));
    budget.recordRetryArrival(now);
    CHECK(!budget.tryRetry(now + Millis(10000), 1));
    CHECK(budget.tryRetry(now + Millis(11000), 1));
}

TEST(Limits, CancelledRetryIsAvailableAgain)
{
    limits::RetryBudget budget({0.2, 1, Millis(10000)});
    const BootClock::time_point now{std::chrono::hours(1)};
    CHECK(budget.tryRetry(now, 1));
    limits::RetryPermit(budget).cancel();
    CHECK(budget.tryRetry(now, 1));
}

TEST_GROUP(Stalls)
{
    entry::StallMonitor monitor;
    BootClock::time_point now{std::chrono::hours(1)};
};

TEST(Stalls, RequestsAreTakenForAsOldAsCallersWaitAtMost)
{
    monitor.tick(now);
    CHECK(now + Millis(400) - entry::StallMonitor::maxUnreadTime == monitor.earliestSend(now + Millis(400)));
}

TEST(Stalls, RequestsReadAfterAPauseMayBeOlderThanThePause)
{
    monitor.tick(now);
    const auto begin = now;
    now += Millis(4000);
    const auto earliest = begin - entry::StallMonitor::maxUnreadTime;
    CHECK(earliest == monitor.earliestSend(now)); // before the first tick after the pause
    for (int i = 0; i < 8; ++i) {
        monitor.tick(now + i * entry::StallMonitor::tickInterval);
    }
    CHECK(earliest == monitor.earliestSend(now + Millis(4000)));
    CHECK(earliest < monitor.earliestSend(now + Millis(4001)));
}

TEST_GROUP(Supervision){};

TEST(Supervision, FailedChildIsRestartedAndReturnedChildIsNot)
{
    asio::io_context loop;
    int runs = 0;
    std::vector<std::string> failures;
    Supervisor supervisor(loop, [&](const std::string &child, const std::string &error, int) {
        failures.push_back(child + ": " + error);
    });
    supervisor.start({"flaky",
                      [&]() -> Task<void> {
                          if (++runs < 3) {
                              throw std::runtime_error("broken");
                          }
                          co_return;
                      },
                      {}});
    loop.run();
    LONGS_EQUAL(3, runs);
    LONGS_EQUAL(2, failures.size());
    STRCMP_EQUAL("flaky: broken", failures[0].c_str());
    LONGS_EQUAL(0, supervisor.running());
}

TEST(Supervision, ChildrenStopInReverseStartOrder)
{
    asio::io_context loop;
    std::string order;
    Supervisor supervisor(loop, {});
    for (const char *name : {"a", "b", "c"}) {
        supervisor.start({name,
                          []() -> Task<void> {
                              co_return;
                          },
                          [&order, name] {
                              order += name;
                          }});
    }
    loop.run();
    supervisor.stop();
    STRCMP_EQUAL("cba", order.c_str());
}

TEST_GROUP(BackgroundTasks){};

TEST(BackgroundTasks, CompletedRecordExpiresAfterRetentionAndStartedRecordNever)
{
    nlohmann::json done{{"state", "done"}, {"at", 1000}};
    CHECK_FALSE(background::isExpired(done, 1100, 100));
    CHECK(background::isExpired(done, 1101, 100));
    nlohmann::json started{{"state", "started"}, {"at", 1000}};
    CHECK_FALSE(background::isExpired(started, 99999, 100)); // its outcome is unknown, so the record must keep guarding the key
}

TEST(BackgroundTasks, LiveEngineIsOrderedToLoadModelOfItsClass)
{
    catalogue::Snapshot s;
    catalogue::WorkClass c;
    c.pool = "p";
    c.model = "counsel-v2";
    c.version = 7;
    s.classes["counsel"] = c;
    Endpoint e;
    e.id = "e1";
    e.pool = "p";
    s.endpoints["e1"] = e;
    e.id = "e2";
    e.state = EndpointState::Leaving;
    s.endpoints["e2"] = e;
    const auto wanted = background::desiredOrders(s);
    LONGS_EQUAL(1, wanted.size());
    STRCMP_EQUAL("e1", wanted[0].engine.c_str());
    STRCMP_EQUAL("counsel-v2", wanted[0].argument.c_str());
    STRCMP_EQUAL("load_model.counsel.7", wanted[0].id.c_str());
}
