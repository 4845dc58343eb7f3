// Tests of the decision by which path an endpoint is reached, and of the choice of peers.
#include "entry/path_monitor.h"
#include "relay_peers.h"

#include <CppUTest/TestHarness.h>

using namespace yucca;
using namespace yucca::entry;

namespace
{

Endpoint endpointNamed(const std::string &id, const std::string &pool = "s")
{
    Endpoint endpoint;
    endpoint.id = id;
    endpoint.pool = pool;
    return endpoint;
}

} // namespace

TEST_GROUP(PathMonitor)
{
    PathMonitor paths;
    Clock::time_point now = Clock::now();
    const Endpoint e1 = endpointNamed("e1");
    const Endpoint e2 = endpointNamed("e2");
    const Endpoint e3 = endpointNamed("e3");
    const Endpoint m1 = endpointNamed("m1", "m");

    // The direct path to an endpoint fails, and a peer reaches it.
    void losePath(const Endpoint &endpoint)
    {
        paths.recordFailure(endpoint, now);
        paths.recordReachedByPeer(endpoint, now);
    }
};

TEST(PathMonitor, FailedConnectionAloneCutsNoPath)
{
    paths.recordFailure(e1, now);
    paths.recordFailure(e2, now);
    CHECK(paths.pathTo(e1) == Path::Direct);
    LONGS_EQUAL(0, paths.cutCount());
}

TEST(PathMonitor, PathIsCutOnceAPeerReachesTheEndpointAndUntilAConnectionSucceeds)
{
    paths.recordFailure(e1, now);
    CHECK(paths.recordReachedByPeer(e1, now));
    CHECK(!paths.recordReachedByPeer(e1, now)); // known already
    CHECK(paths.pathTo(e1) == Path::Relayed);
    CHECK(paths.pathTo(e2) == Path::Direct);
    CHECK(paths.recordConnected(e1, now));
    CHECK(!paths.recordConnected(e1, now));
    CHECK(paths.pathTo(e1) == Path::Direct);
}

TEST(PathMonitor, EndpointThatNoPeerReachesIsDownAndItsPathIsNotCut)
{
    losePath(e1);
    paths.recordUnreachable(e1, now);
    CHECK(paths.pathTo(e1) == Path::Direct);
    CHECK(paths.isUnreachable(e1, now));
    CHECK(!paths.isUnreachable(e1, now + PathOptions().unreachableTime));
}

TEST(PathMonitor, TwoCutPathsOfAServiceLetTheOthersOfThisServiceBePresumedCut)
{
    losePath(e1);
    CHECK(paths.pathTo(e3) == Path::Direct);
    losePath(e2);
    CHECK(paths.pathTo(e3) == Path::Relayed);
    CHECK(paths.pathTo(m1) == Path::Direct);
}

TEST(PathMonitor, ConnectionToTheServiceEndsThePresumptionButNotTheCutPaths)
{
    losePath(e1);
    losePath(e2);
    now += Millis(1);
    paths.recordConnected(e3, now);
    CHECK(paths.pathTo(e3) == Path::Direct);
    CHECK(paths.pathTo(endpointNamed("e4")) == Path::Direct);
    CHECK(paths.pathTo(e1) == Path::Relayed);
}

TEST(PathMonitor, FailuresOfOtherEndpointsAreEvidenceForAWhile)
{
    CHECK(!paths.othersFail(e1, now));
    paths.recordFailure(e1, now);
    CHECK(!paths.othersFail(e1, now));
    CHECK(paths.othersFail(m1, now));
    CHECK(!paths.othersFail(m1, now + PathOptions().evidenceTime));
}

TEST(PathMonitor, AnotherIncarnationOfAnEndpointHasAPathOfItsOwn)
{
    losePath(e1);
    auto restarted = e1;
    restarted.startedAtMs = 7;
    CHECK(paths.pathTo(restarted) == Path::Direct);
}

TEST(PathMonitor, CutPathsAreProbedInTurnUntilForgotten)
{
    CHECK(!paths.nextProbe());
    losePath(e1);
    losePath(m1);
    STRCMP_EQUAL("e1", paths.nextProbe()->id.c_str());
    STRCMP_EQUAL("m1", paths.nextProbe()->id.c_str());
    STRCMP_EQUAL("e1", paths.nextProbe()->id.c_str());
    paths.forget(e1);
    paths.forget(m1);
    CHECK(!paths.nextProbe());
}

TEST_GROUP(RelayPeers)
{
    const http::Address near{"10.0.0.1", 7355};
    const http::Address far{"10.0.0.2", 7355};
    relay::RelayPeers peers{{{"zone-near", "region-1"}, {"zone-far", "region-2"}}};
    const Clock::time_point now = Clock::now();

    void setup() override
    {
        peers.setPeers({{near, "zone-near"}, {far, "zone-far"}}, {"10.0.0.1", "10.0.0.2", "10.0.0.3"});
    }
};

TEST(RelayPeers, ExcludedPeerIsNotPickedForAWhile)
{
    peers.exclude(near, now + Millis(100));
    for (int i = 0; i < 20; ++i) {
        CHECK(peers.pick(now) == far);
    }
    peers.exclude(far, now + Millis(200));
    CHECK(!peers.pick(now));
    CHECK(peers.pick(now + Millis(150)) == near);
}

TEST(RelayPeers, AllPeersArePickedInTime)
{
    bool seen[2] = {false, false};
    for (int i = 0; i < 200; ++i) {
        seen[peers.pick(now) == near ? 0 : 1] = true;
    }
    CHECK(seen[0] && seen[1]);
}

TEST(RelayPeers, OnlyPeersInTheAllowedRegionsArePicked)
{
    RegionConstraint allowed;
    allowed.restrictTo({"region-2"});
    for (int i = 0; i < 20; ++i) {
        CHECK(peers.pick(now, allowed) == far);
    }
    allowed.restrictTo({"region-3"});
    CHECK(!peers.pick(now, allowed));
}

TEST(RelayPeers, ListedRouterIsAPeerEvenIfItWasNotHeardRecently)
{
    CHECK(peers.isPeer("10.0.0.3"));
    CHECK(!peers.isPeer("10.0.0.4"));
}
