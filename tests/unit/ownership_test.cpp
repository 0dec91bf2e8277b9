/// Tests of the lease: at most one lease holder and increasing fencing tokens despite lost and late store answers, VMs that
/// can't reach the store, frozen VMs, and a store that comes back from an earlier copy.
#include <criterion/criterion.h>
#include <deque>
#include <functional>
#include <ownership/ownership.h>
#include <rapidcheck.h>
#include <utility>

using namespace comfreypier::ownership;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Time start = seconds { 10 };

/// Stand-in for the lease partition of the log: an append succeeds only at the current end.
struct Partition {
    std::optional<LeaseRecord> record;
    LogPosition recordPosition;
    LogPosition end;

    bool append(const LeaseRecord& next, uint64_t offset)
    {
        if (offset != this->end.offset)
            return false;
        this->record = next;
        this->recordPosition = this->end;
        this->end.offset++;
        return true;
    }
    LeaseReadResult read() const { return { this->record, this->recordPosition, this->end }; }
    /// Comes back from an earlier copy.
    void restore(const Partition& copy)
    {
        auto era = this->end.era + 1;
        *this = copy;
        this->recordPosition.era = era;
        this->end.era = era;
    }
};

/// Executes the next lease step of a VM that can reach the store. A new VM needs two calls to become the lease holder: a read and
/// a take-over.
void runStep(Lease& lease, Partition& store, Time now)
{
    auto step = lease.nextStep(now);
    if (step == LeaseStep::Wait)
        return;
    if (step == LeaseStep::Read) {
        lease.onEra(store.end.era, now);
        return lease.onRead(store.read(), now);
    }
    auto position = store.end;
    bool appended = store.append(lease.recordToAppend(), lease.appendOffset());
    lease.onEra(store.end.era, now);
    if (appended)
        lease.onAppended(position, now);
    else
        lease.onAppendConflict();
}

/// Executes the steps of a VM every 100 ms until it holds the lease.
/// @return when it did; `end` if it did not before.
Time runUntilHeld(Lease& lease, Partition& store, Time from, Time end)
{
    for (auto now = from; now < end; now += milliseconds { 100 }) {
        runStep(lease, store, now);
        if (lease.mayIssueOrders(now))
            return now;
    }
    return end;
}

/// Returns the settings for workers that check fencing tokens.
LeaseSettings settingsWithOutageExtension()
{
    LeaseSettings settings;
    settings.outageExtension = seconds { 30 };
    return settings;
}

} // namespace

Test(lease, first_vm_to_append_becomes_holder)
{
    Partition store;
    Lease a("a#1", {});
    Lease b("b#1", {});
    for (int i = 0; i < 3; i++) {
        runStep(a, store, start + milliseconds { 100 * i });
        runStep(b, store, start + milliseconds { 100 * i });
    }
    cr_assert(a.mayIssueOrders(start + milliseconds { 300 }));
    cr_assert_not(b.mayIssueOrders(start + milliseconds { 300 }));
}

// The lease holder stops without a release. Its lease expires 4 s after its record was first seen; another VM reads the record at
// intervals of 1.2 s.
Test(lease, dead_holder_is_replaced_with_a_higher_token)
{
    Partition store;
    Lease a("a#1", {});
    runStep(a, store, start);
    runStep(a, store, start);
    auto token = a.token();
    Lease b("b#1", {});
    Time now = start;
    while (!b.isHolder() && now < start + seconds { 20 }) {
        now += milliseconds { 100 };
        runStep(b, store, now);
    }
    cr_assert(b.isHolder());
    cr_assert_gt(b.token(), token);
    cr_assert_not(a.mayIssueOrders(now), "the old lease must expire before the new one starts");
    cr_assert_leq(now - start, seconds { 6 });
}

Test(lease, released_lease_can_be_taken_over_immediately)
{
    Partition store;
    Lease a("a#1", {});
    runStep(a, store, start);
    runStep(a, store, start);
    a.release();
    cr_assert_not(a.mayIssueOrders(start));
    cr_assert(store.append(a.recordToAppend(), a.appendOffset()));
    Lease b("b#1", {});
    runStep(b, store, start + milliseconds { 50 });
    runStep(b, store, start + milliseconds { 60 });
    cr_assert(b.mayIssueOrders(start + milliseconds { 70 }));
}

