/// Internal declarations of the routing library.
#pragma once

#include <routing/routing.h>

namespace comfreypier::routing {

/// Formats a time for findings and changes of a configuration.
std::string formatTime(milliseconds time);
/// Returns the name of a route; its host and path prefix if it has none.
std::string labelOf(const Route& route);

} // namespace comfreypier::routing
