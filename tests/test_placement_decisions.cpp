// Tests of router decisions that need no network: prompt homes, least load, prompt holders, and retries.
#include "entry/retry_after.h"
#include "entry/retry_policy.h"
#include "prompt_holders.h"
#include "yucca/placement.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <random>

using namespace yucca;
using placement::TimePoint;

namespace
{

std::vector<std::string> names(int n)
{
    std::vector<std::string> out;
    for (int i = 0; i < n; ++i) {
        out.push_back("e" + std::to_string(i));
    }
    return out;
}

constexpr placement::Affinity prompt(uint64_t key)
{
    return {key, key};
}

} // namespace

TEST_GROUP(PromptHome)
{
    TimePoint now{std::chrono::hours(1)};
};

TEST(PromptHome, RoutersPickTheSameHomeAndMemberChangeMovesOnlyFewPrompts)
{
    placement::PromptHome a;
    placement::PromptHome b;
    a.setMembers(names(18));
    b.setMembers(names(17));
    int moved = 0;
    for (uint64_t key = 1; key <= 200; ++key) {
        const auto atA = a.members()[*a.pick(prompt(key), placement::Usable(18, true), now)];
        const auto atB = b.members()[*b.pick(prompt(key), placement::Usable(17, true), now)];
        CHECK(atA == atB || atA == "e17");
        moved += atA != atB ? 1 : 0;
    }
    CHECK(moved > 0 && moved < 30); // about 1 in 18
}

TEST(PromptHome, LessLoadedOfTwoHoldersIsPicked)
{
    placement::PromptHome policy;
    policy.setMembers(names(10));
    const placement::Usable usable(10, true);
    for (uint64_t key = 1; key <= 20; ++key) {
        auto wanted = prompt(key);
        const auto home = *policy.pick(wanted, usable, now);
        const auto other = (home + 3) % 10;
        wanted.holders = {policy.members()[home], policy.members()[other]};
        for (std::size_t m = 0; m < 10; ++m) {
            policy.recordLoadReport(m, 5, now);
        }
        policy.recordLoadReport(home, 6, now);
        policy.recordLoadReport(other, 4, now);
        LONGS_EQUAL(other, *policy.pick(wanted, usable, now));
        policy.recordLoadReport(other, 7, now);
        LONGS_EQUAL(home, *policy.pick(wanted, usable, now));
        wanted.holders = {policy.members()[home]};
        LONGS_EQUAL(home, *policy.pick(wanted, usable, now)); // another member would have to process the prompt
    }
}

// 10 of 30 endpoints are kept idle on purpose. The bound must follow the mean over all 30, and the busy members must not all
// count as overloaded.
TEST(PromptHome, IdleEndpointsCountInServiceMean)
{
    placement::PromptHome policy;
    policy.setMembers(names(20));
    policy.setIdleCount(10);
    const placement::Usable usable(20, true);
    for (std::size_t m = 0; m < 20; ++m) {
        policy.recordLoadReport(m, m == 0 ? 25 : 15, now); // the service's mean is about 10, so the bound is about 17
    }
    auto wanted = prompt(1);
    wanted.holders = {policy.members()[0]};
    CHECK(*policy.pick(wanted, usable, now) != 0);
    policy.recordLoadReport(0, 16, now);
    LONGS_EQUAL(0, *policy.pick(wanted, usable, now));
}

TEST(PromptHome, PopularPromptSpillsAndNoMemberExceedsBound)
{
    placement::HomeOptions options;
    placement::PromptHome policy(options);
    policy.setMembers(names(10));
    const placement::Usable usable(10, true);
    std::vector<int> load(10, 0);
    for (int i = 0; i < 100; ++i) {
        const auto m = *policy.pick(prompt(7), usable, now);
        policy.requestStarted(m, now);
        ++load[m];
        policy.recordLoadReport(m, load[m], now);
    }
    const double mean = 10;
    for (const int l : load) {
        CHECK(l <= options.loadFactor * mean + options.slack + 1);
    }
}