// The append took effect but its answer was lost: the VM must find its own record by reading the log.
Test(lease, append_with_lost_answer_is_found_in_the_log)
{
    Partition store;
    Lease a("a#1", {});
    runStep(a, store, start);
    cr_assert_eq(a.nextStep(start), LeaseStep::TakeOver);
    store.append(a.recordToAppend(), a.appendOffset());
    a.onAppendUncertain(start);
    cr_assert_not(a.isHolder());
    runStep(a, store, start + milliseconds { 10 });
    cr_assert(a.mayIssueOrders(start + milliseconds { 20 }));
}

// Guards against a restarted process that takes the record of the process before for its own and orders at once.
Test(lease, restarted_process_of_the_same_vm_is_a_different_holder)
{
    Partition store;
    Lease before("a#1", {});
    runStep(before, store, start);
    runStep(before, store, start);
    Lease after("a#2", {});
    runStep(after, store, start + milliseconds { 10 });
    cr_assert_not(after.isHolder());
}

// Workers that don't check fencing tokens could still execute a late order of the previous lease holder.
Test(lease, first_order_waits_for_the_configured_delay)
{
    LeaseSettings settings;
    settings.firstOrderDelay = seconds { 3 };
    Partition store;
    Lease a("a#1", settings);
    Time now = start;
    for (int i = 0; i < 29; i++, now += milliseconds { 100 }) {
        runStep(a, store, now);
        cr_assert_not(a.mayIssueOrders(now));
    }
    for (int i = 0; i < 5; i++, now += milliseconds { 100 })
        runStep(a, store, now);
    cr_assert(a.mayIssueOrders(now));
}

// Guards against a VM that orders after its lease expired for another reason than a store outage, or for too long. The extension
// ends 30 s after the last renewal.
Test(lease, only_an_unreachable_store_extends_the_lease)
{
    Partition store;
    Lease a("a#1", settingsWithOutageExtension());
    runStep(a, store, start);
    runStep(a, store, start);
    auto afterExpiry = start + seconds { 10 };
    cr_assert_not(a.mayIssueOrders(afterExpiry));
    cr_assert_not(a.mayIssueOrdersExtended(afterExpiry), "a VM that was frozen has not tried to renew, so nothing shows that the store is unreachable");
    a.onAppendUncertain(afterExpiry);
    cr_assert(a.mayIssueOrdersExtended(afterExpiry));
    cr_assert_not(a.mayIssueOrdersExtended(afterExpiry + seconds { 5 }), "the last failure is too old");
    a.onReadFailed(start + seconds { 40 });
    cr_assert_not(a.mayIssueOrdersExtended(start + seconds { 40 }), "the extension is limited");
    Lease b("b#1", {});
    b.onRead(store.read(), start);
    cr_assert_not(b.mayIssueOrdersExtended(afterExpiry));
}

// A conflict shows that the store is reachable and that another VM may hold the lease.
Test(lease, append_conflict_ends_the_extension)
{
    Partition store;
    Lease a("a#1", settingsWithOutageExtension());
    runStep(a, store, start);
    runStep(a, store, start);
    a.onAppendUncertain(start + seconds { 6 });
    a.onAppendConflict();
    cr_assert_not(a.mayIssueOrdersExtended(start + seconds { 6 }));
}

// The expiry of a record counts from the first heartbeat that named it, not from the first read: with the heartbeat at 0.2 s and a
// duration of 4 s, the lease is not free at 4 s but at 4.3 s.
Test(lease, heartbeat_of_the_holder_starts_the_expiry_of_its_record)
{
    Partition store;
    Lease a("a#1", {});
    runStep(a, store, start);
    runStep(a, store, start);
    Lease b("b#1", {});
    b.onHolderHeartbeat(store.recordPosition, start + milliseconds { 200 });
    b.onHolderHeartbeat(store.recordPosition, start + seconds { 1 });
    b.onRead(store.read(), start + seconds { 4 });
    cr_assert_eq(b.nextStep(start + seconds { 4 }), LeaseStep::Wait);
    b.onRead(store.read(), start + milliseconds { 4300 });
    cr_assert_eq(b.nextStep(start + milliseconds { 4300 }), LeaseStep::TakeOver);
}

