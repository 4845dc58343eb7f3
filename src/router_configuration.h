// The own interface's catalogue as the request pipeline's configuration.
#pragma once

#include "catalogue.h"
#include "entry/configuration.h"
#include "settings.h"

#include <string_view>

namespace yucca::router
{

// Routes have no hosts here: a class of work takes the host's place, and how
// its requests are answered the path's.
inline constexpr std::string_view streamedChats = "/streamed/";
inline constexpr std::string_view wholeChats = "/whole/";
inline constexpr std::string_view serviceCalls = "/call/";

/// The routes, services and workspaces that a snapshot of the catalogue stands for.
entry::Configuration configurationOf(const catalogue::Snapshot &snapshot, const settings::RouterSettings &settings);

} // namespace yucca::router
