#include "order_task.h"

#include <random>

namespace comfreypier::edge {

namespace {

    /// Pause between two planning rounds without news.
    constexpr milliseconds planInterval { 100 };
    /// Pause between two looks at the lease.
    constexpr milliseconds leaseLook { 100 };
    /// Time in which the other VMs hear that a model is on its way out, before its unload is ordered.
    constexpr milliseconds unloadNotice { 30 };
    /// Usual time until an adapter is there after its order was accepted.
    constexpr milliseconds adapterLoadTime { 12 };
    /// Time since an adapter's last use below which it is not dropped.
    constexpr milliseconds adapterIdle { 300 };
    /// Time for which an adapter counts as in use after its last use.
    constexpr std::chrono::seconds adapterInterest { 20 };
    /// Time for which orders go on without the store while workers check fencing tokens: its longest outages are shorter.
    constexpr std::chrono::seconds leaseExtension { 30 };
    /// Key of the lease's record.
    constexpr const char* leaseKey = "orders";

    std::string drawName(const std::string& node)
    {
        std::random_device device;
        return node + "#" + std::to_string(device());
    }

    ownership::LeaseSettings leaseSettings(const Settings& settings)
    {
        ownership::LeaseSettings lease;
        lease.duration = settings.leaseTime + milliseconds { 1000 };
        if (settings.workersCheckTokens)
            lease.extension = leaseExtension;
        else
            lease.quiet = settings.leaseTime;
        return lease;
    }

    std::string encodeLease(const ownership::LeaseRecord& record)
    {
        return std::to_string(record.token) + " " + record.holder;
    }

    std::optional<ownership::LeaseRecord> decodeLease(const std::string& text)
    {
        auto space = text.find(' ');
        auto token = protocol::parseInteger(text.substr(0, space));
        if (space == std::string::npos || !token)
            return std::nullopt;
        return ownership::LeaseRecord { text.substr(space + 1), static_cast<uint64_t>(*token) };
    }