// A restoration may remove the record of a lease holder that is alive, here with all that the partition held. Nobody else may take the
// lease over before it must have expired; the holder does so at once.
Test(lease, holder_takes_over_again_after_a_restoration_and_nobody_else_before_its_expiry)
{
    Partition store;
    Partition empty;
    Lease a("a#1", {});
    Lease b("b#1", {});
    runStep(a, store, start);
    runStep(a, store, start);
    auto token = a.token();
    store.restore(empty);
    auto restoredAt = start + seconds { 1 };
    // `b` is first, and sees neither a record nor the holder.
    for (auto now = restoredAt; now <= restoredAt + LeaseSettings {}.duration; now += milliseconds { 100 }) {
        runStep(b, store, now);
        cr_assert_not(b.isHolder(), "at %lld ms", static_cast<long long>((now - restoredAt).count() / 1000000));
    }
    // `a` hears of the restoration from `b`, then reads and appends.
    a.onEra(store.end.era, restoredAt);
    runStep(a, store, restoredAt);
    runStep(a, store, restoredAt);
    cr_assert(a.mayIssueOrders(restoredAt));
    cr_assert_gt(a.token(), token);
}

// Guards against a holder that goes on with a lease that no record shows: the copy says that it was released, that another VM held it, or
// that this one did in an earlier term.
Test(lease, record_of_the_copy_grants_nothing)
{
    for (const auto* holder : { "", "b#1", "a#1" }) {
        Partition copy;
        cr_assert(copy.append({ holder, 1 }, 0));
        Partition store = copy;
        Lease b("b#1", {});
        runStep(b, store, start);
        // `c` holds the lease when the store is restored, and can't reach it since.
        auto takenAt = start + seconds { 10 };
        Lease c("c#1", {});
        cr_assert_lt(runUntilHeld(c, store, start, takenAt), takenAt);
        auto heldAt = takenAt;
        runStep(c, store, heldAt);
        auto token = c.token();
        store.restore(copy);
        Lease a("a#1", {});
        for (auto now = heldAt; c.mayIssueOrders(now); now += milliseconds { 100 }) {
            runStep(a, store, now);
            runStep(b, store, now);
            cr_assert_not(a.isHolder() || b.isHolder(), "the copy says '%s'", holder);
        }
        auto end = heldAt + seconds { 15 };
        cr_assert_lt(runUntilHeld(a, store, heldAt + seconds { 4 }, end), end);
        cr_assert_gt(a.token(), token);
    }
}

// Guards against a take-over or a renewal that counts although it landed in another era, at an offset that was given out again.
Test(lease, append_that_lands_in_another_era_grants_nothing)
{
    Partition store;
    Partition copy;
    Lease a("a#1", {});
    runStep(a, store, start);
    cr_assert_eq(a.nextStep(start), LeaseStep::TakeOver);
    store.restore(copy);
    auto position = store.end;
    cr_assert(store.append(a.recordToAppend(), a.appendOffset()));
    a.onEra(position.era, start);
    a.onAppended(position, start);
    cr_assert_not(a.isHolder());
    // The record is found by the next read. Its token is that of a take-over in the era before.
    runStep(a, store, start);
    cr_assert_not(a.isHolder());
    cr_assert_eq(a.nextStep(start), LeaseStep::Wait);
    auto end = start + seconds { 10 };
    auto heldAt = runUntilHeld(a, store, start, end);
    cr_assert_gt(heldAt - start, LeaseSettings {}.duration);
    cr_assert_lt(heldAt, end);
}

// Guards against orders beyond the expiry of a lease whose record is lost: neither an extension nor a renewal prolongs it.
Test(lease, holder_whose_record_is_lost_stops_at_its_expiry)
{
    Partition store;
    Lease a("a#1", settingsWithOutageExtension());
    runStep(a, store, start);
    runStep(a, store, start);
    a.onAppendUncertain(start + seconds { 2 });
    // Another VM tells of the restoration; the store can't be reached.
    a.onEra(2, start + seconds { 2 });
    a.onReadFailed(start + seconds { 3 });
    cr_assert(a.mayIssueOrders(start + seconds { 3 }));
    a.onReadFailed(start + seconds { 5 });
    cr_assert_not(a.mayIssueOrders(start + seconds { 5 }));
    cr_assert_not(a.mayIssueOrdersExtended(start + seconds { 5 }));
}

// The answer to a read that was sent before the restoration tells of records that are gone.
Test(lease, read_of_an_earlier_era_that_arrives_late_is_ignored)
{
    Partition store;
    Lease a("a#1", {});
    auto late = store.read();
    store.restore({});
    a.onEra(store.end.era, start);
    a.onRead(late, start);
    cr_assert_eq(a.nextStep(start), LeaseStep::Read);
}

