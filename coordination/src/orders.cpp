/// Orders to engines: reconciles one worker's ledger, its desired items and the engine's report.
///
/// Reserved memory is freed only by a report that was made after every copy of the load order had arrived. An older report
/// would show the item as absent although a copy that arrived later has loaded it.
#include <algorithm>
#include <coordination/coordination.h>

namespace comfreypier::coordination {

namespace {

    /// Returns the item with key `item` in the report, or null.
    const protocol::EngineItem* findItem(const protocol::EngineReport& report, const std::string& item)
    {
        auto entry = std::find_if(report.items.begin(), report.items.end(), [&](const protocol::EngineItem& candidate) { return candidate.item == item; });
        return entry == report.items.end() ? nullptr : &*entry;
    }

    bool hasArrived(const protocol::EngineReport& report, uint64_t copy)
    {
        return std::find(report.arrivedCopies.begin(), report.arrivedCopies.end(), copy) != report.arrivedCopies.end();
    }

    /// Returns whether the report was made after the arrival of the copy that the ledger records as the last one. Always true if
    /// the ledger records no arrival.
    bool isNewerThanLoad(const protocol::EngineReport& report, const Reservation& reservation)
    {
        return reservation.lastCopy == 0 || hasArrived(report, reservation.lastCopy);
    }

    /// One reconciliation round for one worker. The arguments of the constructor must outlive it.
    class OrderDecision {
    public:
        OrderDecision(const Workers& workers, const Worker& worker, OrderTracker& tracker, const OrderInputs& inputs, const std::function<uint64_t()>& nextCopy)
            : workers(workers)
            , worker(worker)
            , tracker(tracker)
            , inputs(inputs)
            , nextCopy(nextCopy)
            , name(worker.declared.worker)
            , remainingLoads(inputs.maxLoads)
        {
        }

        OrderRound run()
        {
            // The reservations belong to the engine before its restart. Applying the restart clears them.
            if (this->inputs.report && this->inputs.report->incarnation != this->worker.declared.incarnation) {
                this->round.append.push_back(protocol::WorkerRestarted { this->name, this->inputs.report->incarnation });
                return std::move(this->round);
            }
            for (const auto& [item, reservation] : this->worker.reservations) {
                this->resolveCopies(item, reservation);
                if (reservation.unloading)
                    this->finishUnload(item, reservation);
                else if (!this->isDesired(item))
                    this->startUnload(item);
            }
            for (const auto& desired : this->inputs.desired)
                this->loadIfMissing(desired);
            return std::move(this->round);
        }

    private:
        bool isDesired(const std::string& item) const
        {
            const auto& desired = this->inputs.desired;
            return std::any_of(desired.begin(), desired.end(), [&](const DesiredItem& candidate) { return candidate.item == item; });
        }

        void appendLoadResolved(const std::string& item, uint64_t copy, bool arrived, bool loaded)
        {
            this->round.append.push_back(protocol::LoadResolved { this->name, item, copy, arrived, loaded });
        }

        /// Resolves the copies that have arrived or cannot arrive, and records a change of the item's residency.
        void resolveCopies(const std::string& item, const Reservation& reservation)
        {
            const auto* report = this->inputs.report;
            const auto* reported = report ? findItem(*report, item) : nullptr;
            bool loaded = reported && reported->loaded;
            bool resolved = false;
            for (auto copy : reservation.openCopies) {
                bool arrived = report && hasArrived(*report, copy);
                bool undeliverable = this->tracker.undeliverableCopies.contains(copy);
                if (!arrived && !undeliverable)
                    continue;
                this->tracker.undeliverableCopies.erase(copy);
                this->tracker.reportWaitStart.erase(item);
                this->appendLoadResolved(item, copy, arrived, arrived ? loaded : reservation.loaded);
                resolved = true;
            }
            if (resolved || !report || reservation.unloading || loaded == reservation.loaded)
                return;
            // A report from before the last load would not list the item although it is loaded now.
            if (loaded || isNewerThanLoad(*report, reservation))
                this->appendLoadResolved(item, 0, false, loaded);
        }

        /// Appends the intent to unload an item that is no longer desired. It may be the last copy only if the item is no longer
        /// declared.
        void startUnload(const std::string& item)
        {
            bool declared = this->inputs.declared.contains(item);
            this->round.append.push_back(protocol::UnloadIntent { this->name, item, !declared });
        }

