/// Memory for what requests have received, and places of connections.
#include <transport/transport.h>

namespace comfreypier::transport {

BufferMemory::BufferMemory(uint64_t capacity)
    : capacity(capacity)
{
}

uint64_t BufferMemory::limit(uint64_t held) const
{
    // Threads that resize at the same time may exceed the capacity by what they add.
    auto others = std::min(this->used - held, this->capacity);
    return static_cast<uint64_t>(maxBufferShare * static_cast<double>(this->capacity - others));
}

bool BufferMemory::couldHold(uint64_t bytes) const
{
    return static_cast<double>(bytes) <= maxBufferShare * static_cast<double>(this->capacity);
}

bool BufferMemory::tryResize(uint64_t held, uint64_t wanted)
{
    if (wanted > held && wanted > this->limit(held))
        return false;
    this->used += wanted - held;
    return true;
}

BufferReservation::BufferReservation(BufferMemory& memory)
    : memory(memory)
{
}

BufferReservation::~BufferReservation()
{
    this->tryHold(0);
}

bool BufferReservation::tryHold(uint64_t bytes)
{
    if (bytes == this->held)
        return true;
    if (!this->memory.tryResize(this->held, bytes))
        return false;
    this->held = bytes;
    return true;
}

const char* name(ClosedFor reason)
{
    constexpr std::array<const char*, static_cast<size_t>(ClosedFor::Count)> names { "idle", "slow_request", "slow_reader", "sent_ahead", "no_place" };
    return names[static_cast<size_t>(reason)];
}

ConnectionBudget::ConnectionBudget(uint64_t capacity, uint64_t serverCapacity, uint64_t unreadCapacity)
    : capacity(capacity)
    , serverCapacity(std::min(serverCapacity, capacity))
    , unreadCapacity(unreadCapacity)
{
}

bool ConnectionBudget::tryTakeServerPlace()
{
    if (this->serverConnections >= this->serverCapacity || this->serverConnections + this->clientConnections >= this->capacity)
        return false;
    this->serverConnections++;
    return true;
}

bool ConnectionBudget::tryTakeClientPlace()
{
    if (this->serverConnections + this->clientConnections >= this->capacity) {
        this->refusedClientConnections++;
        return false;
    }
    this->clientConnections++;
    return true;
}

void ConnectionBudget::recordClosed(ClosedFor reason)
{
    this->closed[static_cast<size_t>(reason)]++;
    auto now = monotonicNow();
    auto last = this->loggedAt.load();
    if (now - last < pressureLogInterval || !this->loggedAt.compare_exchange_strong(last, now))
        return;
    std::string text = "event=pressure connections=" + std::to_string(this->serverConnections) + " to_workers=" + std::to_string(this->clientConnections);
    for (size_t i = 0; i < this->closed.size(); i++)
        text += std::string(" ") + name(static_cast<ClosedFor>(i)) + "=" + std::to_string(this->closed[i]);
    Log("http").warn(text);
}

} // namespace comfreypier::transport
