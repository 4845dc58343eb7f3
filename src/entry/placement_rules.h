// What besides load bears on where a request may go, and what its caller is
// told where it can go nowhere.
#pragma once

#include "entry/request_profile.h"
#include "router_core.h"

namespace yucca::entry
{

/// Where route and workspace both allow certain regions, both bind.
inline router::Constraints constraintsOf(const RequestProfile &profile)
{
    router::Constraints constraints;
    constraints.priority = profile.priority;
    constraints.regions.restrictTo(profile.route->regions);
    constraints.regions.restrictTo(profile.regions);
    return constraints;
}

/// The answer to a request that no endpoint can take.
inline Rejection rejectionFor(router::Obstacle obstacle)
{
    switch (obstacle) {
    case router::Obstacle::Evacuated:
        return Rejection::Evacuated;
    case router::Obstacle::Cold:
        return Rejection::Cold;
    case router::Obstacle::Region:
    case router::Obstacle::Unusable:
        break;
    }
    return Rejection::NoEndpoint;
}

} // namespace yucca::entry
