/// Unit tests of the coordination layer: sessions, ledger, actions, configuration, retries, routing and planning.
#include "generators.h"

#include <coordination/coordination.h>
#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace comfreypier;
using namespace comfreypier::coordination;
using namespace comfreypier::protocol;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint64_t gigabyte = 1'000'000'000;

/// A replayed region stream to which a test appends records.
struct TestStream {
    RegionState state;
    Offset next = 0; ///< Offset of the next record.
    uint64_t nextNumber = 1; ///< Number of the next record; all writers share the count.

    /// Applies one record with these entries and sets `verdicts`.
    /// @return the offset of the record.
    Offset append(SessionId session, std::vector<Entry> entries, uint64_t writer = 1)
    {
        this->verdicts = applyRegionRecord(this->state, this->next, { { writer, this->nextNumber++ }, session, std::move(entries) });
        return this->next++;
    }

    SessionId openSession(const std::string& node, uint64_t writer = 1)
    {
        return this->append(invalidOffset, { SessionOpen { node, "127.0.0.1:1", "127.0.0.1:2", "dc", seconds { 5 } } }, writer);
    }

    std::vector<Verdict> verdicts; ///< Verdicts on the entries of the newest record.
};

/// A stream with one session, which owns worker `w` with 10 GB of memory.
struct OneWorkerStream : TestStream {
    OneWorkerStream()
    {
        this->session = this->openSession("n");
        this->append(this->session, { WorkerDeclared { "w", "127.0.0.1:9", "dc", 10 * gigabyte, 1 } });
    }

    Verdict appendLoadIntent(uint64_t bytes, uint64_t copy, const std::string& item = "m@1")
    {
        this->append(this->session, { LoadIntent { "w", item, bytes, copy } });
        return this->verdicts[0];
    }

    SessionId session = invalidOffset;
};

/// Parses the declarations of models and adapters in `text` as the file of one service.
DeploymentSpec parseDeployment(const std::string& text)
{
    return mergeServices({ parseServiceFile("s", "[service]\nname = s\n" + text).value() }).value();
}

} // namespace

/// Guards against a lease holder that still acts when other nodes may already expire its session. The lease starts at 10 s
/// and has a TTL of 4 s and a margin of 1 s.
Test(sessions, holder_stops_before_its_ttl_ends)
{
    Lease lease { 3, seconds { 10 }, seconds { 4 }, seconds { 1 } };
    cr_assert(mayAct(lease, seconds { 12 }));
    cr_assert(!mayAct(lease, seconds { 13 }));
    cr_assert(!mayAct({}, seconds { 0 }));
}

/// Guards against an expiry that was decided before a renewal of the session but lands after it in the log. The renewal lies at
/// offset `a + 2`.
Test(sessions, expiry_is_void_after_a_later_renewal)
{
    TestStream stream;
    auto a = stream.openSession("a", 1);
    auto b = stream.openSession("b", 2);
    stream.append(a, { SessionRenew {} });
    stream.append(b, { SessionExpire { a, a } }, 2);
    cr_assert_eq(stream.verdicts[0], Verdict::Void);
    stream.append(b, { SessionExpire { a, a + 2 } }, 2);
    cr_assert_eq(stream.verdicts[0], Verdict::Applied);
    stream.append(a, { SessionRenew {} });
    cr_assert_eq(stream.verdicts[0], Verdict::SessionEnded);
}

/// Guards against records that take effect twice or out of order after a retried append or one that lands late.
Test(sessions, duplicate_and_late_records_have_no_effect)
{
    RegionState state;
    Envelope open { { 7, 1 }, invalidOffset, { SessionOpen { "n", "a", "b", "c", seconds { 1 } } } };
    applyRegionRecord(state, 0, open);
    auto again = applyRegionRecord(state, 1, open);
    cr_assert_eq(again[0], Verdict::Duplicate);
    applyRegionRecord(state, 2, { { 7, 3 }, 0, { SessionRenew {} } });
    auto late = applyRegionRecord(state, 3, { { 7, 2 }, 0, { SessionRelease {} } });
    cr_assert_eq(late[0], Verdict::Duplicate);
    cr_assert_eq(state.sessions.size(), 1U);
}

