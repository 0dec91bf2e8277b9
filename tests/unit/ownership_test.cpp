/// Tests of the lease: at most one lease holder and increasing fencing tokens despite lost and late store answers, VMs that
/// can't reach the store and frozen VMs.
#include <criterion/criterion.h>
#include <deque>
#include <ownership/ownership.h>
#include <rapidcheck.h>

using namespace comfreypier::ownership;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Time start = seconds { 10 };

/// Stand-in for the lease partition of the log: an append succeeds only at the current end.
struct Partition {
    std::optional<LeaseRecord> record;
    uint64_t recordOffset = 0;
    uint64_t end = 0;

    bool append(const LeaseRecord& next, uint64_t offset)
    {
        if (offset != this->end)
            return false;
        this->record = next;
        this->recordOffset = this->end++;
        return true;
    }
    LeaseReadResult read() const { return { this->record, this->recordOffset, this->end }; }
};

/// Executes the next lease step of a VM that can reach the store. A new VM needs two calls to become the lease holder: a read and
/// a take-over.
void runStep(Lease& lease, Partition& store, Time now)
{
    switch (lease.nextStep(now)) {
    case LeaseStep::Read:
        lease.onRead(store.read(), now);
        break;
    case LeaseStep::Renew:
    case LeaseStep::TakeOver:
        if (store.append(lease.recordToAppend(), lease.appendOffset()))
            lease.onAppended(now);
        else
            lease.onAppendConflict();
        break;
    default:
        break;
    }
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
    b.onHolderHeartbeat(store.recordOffset, start + milliseconds { 200 });
    b.onHolderHeartbeat(store.recordOffset, start + seconds { 1 });
    b.onRead(store.read(), start + seconds { 4 });
    cr_assert_eq(b.nextStep(start + seconds { 4 }), LeaseStep::Wait);
    b.onRead(store.read(), start + milliseconds { 4300 });
    cr_assert_eq(b.nextStep(start + milliseconds { 4300 }), LeaseStep::TakeOver);
}

// Guards against two VMs that issue orders at the same time because one was frozen, could not reach the store, lost the answer to
// an append, or had an append executed late.
Test(lease, at_most_one_holder_under_any_interleaving)
{
    cr_assert(rc::check("at most one VM may issue orders without an extension; tokens of take-overs are unique and increase", [] {
        constexpr size_t vmCount = 3;
        Partition store;
        std::vector<Lease> leases;
        std::vector<Time> frozenUntil(vmCount, Time { 0 });
        std::vector<Time> unreachableUntil(vmCount, Time { 0 });
        /// An append that the store executes later, if the partition still ends at `offset` by then.
        struct DelayedAppend {
            Time at;
            LeaseRecord record;
            uint64_t offset;
        };
        std::deque<DelayedAppend> delayedAppends;
        for (size_t i = 0; i < vmCount; i++)
            leases.emplace_back("vm" + std::to_string(i), settingsWithOutageExtension());
        Time now = start;
        uint64_t highestToken = 0;
        std::string holder;
        for (int i = 0; i < 400; i++) {
            now += milliseconds { *rc::gen::inRange(20, 300) };
            for (auto it = delayedAppends.begin(); it != delayedAppends.end();) {
                if (it->at > now) {
                    ++it;
                    continue;
                }
                store.append(it->record, it->offset);
                it = delayedAppends.erase(it);
            }
            auto vm = *rc::gen::inRange<size_t>(0, vmCount);
            auto event = *rc::gen::inRange(0, 100);
            if (event < 3)
                frozenUntil[vm] = now + milliseconds { *rc::gen::inRange(500, 9000) };
            else if (event < 6)
                unreachableUntil[vm] = now + milliseconds { *rc::gen::inRange(500, 9000) };
            if (now < frozenUntil[vm])
                continue;
            auto& lease = leases[vm];
            auto nextStep = lease.nextStep(now);
            bool unreachable = now < unreachableUntil[vm];
            if (nextStep == LeaseStep::Read) {
                if (unreachable)
                    lease.onReadFailed(now);
                else
                    lease.onRead(store.read(), now);
            } else if (nextStep != LeaseStep::Wait) {
                auto record = lease.recordToAppend();
                auto offset = lease.appendOffset();
                auto result = *rc::gen::inRange(0, 10);
                if (unreachable)
                    lease.onAppendUncertain(now);
                else if (result == 0) { // No answer, and the store executes the append later.
                    delayedAppends.push_back({ now + milliseconds { *rc::gen::inRange(100, 6000) }, record, offset });
                    lease.onAppendUncertain(now);
                } else if (result == 1) { // The append takes effect, but its answer is lost.
                    store.append(record, offset);
                    lease.onAppendUncertain(now);
                } else if (store.append(record, offset))
                    lease.onAppended(now);
                else
                    lease.onAppendConflict();
            }
            if (store.record && store.record->holder != holder) {
                RC_ASSERT(store.record->token > highestToken);
                highestToken = store.record->token;
                holder = store.record->holder;
            }
            size_t vmsAllowedToOrder = 0;
            for (auto& each : leases)
                vmsAllowedToOrder += each.mayIssueOrders(now) ? 1 : 0;
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
        bool yields = weak.nextStep(now) == LeaseStep::TakeOver && weakHandover.shouldYieldFreeLease(weak.newestRecordOffset(), strongerReady, now);
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
        if (weak.nextStep(now) != LeaseStep::TakeOver || !handover.shouldYieldFreeLease(weak.newestRecordOffset(), true, now))
            runStep(weak, store, now);
    }
    cr_assert(weak.isHolder());
    cr_assert_geq(now - start, maxYieldTime);
}
