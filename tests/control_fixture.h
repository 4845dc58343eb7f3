// Test fixture: a router's control side on an in-memory store.
#pragma once

#include "entry_fixture.h"

#include <set>

namespace yucca::fixture
{

/// The control side of a router on an in-memory store that lists one endpoint in each of two
/// failure domains.
struct ControlFixture {
    ControlFixture()
    {
        auto north = endpointEntryAt("10.0.0.1:80");
        north["zone"] = "north";
        auto south = endpointEntryAt("10.0.0.2:80");
        south["zone"] = "south";
        store.put(platform::ObjectCodec::endpointKind, "i-north", north, std::nullopt);
        store.put(platform::ObjectCodec::endpointKind, "i-south", south, std::nullopt);
        store.put(platform::ObjectCodec::configurationKind, platform::ObjectCodec::configurationName, entryConfiguration(), std::nullopt);
    }
    void start(Loop &loop)
    {
        require(loop.run(control.stepEndpoints()));
        Findings findings;
        published.apply(*platform::ObjectCodec::configuration(entryConfiguration(), findings));
    }
    /// Returns the endpoints that 50 different prompts are placed on; an empty id stands for
    /// prompts without a placement.
    std::set<std::string> placementTargets()
    {
        std::set<std::string> out;
        for (uint64_t prompt = 0; prompt < 50; ++prompt) {
            const auto e = table.acquire("m", {prompt, prompt}, {}, Clock::now());
            out.insert(e ? e->id : "");
            if (e) {
                table.release(*e, Clock::now());
            }
        }
        return out;
    }

    store::ObjectStore store;
    platform::LocalObjectApi api{store};
    router::RoutingTable table{options()};
    entry::Published published{table, {true, 1.5, 5, {}}};
    entry::Control<platform::ObjectCodec> control{api, published};

private:
    static router::TableOptions options()
    {
        router::TableOptions o;
        o.policy = Policy::Home;
        return o;
    }
};

} // namespace yucca::fixture