TEST(PromptHome, MeanLoadLeavesOutTheRequestThatCameWithEachReport)
{
    placement::PromptHome policy;
    policy.setMembers(names(4));
    for (std::size_t m = 0; m < 4; ++m) {
        policy.recordLoadReport(m, 1 + static_cast<int64_t>(m % 2) * 4, now); // found 0 and 4 requests besides the reported one
    }
    DOUBLES_EQUAL(2, policy.loadView(0, now).mean, 1e-9);
}

TEST(PromptHome, MeanLoadFollowsTheCountsOfRoutersAndFallsBackToReports)
{
    placement::PromptHome policy;
    policy.setMembers(names(4));
    for (std::size_t m = 0; m < 4; ++m) {
        policy.recordLoadReport(m, 9, now);
    }
    policy.requestStarted(0, now);
    policy.requestStarted(0, now);
    policy.recordOtherInflight(10, now); // with this router's two: 12 on 4 members
    DOUBLES_EQUAL(3, policy.loadView(0, now).mean, 1e-9);
    policy.requestFinished(0, now);
    policy.requestFinished(0, now);
    DOUBLES_EQUAL(2.5, policy.loadView(0, now).mean, 1e-9);
    policy.setIdleCount(1);
    DOUBLES_EQUAL(2, policy.loadView(0, now).mean, 1e-9);
    const auto later = now + std::chrono::seconds(2);
    DOUBLES_EQUAL(8 * 4.0 / 5, policy.loadView(0, later).mean, 1e-9);
}

// The bound falls with the load at once, although the reports were made before.
TEST(PromptHome, LoadBoundFollowsAFallOfTheLoadThatReportsDoNotShowYet)
{
    placement::PromptHome policy;
    policy.setMembers(names(10));
    for (std::size_t m = 0; m < 10; ++m) {
        policy.recordLoadReport(m, m == 0 ? 10 : 7, now); // the mean is about 6, so the bound is about 12
    }
    auto wanted = prompt(1);
    wanted.holders = {policy.members()[0]};
    const placement::Usable usable(10, true);
    LONGS_EQUAL(0, *policy.pick(wanted, usable, now));
    policy.recordOtherInflight(30, now); // the mean is 3, so the bound is 7.5
    CHECK(*policy.pick(wanted, usable, now) != 0);
}

// All routers see the same report. If each diverted all of its requests, the member would be empty before the next report,
// and the others overloaded.
TEST(PromptHome, RequestsForAMemberOverTheBoundAreDivertedInProportionToTheExcess)
{
    placement::PromptHome policy;
    policy.setMembers(names(10));
    const placement::Usable usable(10, true);
    const auto home = *policy.pick(prompt(7), usable, now);
    constexpr int picks = 2000;
    const auto divertedShare = [&](int64_t load) {
        for (std::size_t m = 0; m < 10; ++m) {
            policy.recordLoadReport(m, m == home ? load : 4, now);
        }
        policy.recordOtherInflight(40, now); // the mean is 4, so the bound is 9
        int diverted = 0;
        for (int i = 0; i < picks; ++i) {
            diverted += *policy.pick(prompt(7), usable, now) == home ? 0 : 1;
        }
        return static_cast<double>(diverted) / picks;
    };
    DOUBLES_EQUAL(0, divertedShare(8), 0);
    DOUBLES_EQUAL(2.5 / 9, divertedShare(9), 0.05);
    DOUBLES_EQUAL(2 * 2.5 / 9, divertedShare(10), 0.05);
    DOUBLES_EQUAL(1, divertedShare(13), 0);
}

