/// Orders to engines: what an owner appends and sends for one worker.
///
/// Memory is freed only on a report that is newer than the arrival of every copy of the load order.
#include <algorithm>
#include <coordination/coordination.h>

namespace comfreypier::coordination {

namespace {

    const protocol::EngineItem* findItem(const protocol::EngineReport& report, const std::string& item)
    {
        auto entry = std::find_if(report.items.begin(), report.items.end(), [&](const protocol::EngineItem& candidate) { return candidate.item == item; });
        return entry == report.items.end() ? nullptr : &*entry;
    }

    bool hasArrived(const protocol::EngineReport& report, uint64_t copy)
    {
        return std::find(report.arrivedCopies.begin(), report.arrivedCopies.end(), copy) != report.arrivedCopies.end();
    }

    /// Tells whether the report was made after every copy of the load order had arrived.
    bool isNewerThanLoad(const protocol::EngineReport& report, const Reservation& reservation)
    {
        return reservation.lastCopy == 0 || hasArrived(report, reservation.lastCopy);
    }

    /// One round for one worker.
    class OrderDecision {
    public:
        OrderDecision(const Workers& workers, const Worker& worker, OrderTracker& memory, const OrderInputs& inputs, const std::function<uint64_t()>& nextCopy)
            : workers(workers)
            , worker(worker)
            , memory(memory)
            , inputs(inputs)
            , nextCopy(nextCopy)
            , name(worker.declared.worker)
            , loadsLeft(inputs.maxLoads)
        {
        }

        OrderRound run()
        {
            if (this->inputs.report && this->inputs.report->incarnation != this->worker.declared.incarnation) {
                this->round.append.push_back(protocol::WorkerRestarted { this->name, this->inputs.report->incarnation });
                return std::move(this->round);
            }
            for (const auto& [item, reservation] : this->worker.reservations) {
                this->resolveCopies(item, reservation);
                if (reservation.unloading)
                    this->finishUnload(item, reservation);
                else if (!this->isWanted(item))
                    this->startUnload(item);
            }
            for (const auto& wanted : this->inputs.desired)
                this->load(wanted);
            return std::move(this->round);
        }

    private:
        bool isWanted(const std::string& item) const
        {
            const auto& wanted = this->inputs.desired;
            return std::any_of(wanted.begin(), wanted.end(), [&](const DesiredItem& candidate) { return candidate.item == item; });
        }

        void resolve(const std::string& item, uint64_t copy, bool arrived, bool loaded)
        {
            this->round.append.push_back(protocol::LoadResolved { this->name, item, copy, arrived, loaded });
        }

        /// Resolves the copies that the report shows as arrived, and follows the item's residency.
        void resolveCopies(const std::string& item, const Reservation& reservation)
        {
            const auto* report = this->inputs.report;
            const auto* held = report ? findItem(*report, item) : nullptr;
            bool loaded = held && held->loaded;
            bool resolved = false;
            for (auto copy : reservation.openCopies) {
                bool arrived = report && hasArrived(*report, copy);
                bool withdrawn = this->memory.undeliverableCopies.contains(copy);
                if (!arrived && !withdrawn)
                    continue;
                this->memory.undeliverableCopies.erase(copy);
                this->memory.reportWaitStart.erase(item);
                this->resolve(item, copy, arrived, arrived ? loaded : reservation.loaded);
                resolved = true;
            }
            if (resolved || !report || reservation.unloading || loaded == reservation.loaded)
                return;
            if (loaded || isNewerThanLoad(*report, reservation))
                this->resolve(item, 0, false, loaded);
        }

        void startUnload(const std::string& item)
        {
            bool declared = this->inputs.declared.contains(item);
            this->round.append.push_back(protocol::UnloadIntent { this->name, item, !declared });
        }

        void finishUnload(const std::string& item, const Reservation& reservation)
        {
            const auto* report = this->inputs.report;
            if (!report)
                return;
            bool absent = !findItem(*report, item);
            if (absent && reservation.openCopies.empty() && isNewerThanLoad(*report, reservation)) {
                this->memory.unloadSentAt.erase({ this->name, item });
                this->round.append.push_back(protocol::UnloadResolved { this->name, item });
                return;
            }
            auto [sent, first] = this->memory.unloadSentAt.try_emplace({ this->name, item }, this->inputs.now);
            if (!first && this->inputs.now - sent->second < this->inputs.resendTimeout)
                return;
            sent->second = this->inputs.now;
            this->send(protocol::EngineOrderKind::Unload, item, reservation.bytes, 0);
        }

        void send(protocol::EngineOrderKind kind, const std::string& item, uint64_t bytes, uint64_t copy)
        {
            this->round.send.push_back({ kind, item, bytes, copy, this->worker.ownerSince });
        }

        void announce(const std::string& item, uint64_t bytes)
        {
            auto copy = this->nextCopy();
            this->memory.unsentCopies.insert(copy);
            this->round.append.push_back(protocol::LoadIntent { this->name, item, bytes, copy });
        }

        void load(const DesiredItem& wanted)
        {
            auto entry = this->worker.reservations.find(wanted.item);
            if (entry == this->worker.reservations.end()) {
                bool fits = reservedBytes(this->worker) + this->announcedBytes + wanted.bytes <= this->worker.declared.capacity;
                if (!fits || this->loadsLeft == 0)
                    return;
                this->loadsLeft--;
                this->announcedBytes += wanted.bytes;
                this->announce(wanted.item, wanted.bytes);
                return;
            }
            if (!entry->second.unloading && !entry->second.loaded)
                this->pursue(wanted, entry->second);
        }

        /// Sends announced copies; announces another one after a long silence.
        void pursue(const DesiredItem& wanted, const Reservation& reservation)
        {
            bool sent = false;
            for (auto copy : reservation.openCopies) {
                if (this->memory.unsentCopies.erase(copy) == 0)
                    continue;
                this->send(protocol::EngineOrderKind::Load, wanted.item, reservation.bytes, copy);
                this->memory.reportWaitStart[wanted.item] = this->inputs.now;
                sent = true;
            }
            const auto* report = this->inputs.report;
            bool underWay = report && findItem(*report, wanted.item);
            if (sent || underWay || !report)
                return;
            auto [since, first] = this->memory.reportWaitStart.try_emplace(wanted.item, this->inputs.now);
            bool quiet = !first && this->inputs.now - since->second >= this->inputs.resendTimeout;
            if (!quiet || reservation.openCopies.size() >= maxOpenCopies)
                return;
            since->second = this->inputs.now;
            this->announce(wanted.item, reservation.bytes);
        }

        const Workers& workers;
        const Worker& worker;
        OrderTracker& memory;
        const OrderInputs& inputs;
        const std::function<uint64_t()>& nextCopy;
        const std::string& name;
        size_t loadsLeft;
        uint64_t announcedBytes = 0;
        OrderRound round;
    };

} // namespace

OrderRound decideOrders(const Workers& workers, const std::string& workerName, OrderTracker& memory, const OrderInputs& inputs, const std::function<uint64_t()>& nextCopy)
{
    auto entry = workers.find(workerName);
    if (entry == workers.end())
        return {};
    return OrderDecision(workers, entry->second, memory, inputs, nextCopy).run();
}

} // namespace comfreypier::coordination
