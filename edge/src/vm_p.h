/// Shared inside the daemon on the platform: what its duties work on.
#pragma once

#include "counters.h"
#include "fleet.h"

#include <platform/platform.h>

namespace comfreypier::edge {

/// Where the daemon stands in its life.
struct VmStatus {
    std::atomic<bool> draining { false }; ///< The directory names others from now on.
    std::atomic<bool> refusing { false }; ///< New requests are sent away.
    std::atomic<bool> stopping { false }; ///< Duties end.
    std::atomic<bool> overloaded { false }; ///< Timers fire late: the VM falls behind.
    std::atomic<bool> workersKnown { false }; ///< The workers' stream was read once.
};

/// State and services that all duties share.
struct Vm {
    Vm(const Settings& settings, transport::HttpClient& client)
        : settings(settings)
        , client(client)
        , storeAddress(settings.store)
        , fleet(settings.node, settings.dataCentre)
    {
    }

    platform::Store store() const
    {
        std::lock_guard lock(this->mutex);
        return { &this->client, this->storeAddress };
    }

    void setStoreAddress(const transport::Endpoint& address)
    {
        std::lock_guard lock(this->mutex);
        this->storeAddress = address;
    }

    /// Tells whether this VM can serve callers.
    bool isReady() const
    {
        return !this->status.draining && this->status.workersKnown && this->fleet.configuration() != nullptr;
    }

    Settings settings;
    transport::HttpClient& client;
    transport::Endpoint storeAddress;
    mutable std::mutex mutex;
    Fleet fleet;
    VmStatus status;
    EdgeCounters counters;
};

/// Milliseconds as text with one decimal, for log lines.
std::string formatMilliseconds(Time time);

} // namespace comfreypier::edge
