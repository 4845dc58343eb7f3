// Converts the catalogue of the native interface into the configuration of the request pipeline.
#pragma once

#include "catalogue.h"
#include "entry/configuration.h"
#include "settings.h"

#include <string_view>

namespace yucca::router
{

// Routes of the native interface have no hosts. The name of the work class stands in for the host, and the kind of
// response for the path prefix.
inline constexpr std::string_view streamedChatPrefix = "/streamed/";
inline constexpr std::string_view unstreamedChatPrefix = "/whole/";
inline constexpr std::string_view serviceCallPrefix = "/call/";

/// The routes, services and workspaces that a snapshot of the catalogue describes.
entry::Configuration buildConfiguration(const catalogue::Snapshot &snapshot, const settings::RouterSettings &settings);

} // namespace yucca::router
