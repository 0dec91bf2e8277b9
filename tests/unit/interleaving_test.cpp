/// Simulates several nodes, their engines and one log under random interleavings of steps and faults, and asserts the
/// safety properties:
/// - when an expiry takes effect, the holder of the session has stopped acting;
/// - engine memory is never overcommitted;
/// - a request with an idempotency key runs at most once;
/// - all nodes that have read the whole log have the same state.
#include <criterion/criterion.h>
#include <rapidcheck.h>
#include <state/state.h>

using namespace comfreypier;
using namespace comfreypier::coordination;
using namespace comfreypier::protocol;
using state::AppendOutcome;
using state::AppendQueue;

namespace {

using std::chrono::milliseconds;

constexpr size_t nodeCount = 3;
/// Memory of each simulated engine, in bytes.
constexpr uint64_t engineCapacity = 10;
constexpr milliseconds ttl { 2000 }; ///< Time without a renewal after which the other nodes expire a session.
constexpr milliseconds margin { 500 }; ///< `Lease::margin` of all nodes.
const std::vector<std::string> workerNames { "w0", "w1" };
/// Items and their sizes in bytes. An engine can hold the first with either of the others, but not the last two together.
const std::vector<DesiredItem> catalogue { { "a@1", 4 }, { "b@1", 5 }, { "c@1", 6 } };

/// Kind of a simulation step: an action of a node, an event in the network or a fault.
enum class Step {
    Advance, ///< Time passes.
    Read, ///< A node reads the log to its end.
    Append, ///< A node appends its next record, with or without success.
    MaintainSession, ///< A node opens or renews its session and expires others.
    DecideOrders,
    SendOrder,
    DeliverOrder,
    DropOrder, ///< An order is lost on its way.
    FinishLoad, ///< An engine finishes all of its loads.
    CrashEngine,
    CrashNode, ///< A new node without any state takes the place of a node.
    ChangePlan,
    Request, ///< A node receives a request with an idempotency key.
    RefuseRequest, ///< A node gives up a request before the verdict on its begin is known.
    RunAction, ///< A node runs the requests whose begin was accepted.
    CompleteLateAppend, ///< A record reaches the log after its append failed at the node.
    FaultFreeRound, ///< One complete round of a healthy node, without faults.
    Count
};

struct StepInput {
    Step step = Step::Advance;
    size_t node = 0; ///< Index of the node that takes the step, if one does.
    uint32_t argument = 0; ///< Random number from which the step derives its choices.
};

std::ostream& operator<<(std::ostream& out, const StepInput& input)
{
    return out << "{" << static_cast<int>(input.step) << "," << input.node << "," << input.argument << "}";
}

struct FakeEngine {
    uint64_t incarnation = 1;
    uint64_t highestFence = 0; ///< Highest fencing number of an order that arrived.
    bool checksFencing = false; ///< Refuses orders with a fencing number below `highestFence`.
    std::map<std::string, std::pair<uint64_t, bool>> items; ///< Size in bytes and whether the item is loaded, by item key.
    std::vector<uint64_t> arrivedCopies;

    uint64_t usedBytes() const
    {
        uint64_t total = 0;
        for (const auto& [name, item] : this->items)
            total += item.first;
        return total;
    }