/// Guards against the expiry of live sessions after an outage of the log, during which no renewal can be read. The TTL is 5 s.
Test(sessions, silence_counts_only_while_the_log_is_readable)
{
    std::map<SessionId, Session> sessions { { 1, { 1, 1, { "n", "", "", "", seconds { 5 } } } } };
    ViewWatch watch;
    updateViewWatch(watch, sessions, seconds { 0 }, true);
    cr_assert(updateViewWatch(watch, sessions, seconds { 4 }, true).empty());
    cr_assert(updateViewWatch(watch, sessions, seconds { 100 }, false).empty());
    cr_assert(updateViewWatch(watch, sessions, seconds { 104 }, true).empty());
    auto expired = updateViewWatch(watch, sessions, seconds { 106 }, true);
    cr_assert_eq(expired.size(), 1U);
    cr_assert_eq(expired[0].lastSeen, 1U);
}

/// Guards against the end of one session that also moves keys between the remaining sessions.
Test(ownership, a_view_change_moves_only_the_keys_of_removed_sessions)
{
    cr_assert(rc::check("rendezvous", [] {
        std::map<SessionId, Session> sessions;
        auto count = *rc::gen::inRange<size_t>(1, 12);
        for (size_t i = 0; i < count; i++)
            sessions[i] = { i, i, { "node-" + std::to_string(i), "", "", "", seconds { 1 } } };
        auto key = *comfreypier::testing::genName();
        auto owner = rendezvousOwner(sessions, key);
        auto removed = *rc::gen::inRange<size_t>(0, count);
        auto fewer = sessions;
        fewer.erase(removed);
        if (removed != owner)
            RC_ASSERT(rendezvousOwner(fewer, key) == owner);
    }));
}

/// Guards against two load orders that together exceed the memory of a worker, because the first one was not yet carried out when
/// the second was checked.
Test(ledger, reservations_start_at_the_intent_and_never_exceed_capacity)
{
    OneWorkerStream stream;
    cr_assert_eq(stream.appendLoadIntent(6 * gigabyte, 1), Verdict::Applied);
    cr_assert_eq(stream.appendLoadIntent(5 * gigabyte, 2, "n@1"), Verdict::OverCapacity);
    cr_assert_eq(stream.appendLoadIntent(4 * gigabyte, 3, "n@1"), Verdict::Applied);
}

/// Guards against overcommitted memory: a load order without an answer may still arrive after the unload of its item.
Test(ledger, an_unanswered_load_stays_reserved_until_it_is_resolved)
{
    OneWorkerStream stream;
    stream.appendLoadIntent(6 * gigabyte, 1);
    stream.append(stream.session, { UnloadIntent { "w", "m@1", true } });
    stream.append(stream.session, { UnloadResolved { "w", "m@1" } });
    cr_assert_eq(stream.verdicts[0], Verdict::Void);
    cr_assert_eq(stream.appendLoadIntent(6 * gigabyte, 2, "n@1"), Verdict::OverCapacity);
    stream.append(stream.session, { LoadResolved { "w", "m@1", 1, true, false }, UnloadResolved { "w", "m@1" } });
    cr_assert_eq(stream.verdicts[1], Verdict::Applied);
    cr_assert_eq(stream.appendLoadIntent(6 * gigabyte, 2, "n@1"), Verdict::Applied);
}

Test(ledger, the_last_resident_copy_is_not_unloaded)
{
    OneWorkerStream stream;
    stream.append(stream.session, { WorkerDeclared { "v", "127.0.0.1:8", "dc", 10 * gigabyte, 1 } });
    for (const auto* worker : { "v", "w" })
        stream.append(stream.session, { LoadIntent { worker, "m@1", gigabyte, 1 }, LoadResolved { worker, "m@1", 1, true, true } });
    stream.append(stream.session, { UnloadIntent { "v", "m@1", false }, UnloadIntent { "w", "m@1", false } });
    cr_assert_eq(stream.verdicts[0], Verdict::Applied);
    cr_assert_eq(stream.verdicts[1], Verdict::LastCopy);
}

/// A second session may take over the worker, so the test looks up which of the two is not the owner.
Test(ledger, entries_of_non_owners_are_rejected)
{
    OneWorkerStream stream;
    stream.append(stream.session, { LoadIntent { "w", "m@1", gigabyte, 1 } });
    RegionState before = stream.state;
    auto other = stream.openSession("other", 2);
    auto owner = stream.state.workers["w"].owner;
    auto nonOwner = owner == other ? stream.session : other;
    stream.append(nonOwner, { LoadIntent { "w", "n@1", gigabyte, 2 }, UnloadIntent { "w", "m@1", true } }, nonOwner == other ? 2 : 1);
    cr_assert_eq(stream.verdicts[0], Verdict::NotOwner);
    cr_assert_eq(stream.verdicts[1], Verdict::NotOwner);
}

