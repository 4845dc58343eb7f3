// Limits, the supervisor, the duties' decisions: all with the time passed in.
#include "admission.h"
#include "duties.h"
#include "supervisor.h"

#include <CppUTest/TestHarness.h>

#include <stdexcept>

using namespace yucca;

TEST_GROUP(Limits)
{
    Clock::time_point now{std::chrono::hours(1)};
    limits::Admission admission;
    limits::Limits limits{2, 4};
    Clock::duration retryAfter{};

    limits::Verdict admit()
    {
        return admission.admit("ws", limits, now, retryAfter);
    }
};

TEST(Limits, RequestsInFlightAreBounded)
{
    CHECK(admit() == limits::Verdict::Admitted);
    CHECK(admit() == limits::Verdict::Admitted);
    CHECK(admit() == limits::Verdict::AtCapacity);
    admission.finished("ws");
    CHECK(admit() == limits::Verdict::Admitted);
}

TEST(Limits, RequestsASecondAreBoundedAndTheWaitIsTold)
{
    for (int i = 0; i < 4; ++i) {
        CHECK(admit() == limits::Verdict::Admitted);
        admission.finished("ws");
    }
    CHECK(admit() == limits::Verdict::RateLimited);
    LONGS_EQUAL(250, std::chrono::duration_cast<Millis>(retryAfter).count());
    now += Millis(250);
    CHECK(admit() == limits::Verdict::Admitted);
}

TEST(Limits, AChangedLimitIsInForceFromTheNextRequest)
{
    limits.requestsPerS = 1;
    CHECK(admit() == limits::Verdict::Admitted);
    admission.finished("ws");
    CHECK(admit() == limits::Verdict::RateLimited);
    limits.requestsPerS = 1000;
    now += Millis(1);
    CHECK(admit() == limits::Verdict::Admitted);
}

TEST(Limits, RetriesAreAShareOfTheRequests)
{
    limits::RetryBudget budget(0.2, 2);
    int retries = 0;
    for (int i = 0; i < 100; ++i) {
        budget.earn();
        retries += budget.spend() ? 1 : 0;
    }
    CHECK(retries >= 20 && retries <= 22); // a fifth, and the reserve
}

TEST_GROUP(Supervision){};

TEST(Supervision, AChildThatFailsIsStartedAgainAndOneThatReturnsIsNot)
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

TEST(Supervision, ChildrenAreStoppedInReverseOrder)
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

TEST_GROUP(Duties){};

TEST(Duties, RecordsAreRemovedAfterTheirRetentionUnlessTheyNeverEnded)
{
    nlohmann::json done{{"state", "done"}, {"at", 1000}};
    CHECK_FALSE(duties::expired(done, 1100, 100));
    CHECK(duties::expired(done, 1101, 100));
    nlohmann::json started{{"state", "started"}, {"at", 1000}};
    CHECK_FALSE(duties::expired(started, 99999, 100)); // its outcome is unknown: it guards the key
}

TEST(Duties, EveryLiveEngineOfAPoolIsOrderedToItsClassesModel)
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
    const auto wanted = duties::wantedOrders(s);
    LONGS_EQUAL(1, wanted.size());
    STRCMP_EQUAL("e1", wanted[0].engine.c_str());
    STRCMP_EQUAL("counsel-v2", wanted[0].argument.c_str());
    STRCMP_EQUAL("load_model.counsel.7", wanted[0].id.c_str());
}
