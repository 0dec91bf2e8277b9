/// Placement: which worker should hold which item. Ensures that every item is reachable, then follows demand with few moves.
#include <algorithm>
#include <cmath>
#include <coordination/coordination.h>

namespace comfreypier::coordination {

namespace {

    using protocol::ItemSpec;
    using protocol::PlanChange;
    using protocol::PlanMove;

    /// Weight of one answered request, in the order of `Urgency`.
    constexpr std::array<double, static_cast<size_t>(protocol::Urgency::Count)> urgencyWeights { 4.0, 2.0, 1.0 };

    /// One planning round. Works on a copy of the plan. The inputs must outlive it.
    class PlanRound {
    public:
        explicit PlanRound(const PlanInputs& inputs)
            : inputs(inputs)
            , plan(*inputs.plan)
        {
            for (const auto& [name, item] : inputs.deployment->items)
                this->specs[protocol::itemKey(item)] = &item;
        }

        PlanChange run()
        {
            this->dropObsolete();
            this->indexPlan();
            auto order = this->itemsByImportance();
            // Every item gets its first copy before any item gets a second one.
            for (const auto* item : order)
                this->placeInDataCentres(*item, 1);
            for (const auto* item : order)
                this->placeInDataCentres(*item, dataCentresPerItem);
            this->followDemand(order);
            return this->difference();
        }

    private:
        /// Returns all items in the order of placement: models before adapters, urgent before others, large before small.
        std::vector<const ItemSpec*> itemsByImportance() const
        {
            std::vector<const ItemSpec*> order;
            for (const auto& [name, item] : this->inputs.deployment->items)
                order.push_back(&item);
            std::stable_sort(order.begin(), order.end(), [](const ItemSpec* a, const ItemSpec* b) {
                return std::tuple(!a->base.empty(), a->urgency, b->bytes) < std::tuple(!b->base.empty(), b->urgency, a->bytes);
            });
            return order;
        }

        /// Drops three kinds of entries from the plan: entries of removed workers; items that are no longer declared, but an old
        /// version only once the declared version is resident; and items on avoided workers that are resident elsewhere.
        void dropObsolete()
        {
            std::erase_if(this->plan, [&](const PlanMove& move) {
                if (!this->inputs.workers->contains(move.worker))
                    return true;
                if (this->specs.contains(move.item))
                    return this->isAvoided(move.worker) && this->countCopiesElsewhere(move) > 0;
                // The key of an item is `name@version`.
                auto name = move.item.substr(0, move.item.rfind('@'));
                auto current = this->inputs.deployment->items.find(name);
                bool replaced = current != this->inputs.deployment->items.end();
                return !replaced || countResidentCopies(*this->inputs.workers, protocol::itemKey(current->second)) > 0;
            });
        }

        bool isAvoided(const std::string& worker) const { return this->inputs.avoidedWorkers.contains(worker); }

        /// Counts the resident copies of the item on workers that are neither avoided nor the worker of `move`.
        size_t countCopiesElsewhere(const PlanMove& move) const
        {
            size_t copies = 0;
            for (const auto& [name, worker] : *this->inputs.workers) {
                auto entry = worker.reservations.find(move.item);
                bool resident = entry != worker.reservations.end() && entry->second.loaded && !entry->second.unloading;
                copies += name != move.worker && !this->isAvoided(name) && resident;
            }
            return copies;
        }

        /// Computes the holders of each item, which are the workers on which it is planned, without avoided ones, and the claimed
        /// bytes of each worker. `insert` and `erase` keep the holders up to date, `insert` also the claimed bytes: an erased
        /// entry counts as claimed for the rest of the round.
        void indexPlan()
        {
            for (const auto& move : this->plan) {
                if (!this->isAvoided(move.worker))
                    this->holdersByItem[move.item].push_back(move.worker);
            }
            for (const auto& [name, worker] : *this->inputs.workers)
                this->claimedBytes[name] = this->computeClaimedBytes(name);
        }

        /// Returns the names of the holders of the item with this key.
        std::vector<std::string> holders(const std::string& key) const
        {
            auto entry = this->holdersByItem.find(key);
            return entry == this->holdersByItem.end() ? std::vector<std::string> {} : entry->second;
        }

        std::set<std::string> dataCentres(const std::vector<std::string>& workerNames) const
        {
            std::set<std::string> result;
            for (const auto& name : workerNames)
                result.insert(this->inputs.workers->at(name).declared.dataCentre);
            return result;
        }