    EngineReport report() const
    {
        EngineReport report;
        report.incarnation = this->incarnation;
        report.arrivedCopies = this->arrivedCopies;
        for (const auto& [name, item] : this->items)
            report.items.push_back({ name, item.second });
        return report;
    }
};

/// An order on its way from a node to an engine.
struct OrderInFlight {
    std::string worker;
    EngineOrder order;
    uint64_t incarnation = 0; ///< Incarnation at the time of sending. The order is lost if the engine restarts.
};

/// One attempt of a node to run a request with an idempotency key.
struct Attempt {
    ActionKey key;
    uint64_t token = 0; ///< Token of the attempt's `ActionBegin`.
    state::PendingEntryPtr pending; ///< The queued `ActionBegin`.
    std::shared_ptr<std::optional<AppendOutcome>> outcome; ///< Outcome of the `ActionBegin`; empty until it was read back.
    bool finished = false; ///< The request was run, refused or rejected.
};

/// One node. All of its times are readings of its own clock.
struct SimNode {
    /// @param clockRate speed of this node's clock relative to simulated time.
    SimNode(uint64_t writer, double clockRate)
        : writer(writer)
        , clockRate(clockRate)
        , queue(std::make_unique<AppendQueue>(writer))
    {
    }
    uint64_t writer;
    double clockRate;
    std::unique_ptr<AppendQueue> queue;
    RegionState state; ///< Result of the records that this node has read.
    Lease lease;
    ViewWatch watch;
    bool openingSession = false; ///< A `SessionOpen` was queued and not read back yet.
    bool appendFailed = false; ///< An append has failed since the previous `maintainSession`.
    Time caughtUpAt { 0 }; ///< Start of the newest read, each of which reaches the end of the log.
    Time renewalQueuedAt { 0 };
    std::optional<Envelope> unresolved; ///< Record that was appended without an answer.
    Time unresolvedSince { 0 }; ///< Time of the last attempt to append `unresolved`.
    std::map<RecordId, Time> appendStarts; ///< Start of the first attempt to append each record.
    std::map<std::string, OrderTracker> trackers; ///< By worker.
    std::map<std::string, int> openEntries; ///< Number of ledger entries without a verdict, by worker.
    std::vector<OrderInFlight> unsentOrders; ///< Orders that were decided but not sent yet.
    std::vector<Attempt> attempts;
};

/// The nodes, the engines, the network between them, and the log.
class World {
public:
    explicit World(bool checksFencing)
    {
        for (const auto& name : workerNames)
            this->engines[name].checksFencing = checksFencing;
        for (size_t i = 0; i < nodeCount; i++)
            this->nodes.push_back(this->makeNode());
    }

    /// Runs one step. Some faults happen only for some arguments, which makes them rarer than their steps.
    void run(const StepInput& input)
    {
        auto& node = *this->nodes[input.node % nodeCount];
        auto argument = input.argument;
        switch (input.step) {
        case Step::Advance:
            this->now += milliseconds { argument % 700 };
            break;
        case Step::Read:
            this->read(node);
            break;
        case Step::Append:
            this->append(node, argument % 8);
            break;
        case Step::MaintainSession:
            this->maintainSession(node);
            break;
        case Step::DecideOrders:
            // One in three decisions may use an older report. The shift makes the choice independent of the worker's.
            this->decide(node, workerNames[argument % workerNames.size()], (argument >> 4) % 3 == 0);
            break;
        case Step::SendOrder:
            this->send(node);
            break;
        case Step::DeliverOrder:
            this->deliver(argument);
            break;
        case Step::DropOrder:
            if (argument % 4 == 0 && !this->network.empty())
                this->network.erase(this->network.begin() + static_cast<long>(argument % this->network.size()));
            break;
        case Step::FinishLoad:
            for (auto& [name, item] : this->engines[workerNames[argument % workerNames.size()]].items)
                item.second = true;
            break;
        case Step::CrashEngine:
            if (argument % 16 == 0)
                this->crashEngine(workerNames[argument / 16 % workerNames.size()]);
            break;
        case Step::CrashNode:
            if (argument % 16 == 0)
                this->nodes[input.node % nodeCount] = this->makeNode();
            break;
        case Step::ChangePlan:
            this->changePlan(node, argument);
            break;
        case Step::Request:
            this->request(node, { 1, argument % 3 });
            break;
        case Step::RefuseRequest:
            this->refuseRequest(node, argument);
            break;
        case Step::RunAction:
            this->runActions(node);
            break;
        case Step::CompleteLateAppend:
            if (!this->lateAppends.empty()) {
                this->appendToLog(this->lateAppends.front());
                this->lateAppends.erase(this->lateAppends.begin());
            }
            break;
        case Step::FaultFreeRound:
            this->runFaultFreeRound(node);
            break;
        default:
            break;
        }
    }

    /// Lets every node read the whole log, then asserts that all replicas equal the reference state.
    void checkReplicas()
    {
        for (auto& node : this->nodes) {
            this->read(*node);
            RC_ASSERT(encodeSnapshot(makeSnapshot(node->state)) == encodeSnapshot(makeSnapshot(this->referenceState)));
        }
    }

private:
    /// Creates a node with a new writer number. Clock rates differ by less than the lease margin allows.
    std::unique_ptr<SimNode> makeNode()
    {
        constexpr std::array<double, 3> rates { 1.0, 1.12, 0.88 };
        auto writer = this->nextWriter++;
        return std::make_unique<SimNode>(writer, rates[writer % rates.size()]);
    }

    /// Returns the reading of the node's own monotonic clock.
    Time localTime(const SimNode& node) const
    {
        return Time { static_cast<int64_t>(static_cast<double>(this->now.count()) * node.clockRate) };
    }

