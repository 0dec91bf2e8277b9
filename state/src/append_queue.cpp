/// Group commit: combines entries into records and delivers their verdicts.
#include <state/state.h>

namespace comfreypier::state {

namespace {

    /// Estimates the encoded size of an entry, in bytes. Only response bodies and snapshot parts count by their length.
    size_t estimateEntrySize(const protocol::Entry& entry)
    {
        constexpr size_t fixedEntrySize = 64; // Estimate for all other fields.
        if (const auto* end = std::get_if<protocol::ActionEnd>(&entry))
            return fixedEntrySize + end->body.size();
        if (const auto* part = std::get_if<protocol::SnapshotPart>(&entry))
            return fixedEntrySize + part->data.size();
        return fixedEntrySize;
    }

} // namespace

AppendQueue::AppendQueue(uint64_t writer)
    : writer(writer)
{
}

PendingEntryPtr AppendQueue::add(protocol::Entry entry, std::function<void(const AppendOutcome&)> done)
{
    auto pending = std::make_shared<PendingEntry>();
    pending->entry = std::move(entry);
    pending->done = std::move(done);
    std::lock_guard lock(this->mutex);
    this->queue.push_back(pending);
    return pending;
}

bool AppendQueue::cancel(const PendingEntryPtr& entry)
{
    std::lock_guard lock(this->mutex);
    entry->cancelled = true;
    return !entry->inRecord;
}

std::optional<Envelope> AppendQueue::buildRecord(protocol::SessionId session)
{
    std::lock_guard lock(this->mutex);
    Envelope envelope;
    std::vector<PendingEntryPtr> entries;
    size_t size = 0;
    RecordId id { this->writer, this->nextNumber };
    while (!this->queue.empty() && entries.size() < maxEntriesPerRecord && size < recordSizeLimit) {
        auto entry = this->queue.front();
        this->queue.pop_front();
        if (entry->cancelled)
            continue;
        entry->inRecord = true;
        entry->record = id;
        size += estimateEntrySize(entry->entry);
        envelope.entries.push_back(entry->entry);
        entries.push_back(std::move(entry));
    }
    if (entries.empty())
        return std::nullopt;
    this->nextNumber++;
    envelope.id = id;
    envelope.session = session;
    this->inFlight[id] = std::move(entries);
    return envelope;
}

void AppendQueue::requeue(const RecordId& id)
{
    std::lock_guard lock(this->mutex);
    auto record = this->inFlight.find(id);
    if (record == this->inFlight.end())
        return;
    // From the last entry to the first, so that they keep their order at the front.
    for (auto entry = record->second.rbegin(); entry != record->second.rend(); ++entry) {
        (*entry)->inRecord = false;
        this->queue.push_front(*entry);
    }
    this->inFlight.erase(record);
}

void AppendQueue::confirm(Offset offset, const Envelope& envelope, const std::vector<Verdict>& verdicts)
{
    if (envelope.id.high != this->writer)
        return;
    std::vector<PendingEntryPtr> entries;
    {
        std::lock_guard lock(this->mutex);
        auto record = this->inFlight.find(envelope.id);
        if (record == this->inFlight.end())
            return;
        entries = std::move(record->second);
        this->inFlight.erase(record);
    }
    // The lock is released here, so that the callbacks may use the queue.
    for (size_t i = 0; i < entries.size() && i < verdicts.size(); i++) {
        if (entries[i]->done)
            entries[i]->done({ verdicts[i], offset, envelope.id });
    }
}

bool AppendQueue::isConfirmed(const RecordId& id) const
{
    std::lock_guard lock(this->mutex);
    return !this->inFlight.contains(id);
}

size_t AppendQueue::queuedCount() const
{
    std::lock_guard lock(this->mutex);
    return this->queue.size();
}

} // namespace comfreypier::state