TEST(PromptHome, OverflowOfAHotPromptGoesToADifferentMemberAtEachRouter)
{
    constexpr int routers = 60;
    constexpr int members = 20;
    const placement::Usable usable(members, true);
    std::vector<int> placed(members, 0);
    for (int router = 0; router < routers; ++router) {
        placement::HomeOptions options;
        options.spillSeed = ring::hash("router-" + std::to_string(router));
        placement::PromptHome policy(options);
        policy.setMembers(names(members));
        const auto home = *policy.pick(prompt(7), usable, now);
        for (std::size_t m = 0; m < members; ++m) {
            policy.recordLoadReport(m, m == home ? 30 : 2, now);
        }
        const auto spilled = *policy.pick(prompt(7), usable, now);
        CHECK(spilled != home);
        LONGS_EQUAL(spilled, *policy.pick(prompt(7), usable, now));
        ++placed[spilled];
    }
    // Each of 19 members gets about 3 of the 60; one member would get all of them from an order common to all routers.
    CHECK(*std::max_element(placed.begin(), placed.end()) <= 10);
}

TEST(PromptHome, LoadsStayUnderTwiceTheMeanWithManyRoutersAndDelayedReports)
{
    // 7 routers share the traffic equally and get load reports as late as answers. One popular prompt makes up a fifth
    // of all requests.
    constexpr int routers = 7;
    constexpr int members = 18;
    std::vector<placement::PromptHome> policies(routers);
    for (auto &p : policies) {
        p.setMembers(names(members));
    }
    const placement::Usable usable(members, true);
    struct Running {
        TimePoint end;
        TimePoint report;
        int router;
        std::size_t member;
        bool reported = false;
    };
    std::vector<Running> running;
    std::vector<int> load(members, 0);
    std::mt19937 random(5);
    int over = 0;
    int placed = 0;
    for (int step = 0; step < 30000; ++step, now += std::chrono::milliseconds(1)) {
        for (std::size_t i = 0; i < running.size();) {
            auto &r = running[i];
            if (!r.reported && r.report <= now) {
                policies[r.router].recordLoadReport(r.member, load[r.member], now);
                r.reported = true;
            }
            if (r.end <= now) {
                policies[r.router].requestFinished(r.member, now);
                --load[r.member];
                running[i] = running.back();
                running.pop_back();
            } else {
                ++i;
            }
        }
        if (random() % 11 != 0) {
            continue; // about 92 requests per second
        }
        const int router = static_cast<int>(random() % routers);
        const uint64_t key = random() % 5 == 0 ? 1 : 2 + random() % 270;
        const auto m = *policies[router].pick(prompt(key), usable, now);
        policies[router].requestStarted(m, now);
        ++load[m];
        ++placed;
        int total = 0;
        for (const int l : load) {
            total += l;
        }
        over += load[m] > 2.0 * total / members + 3 ? 1 : 0;
        running.push_back({now + std::chrono::milliseconds(400 + random() % 2200), now + std::chrono::milliseconds(60), router, m});
    }
    CHECK(placed > 2000);
    CHECK(over * 100 < 3 * placed);
}

TEST_GROUP(LeastLoaded)
{
    TimePoint now{std::chrono::hours(1)};
};

TEST(LeastLoaded, LeastLoadedMemberIsPickedAndOldReportsLoseWeight)
{
    placement::LeastLoaded policy;
    policy.setMembers(names(3));
    const placement::Usable usable(3, true);
    policy.recordLoadReport(0, 6, now);
    policy.recordLoadReport(1, 0, now);
    policy.recordLoadReport(2, 6, now);
    LONGS_EQUAL(1, *policy.pick(prompt(1), usable, now));
    policy.requestStarted(1, now);
    policy.requestStarted(1, now);
    LONGS_EQUAL(1, *policy.pick(prompt(1), usable, now));
    now += std::chrono::seconds(30); // the requests in the old reports have finished by now
    CHECK(*policy.pick(prompt(1), usable, now) != 1);
}

TEST(LeastLoaded, UnusableMemberIsNeverPicked)
{
    placement::LeastLoaded policy;
    policy.setMembers(names(2));
    LONGS_EQUAL(1, *policy.pick(prompt(1), {false, true}, now));
    CHECK(!policy.pick(prompt(1), {false, false}, now).has_value());
}

