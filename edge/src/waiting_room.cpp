#include "waiting_room.h"

namespace comfreypier::edge {

void WaitingRoom::wakeFirsts()
{
    std::lock_guard lock(this->mutex);
    for (const auto& [name, service] : this->services)
        WaitingRoom::wakeFirsts(service);
}

void WaitingRoom::wakeFirsts(const ServiceQueue& service)
{
    if (service.places.empty())
        return;
    for (auto id : service.queue.firsts())
        service.places.at(id)->wake();
}

WaitingRoom::Place::Place(WaitingRoom& room, const std::string& service, routing::WaitingRequest request, Time now)
    : room(room)
    , priority(std::min(request.priority, routing::maxQueuePriority))
{
    std::lock_guard lock(this->room.mutex);
    this->service = &this->room.services[service];
    this->id = ++this->room.lastId;
    request.id = this->id;
    this->service->places[this->id] = this;
    this->service->queue.add(request, now);
}

WaitingRoom::Place::~Place()
{
    this->leave(&routing::WaitQueue::remove, transport::monotonicNow());
    if (this->hasWaited)
        this->room.counters.waiting[this->priority]--;
}

routing::QueueDecision WaitingRoom::Place::decide(Time now)
{
    std::lock_guard lock(this->room.mutex);
    return this->service->queue.decide(this->id, now);
}

void WaitingRoom::Place::recordBlocked(const routing::Choice& choice, Time now)
{
    std::lock_guard lock(this->room.mutex);
    this->service->queue.recordBlocked(this->id, choice.blockReason, choice.timeToCapacity / std::max(1U, choice.fullWorkers), now);
}

void WaitingRoom::Place::start(Time now)
{
    this->leave(&routing::WaitQueue::start, now);
}

void WaitingRoom::Place::refuse(Time now)
{
    this->leave(&routing::WaitQueue::refuse, now);
}

void WaitingRoom::Place::leave(End end, Time now)
{
    std::lock_guard lock(this->room.mutex);
    if (this->service == nullptr)
        return;
    (this->service->queue.*end)(this->id, now);
    this->service->places.erase(this->id);
    // The next one is first now, and there may be room for it too.
    WaitingRoom::wakeFirsts(*this->service);
    this->service = nullptr;
}

void WaitingRoom::Place::wait(Time limit)
{
    if (!std::exchange(this->hasWaited, true)) {
        this->room.counters.waiting[this->priority]++;
        this->room.counters.waited[this->priority]++;
    }
    this->event.waitFor(limit);
}

} // namespace comfreypier::edge