        /// Returns the bytes that the plan and the ledger together claim on a worker. Undeclared items count only if the
        /// ledger has a reservation for them.
        uint64_t computeClaimedBytes(const std::string& name) const
        {
            const auto& worker = this->inputs.workers->at(name);
            uint64_t total = reservedBytes(worker);
            // The plan is sorted by worker and then by item.
            for (auto entry = this->plan.lower_bound({ name, "" }); entry != this->plan.end() && entry->worker == name; ++entry) {
                auto spec = this->specs.find(entry->item);
                if (spec != this->specs.end() && !worker.reservations.contains(entry->item))
                    total += spec->second->bytes;
            }
            return total;
        }

        uint64_t freeBytes(const std::string& name) const
        {
            auto capacity = this->inputs.workers->at(name).declared.capacity;
            auto used = this->claimedBytes.at(name);
            return capacity > used ? capacity - used : 0;
        }

        /// Returns the base model of an adapter, or null for a model.
        const ItemSpec* baseOf(const ItemSpec& item) const
        {
            return item.base.empty() ? nullptr : &this->inputs.deployment->items.at(item.base);
        }

        /// Returns the bytes that placing `item` on `worker` adds, including its base model if that is not planned there.
        uint64_t addedBytes(const ItemSpec& item, const std::string& worker) const
        {
            const auto* base = this->baseOf(item);
            bool needsBase = base && !this->plan.contains({ worker, protocol::itemKey(*base) });
            return item.bytes + (needsBase ? base->bytes : 0);
        }

        /// Returns the worker on which `item` adds the fewest bytes, with ties going to the one with the most free memory, or
        /// nothing if it fits on none. Skips avoided workers, those on which the item is planned already, and those in
        /// `excludedCentres`.
        std::optional<std::string> bestWorker(const ItemSpec& item, const std::set<std::string>& excludedCentres) const
        {
            std::optional<std::string> best;
            uint64_t bestCost = 0;
            uint64_t bestFree = 0;
            auto key = protocol::itemKey(item);
            for (const auto& [name, worker] : *this->inputs.workers) {
                if (this->isAvoided(name) || this->plan.contains({ name, key }) || excludedCentres.contains(worker.declared.dataCentre))
                    continue;
                auto cost = this->addedBytes(item, name);
                auto free = this->freeBytes(name);
                if (cost > free)
                    continue;
                bool better = !best || cost < bestCost || (cost == bestCost && free > bestFree);
                if (better) {
                    best = name;
                    bestCost = cost;
                    bestFree = free;
                }
            }
            return best;
        }

        /// Plans `item` on `worker`, together with its base model if it is an adapter.
        void place(const ItemSpec& item, const std::string& worker)
        {
            if (const auto* base = this->baseOf(item))
                this->insert(*base, worker);
            this->insert(item, worker);
        }

        /// Adds `item` to the plan of `worker`, unless it is there already. Claims its bytes unless the ledger has reserved them.
        void insert(const ItemSpec& item, const std::string& worker)
        {
            auto key = protocol::itemKey(item);
            if (!this->plan.insert({ worker, key }).second)
                return;
            this->holdersByItem[key].push_back(worker);
            if (!this->inputs.workers->at(worker).reservations.contains(key))
                this->claimedBytes[worker] += item.bytes;
        }

        void erase(const PlanMove& move)
        {
            this->plan.erase(move);
            std::erase(this->holdersByItem[move.item], move.worker);
        }

        /// Adds copies until `item` is placed in `targetCentres` data centres, as far as memory allows. Frees memory only for
        /// an item that has no copy.
        void placeInDataCentres(const ItemSpec& item, size_t targetCentres)
        {
            auto workerNames = this->holders(protocol::itemKey(item));
            auto centres = this->dataCentres(workerNames);
            while (centres.size() < targetCentres) {
                auto worker = this->bestWorker(item, centres);
                if (!worker && workerNames.empty())
                    worker = this->freeMemoryFor(item);
                if (!worker)
                    return;
                this->place(item, *worker);
                workerNames.push_back(*worker);
                centres = this->dataCentres(workerNames);
            }
        }