TEST_GROUP(PromptHolders)
{
    Clock::time_point now{std::chrono::hours(1)};
    Endpoint at(const std::string &id)
    {
        Endpoint e;
        e.id = id;
        return e;
    }
};

TEST(PromptHolders, LatestHolderIsFoundUntilItsLifetimeEnds)
{
    router::PromptHolders holders(10, std::chrono::seconds(30));
    holders.record(1, at("a"), router::HolderSource::OwnRequest, now);
    holders.record(1, at("b"), router::HolderSource::OwnRequest, now);
    STRCMP_EQUAL("b", holders.find(1, now).front().id.c_str());
    CHECK(holders.find(2, now).empty());
    CHECK(holders.find(1, now + std::chrono::seconds(31)).empty());
}

TEST(PromptHolders, OldestPromptIsEvictedAtCapacity)
{
    router::PromptHolders holders(100);
    for (uint64_t i = 0; i < 10000; ++i) {
        holders.record(i, at("a"), router::HolderSource::OwnRequest, now);
    }
    LONGS_EQUAL(100, holders.size());
    CHECK(!holders.find(9999, now).empty());
    CHECK(holders.find(1, now).empty());
}

TEST_GROUP(RetryPolicy)
{
    entry::Route route;
};

TEST(RetryPolicy, OnlyRepeatableRequestIsRetriedAfterItMayHaveRun)
{
    using entry::AttemptEnd;
    const entry::AttemptCount once{1, 1, 1};
    for (const auto end : {AttemptEnd::EngineFailed, AttemptEnd::Broken, AttemptEnd::Silent}) {
        route.maxAttempts = 2;
        route.kind = entry::RequestKind::NonIdempotent;
        CHECK(!entry::mayRetry(route, end, once));
        route.kind = entry::RequestKind::Idempotent;
        CHECK(entry::mayRetry(route, end, once));
        route.kind = entry::RequestKind::Stream;
        route.resumable = false;
        CHECK(!entry::mayRetry(route, end, once));
        route.resumable = true;
        CHECK(entry::mayRetry(route, end, once));
        route.maxAttempts = 1;
        CHECK(!entry::mayRetry(route, end, once));
    }
}

TEST(RetryPolicy, UnexecutedRequestIsRetriedUpToSendLimit)
{
    using entry::AttemptEnd;
    route.kind = entry::RequestKind::NonIdempotent;
    for (const auto end : {AttemptEnd::Unreached, AttemptEnd::NotExecuted}) {
        CHECK(entry::mayRetry(route, end, {1, 0, 0}));
        CHECK(!entry::mayRetry(route, end, {1 + entry::maxExtraAttempts, 0, 0}));
    }
    CHECK(!entry::mayRetry(route, AttemptEnd::Delivered, {1, 1, 0}));
    CHECK(!entry::mayRetry(route, AttemptEnd::CallerGone, {1, 1, 0}));
}

TEST_GROUP(ComeBack)
{
    std::minstd_rand random{1};
    entry::RetryAfterOptions options;
    Millis after(entry::Rejection why, Millis sinceStart = Millis(60000))
    {
        return entry::retryAfterFor(why, sinceStart, options, random);
    }
};

TEST(ComeBack, RetryDelayDependsOnRejectionReason)
{
    CHECK(after(entry::Rejection::Stopping) < after(entry::Rejection::NotExecuted));
    CHECK(after(entry::Rejection::NotLoaded, Millis(100)) < Millis(500));
    CHECK(after(entry::Rejection::NotLoaded, Millis(2000)) > Millis(1000)); // the store is unavailable
}

TEST(ComeBack, RetryDelaysOfSimultaneousRejectionsDiffer)
{
    const auto first = after(entry::Rejection::NotExecuted);
    int different = 0;
    for (int i = 0; i < 20; ++i) {
        const auto next = after(entry::Rejection::NotExecuted);
        different += next != first ? 1 : 0;
        CHECK(next >= Millis(100) && next <= Millis(200));
    }
    CHECK(different > 10);
}