    /// Appends a record to the log and checks every expiry that takes effect.
    void appendToLog(const Envelope& envelope)
    {
        auto offset = this->records.size();
        this->records.push_back(envelope);
        auto sessionsBefore = this->referenceState.sessions;
        auto verdicts = applyRegionRecord(this->referenceState, offset, envelope);
        for (size_t i = 0; i < verdicts.size(); i++) {
            const auto* expire = std::get_if<SessionExpire>(&envelope.entries[i]);
            if (expire && verdicts[i] == Verdict::Applied)
                this->checkHolderStopped(expire->session);
        }
    }

    /// Asserts that the node which holds the session, unless it has crashed, may no longer act.
    void checkHolderStopped(SessionId session) const
    {
        for (const auto& node : this->nodes) {
            if (node->lease.session == session)
                RC_ASSERT(!mayAct(node->lease, this->localTime(*node)));
        }
    }

    /// Lets a node read the log to its end: updates its state, extends its lease by its own records, and delivers their verdicts.
    void read(SimNode& node)
    {
        auto start = this->localTime(node);
        while (node.state.next < this->records.size()) {
            auto offset = node.state.next;
            const auto& envelope = this->records[offset];
            auto verdicts = applyRegionRecord(node.state, offset, envelope);
            auto appendStart = node.appendStarts.find(envelope.id);
            bool isOwn = envelope.id.high == node.writer && appendStart != node.appendStarts.end();
            if (isOwn && envelope.session == node.lease.session && node.state.sessions.contains(envelope.session))
                node.lease.confirmedStart = std::max(node.lease.confirmedStart, appendStart->second);
            node.queue->confirm(offset, envelope, verdicts);
        }
        node.caughtUpAt = start;
    }

    /// Appends the next record. Outcomes: 0 lost before it reached the log, 1 appended with the answer lost, 2 appended late,
    /// 3 refused, others successful.
    void append(SimNode& node, uint32_t outcome)
    {
        auto envelope = this->nextRecord(node);
        if (!envelope)
            return;
        node.appendStarts.try_emplace(envelope->id, this->localTime(node));
        node.appendFailed = node.appendFailed || outcome <= 3;
        if (outcome == 3) {
            node.queue->requeue(envelope->id);
            node.unresolved.reset();
            return;
        }
        if (outcome == 2)
            this->lateAppends.push_back(*envelope);
        else if (outcome != 0)
            this->appendToLog(*envelope);
        node.unresolved.reset();
        if (outcome <= 2) {
            node.unresolved = envelope;
            node.unresolvedSince = this->localTime(node);
        }
    }

    /// Returns the record to append. A record with an unknown outcome is appended again only after the log was read to its end.
    std::optional<Envelope> nextRecord(SimNode& node) const
    {
        if (node.unresolved && node.queue->isConfirmed(node.unresolved->id))
            node.unresolved.reset();
        if (!node.unresolved)
            return node.queue->buildRecord(node.lease.session);
        if (node.caughtUpAt <= node.unresolvedSince)
            return std::nullopt;
        return node.unresolved;
    }

    /// Opens a session if the node has none. Otherwise renews it every third of the TTL, expires sessions that were silent for
    /// their TTL, and declares the workers that are not in the log.
    void maintainSession(SimNode& node)
    {
        if (!node.state.sessions.contains(node.lease.session)) {
            this->openSession(node);
            return;
        }
        if (this->localTime(node) - node.lease.confirmedStart > ttl / 3 && this->localTime(node) - node.renewalQueuedAt > ttl / 3) {
            node.renewalQueuedAt = this->localTime(node);
            node.queue->add(SessionRenew {});
        }
        bool readable = !node.appendFailed;
        node.appendFailed = false;
        for (const auto& expire : updateViewWatch(node.watch, node.state.sessions, node.caughtUpAt, readable)) {
            if (expire.session != node.lease.session)
                node.queue->add(expire);
        }
        for (const auto& name : workerNames) {
            if (!node.state.workers.contains(name))
                node.queue->add(WorkerDeclared { name, "e", "dc", engineCapacity, this->engines[name].incarnation });
        }
    }

    void runFaultFreeRound(SimNode& node)
    {
        constexpr uint32_t successfulAppend = 7; // Outcome for `append`.
        this->now += milliseconds { 20 };
        this->read(node);
        this->maintainSession(node);
        for (const auto& name : workerNames)
            this->decide(node, name, false);
        this->append(node, successfulAppend);
        this->read(node);
    }