Test(lease, tokens_grow_with_positions_and_stay_exact_numbers)
{
    cr_assert(rc::check("", [] {
        auto positions = rc::gen::pair(rc::gen::inRange<uint64_t>(firstEra, 1 << 20), rc::gen::inRange<uint64_t>(0, 1ULL << 31));
        auto [era, offset] = *positions;
        auto [otherEra, otherOffset] = *positions;
        LogPosition position { era, offset };
        LogPosition other { otherEra, otherOffset };
        RC_ASSERT((position <=> other) == (makeToken(position) <=> makeToken(other)));
        RC_ASSERT(makeToken(position) > 0U);
        RC_ASSERT(makeToken(position) < 1ULL << 53);
        RC_ASSERT(tokenEra(makeToken(position)) == era);
    }));
}

// Guards against two VMs that issue orders at the same time, and against tokens that are used twice or go back, because a VM was frozen or
// restarted, could not reach the store, got answers late or lost them, had an append executed late, or the store came back from a copy.
Test(lease, at_most_one_holder_under_any_interleaving)
{
    cr_assert(rc::check("at most one VM may issue orders without an extension; tokens of take-overs are unique and increase", [] {
        constexpr size_t vmCount = 3;
        constexpr size_t maxCopies = 8;
        bool restores = *rc::gen::arbitrary<bool>();
        Partition store;
        std::deque<Partition> copies; // The states of the store after its last appends.
        /// An append that the store executes later, if the partition still ends at `offset` by then.
        struct DelayedAppend {
            Time at;
            LeaseRecord record;
            uint64_t offset;
        };
        std::deque<DelayedAppend> delayedAppends;
        struct SimulatedVm {
            Lease lease;
            Time frozenUntil { 0 };
            Time unreachableUntil { 0 };
            Time answerAt { 0 }; ///< When `answer` arrives. The VM takes no other step before.
            std::function<void(Time now)> answer;
        };
        std::vector<SimulatedVm> vms;
        for (size_t i = 0; i < vmCount; i++)
            vms.push_back({ Lease("vm" + std::to_string(i), settingsWithOutageExtension()) });
        auto append = [&](const LeaseRecord& record, uint64_t offset) {
            copies.push_back(store);
            if (copies.size() > maxCopies)
                copies.pop_front();
            return store.append(record, offset);
        };
        Time now = start;
        uint64_t highestToken = 0; // Of those in the store.
        std::string holder;
        std::map<uint64_t, size_t> orderingVms; // VM that used a token for orders, by token.
        for (int i = 0; i < 400; i++) {
            now += milliseconds { *rc::gen::inRange(20, 300) };
            for (auto it = delayedAppends.begin(); it != delayedAppends.end();) {
                if (it->at > now) {
                    ++it;
                    continue;
                }
                append(it->record, it->offset);
                it = delayedAppends.erase(it);
            }
            auto number = *rc::gen::inRange<size_t>(0, vmCount);
            auto& vm = vms[number];
            auto event = *rc::gen::inRange(0, 100);
            if (event < 3)
                vm.frozenUntil = now + milliseconds { *rc::gen::inRange(500, 9000) };
            else if (event < 6)
                vm.unreachableUntil = now + milliseconds { *rc::gen::inRange(500, 9000) };
            else if (event < 7)
                vm = { Lease("vm" + std::to_string(number) + "#" + std::to_string(i), settingsWithOutageExtension()) };
            else if (event < 11 && restores && !copies.empty())
                store.restore(copies[*rc::gen::inRange<size_t>(0, copies.size())]);
            else if (event < 14) // A heartbeat of a VM that knows the newest era.
                vm.lease.onEra(store.end.era, now);
            if (now >= vm.frozenUntil && vm.answer && now >= vm.answerAt)
                std::exchange(vm.answer, nullptr)(now);
            if (now >= vm.frozenUntil && !vm.answer) {
                auto& lease = vm.lease;
                auto nextStep = lease.nextStep(now);
                bool unreachable = now < vm.unreachableUntil;
                auto result = *rc::gen::inRange(0, 10);
                vm.answerAt = now + milliseconds { result == 2 ? *rc::gen::inRange(100, 900) : 0 };
                if (nextStep == LeaseStep::Read && unreachable)
                    lease.onReadFailed(now);
                else if (nextStep == LeaseStep::Read)
                    vm.answer = [&lease, read = store.read(), sentAt = now](Time at) {
                        lease.onEra(read.partitionEnd.era, at);
                        lease.onRead(read, sentAt);
                    };
                else if (nextStep != LeaseStep::Wait) {
                    auto record = lease.recordToAppend();
                    auto offset = lease.appendOffset();
                    if (unreachable)
                        lease.onAppendUncertain(now);
                    else if (result == 0) { // No answer, and the store executes the append later.
                        delayedAppends.push_back({ now + milliseconds { *rc::gen::inRange(100, 6000) }, record, offset });
                        lease.onAppendUncertain(now);
                    } else if (result == 1) { // The append takes effect, but its answer is lost.
                        append(record, offset);
                        lease.onAppendUncertain(now);
                    } else {
                        auto position = store.end;
                        vm.answer = [&lease, position, appended = append(record, offset), sentAt = now](Time at) {
                            lease.onEra(position.era, at);
                            if (appended)
                                lease.onAppended(position, sentAt);
                            else
                                lease.onAppendConflict();
                        };
                    }
                }
                if (vm.answer && vm.answerAt == now)
                    std::exchange(vm.answer, nullptr)(now);
            }
            // Records that grant the lease in their era.
            bool grants = store.record && tokenEra(store.record->token) == store.recordPosition.era;
            if (grants && store.record->holder != holder) {
                RC_ASSERT(store.record->token > highestToken);
                highestToken = store.record->token;
                holder = store.record->holder;
            }
            size_t vmsAllowedToOrder = 0;
            for (size_t k = 0; k < vmCount; k++) {
                if (!vms[k].lease.mayIssueOrders(now))
                    continue;
                vmsAllowedToOrder++;
                auto token = vms[k].lease.token();
                RC_ASSERT(orderingVms.try_emplace(token, k).first->second == k);
                RC_ASSERT(orderingVms.rbegin()->first == token);
            }
            RC_ASSERT(vmsAllowedToOrder <= 1U);
        }
    }));
}