    const routing::EngineSpec* engineOf(const ConfigurationPtr& configuration, const std::string& service)
    {
        auto found = configuration->services.find(service);
        return found == configuration->services.end() || !found->second.engine ? nullptr : &*found->second.engine;
    }

} // namespace

OrderTask::OrderTask(Vm& vm, Peers& peers)
    : vm(vm)
    , peers(peers)
    , lease(drawName(vm.settings.node), leaseSettings(vm.settings))
{
    this->peers.onWants = [this] { this->work.signal(); };
    this->peers.onClaim = [this](uint64_t offset) {
        std::lock_guard lock(this->mutex);
        this->lease.noteClaim(offset, transport::bootTimeNow());
    };
    this->peers.onUse = [this](const Want& use) {
        std::lock_guard lock(this->mutex);
        this->adapterUses[use.model + "/" + use.adapter] = monotonicNow();
        auto found = this->agents.find(use.worker);
        if (found == this->agents.end())
            return;
        auto adapter = found->second->account.held.adapters.find(use.model + "/" + use.adapter);
        if (adapter != found->second->account.held.adapters.end())
            adapter->second = monotonicNow();
    };
}

void OrderTask::keepLease()
{
    while (!this->vm.phase.stopping) {
        this->stepLease();
        sleepFor(leaseLook);
    }
}

void OrderTask::stepLease()
{
    auto now = transport::bootTimeNow();
    ownership::LeaseStep step;
    bool handsOver = false;
    {
        std::lock_guard lock(this->mutex);
        step = this->lease.next(now);
        handsOver = this->lease.holds() && this->deference.handsOver(this->peers.hearsStronger(), now);
        if (step == ownership::LeaseStep::TakeOver && this->deference.leavesFree(this->lease.seenOffset(), this->peers.hearsStronger(), now))
            step = ownership::LeaseStep::Wait;
    }
    if (this->vm.phase.leaving)
        return;
    if (handsOver)
        return this->handOver();
    if (step == ownership::LeaseStep::Wait)
        return;
    if (step == ownership::LeaseStep::Renew || step == ownership::LeaseStep::TakeOver)
        return this->appendLease(step == ownership::LeaseStep::TakeOver);
    if (this->peers.hearsHolder())
        return;
    add(this->vm.counters, Event::StoreCalls);
    auto page = platform::readNewest(this->vm.store(), platform::Stream::Lease);
    if (!page) {
        add(this->vm.counters, Event::StoreFailures);
        std::lock_guard lock(this->mutex);
        this->lease.noteReadFailed(now);
        return;
    }
    ownership::LeaseReading reading;
    reading.end = page.value().next;
    for (const auto& record : page.value().records) {
        if (record.key != leaseKey || !record.value)
            continue;
        reading.record = decodeLease(*record.value);
        reading.offset = record.offset;
    }
    std::lock_guard lock(this->mutex);
    this->lease.noteRead(reading, now);
}

void OrderTask::handOver()
{
    this->release();
    std::lock_guard lock(this->mutex);
    this->lease.rejoin();
}

void OrderTask::appendLease(bool takeOver)
{
    auto sentAt = transport::bootTimeNow();
    ownership::LeaseRecord record;
    uint64_t at = 0;
    {
        std::lock_guard lock(this->mutex);
        record = this->lease.proposal();
        at = this->lease.appendAt();
    }
    add(this->vm.counters, Event::StoreCalls);
    auto outcome = platform::append(this->vm.store(), platform::Stream::Lease, leaseKey, encodeLease(record), at);
    {
        std::lock_guard lock(this->mutex);
        if (outcome)
            this->lease.noteAppended(sentAt);
        else if (outcome.error() == platform::StoreError::Conflict)
            this->lease.noteConflict();
        else
            this->lease.noteUncertain(sentAt);
        if (takeOver && outcome)
            this->agents.clear();
    }
    if (takeOver || !outcome)
        this->log.info(std::string("event=lease step=") + (takeOver ? "take_over" : "renew") + " token=" + std::to_string(record.token) + " outcome=" + (outcome ? "held" : platform::name(outcome.error())));
}

void OrderTask::release()
{
    ownership::LeaseRecord record;
    uint64_t at = 0;
    {
        std::lock_guard lock(this->mutex);
        bool held = this->lease.holds();
        this->lease.release();
        if (!held)
            return;
        record = this->lease.proposal();
        at = this->lease.appendAt();
    }
    this->peers.setHolding(0, 0, {});
    add(this->vm.counters, Event::StoreCalls);
    auto outcome = platform::append(this->vm.store(), platform::Stream::Lease, leaseKey, encodeLease(record), at);
    this->log.info("event=lease step=release token=" + std::to_string(record.token) + " outcome=" + (outcome ? "released" : platform::name(outcome.error())));
}

bool OrderTask::mayOrder() const
{
    auto now = transport::bootTimeNow();
    if (this->lease.mayOrder(now))
        return true;
    return this->lease.mayOrderExtended(now) && this->peers.highestToken() < this->lease.token() && this->peers.hearsMost();
}

void OrderTask::run()
{
    bool held = false;
    Time plannedAt { 0 };
    while (!this->vm.phase.stopping) {
        this->work.waitFor(planInterval);
        bool may = this->vm.isReady();
        {
            std::lock_guard lock(this->mutex);
            may = may && this->mayOrder();
        }
        if (std::exchange(held, may) && !may)
            this->peers.setHolding(0, 0, {});
        if (!may)
            continue;
        // What VMs miss is served at once; the plan for all workers is made in its own pace.
        bool plans = monotonicNow() - plannedAt >= planInterval;
        if (plans) {
            plannedAt = monotonicNow();
            this->syncAgents();
            this->planModels();
            this->planPrefetches();
        }
        this->wakeAgents();
        if (plans || std::exchange(this->announceDue, false))
            this->announce();
    }
}

/// Starts a fiber for each worker that needs a call.
void OrderTask::wakeAgents()
{
    std::map<std::string, std::vector<Want>> wanted;
    for (auto& want : this->peers.allWants()) {
        if (!want.worker.empty() && !want.adapter.empty())
            wanted[want.worker].push_back(std::move(want));
    }
    auto now = monotonicNow();
    std::lock_guard lock(this->mutex);
    for (auto& [id, agent] : this->agents) {
        auto wants = wanted.find(id);
        bool needed = placement::hasOrderToSend(agent->account) || agent->prefetch || wants != wanted.end() || placement::needsReport(agent->account, now);
        if (!needed || std::exchange(agent->working, true))
            continue;
        transport::spawnHere([this, agent = agent, wants = wants == wanted.end() ? std::vector<Want> {} : std::move(wants->second)] { this->serveWorker(agent, wants); });
    }
}

/// Decides which workers load an adapter ahead of need.
void OrderTask::planPrefetches()
{
    auto configuration = this->vm.fleet.configuration();
    auto now = monotonicNow();
    std::lock_guard lock(this->mutex);
    std::erase_if(this->adapterUses, [now](const auto& use) { return now - use.second > adapterInterest; });
    for (const auto& [name, service] : configuration->services) {
        if (!service.engine)
            continue;
        std::vector<const placement::HeldWorker*> workers;
        for (const auto& [id, agent] : this->agents) {
            if (agent->entry.service == name)
                workers.push_back(&agent->account.held);
        }
        auto demand = placement::sumAdapters(workers, this->adapterUses);
        for (auto& [id, agent] : this->agents) {
            if (agent->entry.service == name && !agent->working && placement::mayOrderAdapter(agent->account))
                agent->prefetch = placement::planPrefetch(*service.engine, agent->account.held, demand);
        }
    }
}

void OrderTask::syncAgents()
{
    auto configuration = this->vm.fleet.configuration();
    std::lock_guard lock(this->mutex);
    std::set<std::string> present;
    for (const auto& entry : this->vm.fleet.entries()) {
        if (engineOf(configuration, entry.service) == nullptr)
            continue;
        present.insert(entry.id);
        auto& agent = this->agents[entry.id];
        if (!agent || agent->entry.startedAt != entry.startedAt)
            agent = std::make_shared<Agent>();
        agent->entry = entry;
        auto& held = agent->account.held;
        held.id = entry.id;
        held.dataCentre = entry.dataCentre;
        held.alive = !entry.leaving;
        held.cached.insert(entry.onDisk.begin(), entry.onDisk.end());
        held.usable = !entry.leaving && placement::mayOrderModel(agent->account);
    }
    std::erase_if(this->agents, [&present](const auto& item) { return !present.contains(item.first); });
}

void OrderTask::planModels()
{
    auto configuration = this->vm.fleet.configuration();
    auto now = monotonicNow();
    for (const auto& [name, service] : configuration->services) {
        if (!service.engine)
            continue;
        placement::ModelInputs inputs;
        inputs.engine = &*service.engine;
        inputs.now = now;
        inputs.work = this->peers.totalDemand();
        for (const auto& want : this->peers.allWants()) {
            if (want.worker.empty())
                inputs.work[want.model] += 1;
        }
        std::lock_guard lock(this->mutex);
        for (const auto& [id, agent] : this->agents) {
            if (agent->entry.service != name)
                continue;
            auto held = agent->account.held;
            if (!agent->account.synced) {
                for (const auto& model : agent->entry.models)
                    held.models.insert(model.name);
            }
            inputs.workers.push_back(std::move(held));
            if (agent->account.modelOrder && agent->account.modelOrder->fromStore)
                inputs.storeLoadsRunning++;
            if (agent->account.modelOrder || !agent->account.held.reserved.empty())
                inputs.ordersRunning++;
        }
        inputs.storeLoadsAllowed = this->storeRate.allowed(service.engine->storeLoadsPerSecond, now);
        for (int i = 0; i < placement::ordersPerRound; i++) {
            auto order = placement::planModel(inputs);
            if (!order)
                break;
            this->assign(*order);
            auto planned = std::find_if(inputs.workers.begin(), inputs.workers.end(), [&](const auto& worker) { return worker.id == order->worker; });
            *planned = this->agents[order->worker]->account.held;
            planned->usable = false;
            inputs.ordersRunning++;
            inputs.storeLoadsRunning += order->fromStore ? 1 : 0;
            inputs.storeLoadsAllowed -= order->fromStore ? 1 : 0;
        }
    }
}

void OrderTask::assign(const placement::Order& order)
{
    auto& agent = this->agents[order.worker];
    placement::planOrder(agent->account, order);
    if (order.fromStore)
        this->storeRate.noteLoad();
}

void OrderTask::serveWorker(const AgentPtr& agent, const std::vector<Want>& wants)
{
    bool report = false;
    bool order = false;
    {
        std::lock_guard lock(this->mutex);
        report = placement::needsReport(agent->account, monotonicNow());
        order = placement::hasOrderToSend(agent->account);
    }
    if (report)
        this->sync(*agent);
    if (order)
        this->orderModel(*agent);
    this->orderAdapters(*agent, wants);
    std::lock_guard lock(this->mutex);
    agent->working = false;
}

void OrderTask::sync(Agent& agent)
{
    auto askedAt = monotonicNow();
    auto report = platform::fetchReport(this->vm.client, agent.entry);
    std::lock_guard lock(this->mutex);
    if (!report) {
        agent.account.reportFrom = askedAt + placement::busyReportInterval;
        return;
    }
    auto order = agent.account.modelOrder;
    if (!placement::applyReport(agent.account, *report, askedAt))
        return;
    this->announceDue = true;
    this->log.info("event=order_done worker=" + agent.entry.id + " kind=" + (order->kind == placement::OrderKind::Load ? "load" : "unload") + " model=" + order->model);
    this->work.signal();
}

bool OrderTask::send(Agent& agent, const placement::Order& order)
{
    placement::OrderSource source;
    {
        std::lock_guard lock(this->mutex);
        if (!agent.account.synced || !this->mayOrder())
            return false;
        source = { this->vm.settings.node, this->lease.token(), agent.account.ordersAccepted };
    }
    add(this->vm.counters, Event::Orders);
    auto sentAt = monotonicNow();
    auto outcome = platform::sendOrder(this->vm.client, agent.entry, order, source);
    bool load = order.kind == placement::OrderKind::Load;
    bool done = outcome == placement::OrderOutcome::Accepted || outcome == placement::OrderOutcome::AlreadyHolds;
    this->log.info("event=order worker=" + order.worker + " kind=" + (load ? "load" : "unload") + " model=" + order.model + (order.adapter.empty() ? "" : " adapter=" + order.adapter)
        + " reason=" + order.reason + " token=" + std::to_string(source.token) + " accepted_before=" + std::to_string(source.ordersAccepted) + " outcome=" + placement::name(outcome));
    std::lock_guard lock(this->mutex);
    placement::applyOutcome(agent.account, order, outcome, sentAt);
    return done;
}

void OrderTask::orderModel(Agent& agent)
{
    placement::Order order;
    {
        std::lock_guard lock(this->mutex);
        order = *agent.account.modelOrder;
    }
    if (order.kind == placement::OrderKind::Unload) {
        this->announce();
        sleepFor(unloadNotice);
    }
    if (this->send(agent, order))
        return;
    std::lock_guard lock(this->mutex);
    agent.account.modelOrder.reset();
    agent.account.synced = false;
}

void OrderTask::orderAdapters(Agent& agent, const std::vector<Want>& wants)
{
    auto configuration = this->vm.fleet.configuration();
    const auto* engine = engineOf(configuration, agent.entry.service);
    if (engine == nullptr)
        return;
    for (const auto& want : wants) {
        // Room first, if there is none, then the adapter.
        for (int step = 0; step < 2; step++) {
            std::optional<placement::Order> order;
            {
                std::lock_guard lock(this->mutex);
                if (!placement::mayOrderAdapter(agent.account))
                    return;
                order = placement::planAdapter(*engine, agent.account.held, want.model, want.adapter, monotonicNow(), adapterIdle);
            }
            if (!order)
                break;
            this->orderAdapter(agent, *order);
        }
    }
    std::optional<placement::Order> order;
    {
        std::lock_guard lock(this->mutex);
        order = std::exchange(agent.prefetch, std::nullopt);
        bool sound = order && placement::mayOrderAdapter(agent.account) && agent.account.held.models.contains(order->model)
            && !agent.account.held.adapters.contains(order->model + "/" + order->adapter) && agent.account.held.adapters.size() + placement::prefetchFree < engine->adapterSlots;
        // Wants that went before may have taken the place.
        if (!sound)
            return;
    }
    this->orderAdapter(agent, *order);
}

void OrderTask::orderAdapter(Agent& agent, const placement::Order& order)
{
    if (!this->send(agent, order))
        return;
    auto key = order.model + "/" + order.adapter;
    if (order.kind == placement::OrderKind::Unload) {
        this->work.signal();
        return;
    }
    std::lock_guard lock(this->mutex);
    agent.readyAt[key] = monotonicNow() + adapterLoadTime;
    transport::spawnHere([this] {
        sleepFor(adapterLoadTime);
        this->announce();
    });
}
void OrderTask::announce()
{
    std::map<std::string, std::set<std::string>> resident;
    uint64_t token = 0;
    uint64_t offset = 0;
    auto now = monotonicNow();
    {
        std::lock_guard lock(this->mutex);
        if (!this->mayOrder())
            return;
        token = this->lease.token();
        offset = this->lease.seenOffset();
        for (auto& [id, agent] : this->agents) {
            const auto& account = agent->account;
            if (!account.synced)
                continue;
            auto& items = resident[id];
            std::erase_if(agent->readyAt, [now](const auto& item) { return item.second <= now; });
            for (const auto& [adapter, used] : account.held.adapters) {
                if (!agent->readyAt.contains(adapter))
                    items.insert(adapter);
            }
            for (const auto& model : account.held.models) {
                if (!account.modelOrder || account.modelOrder->model != model)
                    items.insert(model);
            }
            for (const auto& model : account.held.unloading)
                items.insert("!" + model);
            if (!placement::mayOrderAdapter(account))
                items.insert(routing::orderingMark);
        }
    }
    this->vm.fleet.applyResident(resident);
    this->peers.setHolding(token, offset, std::move(resident));
}

} // namespace comfreypier::edge
