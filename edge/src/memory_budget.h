/// How a VM's memory and descriptors are divided.
///
/// Load that it answers: crowds of callers that don't behave, and workers or a store whose answers don't end. What they can use up leaves enough
/// for all else.
#pragma once

#include <edge/edge.h>

namespace comfreypier::edge {

/// What callers, and answers to calls, may use of a VM. The rest of its memory is for all else.
struct CallerBudget {
    uint64_t connections = 0; ///< From callers, and to workers for their requests.
    uint64_t callerConnections = 0; ///< From callers, at all listeners.
    uint64_t unreadBytes = 0; ///< Received beyond the requests that are being handled.
    uint64_t requestBytes = 0; ///< Heads and bodies.
    uint64_t answerBytes = 0; ///< Answers that are not complete, or can't be forwarded yet.
    // For the VM's own calls, so that answers to requests don't keep it from reading the configuration.
    uint64_t storeBytes = 0; ///< Answers of the store.
    uint64_t controlBytes = 0; ///< Answers to reports, orders and probes.
};

/// Divides a VM's memory and descriptors.
/// @param descriptors that the process may have open.
CallerBudget planCallerBudget(double memoryMegabytes, uint64_t descriptors);

} // namespace comfreypier::edge