    /// Queues a `SessionOpen`, unless one is queued already. The lease starts when it is read back.
    void openSession(SimNode& node)
    {
        if (std::exchange(node.openingSession, true))
            return;
        auto name = "n" + std::to_string(node.writer % nodeCount);
        node.queue->add(SessionOpen { name, "h", "r", "dc", ttl }, [&node](const AppendOutcome& outcome) {
            node.lease = { outcome.offset, node.appendStarts.at(outcome.record), ttl, margin };
            node.openingSession = false;
        });
    }

    /// Decides the orders for a worker and queues the ledger entries, if the node owns the worker and has read back the verdicts
    /// on its earlier entries.
    void decide(SimNode& node, const std::string& name, bool useOlderReport)
    {
        auto worker = node.state.workers.find(name);
        if (worker == node.state.workers.end() || worker->second.owner != node.lease.session || node.openEntries[name] > 0)
            return;
        auto report = this->fetchReport(name, useOlderReport);
        OrderInputs inputs;
        // Only the first item is declared, so that the last copies of the others may be unloaded.
        inputs.declared.insert(catalogue[0].item);
        for (const auto& desired : catalogue) {
            if (node.state.plan.contains({ name, desired.item }))
                inputs.desired.push_back(desired);
        }
        inputs.report = &report;
        inputs.now = this->localTime(node);
        inputs.resendTimeout = milliseconds { 300 };
        inputs.maxLoads = 4;
        auto round = decideOrders(node.state.workers, name, node.trackers[name], inputs, [this] { return this->nextUniqueNumber++; });
        for (const auto& entry : round.append) {
            node.openEntries[name]++;
            node.queue->add(entry, [&node, name](const AppendOutcome&) { node.openEntries[name]--; });
        }
        for (const auto& order : round.send)
            node.unsentOrders.push_back({ name, order, this->engines[name].incarnation });
    }

    /// Returns the current report or an older one: reports lag by a varying time and may arrive out of order. The older report is
    /// replaced only by some calls, so that its age varies.
    EngineReport fetchReport(const std::string& name, bool useOlderReport)
    {
        auto& older = this->olderReports[name];
        auto current = this->engines[name].report();
        if (useOlderReport && older.incarnation == current.incarnation)
            return older;
        if (this->nextUniqueNumber % 3 == 0 || older.incarnation != current.incarnation)
            older = current;
        return current;
    }

    /// Sends the order that was decided first, if the lease allows it. Otherwise drops it; the copy of a load order stays unsent.
    void send(SimNode& node)
    {
        if (node.unsentOrders.empty())
            return;
        auto order = node.unsentOrders.front();
        node.unsentOrders.erase(node.unsentOrders.begin());
        if (mayAct(node.lease, this->localTime(node)))
            this->network.push_back(order);
        else if (order.order.kind == EngineOrderKind::Load)
            node.trackers[order.worker].unsentCopies.insert(order.order.copy);
    }

    /// Delivers one of the orders on their way, which need not be the oldest, and asserts that the engine's memory suffices.
    void deliver(uint32_t argument)
    {
        if (this->network.empty())
            return;
        auto index = argument % this->network.size();
        auto delivered = this->network[index];
        this->network.erase(this->network.begin() + static_cast<long>(index));
        auto& engine = this->engines[delivered.worker];
        if (delivered.incarnation != engine.incarnation || (engine.checksFencing && delivered.order.fence < engine.highestFence))
            return;
        engine.highestFence = std::max(engine.highestFence, delivered.order.fence);
        if (delivered.order.kind == EngineOrderKind::Unload) {
            engine.items.erase(delivered.order.item);
            return;
        }
        engine.arrivedCopies.push_back(delivered.order.copy);
        if (!engine.items.contains(delivered.order.item))
            engine.items[delivered.order.item] = { delivered.order.bytes, false };
        RC_ASSERT(engine.usedBytes() <= engineCapacity);
    }

    /// Restarts an engine, which loses its items.
    void crashEngine(const std::string& name)
    {
        auto& engine = this->engines[name];
        engine.incarnation++;
        engine.items.clear();
        engine.arrivedCopies.clear();
        engine.highestFence = 0;
    }

    /// Queues a change that adds an item to a worker's plan, or drops it if it is there.
    void changePlan(SimNode& node, uint32_t argument) const
    {
        PlanMove move { workerNames[argument % workerNames.size()], catalogue[argument / 2 % catalogue.size()].item };
        PlanChange change;
        (node.state.plan.contains(move) ? change.drops : change.adds).push_back(move);
        node.queue->add(change);
    }

