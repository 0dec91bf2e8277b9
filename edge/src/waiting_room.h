/// Requests of this VM that wait for a worker: one ordered queue for each service, and the events that wake them.
#pragma once

#include "counters.h"

#include <mutex>

namespace comfreypier::edge {

using routing::Time;

/// Thread-safe queues of waiting requests, see `routing::WaitQueue`.
class WaitingRoom {
public:
    class Place;

    explicit WaitingRoom(EdgeCounters& counters)
        : counters(counters)
    {
    }
    /// Wakes the requests that are first, the most urgent one first: there may be room. Neither suspends nor calls others.
    void wakeFirsts();

private:
    struct ServiceQueue {
        routing::WaitQueue queue;
        std::map<uint64_t, Place*> places; ///< By id of the request.
    };

    /// Wakes the first requests of one service. The caller must hold the lock.
    static void wakeFirsts(const ServiceQueue& service);

    EdgeCounters& counters;
    std::mutex mutex;
    std::map<std::string, ServiceQueue> services; ///< By name.
    uint64_t lastId = 0;
};

/// Place of one request in the queue of its service. Ends with the object.
class WaitingRoom::Place {
public:
    /// @param request its id is set here.
    Place(WaitingRoom& room, const std::string& service, routing::WaitingRequest request, Time now);
    ~Place();
    Place(const Place&) = delete;
    Place& operator=(const Place&) = delete;

    /// Returns the position of the request, and whether it is refused.
    routing::QueueDecision decide(Time now);
    /// Records why no worker can take the request.
    void recordBlocked(const routing::Choice& choice, Time now);
    /// Ends the place of a request that is sent to a worker.
    void start(Time now);
    /// Ends the place of a request that is refused.
    void refuse(Time now);
    /// Suspends the fiber until the request may find a worker, `wake` is called, or `limit` has passed.
    void wait(Time limit);
    void wake() { this->event.signal(); }

private:
    /// How a place ends.
    using End = void (routing::WaitQueue::*)(uint64_t, Time);
    void leave(End end, Time now);

    WaitingRoom& room;
    ServiceQueue* service = nullptr; ///< Null once the place has ended.
    uint64_t id = 0;
    uint32_t priority;
    bool hasWaited = false;
    transport::Event event;
};

} // namespace comfreypier::edge
