/// Splits heartbeats that are too large for one datagram.
#pragma once

#include "heartbeat_codec.h"

namespace comfreypier::edge {

/// Splits a heartbeat into parts of at most `maxBytes` each as long as no single item is larger. The first part carries the state of the VM:
/// flags, loads, outcomes, demand and missing items. The others are partial heartbeats with the remaining lists; each repeats the missing
/// items, and its `forwardedCount` covers the entries up to its own. All parts have the sequence number of the whole.
/// @param heartbeat its `forwardedEntries` are in the order of their numbers.
/// @return the heartbeat itself if it is small enough.
std::vector<Heartbeat> splitHeartbeat(Heartbeat heartbeat, size_t maxBytes);

} // namespace comfreypier::edge