/// Guards against a second run of a request whose node ended before it recorded the outcome. The request's hash is 9 and the
/// token of its begin 77.
Test(actions, the_first_begin_wins_and_is_not_run_again)
{
    TestStream stream;
    auto a = stream.openSession("a", 1);
    auto b = stream.openSession("b", 2);
    ActionKey key { 1, 2 };
    stream.append(a, { ActionBegin { key, 9, 77 } }, 1);
    stream.append(b, { ActionBegin { key, 9, 77 } }, 2);
    cr_assert_eq(stream.verdicts[0], Verdict::KeyTaken);
    auto decide = [&](uint64_t hash) { return checkIdempotencyKey(stream.state.actions, stream.state.sessions, key, hash); };
    cr_assert_eq(decide(9), IdempotencyDecision::Wait);
    cr_assert_eq(decide(8), IdempotencyDecision::KeyReused);
    stream.append(a, { SessionRelease {} }, 1);
    cr_assert_eq(decide(9), IdempotencyDecision::Unknown);
    auto again = stream.openSession("a", 1);
    stream.append(again, { ActionEnd { key, 77, 200, "t", "done", true } }, 1);
    cr_assert_eq(decide(9), IdempotencyDecision::Recorded);
}

/// Guards against a refused request that blocks its key, and against a void that frees the key of another attempt, whose token
/// differs.
Test(actions, a_refused_begin_is_voided)
{
    TestStream stream;
    auto a = stream.openSession("a", 1);
    ActionKey key { 1, 2 };
    stream.append(a, { ActionBegin { key, 9, 77 } }, 1);
    stream.append(a, { ActionVoid { key, 78 } }, 1);
    cr_assert_eq(stream.verdicts[0], Verdict::Void);
    stream.append(a, { ActionVoid { key, 77 } }, 1);
    cr_assert_eq(checkIdempotencyKey(stream.state.actions, stream.state.sessions, key, 9), IdempotencyDecision::Run);
}

Test(config, exactly_one_of_two_concurrent_changes_is_accepted)
{
    ConfigState state;
    auto publish = [&](Offset offset, uint64_t writer, std::optional<Offset> base, const std::string& memory) {
        return applyConfigRecord(state, offset, { { writer, 1 }, invalidOffset, { ConfigPublish { "s", base, "[service]\nname = s\n[model m]\nmemory = " + memory + "\n", "me", false } } })[0];
    };
    cr_assert_eq(publish(0, 1, std::nullopt, "1GB"), Verdict::Applied);
    cr_assert_eq(publish(1, 2, 0, "2GB"), Verdict::Applied);
    cr_assert_eq(publish(2, 3, 0, "3GB"), Verdict::Conflict);
    cr_assert_eq(publish(3, 4, 1, "no size"), Verdict::InvalidFile);
    cr_assert_eq(state.deployment.items.at("m").bytes, 2 * gigabyte);
    cr_assert_eq(state.history.size(), 4U);
}

Test(config, files_of_one_record_are_accepted_or_rejected_together)
{
    ConfigState state;
    ConfigPublish good { "a", std::nullopt, "[service]\nname = a\n[model m]\nmemory = 1GB\n", "me", false };
    ConfigPublish bad { "b", std::nullopt, "[service]\nname = b\n[adapter x]\nmodel = none\nmemory = 1MB\n", "me", false };
    auto verdicts = applyConfigRecord(state, 0, { { 1, 1 }, invalidOffset, { good, bad } });
    cr_assert_eq(verdicts[0], Verdict::InvalidFile);
    cr_assert(state.services.empty());
}

Test(config, a_snapshot_restores_the_same_state)
{
    ConfigState state;
    applyConfigRecord(state, 4, { { 1, 1 }, invalidOffset, { ConfigPublish { "a", std::nullopt, "[service]\nname = a\n[model m]\nmemory = 1GB\n", "me", false } } });
    SnapshotCollector collector;
    for (auto& part : splitSnapshot(makeSnapshot(state)))
        collectSnapshotParts(collector, { { 2, 1 }, invalidOffset, { part } });
    cr_assert(collector.newest.has_value());
    auto restored = restoreConfig(*collector.newest);
    cr_assert_eq(restored.next, 5U);
    cr_assert_eq(restored.services.at("a").offset, 4U);
    cr_assert_eq(restored.deployment.items.size(), 1U);
}

Test(retries, never_exceed_their_share_of_first_attempts_plus_one_burst)
{
    cr_assert(rc::check("budget", [] {
        RetryBudget budget;
        int firstAttempts = 0;
        int retries = 0;
        for (bool isRetry : *rc::gen::container<std::vector<bool>>(rc::gen::arbitrary<bool>())) {
            if (isRetry)
                retries += tryConsumeRetry(budget);
            else {
                firstAttempts++;
                recordFirstAttempt(budget);
            }
            // 1e-9 allows for rounding errors of the sums.
            RC_ASSERT(retries <= budget.burst + firstAttempts * budget.share + 1e-9);
        }
    }));
}