    /// Receives a request and queues its begin, unless the key is in use or the node has no session. All requests have the same
    /// hash, 1, so that a retry never looks like a different request.
    void request(SimNode& node, const ActionKey& key)
    {
        bool keyIsFree = checkIdempotencyKey(node.state.actions, node.state.sessions, key, 1) == IdempotencyDecision::Run;
        if (!keyIsFree || node.lease.session == invalidOffset)
            return;
        Attempt attempt { key, this->nextUniqueNumber++, nullptr, std::make_shared<std::optional<AppendOutcome>>(), false };
        attempt.pending = node.queue->add(ActionBegin { key, 1, attempt.token }, [outcome = attempt.outcome](const AppendOutcome& result) { *outcome = result; });
        node.attempts.push_back(attempt);
    }

    /// Answers the caller with `not_run` before the verdict on the begin is known, and cancels or voids the begin.
    void refuseRequest(SimNode& node, uint32_t argument) const
    {
        if (node.attempts.empty())
            return;
        auto& attempt = node.attempts[argument % node.attempts.size()];
        if (attempt.finished || *attempt.outcome)
            return;
        attempt.finished = true;
        if (!node.queue->cancel(attempt.pending))
            node.queue->add(ActionVoid { attempt.key, attempt.token });
    }

    /// Runs each request whose begin was applied, and asserts that no key has run before on any node.
    void runActions(SimNode& node)
    {
        for (auto& attempt : node.attempts) {
            if (attempt.finished || !*attempt.outcome)
                continue;
            attempt.finished = true;
            if ((*attempt.outcome)->verdict != Verdict::Applied)
                continue;
            this->runs[attempt.key]++;
            RC_ASSERT(this->runs[attempt.key] <= 1);
            node.queue->add(ActionEnd { attempt.key, attempt.token, 200, "", "", true });
        }
    }

    Time now { milliseconds { 1000 } }; ///< Simulated time, from which the clocks of the nodes derive.
    uint64_t nextWriter = 1;
    uint64_t nextUniqueNumber = 1; ///< Source of copy numbers and action tokens.
    std::vector<std::unique_ptr<SimNode>> nodes;
    std::vector<Envelope> records; ///< The log. The index of a record is its offset.
    std::vector<Envelope> lateAppends; ///< Records that have not reached the log yet.
    RegionState referenceState; ///< Result of applying every record as it reaches the log.
    std::map<std::string, FakeEngine> engines;
    std::map<std::string, EngineReport> olderReports; ///< By worker; see `fetchReport`.
    std::vector<OrderInFlight> network; ///< Orders that were sent but not delivered yet.
    std::map<ActionKey, int> runs; ///< Number of runs of each key.
};

/// Generates steps, up to 8 times as many as RapidCheck's size for a case. The weights favour regular operation, so that orders
/// and actions actually take place.
rc::Gen<std::vector<StepInput>> genSteps()
{
    auto step = rc::gen::weightedElement<Step>({ { 6, Step::Advance }, { 14, Step::Read }, { 14, Step::Append }, { 10, Step::MaintainSession }, { 12, Step::DecideOrders },
        { 10, Step::SendOrder }, { 8, Step::DeliverOrder }, { 2, Step::DropOrder }, { 4, Step::FinishLoad }, { 2, Step::CrashEngine }, { 2, Step::CrashNode },
        { 4, Step::ChangePlan }, { 4, Step::Request }, { 3, Step::RefuseRequest }, { 4, Step::RunAction }, { 3, Step::CompleteLateAppend }, { 30, Step::FaultFreeRound } });
    auto input = rc::gen::map(rc::gen::tuple(step, rc::gen::inRange<size_t>(0, nodeCount), rc::gen::inRange<uint32_t>(0, 4096)),
        [](const auto& t) { return StepInput { std::get<0>(t), std::get<1>(t), std::get<2>(t) }; });
    return rc::gen::scale(8, rc::gen::container<std::vector<StepInput>>(input));
}

/// Runs one random sequence of steps, then compares the replicas.
void runWorld(bool enginesCheckFencing)
{
    auto steps = *genSteps();
    World world(enginesCheckFencing);
    for (const auto& step : steps)
        world.run(step);
    world.checkReplicas();
}

} // namespace

Test(interleavings, safety_holds_with_engines_that_check_fencing_numbers)
{
    cr_assert(rc::check("fencing honoured", [] { runWorld(true); }));
}

/// Guards against safety that depends on the engines' check of fencing numbers.
Test(interleavings, safety_holds_with_engines_that_ignore_fencing_numbers)
{
    cr_assert(rc::check("fencing ignored", [] { runWorld(false); }));
}
