#include "worker_task.h"

#include <algorithm>

namespace comfreypier::daemon {

namespace {

    constexpr std::chrono::milliseconds roundInterval { 200 };
    constexpr std::chrono::seconds resendAfter { 2 };
    /// Loads that one region keeps under way at a time.
    constexpr size_t loadsAtOnce = 4;

    /// Items that a worker is to hold: base models first.
    std::vector<coordination::DesiredItem> wantedItems(const std::set<protocol::PlanMove>& plan, const std::string& worker, const std::map<std::string, const protocol::ItemSpec*>& specs, const coordination::Worker& ledger)
    {
        std::vector<coordination::DesiredItem> models;
        std::vector<coordination::DesiredItem> adapters;
        for (auto entry = plan.lower_bound({ worker, "" }); entry != plan.end() && entry->worker == worker; ++entry) {
            auto spec = specs.find(entry->item);
            auto reservation = ledger.reservations.find(entry->item);
            if (spec != specs.end())
                (spec->second->base.empty() ? models : adapters).push_back({ entry->item, spec->second->bytes });
            else if (reservation != ledger.reservations.end())
                models.push_back({ entry->item, reservation->second.bytes });
        }
        models.insert(models.end(), adapters.begin(), adapters.end());
        return models;
    }

    size_t loadsUnderWay(const coordination::Workers& workers)
    {
        size_t count = 0;
        for (const auto& [name, worker] : workers)
            for (const auto& [item, reservation] : worker.reservations)
                count += !reservation.loaded && !reservation.unloading;
        return count;
    }

    /// Tells whether the load has changed enough to be passed on.
    bool differs(const protocol::EngineReport& a, const protocol::EngineReport& b)
    {
        auto threshold = std::max<uint32_t>(1, a.slots / 8);
        auto busyA = a.running + a.waiting;
        auto busyB = b.running + b.waiting;
        auto difference = busyA > busyB ? busyA - busyB : busyB - busyA;
        return difference >= threshold || a.tokenGap != b.tokenGap || a.firstTokenTime != b.firstTokenTime;
    }

} // namespace

WorkerTask::WorkerTask(Node& node, LogWriter& writer, const SessionKeeper& session, GossipTask& gossip)
    : node(node)
    , writer(writer)
    , session(session)
    , gossip(gossip)
{
}

void WorkerTask::run()
{
    while (!this->node.lifecycle.stopping) {
        if (this->node.lifecycle.caughtUp) {
            auto rounds = this->ownedWorkers();
            std::erase_if(this->progress, [&](const auto& entry) {
                return std::none_of(rounds.begin(), rounds.end(), [&](const WorkerRound& round) { return round.name == entry.first; });
            });
            for (auto& round : rounds)
                this->runRound(round);
        }
        sleepFor(roundInterval);
    }
}

std::vector<WorkerTask::WorkerRound> WorkerTask::ownedWorkers() const
{
    auto deployment = this->node.config.read([](const auto& state) { return state.deployment; });
    std::map<std::string, const protocol::ItemSpec*> specs;
    for (const auto& [name, spec] : deployment.items)
        specs[protocol::itemKey(spec)] = &spec;
    auto own = this->session.current();
    std::vector<WorkerRound> rounds;
    this->node.region.read([&](const coordination::RegionState& state) {
        auto underWay = loadsUnderWay(state.workers);
        for (const auto& [name, worker] : state.workers) {
            auto endpoint = transport::parseEndpoint(worker.declared.endpoint);
            if (worker.owner != own || !endpoint)
                continue;
            WorkerRound round { name, endpoint.value(), {} };
            round.inputs.desired = wantedItems(state.plan, name, specs, worker);
            for (const auto& [key, spec] : specs)
                round.inputs.declared.insert(key);
            round.inputs.maxLoads = underWay < loadsAtOnce ? loadsAtOnce - underWay : 0;
            round.inputs.resendTimeout = resendAfter;
            rounds.push_back(std::move(round));
        }
        return 0;
    });
    return rounds;
}

void WorkerTask::runRound(WorkerRound& round)
{
    auto& current = this->progress[round.name];
    auto report = this->node.engines.report(round.endpoint);
    if (report) {
        current.failedReports = 0;
        this->publishLoad(round, report.value());
        round.inputs.report = &report.value();
    } else
        current.failedReports++;
    if (*current.openEntries > 0)
        return;
    round.inputs.now = monotonicNow();
    auto orders = this->node.region.read([&](const coordination::RegionState& state) {
        return coordination::decideOrders(state.workers, round.name, current.memory, round.inputs, [] { return protocol::makeRecordId().low >> 12; });
    });
    this->carryOut(round, orders, current);
}

void WorkerTask::publishLoad(const WorkerRound& round, const protocol::EngineReport& report)
{
    auto known = this->published.find(round.name);
    if (known != this->published.end() && !differs(known->second, report))
        return;
    this->published[round.name] = report;
    protocol::News news;
    news.key = { protocol::NewsKind::Worker, round.name };
    news.running = report.running;
    news.waiting = report.waiting;
    news.slots = report.slots;
    news.firstTokenTime = report.firstTokenTime;
    news.tokenGap = report.tokenGap;
    this->gossip.publish(std::move(news));
}

void WorkerTask::carryOut(const WorkerRound& round, const coordination::OrderRound& orders, Progress& current)
{
    for (const auto& entry : orders.append) {
        ++*current.openEntries;
        this->writer.append(entry, [open = current.openEntries](const state::AppendOutcome&) { --*open; });
    }
    for (const auto& order : orders.send)
        this->send(round, order, current);
}

void WorkerTask::send(const WorkerRound& round, const protocol::EngineOrder& order, Progress& current)
{
    bool isLoad = order.kind == protocol::EngineOrderKind::Load;
    if (!this->session.mayAct()) {
        add(this->node.counters, state::Counter::OrdersWithheld);
        if (isLoad)
            current.memory.unsentCopies.insert(order.copy);
        return;
    }
    add(this->node.counters, state::Counter::OrdersSent);
    this->log.info((isLoad ? "load " : "unload ") + order.item + " on " + round.name);
    auto outcome = this->node.engines.order(round.endpoint, order);
    if (outcome == protocol::OrderOutcome::StaleFence)
        add(this->node.counters, state::Counter::OrdersStale);
    if (outcome == protocol::OrderOutcome::Unknown)
        add(this->node.counters, state::Counter::OrdersUnanswered);
    bool cannotArrive = outcome == protocol::OrderOutcome::StaleFence || outcome == protocol::OrderOutcome::NotSent;
    if (isLoad && cannotArrive)
        current.memory.undeliverableCopies.insert(order.copy);
}

} // namespace comfreypier::daemon