// After the handover the weak VM must not take the free lease again before the stronger VM does.
Test(lease, weak_holder_hands_over_to_a_stronger_vm_and_does_not_take_it_again)
{
    Partition store;
    Lease weak("weak", settingsWithOutageExtension());
    Lease strong("strong", settingsWithOutageExtension());
    HandoverPolicy weakHandover;
    std::optional<Time> handedOverAt;
    std::optional<Time> takenAt;
    bool heldByWeakAgain = false;
    for (Time now = start; now < start + seconds { 20 }; now += milliseconds { 100 }) {
        bool strongerReady = now > start + seconds { 3 };
        if (weak.isHolder() && weakHandover.shouldHandOver(strongerReady, now)) {
            weak.release();
            cr_assert_not(weak.mayIssueOrders(now));
            cr_assert(store.append(weak.recordToAppend(), weak.appendOffset()));
            weak.rejoin();
            handedOverAt = now;
        }
        bool yields = weak.nextStep(now) == LeaseStep::TakeOver && weakHandover.shouldYieldFreeLease(weak.newestRecordPosition(), strongerReady, now);
        if (!yields)
            runStep(weak, store, now);
        if (strongerReady)
            runStep(strong, store, now);
        cr_assert_not(weak.mayIssueOrders(now) && strong.mayIssueOrders(now));
        if (!takenAt && strong.isHolder())
            takenAt = now;
        heldByWeakAgain = heldByWeakAgain || (handedOverAt && weak.isHolder());
    }
    cr_assert(handedOverAt && takenAt);
    cr_assert_lt(*takenAt - *handedOverAt, maxYieldTime);
    cr_assert_not(heldByWeakAgain);
    cr_assert_gt(strong.token(), 1U);
}

// Guards against a lease that stays free because a weak VM leaves it to a stronger one that can't take it over.
Test(lease, weak_vm_takes_a_free_lease_if_no_stronger_vm_does)
{
    Partition store;
    Lease weak("weak", settingsWithOutageExtension());
    HandoverPolicy handover;
    Time now = start;
    for (; now < start + seconds { 10 } && !weak.isHolder(); now += milliseconds { 100 }) {
        if (weak.nextStep(now) != LeaseStep::TakeOver || !handover.shouldYieldFreeLease(weak.newestRecordPosition(), true, now))
            runStep(weak, store, now);
    }
    cr_assert(weak.isHolder());
    cr_assert_geq(now - start, maxYieldTime);
}
