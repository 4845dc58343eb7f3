// Placement constraints of a request, and the rejection when no endpoint satisfies them.
#pragma once

#include "entry/request_profile.h"
#include "router_core.h"

namespace yucca::entry
{

/// Returns the constraints of a request. If both its route and its workspace restrict the regions,
/// both restrictions apply.
inline router::PlacementConstraints constraintsOf(const RequestProfile &profile)
{
    router::PlacementConstraints constraints;
    constraints.priority = profile.priority;
    constraints.regions.restrictTo(profile.route->regions);
    constraints.regions.restrictTo(profile.regions);
    return constraints;
}

/// Returns the rejection of a request that no endpoint can take.
inline Rejection rejectionFor(router::NoEndpointReason reason)
{
    switch (reason) {
    case router::NoEndpointReason::Evacuated:
        return Rejection::Evacuated;
    case router::NoEndpointReason::Cold:
        return Rejection::Cold;
    case router::NoEndpointReason::Brittle:
        return Rejection::Brittle;
    case router::NoEndpointReason::Version:
        return Rejection::VersionUnavailable;
    case router::NoEndpointReason::Region:
    case router::NoEndpointReason::Unusable:
        break;
    }
    return Rejection::NoEndpoint;
}

} // namespace yucca::entry