Test(routing, prefers_the_lower_estimate_and_avoids_draining_workers)
{
    // Running, waiting, slots, dispatched, time to the first token, time of a request.
    WorkerLoad idle { 0, 0, 8, 0, milliseconds { 20 }, milliseconds { 100 } };
    WorkerLoad full { 8, 4, 8, 0, milliseconds { 20 }, milliseconds { 100 } };
    cr_assert_eq(chooseWorker(std::vector { full, idle }), 1);
    idle.suspectedDown = true;
    cr_assert_eq(chooseWorker(std::vector { full, idle }), 0);
    idle.draining = true;
    full.draining = true;
    cr_assert_eq(chooseWorker(std::vector { full, idle }), -1);
    cr_assert_gt(estimateFirstTokenTime(full).count(), estimateFirstTokenTime(idle).count());
}

/// Guards against items that stay unplaced or exceed a worker's memory, adapters without their base model, and plans that change
/// without a cause. There is at least one worker per model, and each can hold any model with its adapter.
Test(planner, places_every_item_and_then_makes_no_further_change)
{
    cr_assert(rc::check("plan", [] {
        std::string text;
        auto models = *rc::gen::inRange(1, 8);
        for (int i = 0; i < models; i++) {
            text += "[model m" + std::to_string(i) + "]\nmemory = " + std::to_string(*rc::gen::inRange(1, 10)) + "GB\n";
            if (*rc::gen::arbitrary<bool>())
                text += "[adapter a" + std::to_string(i) + "]\nmodel = m" + std::to_string(i) + "\nmemory = 100MB\n";
        }
        auto deployment = parseDeployment(text);
        Workers workers;
        auto workerCount = *rc::gen::inRange(models, 2 * models + 2);
        for (int i = 0; i < workerCount; i++) {
            auto name = "w" + std::to_string(i);
            workers[name].declared = { name, "127.0.0.1:1", "dc" + std::to_string(i % 3), 11 * gigabyte, 1 };
        }
        std::set<PlanMove> plan;
        // No demand, no avoided workers, one request per second and copy, at most two copies added because of demand.
        PlanInputs inputs { &deployment, &workers, &plan, {}, {}, 1, 2 };
        auto change = computePlanChange(inputs);
        plan.insert(change.adds.begin(), change.adds.end());
        RC_ASSERT(change.drops.empty());
        for (const auto& [name, item] : deployment.items) {
            auto key = itemKey(item);
            RC_ASSERT(std::any_of(plan.begin(), plan.end(), [&](const PlanMove& move) { return move.item == key; }));
        }
        for (const auto& [name, worker] : workers) {
            uint64_t used = 0;
            for (const auto& [itemName, item] : deployment.items) {
                bool placed = plan.contains({ name, itemKey(item) });
                used += placed ? item.bytes : 0;
                if (placed && !item.base.empty())
                    RC_ASSERT(plan.contains({ name, itemKey(deployment.items.at(item.base)) }));
            }
            RC_ASSERT(used <= worker.declared.capacity);
        }
        auto second = computePlanChange(inputs);
        RC_ASSERT((second.adds.empty() && second.drops.empty()));
    }));
}

Test(planner, a_new_version_is_resident_before_the_old_one_is_dropped)
{
    auto deployment = parseDeployment("[model m]\nmemory = 4GB\nversion = 2\n");
    Workers workers;
    workers["w"].declared = { "w", "127.0.0.1:1", "dc", 10 * gigabyte, 1 };
    // Bytes, open copies, last copy, loaded, unloading.
    workers["w"].reservations["m@1"] = { 4 * gigabyte, {}, 1, true, false };
    std::set<PlanMove> plan { { "w", "m@1" } };
    PlanInputs inputs { &deployment, &workers, &plan, {}, {}, 1, 2 };
    auto first = computePlanChange(inputs);
    cr_assert(first.drops.empty());
    cr_assert_eq(first.adds.size(), 1U);
    plan.insert(first.adds.begin(), first.adds.end());
    workers["w"].reservations["m@2"] = { 4 * gigabyte, {}, 2, true, false };
    auto second = computePlanChange(inputs);
    cr_assert_eq(second.drops.size(), 1U);
    cr_assert_eq(second.drops[0].item, "m@1");
}