        /// Drops surplus copies from the worker that needs the fewest drops to fit `item`, and returns that worker, or nothing if
        /// no worker can fit it.
        std::optional<std::string> freeMemoryFor(const ItemSpec& item)
        {
            std::optional<std::string> best;
            std::vector<PlanMove> bestDrops;
            for (const auto& [name, worker] : *this->inputs.workers) {
                if (this->isAvoided(name))
                    continue;
                auto drops = this->dropsToFit(item, name);
                if (drops && (!best || drops->size() < bestDrops.size())) {
                    best = name;
                    bestDrops = *drops;
                }
            }
            for (const auto& drop : bestDrops)
                this->erase(drop);
            return best;
        }

        /// Returns the surplus copies to drop from `worker` so that `item` fits, or nothing if that does not free enough memory.
        /// A copy is surplus if its item is declared, is resident elsewhere, and is not the base model of an adapter on `worker`.
        std::optional<std::vector<PlanMove>> dropsToFit(const ItemSpec& item, const std::string& worker) const
        {
            uint64_t free = this->freeBytes(worker);
            auto needed = this->addedBytes(item, worker);
            std::vector<PlanMove> drops;
            for (auto entry = this->plan.lower_bound({ worker, "" }); entry != this->plan.end() && entry->worker == worker && free < needed; ++entry) {
                auto spec = this->specs.find(entry->item);
                bool isBaseInUse = spec != this->specs.end() && this->hasAdapterOn(*spec->second, worker);
                if (spec == this->specs.end() || isBaseInUse || this->countCopiesElsewhere(*entry) == 0)
                    continue;
                free += spec->second->bytes;
                drops.push_back(*entry);
            }
            if (free < needed)
                return std::nullopt;
            return drops;
        }

        /// Returns whether an adapter of `model` is planned on `worker`.
        bool hasAdapterOn(const ItemSpec& model, const std::string& worker) const
        {
            for (const auto& [name, item] : this->inputs.deployment->items) {
                if (item.base == model.name && this->plan.contains({ worker, protocol::itemKey(item) }))
                    return true;
            }
            return false;
        }

        /// Returns the demand for an item in requests per second, 0 if none is known.
        double demandOf(const ItemSpec& item) const
        {
            auto entry = this->inputs.demand.find(item.name);
            return entry == this->inputs.demand.end() ? 0 : entry->second;
        }

        /// Returns the benefit of one more copy per byte of its size: the requests per second that it would answer beyond those
        /// of the planned copies, weighted by urgency.
        double gainPerByte(const ItemSpec& item) const
        {
            auto copies = static_cast<double>(this->holders(protocol::itemKey(item)).size());
            auto unansweredRate = this->demandOf(item) - copies * this->inputs.requestRatePerCopy;
            if (unansweredRate <= 0)
                return 0;
            auto answeredRate = std::min(unansweredRate, this->inputs.requestRatePerCopy);
            return answeredRate * urgencyWeights[static_cast<size_t>(item.urgency)] / static_cast<double>(item.bytes);
        }

        /// Adds up to `maxMoves` copies, each time of the item with the highest gain per byte.
        void followDemand(const std::vector<const ItemSpec*>& items)
        {
            for (size_t move = 0; move < this->inputs.maxMoves; move++) {
                const ItemSpec* best = nullptr;
                double bestGain = 0;
                for (const auto* item : items) {
                    auto value = this->gainPerByte(*item);
                    if (value > bestGain && this->bestWorker(*item, {})) {
                        best = item;
                        bestGain = value;
                    }
                }
                if (!best)
                    return;
                this->place(*best, *this->bestWorker(*best, {}));
            }
        }

        /// Returns the difference between the original plan and the working copy.
        PlanChange difference() const
        {
            PlanChange change;
            const auto& original = *this->inputs.plan;
            std::set_difference(this->plan.begin(), this->plan.end(), original.begin(), original.end(), std::back_inserter(change.adds));
            std::set_difference(original.begin(), original.end(), this->plan.begin(), this->plan.end(), std::back_inserter(change.drops));
            return change;
        }

        const PlanInputs& inputs;
        std::set<PlanMove> plan; ///< Working copy of the plan.
        std::map<std::string, const ItemSpec*> specs; ///< Declared items, by item key.
        std::map<std::string, std::vector<std::string>> holdersByItem; ///< Names of workers, by item key.
        std::map<std::string, uint64_t> claimedBytes; ///< By worker.
    };

} // namespace

PlanChange computePlanChange(const PlanInputs& inputs)
{
    return PlanRound(inputs).run();
}

} // namespace comfreypier::coordination
