#include "order_task.h"

#include <iomanip>
#include <random>
#include <sstream>

namespace comfreypier::edge {

namespace {

    /// Interval between two planning rounds. Missing items that VMs report wake the task earlier.
    constexpr milliseconds planInterval { 100 };
    /// Interval between two checks of the lease.
    constexpr milliseconds leaseCheckInterval { 100 };
    /// Time for the other VMs to learn that a model is about to be unloaded, before the unload is ordered.
    constexpr milliseconds unloadNoticeTime { 30 };
    /// Usual time from the acceptance of an order until the adapter is loaded.
    constexpr milliseconds adapterLoadTime { 12 };
    /// An adapter is not evicted before it has been unused for this time.
    constexpr milliseconds minAdapterIdleTime { 300 };
    /// Time for which an adapter counts as in demand after its last use.
    constexpr std::chrono::seconds adapterDemandWindow { 20 };
    /// Time for which the lease holder may continue to issue orders without the store if workers check fencing tokens. The
    /// store's longest outages are shorter.
    constexpr std::chrono::seconds leaseExtension { 30 };
    /// Interval between two log lines about the load of the models.
    constexpr std::chrono::seconds planLogInterval { 1 };
    /// Number of models, the busiest ones, in such a line.
    constexpr size_t loggedModels = 6;
    /// Key of the lease record in the store.
    constexpr const char* leaseKey = "orders";

    /// Returns a lease holder name that differs at each start of the daemon.
    std::string makeLeaseHolderName(const std::string& node)
    {
        std::random_device device;
        return node + "#" + std::to_string(device());
    }

    /// Returns the durations of the lease. If workers don't check fencing tokens, the first order after a take-over waits for
    /// `Settings::leaseTime`; if they do, orders may go on while the store is unavailable.
    ownership::LeaseSettings makeLeaseSettings(const Settings& settings)
    {
        ownership::LeaseSettings lease;
        lease.duration = settings.leaseTime + milliseconds { 1000 };
        if (settings.workersCheckTokens)
            lease.outageExtension = leaseExtension;
        else
            lease.firstOrderDelay = settings.leaseTime;
        return lease;
    }

    /// Encodes a lease record as its fencing token, a space and the lease holder's name.
    std::string encodeLease(const ownership::LeaseRecord& record)
    {
        return std::to_string(record.token) + " " + record.holder;
    }

    /// @return nothing if the text is no valid lease record.
    std::optional<ownership::LeaseRecord> decodeLease(const std::string& text)
    {
        auto space = text.find(' ');
        auto token = protocol::parseInteger(text.substr(0, space));
        if (space == std::string::npos || !token)
            return std::nullopt;
        return ownership::LeaseRecord { text.substr(space + 1), static_cast<uint64_t>(*token) };
    }

