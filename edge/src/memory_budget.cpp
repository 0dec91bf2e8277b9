/// Division of a VM's memory and descriptors.
#include "memory_budget.h"

namespace comfreypier::edge {

CallerBudget planCallerBudget(double memoryMegabytes, uint64_t descriptors)
{
    auto memoryPart = [memoryMegabytes](double share) { return static_cast<uint64_t>(memoryMegabytes * 1024 * 1024 * share); };
    auto part = [](uint64_t number, double share) { return static_cast<uint64_t>(static_cast<double>(number) * share); };
    auto sockets = descriptors > 2 * fileDescriptors ? descriptors - fileDescriptors : descriptors / 2;
    CallerBudget budget;
    budget.connections = std::max<uint64_t>(2, sockets - part(sockets, controlSocketShare));
    budget.callerConnections = std::max<uint64_t>(1, std::min(part(budget.connections, callerSocketShare), memoryPart(connectionMemoryShare) / transport::connectionBytes));
    budget.unreadBytes = memoryPart(unreadMemoryShare);
    budget.requestBytes = memoryPart(requestMemoryShare);
    budget.answerBytes = memoryPart(bufferMemoryShare);
    budget.storeBytes = std::max(minStoreMemory, memoryPart(controlMemoryShare));
    budget.controlBytes = memoryPart(controlMemoryShare);
    return budget;
}

} // namespace comfreypier::edge
