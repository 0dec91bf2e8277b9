/// Random interleavings of several nodes' decisions over one fake log, with the brief's properties as assertions.
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
constexpr uint64_t engineCapacity = 10;
constexpr milliseconds ttl { 2000 };
constexpr milliseconds margin { 500 };
const std::vector<std::string> workerNames { "w0", "w1" };
const std::vector<DesiredItem> catalogue { { "a@1", 4 }, { "b@1", 5 }, { "c@1", 6 } };

/// What a step does. The names tell the events of the brief.
enum class Step {
    Advance,
    Read,
    Append,
    KeepSession,
    DecideOrders,
    SendOrder,
    DeliverOrder,
    DropOrder,
    FinishLoad,
    CrashEngine,
    CrashNode,
    ChangePlan,
    Request,
    GiveUpRequest,
    RunAction,
    LandLateAppend,
    GoodRound, ///< What a healthy node does between two events.
    Count
};

struct StepInput {
    Step step = Step::Advance;
    size_t node = 0;
    uint32_t argument = 0;
};

std::ostream& operator<<(std::ostream& out, const StepInput& input)
{
    return out << "{" << static_cast<int>(input.step) << "," << input.node << "," << input.argument << "}";
}

struct FakeEngine {
    uint64_t incarnation = 1;
    uint64_t newestFence = 0;
    bool fencing = false;
    std::map<std::string, std::pair<uint64_t, bool>> items; ///< Bytes and whether loaded.
    std::vector<uint64_t> arrived;

    uint64_t used() const
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
        report.arrivedCopies = this->arrived;
        for (const auto& [name, item] : this->items)
            report.items.push_back({ name, item.second });
        return report;
    }
};

struct OrderInFlight {
    std::string worker;
    EngineOrder order;
    uint64_t incarnation = 0; ///< The connection dies with the engine.
};

/// One request with an idempotency key at one node.
struct Attempt {
    ActionKey key;
    uint64_t token = 0;
    state::PendingEntryPtr pending;
    std::shared_ptr<std::optional<AppendOutcome>> outcome;
    bool over = false;
};

struct SimNode {
    /// @param rate speed of this node's clock.
    SimNode(uint64_t writer, double rate)
        : writer(writer)
        , rate(rate)
        , queue(std::make_unique<AppendQueue>(writer))
    {
    }
    uint64_t writer;
    double rate;
    std::unique_ptr<AppendQueue> queue;
    RegionState state;
    Lease lease;
    ViewWatch watch;
    bool opening = false;
    bool appendFailed = false;
    Time caughtUpAt { 0 };
    Time renewalAsked { 0 };
    std::optional<Envelope> unresolved; ///< Appended without an answer.
    Time unresolvedSince { 0 };
    std::map<RecordId, Time> starts;
    std::map<std::string, OrderTracker> memory;
    std::map<std::string, int> openEntries;
    std::vector<OrderInFlight> hand; ///< Orders decided and not sent yet.
    std::vector<Attempt> attempts;
};

class World {
public:
    explicit World(bool fencing)
    {
        for (const auto& name : workerNames)
            this->engines[name].fencing = fencing;
        for (size_t i = 0; i < nodeCount; i++)
            this->nodes.push_back(this->makeNode());
    }

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
        case Step::KeepSession:
            this->keepSession(node);
            break;
        case Step::DecideOrders:
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
        case Step::GiveUpRequest:
            this->giveUp(node, argument);
            break;
        case Step::RunAction:
            this->runActions(node);
            break;
        case Step::LandLateAppend:
            if (!this->lateAppends.empty()) {
                this->land(this->lateAppends.front());
                this->lateAppends.erase(this->lateAppends.begin());
            }
            break;
        case Step::GoodRound:
            this->goodRound(node);
            break;
        default:
            break;
        }
    }

    /// Lets everything come to rest, then compares the replicas.
    void settle()
    {
        for (auto& node : this->nodes) {
            this->read(*node);
            RC_ASSERT(encodeSnapshot(makeSnapshot(node->state)) == encodeSnapshot(makeSnapshot(this->oracle)));
        }
    }

