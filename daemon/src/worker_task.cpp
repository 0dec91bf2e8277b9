#include "worker_task.h"

#include <algorithm>

namespace comfreypier::daemon {

namespace {

    /// Time between the end of one pass over all owned workers and the start of the next.
    constexpr std::chrono::milliseconds roundInterval { 200 };
    /// Time without a reported load after which another copy of the order is created. Also the interval at which unload orders
    /// are repeated.
    constexpr std::chrono::seconds loadResendTimeout { 2 };
    /// Number of active loads in the region up to which a round of a worker starts new ones. Rounds of other workers may start
    /// loads meanwhile, so there can be more.
    constexpr size_t maxConcurrentLoads = 4;

    /// Returns the items that a worker should hold according to the plan, base models first. An item that the configuration no
    /// longer declares is included only while the ledger has a reservation for it.
    std::vector<coordination::DesiredItem> desiredItems(const std::set<protocol::PlanMove>& plan, const std::string& worker, const std::map<std::string, const protocol::ItemSpec*>& specs, const coordination::Worker& ledger)
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

    /// Counts the loads that have been appended to the ledger and have not ended.
    size_t countActiveLoads(const coordination::Workers& workers)
    {
        size_t count = 0;
        for (const auto& [name, worker] : workers)
            for (const auto& [item, reservation] : worker.reservations)
                count += !reservation.loaded && !reservation.unloading;
        return count;
    }

    /// Returns whether the load has changed enough since the last published report to be published again: the number of requests
    /// by an eighth of the slots and at least by one, or a reported time by any amount.
    bool hasLoadChanged(const protocol::EngineReport& previous, const protocol::EngineReport& current)
    {
        auto threshold = std::max<uint32_t>(1, previous.slots / 8);
        auto previousRequests = previous.running + previous.waiting;
        auto currentRequests = current.running + current.waiting;
        auto difference = previousRequests > currentRequests ? previousRequests - currentRequests : currentRequests - previousRequests;
        return difference >= threshold || previous.tokenGap != current.tokenGap || previous.firstTokenTime != current.firstTokenTime;
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
            auto rounds = this->makeRounds();
            // Forgets the progress of workers that this node no longer owns.
            std::erase_if(this->progressByWorker, [&](const auto& entry) {
                return std::none_of(rounds.begin(), rounds.end(), [&](const WorkerRound& round) { return round.name == entry.first; });
            });
            for (auto& round : rounds)
                this->runRound(round);
        }
        sleepFor(roundInterval);
    }
}

std::vector<WorkerTask::WorkerRound> WorkerTask::makeRounds() const
{
    auto deployment = this->node.config.read([](const auto& state) { return state.deployment; });
    std::map<std::string, const protocol::ItemSpec*> specs;
    for (const auto& [name, spec] : deployment.items)
        specs[protocol::itemKey(spec)] = &spec;
    auto own = this->session.current();
    std::vector<WorkerRound> rounds;
    this->node.region.read([&](const coordination::RegionState& state) {
        auto activeLoads = countActiveLoads(state.workers);
        for (const auto& [name, worker] : state.workers) {
            auto endpoint = transport::parseEndpoint(worker.declared.endpoint);
            if (worker.owner != own || !endpoint)
                continue;
            WorkerRound round { name, endpoint.value(), {} };
            round.inputs.desired = desiredItems(state.plan, name, specs, worker);
            for (const auto& [key, spec] : specs)
                round.inputs.declared.insert(key);
            round.inputs.maxLoads = activeLoads < maxConcurrentLoads ? maxConcurrentLoads - activeLoads : 0;
            round.inputs.resendTimeout = loadResendTimeout;
            rounds.push_back(std::move(round));
        }
        return 0;
    });
    return rounds;
}

void WorkerTask::runRound(WorkerRound& round)
{
    auto& progress = this->progressByWorker[round.name];
    auto report = this->node.engines.report(round.endpoint);
    if (report) {
        progress.failedReports = 0;
        this->publishLoad(round, report.value());
        round.inputs.report = &report.value();
    } else
        progress.failedReports++;
    if (*progress.pendingEntries > 0)
        return;
    round.inputs.now = monotonicNow();
    auto orders = this->node.region.read([&](const coordination::RegionState& state) {
        // Numbers of copies have 52 bits, which a JSON number holds exactly even if it is read as a double.
        return coordination::decideOrders(state.workers, round.name, progress.tracker, round.inputs, [] { return protocol::makeRandomId().low >> 12; });
    });
    this->executeOrders(round, orders, progress);
}

void WorkerTask::publishLoad(const WorkerRound& round, const protocol::EngineReport& report)
{
    auto lastPublished = this->publishedReports.find(round.name);
    if (lastPublished != this->publishedReports.end() && !hasLoadChanged(lastPublished->second, report))
        return;
    this->publishedReports[round.name] = report;
    protocol::PeerUpdate update;
    update.key = { protocol::PeerUpdateKind::Worker, round.name };
    update.running = report.running;
    update.waiting = report.waiting;
    update.slots = report.slots;
    update.firstTokenTime = report.firstTokenTime;
    update.tokenGap = report.tokenGap;
    this->gossip.publish(std::move(update));
}

void WorkerTask::executeOrders(const WorkerRound& round, const coordination::OrderRound& orders, WorkerProgress& progress)
{
    for (const auto& entry : orders.append) {
        ++*progress.pendingEntries;
        this->writer.append(entry, [counter = progress.pendingEntries](const state::AppendOutcome&) { --*counter; });
    }
    for (const auto& order : orders.send)
        this->sendOrder(round, order, progress);
}

void WorkerTask::sendOrder(const WorkerRound& round, const protocol::EngineOrder& order, WorkerProgress& progress)
{
    bool isLoad = order.kind == protocol::EngineOrderKind::Load;
    if (!this->session.mayAct()) {
        add(this->node.counters, state::Counter::OrdersWithheld);
        if (isLoad)
            progress.tracker.unsentCopies.insert(order.copy);
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
        progress.tracker.undeliverableCopies.insert(order.copy);
}

} // namespace comfreypier::daemon