        /// Frees the reservation once the engine reports the item as absent and no copy of its load order can still arrive. Until
        /// then sends the unload order, and repeats it every `resendTimeout`.
        void finishUnload(const std::string& item, const Reservation& reservation)
        {
            const auto* report = this->inputs.report;
            if (!report)
                return;
            bool absent = !findItem(*report, item);
            if (absent && reservation.openCopies.empty() && isNewerThanLoad(*report, reservation)) {
                this->tracker.unloadSentAt.erase({ this->name, item });
                this->round.append.push_back(protocol::UnloadResolved { this->name, item });
                return;
            }
            auto [sentAt, first] = this->tracker.unloadSentAt.try_emplace({ this->name, item }, this->inputs.now);
            if (!first && this->inputs.now - sentAt->second < this->inputs.resendTimeout)
                return;
            sentAt->second = this->inputs.now;
            this->send(protocol::EngineOrderKind::Unload, item, reservation.bytes, 0);
        }

        /// @param copy number of the copy of a load order; 0 for an unload order.
        void send(protocol::EngineOrderKind kind, const std::string& item, uint64_t bytes, uint64_t copy)
        {
            this->round.send.push_back({ kind, item, bytes, copy, this->worker.ownerSince });
        }

        /// Appends the intent for a new copy of a load order. The copy is sent once the intent has been read back.
        void createCopy(const std::string& item, uint64_t bytes)
        {
            auto copy = this->nextCopy();
            this->tracker.unsentCopies.insert(copy);
            this->round.append.push_back(protocol::LoadIntent { this->name, item, bytes, copy });
        }

        /// Creates the first copy of a load order if the item has no reservation and memory and `maxLoads` allow it; otherwise
        /// continues an unfinished load.
        void loadIfMissing(const DesiredItem& desired)
        {
            auto entry = this->worker.reservations.find(desired.item);
            if (entry == this->worker.reservations.end()) {
                bool fits = reservedBytes(this->worker) + this->newlyReservedBytes + desired.bytes <= this->worker.declared.capacity;
                if (!fits || this->remainingLoads == 0)
                    return;
                this->remainingLoads--;
                this->newlyReservedBytes += desired.bytes;
                this->createCopy(desired.item, desired.bytes);
                return;
            }
            if (!entry->second.unloading && !entry->second.loaded)
                this->continueLoad(desired, entry->second);
        }

        /// Sends the copies that were not sent yet, whose intents are in the log. Creates another copy, up to `maxOpenCopies`, if
        /// the engine's reports have not listed the item for `resendTimeout`.
        void continueLoad(const DesiredItem& desired, const Reservation& reservation)
        {
            bool sent = false;
            for (auto copy : reservation.openCopies) {
                if (this->tracker.unsentCopies.erase(copy) == 0)
                    continue;
                this->send(protocol::EngineOrderKind::Load, desired.item, reservation.bytes, copy);
                this->tracker.reportWaitStart[desired.item] = this->inputs.now;
                sent = true;
            }
            const auto* report = this->inputs.report;
            bool loadReported = report && findItem(*report, desired.item);
            if (sent || loadReported || !report)
                return;
            auto [waitStart, first] = this->tracker.reportWaitStart.try_emplace(desired.item, this->inputs.now);
            bool timedOut = !first && this->inputs.now - waitStart->second >= this->inputs.resendTimeout;
            if (!timedOut || reservation.openCopies.size() >= maxOpenCopies)
                return;
            waitStart->second = this->inputs.now;
            this->createCopy(desired.item, reservation.bytes);
        }

        const Workers& workers;
        const Worker& worker;
        OrderTracker& tracker;
        const OrderInputs& inputs;
        const std::function<uint64_t()>& nextCopy;
        const std::string& name;
        size_t remainingLoads; ///< Number of loads that this round may still start.
        uint64_t newlyReservedBytes = 0; ///< Bytes of the loads that this round started, which the ledger does not contain yet.
        OrderRound round;
    };

} // namespace

OrderRound decideOrders(const Workers& workers, const std::string& workerName, OrderTracker& tracker, const OrderInputs& inputs, const std::function<uint64_t()>& nextCopy)
{
    auto entry = workers.find(workerName);
    if (entry == workers.end())
        return {};
    return OrderDecision(workers, entry->second, tracker, inputs, nextCopy).run();
}

} // namespace comfreypier::coordination
