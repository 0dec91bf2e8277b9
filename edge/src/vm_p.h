/// State of one entry VM that the daemon's background tasks share.
#pragma once

#include "counters.h"
#include "fleet.h"
#include "memory_budget.h"
#include "store_era.h"

#include <platform/platform.h>

namespace comfreypier::edge {

/// Status flags of the daemon.
struct VmStatus {
    std::atomic<bool> draining { false }; ///< Shutting down: the directory returns only other VMs.
    std::atomic<Time> drainingSince { Time { 0 } }; ///< When the shutdown began. Without meaning before `draining` is set.
    std::atomic<bool> stopping { false }; ///< Background tasks end.
    std::atomic<bool> overloaded { false }; ///< Timers fire late: the VM can't keep up with its load.
    std::atomic<bool> workersKnown { false }; ///< The worker stream has been read at least once.
    std::atomic<bool> membersKnown { false }; ///< The members' stream has been read at least once.
};

/// State and services that all background tasks share.
struct Vm {
    /// @param bufferMemory also that of `client`.
    Vm(const Settings& settings, const CallerBudget& budget, transport::BufferMemory& bufferMemory, transport::HttpClient& client, transport::HttpClient& controlClient)
        : settings(settings)
        , client(client)
        , controlClient(controlClient)
        , requestMemory(budget.requestBytes)
        , bufferMemory(bufferMemory)
        , storeMemory(budget.storeBytes)
        , connections(budget.connections, budget.callerConnections, budget.unreadBytes)
        , storeAddress(settings.store)
        , fleet(settings.node, settings.dataCentre)
    {
    }

    /// Returns the store at its current address. Calls to it keep `storeEra` up to date.
    platform::Store store()
    {
        std::lock_guard lock(this->mutex);
        return { &this->client, this->storeAddress, [this](uint64_t era) { this->storeEra.observe(era); }, false, nullptr, &this->storeMemory };
    }

    void setStoreAddress(const transport::Endpoint& address)
    {
        std::lock_guard lock(this->mutex);
        this->storeAddress = address;
    }

    /// Returns whether this VM can serve callers.
    bool isReady() const
    {
        return !this->status.draining && this->status.workersKnown && this->fleet.configuration() != nullptr;
    }

    /// Returns the course of the shutdown, or nothing if none has begun.
    std::optional<routing::DrainSchedule> drainSchedule() const
    {
        return this->status.draining ? std::optional(routing::planDrain(this->status.drainingSince, this->settings.grace)) : std::nullopt;
    }

    Settings settings; ///< As at the start of the daemon; a reload changes only `storeAddress`.
    transport::HttpClient& client;
    /// For reports, probes and orders, whose answers carry no id: on a connection of their own a late copy of one is not taken for the
    /// answer to a caller's request, or the other way round.
    transport::HttpClient& controlClient;
    transport::BufferMemory requestMemory; ///< For the heads and bodies of requests.
    transport::BufferMemory& bufferMemory; ///< For answers to requests that are not complete, or can't be forwarded yet.
    transport::BufferMemory storeMemory; ///< For answers of the store, and of other VMs that pass on what it holds.
    transport::ConnectionBudget connections;
    transport::Endpoint storeAddress; ///< Protected by `mutex`, because a reload may change it.
    mutable std::mutex mutex;
    StoreEra storeEra;
    Fleet fleet;
    VmStatus status;
    EdgeCounters counters;
};

/// Formats a time in milliseconds with one decimal, for log lines.
std::string formatMilliseconds(Time time);

} // namespace comfreypier::edge