    /// Returns the engine of a service, or null if the service is unknown or has none.
    const routing::EngineSpec* findEngine(const ConfigurationPtr& configuration, const std::string& service)
    {
        auto found = configuration->services.find(service);
        return found == configuration->services.end() || !found->second.engine ? nullptr : &*found->second.engine;
    }

} // namespace

OrderTask::OrderTask(Vm& vm, Peers& peers)
    : vm(vm)
    , peers(peers)
    , lease(makeLeaseHolderName(vm.settings.node), makeLeaseSettings(vm.settings))
{
    this->peers.onMissingItems = [this] { this->wakeUp.signal(); };
    this->peers.onLeaseClaim = [this](const LogPosition& position) {
        std::lock_guard lock(this->mutex);
        this->lease.onHolderHeartbeat(position, transport::bootTimeNow());
    };
    this->vm.storeEra.subscribe([this](uint64_t era, bool) {
        std::lock_guard lock(this->mutex);
        this->lease.onEra(era, transport::bootTimeNow());
    });
    this->peers.onAdapterUse = [this](const MissingItem& use) {
        std::lock_guard lock(this->mutex);
        this->adapterUses[use.model + "/" + use.adapter] = monotonicNow();
        auto found = this->managedWorkers.find(use.worker);
        if (found == this->managedWorkers.end())
            return;
        auto adapter = found->second->tracked.inventory.adapters.find(use.model + "/" + use.adapter);
        if (adapter != found->second->tracked.inventory.adapters.end())
            adapter->second = monotonicNow();
    };
}

void OrderTask::maintainLease()
{
    while (!this->vm.status.stopping) {
        this->updateLease();
        sleepFor(leaseCheckInterval);
    }
}

void OrderTask::updateLease()
{
    auto now = transport::bootTimeNow();
    ownership::LeaseStep step;
    bool shouldHandOver = false;
    {
        std::lock_guard lock(this->mutex);
        step = this->lease.nextStep(now);
        shouldHandOver = this->lease.isHolder() && this->handoverPolicy.shouldHandOver(this->peers.hasStrongerPeer(), now);
        if (step == ownership::LeaseStep::TakeOver && this->handoverPolicy.shouldYieldFreeLease(this->lease.newestRecordPosition(), this->peers.hasStrongerPeer(), now))
            step = ownership::LeaseStep::Wait;
    }
    // `releaseLease` releases the lease when the VM shuts down.
    if (this->vm.status.draining)
        return;
    if (shouldHandOver)
        return this->handOverLease();
    if (step == ownership::LeaseStep::Wait)
        return;
    if (step == ownership::LeaseStep::Renew || step == ownership::LeaseStep::TakeOver)
        return this->appendLeaseRecord(step == ownership::LeaseStep::TakeOver);
    // While the lease holder's heartbeats arrive, its record need not be read.
    if (this->peers.hasReachableLeaseHolder())
        return;
    increment(this->vm.counters, CountedEvent::StoreCalls);
    auto page = platform::readLatest(this->vm.store(), platform::Stream::Lease);
    if (!page) {
        increment(this->vm.counters, CountedEvent::StoreFailures);
        std::lock_guard lock(this->mutex);
        this->lease.onReadFailed(now);
        return;
    }
    ownership::LeaseReadResult readResult;
    auto era = this->vm.storeEra.resolve(page.value().era);
    readResult.recordPosition.era = era;
    readResult.partitionEnd = { era, page.value().nextOffset };
    for (const auto& record : page.value().records) {
        if (record.key != leaseKey || !record.value)
            continue;
        readResult.record = decodeLease(*record.value);
        readResult.recordPosition.offset = record.offset;
    }
    std::lock_guard lock(this->mutex);
    this->lease.onRead(readResult, now);
}

void OrderTask::handOverLease()
{
    this->releaseLease();
    std::lock_guard lock(this->mutex);
    this->lease.rejoin();
}

void OrderTask::appendLeaseRecord(bool takeOver)
{
    auto sentAt = transport::bootTimeNow();
    ownership::LeaseRecord record;
    uint64_t offset = 0;
    bool wasHolder = false;
    {
        std::lock_guard lock(this->mutex);
        record = this->lease.recordToAppend();
        offset = this->lease.appendOffset();
        wasHolder = this->lease.isHolder();
    }
    increment(this->vm.counters, CountedEvent::StoreCalls);
    auto outcome = platform::append(this->vm.store(), platform::Stream::Lease, leaseKey, encodeLease(record), offset);
    {
        std::lock_guard lock(this->mutex);
        if (outcome)
            this->lease.onAppended({ this->vm.storeEra.resolve(outcome.value().era), outcome.value().offset }, sentAt);
        else if (outcome.error() == platform::StoreError::Conflict)
            this->lease.onAppendConflict();
        else
            this->lease.onAppendUncertain(sentAt);
        // What this VM knew of the workers is outdated if another VM has given orders since.
        if (takeOver && outcome && !wasHolder)
            this->managedWorkers.clear();
    }
    if (takeOver || !outcome)
        this->log.info(std::string("event=lease step=") + (takeOver ? "take_over" : "renew") + " token=" + std::to_string(record.token) + " era=" + std::to_string(this->vm.storeEra.current()) + " offset=" + std::to_string(offset) + " outcome=" + (outcome ? "held" : platform::name(outcome.error())));
}

void OrderTask::releaseLease()
{
    ownership::LeaseRecord record;
    uint64_t offset = 0;
    {
        std::lock_guard lock(this->mutex);
        bool wasHolder = this->lease.isHolder();
        this->lease.release();
        if (!wasHolder)
            return;
        record = this->lease.recordToAppend();
        offset = this->lease.appendOffset();
    }
    this->peers.setLeaseState(0, {}, {});
    increment(this->vm.counters, CountedEvent::StoreCalls);
    auto outcome = platform::append(this->vm.store(), platform::Stream::Lease, leaseKey, encodeLease(record), offset);
    this->log.info("event=lease step=release token=" + std::to_string(record.token) + " outcome=" + (outcome ? "released" : platform::name(outcome.error())));
}

bool OrderTask::mayIssueOrders() const
{
    auto now = transport::bootTimeNow();
    if (this->lease.mayIssueOrders(now))
        return true;
    // Without the store, the other VMs' heartbeats must show that no VM has taken the lease over.
    return this->lease.mayIssueOrdersExtended(now) && this->peers.highestPeerToken() < this->lease.token() && this->peers.reachesMajority();
}

void OrderTask::run()
{
    bool wasActive = false;
    Time plannedAt { 0 };
    while (!this->vm.status.stopping) {
        this->wakeUp.waitFor(planInterval);
        bool active = this->vm.isReady();
        {
            std::lock_guard lock(this->mutex);
            active = active && this->mayIssueOrders();
        }
        if (std::exchange(wasActive, active) && !active)
            this->peers.setLeaseState(0, {}, {});
        if (!active)
            continue;
        // Missing items are served as soon as VMs report them; the plan for all workers is made once per interval.
        bool planningDue = monotonicNow() - plannedAt >= planInterval;
        if (planningDue) {
            plannedAt = monotonicNow();
            this->updateManagedWorkers();
            this->planModels();
            this->planPrefetches();
        }
        this->startWorkerCalls();
        if (planningDue || std::exchange(this->publishDue, false))
            this->publishResidentItems();
    }
}

void OrderTask::startWorkerCalls()
{
    std::map<std::string, std::vector<MissingItem>> missingByWorker;
    for (auto& item : this->peers.allMissingItems()) {
        if (!item.worker.empty() && !item.adapter.empty())
            missingByWorker[item.worker].push_back(std::move(item));
    }
    auto now = monotonicNow();
    auto held = this->vm.fleet.heldWorkers(now);
    std::lock_guard lock(this->mutex);
    for (auto& [id, worker] : this->managedWorkers) {
        if (held.contains(id))
            continue;
        auto missing = missingByWorker.find(id);
        bool callNeeded = placement::hasUnsentModelOrder(worker->tracked) || worker->prefetch || missing != missingByWorker.end() || placement::needsReport(worker->tracked, now);
        if (!callNeeded || std::exchange(worker->callInProgress, true))
            continue;
        transport::spawnOnCurrentThread([this, worker = worker, missingItems = missing == missingByWorker.end() ? std::vector<MissingItem> {} : std::move(missing->second)] { this->callWorker(worker, missingItems); });
    }
}

void OrderTask::planPrefetches()
{
    auto configuration = this->vm.fleet.configuration();
    auto now = monotonicNow();
    std::lock_guard lock(this->mutex);
    std::erase_if(this->adapterUses, [now](const auto& use) { return now - use.second > adapterDemandWindow; });
    for (const auto& [name, service] : configuration->services) {
        if (!service.engine)
            continue;
        std::vector<const placement::WorkerInventory*> workers;
        for (const auto& [id, worker] : this->managedWorkers) {
            if (worker->entry.service == name)
                workers.push_back(&worker->tracked.inventory);
        }
        auto demand = placement::collectAdapterDemand(workers, this->adapterUses);
        for (auto& [id, worker] : this->managedWorkers) {
            if (worker->entry.service == name && !worker->callInProgress && placement::mayOrderAdapter(worker->tracked))
                worker->prefetch = placement::planPrefetchOrder(*service.engine, worker->tracked.inventory, demand);
        }
    }
}

void OrderTask::updateManagedWorkers()
{
    auto configuration = this->vm.fleet.configuration();
    auto held = this->vm.fleet.heldWorkers(monotonicNow());
    std::lock_guard lock(this->mutex);
    std::set<std::string> present;
    for (const auto& entry : this->vm.fleet.entries()) {
        if (findEngine(configuration, entry.service) == nullptr)
            continue;
        present.insert(entry.id);
        auto& worker = this->managedWorkers[entry.id];
        if (!worker || worker->entry.startedAt != entry.startedAt)
            worker = std::make_shared<ManagedWorker>();
        worker->entry = entry;
        auto& inventory = worker->tracked.inventory;
        inventory.id = entry.id;
        inventory.dataCentre = entry.dataCentre;
        inventory.active = !entry.draining;
        placement::updateCachedModels(worker->tracked, entry.onDisk);
        inventory.acceptsModelOrders = !entry.draining && !held.contains(entry.id) && placement::mayOrderModel(worker->tracked);
    }
    std::erase_if(this->managedWorkers, [&present](const auto& item) { return !present.contains(item.first); });
}

void OrderTask::planModels()
{
    auto configuration = this->vm.fleet.configuration();
    auto now = monotonicNow();
    for (const auto& [name, service] : configuration->services) {
        if (!service.engine)
            continue;
        placement::ModelPlanInputs inputs;
        inputs.engine = &*service.engine;
        inputs.now = now;
        auto& forecast = this->forecasts[name];
        forecast.record(this->peers.totalDemand(), now);
        inputs.work = forecast.after(placement::planLookahead(*service.engine));
        for (const auto& item : this->peers.allMissingItems()) {
            // The demand for a missing model counts as at least one worker's time.
            if (item.worker.empty())
                inputs.work[item.model] += 1;
        }
        std::lock_guard lock(this->mutex);
        for (const auto& [id, worker] : this->managedWorkers) {
            if (worker->entry.service != name)
                continue;
            auto inventory = worker->tracked.inventory;
            // Until a report is applied, the worker's entry tells which models it holds.
            if (!worker->tracked.synced) {
                for (const auto& model : worker->entry.models)
                    inventory.models.insert(model.name);
            }
            inputs.workers.push_back(std::move(inventory));
            if (worker->tracked.modelOrder && worker->tracked.modelOrder->fromStore)
                inputs.storeLoadsRunning++;
            if (worker->tracked.modelOrder || !worker->tracked.inventory.reservedModel.empty())
                inputs.modelOrdersRunning++;
        }
        inputs.availableStoreLoads = this->storeRate.availableLoads(service.engine->storeLoadsPerSecond, now);
        this->logPlan(name, inputs);
        for (int i = 0; i < placement::maxOrdersPerRound; i++) {
            auto order = placement::planModelOrder(inputs);
            if (!order)
                break;
            this->recordPlannedOrder(*order);
            // The next order of this round is planned with this one in progress.
            auto planned = std::find_if(inputs.workers.begin(), inputs.workers.end(), [&](const auto& worker) { return worker.id == order->worker; });
            *planned = this->managedWorkers[order->worker]->tracked.inventory;
            planned->acceptsModelOrders = false;
            inputs.modelOrdersRunning++;
            inputs.storeLoadsRunning += order->fromStore ? 1 : 0;
            inputs.availableStoreLoads -= order->fromStore ? 1 : 0;
        }
    }
}

void OrderTask::logPlan(const std::string& service, const placement::ModelPlanInputs& inputs)
{
    if (inputs.now - this->planLoggedAt[service] < planLogInterval)
        return;
    this->planLoggedAt[service] = inputs.now;
    auto accepting = std::count_if(inputs.workers.begin(), inputs.workers.end(), [](const auto& worker) { return worker.acceptsModelOrders; });
    std::ostringstream line;
    line << std::fixed << std::setprecision(2) << "event=plan service=" << transport::escapeForLog(service) << " workers=" << inputs.workers.size() << " accepting=" << accepting
         << " orders_running=" << inputs.modelOrdersRunning << " store_loads=" << inputs.storeLoadsRunning << " store_tokens=" << inputs.availableStoreLoads << " busiest=";
    auto pressures = placement::modelPressures(inputs);
    for (size_t i = 0; i < std::min(pressures.size(), loggedModels); i++)
        line << (i == 0 ? "" : ",") << transport::escapeForLog(pressures[i].model) << ':' << pressures[i].work << '/' << pressures[i].copies << '@' << pressures[i].level;
    this->log.info(line.str());
}

void OrderTask::recordPlannedOrder(const placement::Order& order)
{
    auto& worker = this->managedWorkers[order.worker];
    placement::scheduleModelOrder(worker->tracked, order);
    if (order.fromStore)
        this->storeRate.recordLoad();
}

void OrderTask::callWorker(const ManagedWorkerPtr& worker, const std::vector<MissingItem>& missingItems)
{
    bool reportDue = false;
    bool orderDue = false;
    {
        std::lock_guard lock(this->mutex);
        reportDue = placement::needsReport(worker->tracked, monotonicNow());
        orderDue = placement::hasUnsentModelOrder(worker->tracked);
    }
    if (reportDue)
        this->refreshReport(*worker);
    if (orderDue)
        this->sendModelOrder(*worker);
    this->sendAdapterOrders(*worker, missingItems);
    std::lock_guard lock(this->mutex);
    worker->callInProgress = false;
}

void OrderTask::refreshReport(ManagedWorker& worker)
{
    auto requestedAt = monotonicNow();
    auto entry = worker.entry;
    auto reply = platform::fetchReport(this->vm.controlClient, entry);
    this->peers.recordStatements(entry, reply, "report");
    const auto& report = reply.value;
    std::lock_guard lock(this->mutex);
    if (!report) {
        worker.tracked.nextReportAt = requestedAt + placement::busyReportInterval;
        return;
    }
    auto order = worker.tracked.modelOrder;
    if (!placement::applyReport(worker.tracked, *report, requestedAt))
        return;
    this->publishDue = true;
    this->log.info("event=order_done worker=" + transport::escapeForLog(worker.entry.id) + " kind=" + (order->kind == placement::OrderKind::Load ? "load" : "unload") + " model=" + transport::escapeForLog(order->model));
    this->wakeUp.signal();
}

bool OrderTask::trySendOrder(ManagedWorker& worker, const placement::Order& order)
{
    placement::OrderSource source;
    {
        std::lock_guard lock(this->mutex);
        if (!worker.tracked.synced || !this->mayIssueOrders() || this->vm.fleet.isHeld(worker.entry.id, monotonicNow()))
            return false;
        source = { this->vm.settings.node, this->lease.token(), worker.tracked.ordersAccepted };
    }
    increment(this->vm.counters, CountedEvent::Orders);
    auto sentAt = monotonicNow();
    auto entry = worker.entry;
    auto reply = platform::sendOrder(this->vm.controlClient, entry, order, source);
    this->peers.recordStatements(entry, reply, "order");
    auto outcome = reply.value;
    bool isLoad = order.kind == placement::OrderKind::Load;
    bool accepted = outcome == placement::OrderOutcome::Accepted || outcome == placement::OrderOutcome::AlreadyDone;
    this->log.info("event=order worker=" + transport::escapeForLog(order.worker) + " kind=" + (isLoad ? "load" : "unload") + " model=" + transport::escapeForLog(order.model) + (order.adapter.empty() ? "" : " adapter=" + transport::escapeForLog(order.adapter))
        + " reason=" + order.reason + " token=" + std::to_string(source.token) + " accepted_before=" + std::to_string(source.ordersAccepted) + (order.fromStore ? " from_store=yes" : "") + " outcome=" + placement::name(outcome));
    std::lock_guard lock(this->mutex);
    placement::applyOrderOutcome(worker.tracked, order, outcome, sentAt);
    return accepted;
}

void OrderTask::sendModelOrder(ManagedWorker& worker)
{
    placement::Order order;
    {
        std::lock_guard lock(this->mutex);
        order = *worker.tracked.modelOrder;
    }
    if (order.kind == placement::OrderKind::Unload) {
        this->publishResidentItems();
        sleepFor(unloadNoticeTime);
    }
    if (this->trySendOrder(worker, order))
        return;
    std::lock_guard lock(this->mutex);
    worker.tracked.modelOrder.reset();
    worker.tracked.synced = false; // The worker's next report shows whether it executes the order nevertheless.
}

void OrderTask::sendAdapterOrders(ManagedWorker& worker, const std::vector<MissingItem>& missingItems)
{
    auto configuration = this->vm.fleet.configuration();
    const auto* engine = findEngine(configuration, worker.entry.service);
    if (engine == nullptr)
        return;
    for (const auto& item : missingItems) {
        // Up to two orders: the unload of another adapter if no slot is free, then the load of the missing one.
        for (int step = 0; step < 2; step++) {
            std::optional<placement::Order> order;
            {
                std::lock_guard lock(this->mutex);
                if (!placement::mayOrderAdapter(worker.tracked))
                    return;
                order = placement::planAdapterOrder(*engine, worker.tracked.inventory, item.model, item.adapter, monotonicNow(), minAdapterIdleTime);
            }
            if (!order)
                break;
            this->sendAdapterOrder(worker, *order);
        }
    }
    std::optional<placement::Order> order;
    {
        std::lock_guard lock(this->mutex);
        order = std::exchange(worker.prefetch, std::nullopt);
        bool stillValid = order && placement::mayOrderAdapter(worker.tracked) && worker.tracked.inventory.models.contains(order->model)
            && !worker.tracked.inventory.adapters.contains(order->model + "/" + order->adapter) && worker.tracked.inventory.adapters.size() + placement::prefetchReservedSlots < engine->adapterSlots;
        // The missing items that were loaded above may have taken the slot.
        if (!stillValid)
            return;
    }
    this->sendAdapterOrder(worker, *order);
}

void OrderTask::sendAdapterOrder(ManagedWorker& worker, const placement::Order& order)
{
    if (!this->trySendOrder(worker, order))
        return;
    auto key = order.model + "/" + order.adapter;
    if (order.kind == placement::OrderKind::Unload) {
        this->wakeUp.signal();
        return;
    }
    std::lock_guard lock(this->mutex);
    worker.adapterReadyAt[key] = monotonicNow() + adapterLoadTime;
    transport::spawnOnCurrentThread([this] {
        sleepFor(adapterLoadTime);
        this->publishResidentItems();
    });
}

void OrderTask::publishResidentItems()
{
    std::map<std::string, std::set<std::string>> resident;
    uint64_t token = 0;
    LogPosition position;
    auto now = monotonicNow();
    auto held = this->vm.fleet.heldWorkers(now);
    {
        std::lock_guard lock(this->mutex);
        if (!this->mayIssueOrders())
            return;
        token = this->lease.token();
        position = this->lease.newestRecordPosition();
        for (auto& [id, worker] : this->managedWorkers) {
            const auto& tracked = worker->tracked;
            if (!tracked.synced)
                continue;
            auto& items = resident[id];
            std::erase_if(worker->adapterReadyAt, [now](const auto& item) { return item.second <= now; });
            for (const auto& [adapter, used] : tracked.inventory.adapters) {
                if (!worker->adapterReadyAt.contains(adapter))
                    items.insert(adapter);
            }
            for (const auto& model : tracked.inventory.models) {
                if (!tracked.modelOrder || tracked.modelOrder->model != model)
                    items.insert(model);
            }
            for (const auto& model : tracked.inventory.unloading)
                items.insert("!" + model);
            // Other workers are preferred for missing adapters.
            if (!placement::mayOrderAdapter(tracked) || held.contains(id))
                items.insert(routing::orderInProgressMark);
        }
    }
    this->vm.fleet.applyResident(resident);
    this->peers.setLeaseState(token, position, std::move(resident));
}

} // namespace comfreypier::edge