private:
    /// Clocks run apart by less than the margin allows.
    std::unique_ptr<SimNode> makeNode()
    {
        constexpr std::array<double, 3> rates { 1.0, 1.12, 0.88 };
        auto writer = this->nextWriter++;
        return std::make_unique<SimNode>(writer, rates[writer % rates.size()]);
    }

    /// Monotonic time on the node's own clock.
    Time clock(const SimNode& node) const
    {
        return Time { static_cast<int64_t>(static_cast<double>(this->now.count()) * node.rate) };
    }

    /// A record reaches the log.
    void land(const Envelope& envelope)
    {
        auto offset = this->records.size();
        this->records.push_back(envelope);
        auto before = this->oracle.sessions;
        auto verdicts = applyRegionRecord(this->oracle, offset, envelope);
        for (size_t i = 0; i < verdicts.size(); i++) {
            const auto* expire = std::get_if<SessionExpire>(&envelope.entries[i]);
            if (expire && verdicts[i] == Verdict::Applied)
                this->checkHolderStopped(expire->session);
        }
    }

    void checkHolderStopped(SessionId session) const
    {
        for (const auto& node : this->nodes) {
            if (node->lease.session == session)
                RC_ASSERT(!mayAct(node->lease, this->clock(*node)));
        }
    }

    void read(SimNode& node)
    {
        auto start = this->clock(node);
        while (node.state.next < this->records.size()) {
            auto offset = node.state.next;
            const auto& envelope = this->records[offset];
            auto verdicts = applyRegionRecord(node.state, offset, envelope);
            auto began = node.starts.find(envelope.id);
            bool own = envelope.id.high == node.writer && began != node.starts.end();
            if (own && envelope.session == node.lease.session && node.state.sessions.contains(envelope.session))
                node.lease.confirmedStart = std::max(node.lease.confirmedStart, began->second);
            node.queue->confirm(offset, envelope, verdicts);
        }
        node.caughtUpAt = start;
    }

    /// Outcomes: 0 lost before it landed, 1 landed with the answer lost, 2 lands late, 3 refused, others are good.
    void append(SimNode& node, uint32_t outcome)
    {
        auto envelope = this->nextRecord(node);
        if (!envelope)
            return;
        node.starts.try_emplace(envelope->id, this->clock(node));
        node.appendFailed = node.appendFailed || outcome <= 3;
        if (outcome == 3) {
            node.queue->requeue(envelope->id);
            node.unresolved.reset();
            return;
        }
        if (outcome == 2)
            this->lateAppends.push_back(*envelope);
        else if (outcome != 0)
            this->land(*envelope);
        node.unresolved.reset();
        if (outcome <= 2) {
            node.unresolved = envelope;
            node.unresolvedSince = this->clock(node);
        }
    }

    /// A record whose fate is open is appended again only after the log was read to its end.
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

    void keepSession(SimNode& node)
    {
        if (!node.state.sessions.contains(node.lease.session)) {
            this->openSession(node);
            return;
        }
        if (this->clock(node) - node.lease.confirmedStart > ttl / 3 && this->clock(node) - node.renewalAsked > ttl / 3) {
            node.renewalAsked = this->clock(node);
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

    void goodRound(SimNode& node)
    {
        constexpr uint32_t goodAppend = 7;
        this->now += milliseconds { 20 };
        this->read(node);
        this->keepSession(node);
        for (const auto& name : workerNames)
            this->decide(node, name, false);
        this->append(node, goodAppend);
        this->read(node);
    }

    void openSession(SimNode& node)
    {
        if (std::exchange(node.opening, true))
            return;
        auto name = "n" + std::to_string(node.writer % nodeCount);
        node.queue->add(SessionOpen { name, "h", "r", "dc", ttl }, [&node](const AppendOutcome& outcome) {
            node.lease = { outcome.offset, node.starts.at(outcome.record), ttl, margin };
            node.opening = false;
        });
    }

    void decide(SimNode& node, const std::string& name, bool lagging)
    {
        auto worker = node.state.workers.find(name);
        if (worker == node.state.workers.end() || worker->second.owner != node.lease.session || node.openEntries[name] > 0)
            return;
        auto report = this->reportOf(name, lagging);
        OrderInputs inputs;
        inputs.declared.insert(catalogue[0].item);
        for (const auto& wanted : catalogue) {
            if (node.state.plan.contains({ name, wanted.item }))
                inputs.desired.push_back(wanted);
        }
        inputs.report = &report;
        inputs.now = this->clock(node);
        inputs.resendTimeout = milliseconds { 300 };
        inputs.maxLoads = 4;
        auto round = decideOrders(node.state.workers, name, node.memory[name], inputs, [this] { return this->nextCopy++; });
        for (const auto& entry : round.append) {
            node.openEntries[name]++;
            node.queue->add(entry, [&node, name](const AppendOutcome&) { node.openEntries[name]--; });
        }
        for (const auto& order : round.send)
            node.hand.push_back({ name, order, this->engines[name].incarnation });
    }

    /// Reports lag by a varying time: an older one may be shown after a newer one.
    EngineReport reportOf(const std::string& name, bool lagging)
    {
        auto& older = this->olderReports[name];
        auto current = this->engines[name].report();
        if (lagging && older.incarnation == current.incarnation)
            return older;
        if (this->nextCopy % 3 == 0 || older.incarnation != current.incarnation)
            older = current;
        return current;
    }

    void send(SimNode& node)
    {
        if (node.hand.empty())
            return;
        auto order = node.hand.front();
        node.hand.erase(node.hand.begin());
        if (mayAct(node.lease, this->clock(node)))
            this->network.push_back(order);
        else if (order.order.kind == EngineOrderKind::Load)
            node.memory[order.worker].unsentCopies.insert(order.order.copy);
    }

    void deliver(uint32_t argument)
    {
        if (this->network.empty())
            return;
        auto index = argument % this->network.size();
        auto delivered = this->network[index];
        this->network.erase(this->network.begin() + static_cast<long>(index));
        auto& engine = this->engines[delivered.worker];
        if (delivered.incarnation != engine.incarnation || (engine.fencing && delivered.order.fence < engine.newestFence))
            return;
        engine.newestFence = std::max(engine.newestFence, delivered.order.fence);
        if (delivered.order.kind == EngineOrderKind::Unload) {
            engine.items.erase(delivered.order.item);
            return;
        }
        engine.arrived.push_back(delivered.order.copy);
        if (!engine.items.contains(delivered.order.item))
            engine.items[delivered.order.item] = { delivered.order.bytes, false };
        RC_ASSERT(engine.used() <= engineCapacity);
    }

    void crashEngine(const std::string& name)
    {
        auto& engine = this->engines[name];
        engine.incarnation++;
        engine.items.clear();
        engine.arrived.clear();
        engine.newestFence = 0;
    }

    void changePlan(SimNode& node, uint32_t argument) const
    {
        PlanMove move { workerNames[argument % workerNames.size()], catalogue[argument / 2 % catalogue.size()].item };
        PlanChange change;
        (node.state.plan.contains(move) ? change.drops : change.adds).push_back(move);
        node.queue->add(change);
    }

    void request(SimNode& node, const ActionKey& key)
    {
        bool free = checkIdempotencyKey(node.state.actions, node.state.sessions, key, 1) == IdempotencyDecision::Run;
        if (!free || node.lease.session == invalidOffset)
            return;
        Attempt attempt { key, this->nextCopy++, nullptr, std::make_shared<std::optional<AppendOutcome>>(), false };
        attempt.pending = node.queue->add(ActionBegin { key, 1, attempt.token }, [outcome = attempt.outcome](const AppendOutcome& heard) { *outcome = heard; });
        node.attempts.push_back(attempt);
    }

    /// The caller is told `not_run`.
    void giveUp(SimNode& node, uint32_t argument) const
    {
        if (node.attempts.empty())
            return;
        auto& attempt = node.attempts[argument % node.attempts.size()];
        if (attempt.over || *attempt.outcome)
            return;
        attempt.over = true;
        if (!node.queue->cancel(attempt.pending))
            node.queue->add(ActionVoid { attempt.key, attempt.token });
    }

    void runActions(SimNode& node)
    {
        for (auto& attempt : node.attempts) {
            if (attempt.over || !*attempt.outcome)
                continue;
            attempt.over = true;
            if ((*attempt.outcome)->verdict != Verdict::Applied)
                continue;
            this->runs[attempt.key]++;
            RC_ASSERT(this->runs[attempt.key] <= 1);
            node.queue->add(ActionEnd { attempt.key, attempt.token, 200, "", "", true });
        }
    }

    Time now { milliseconds { 1000 } };
    uint64_t nextWriter = 1;
    uint64_t nextCopy = 1;
    std::vector<std::unique_ptr<SimNode>> nodes;
    std::vector<Envelope> records;
    std::vector<Envelope> lateAppends;
    RegionState oracle;
    std::map<std::string, FakeEngine> engines;
    std::map<std::string, EngineReport> olderReports;
    std::vector<OrderInFlight> network;
    std::map<ActionKey, int> runs;
};

/// Steps of which most follow a live system's rhythm, so that orders and actions really happen.
rc::Gen<std::vector<StepInput>> genSteps()
{
    auto step = rc::gen::weightedElement<Step>({ { 6, Step::Advance }, { 14, Step::Read }, { 14, Step::Append }, { 10, Step::KeepSession }, { 12, Step::DecideOrders },
        { 10, Step::SendOrder }, { 8, Step::DeliverOrder }, { 2, Step::DropOrder }, { 4, Step::FinishLoad }, { 2, Step::CrashEngine }, { 2, Step::CrashNode },
        { 4, Step::ChangePlan }, { 4, Step::Request }, { 3, Step::GiveUpRequest }, { 4, Step::RunAction }, { 3, Step::LandLateAppend }, { 30, Step::GoodRound } });
    auto input = rc::gen::map(rc::gen::tuple(step, rc::gen::inRange<size_t>(0, nodeCount), rc::gen::inRange<uint32_t>(0, 4096)),
        [](const auto& t) { return StepInput { std::get<0>(t), std::get<1>(t), std::get<2>(t) }; });
    return rc::gen::scale(8, rc::gen::container<std::vector<StepInput>>(input));
}

void runWorld(bool fencing)
{
    auto steps = *genSteps();
    World world(fencing);
    for (const auto& step : steps)
        world.run(step);
    world.settle();
}

} // namespace

Test(interleavings, hold_with_engines_that_check_fencing_numbers)
{
    cr_assert(rc::check("fencing honoured", [] { runWorld(true); }));
}

Test(interleavings, hold_with_engines_that_ignore_fencing_numbers)
{
    cr_assert(rc::check("fencing ignored", [] { runWorld(false); }));
}
