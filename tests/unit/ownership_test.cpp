/// The lease: one holder, tokens that only grow, under lost and late answers, outages for some and freezes.
#include <criterion/criterion.h>
#include <deque>
#include <ownership/ownership.h>
#include <rapidcheck.h>

using namespace comfreypier::ownership;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Time start = seconds { 10 };

/// The log's partition: appends succeed only at its end.
struct Partition {
    std::optional<LeaseRecord> record;
    uint64_t offset = 0;
    uint64_t end = 0;

    bool append(const LeaseRecord& next, uint64_t at)
    {
        if (at != this->end)
            return false;
        this->record = next;
        this->offset = this->end++;
        return true;
    }
    LeaseReadResult read() const { return { this->record, this->offset, this->end }; }
};

/// Takes one step for a VM that reaches the store.
void step(Lease& lease, Partition& store, Time now)
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

LeaseSettings checkedWorkers()
{
    LeaseSettings settings;
    settings.outageExtension = seconds { 30 };
    return settings;
}

} // namespace

Test(lease, the_first_to_append_holds_it)
{
    Partition store;
    Lease a("a#1", {});
    Lease b("b#1", {});
    for (int i = 0; i < 3; i++) {
        step(a, store, start + milliseconds { 100 * i });
        step(b, store, start + milliseconds { 100 * i });
    }
    cr_assert(a.mayIssueOrders(start + milliseconds { 300 }));
    cr_assert_not(b.mayIssueOrders(start + milliseconds { 300 }));
}

Test(lease, a_dead_holder_is_replaced_with_a_higher_token)
{
    Partition store;
    Lease a("a#1", {});
    step(a, store, start);
    step(a, store, start);
    auto token = a.token();
    Lease b("b#1", {});
    Time now = start;
    while (!b.isHolder() && now < start + seconds { 20 }) {
        now += milliseconds { 100 };
        step(b, store, now);
    }
    cr_assert(b.isHolder());
    cr_assert_gt(b.token(), token);
    cr_assert_not(a.mayIssueOrders(now), "the old lease ran out before the new one began");
    cr_assert_leq(now - start, seconds { 6 });
}

Test(lease, a_release_frees_it_at_once)
{
    Partition store;
    Lease a("a#1", {});
    step(a, store, start);
    step(a, store, start);
    a.release();
    cr_assert_not(a.mayIssueOrders(start));
    cr_assert(store.append(a.recordToAppend(), a.appendOffset()));
    Lease b("b#1", {});
    step(b, store, start + milliseconds { 50 });
    step(b, store, start + milliseconds { 60 });
    cr_assert(b.mayIssueOrders(start + milliseconds { 70 }));
}

Test(lease, a_lost_answer_is_found_in_the_log)
{
    Partition store;
    Lease a("a#1", {});
    step(a, store, start);
    cr_assert_eq(a.nextStep(start), LeaseStep::TakeOver);
    store.append(a.recordToAppend(), a.appendOffset());
    a.onAppendUncertain(start);
    cr_assert_not(a.isHolder());
    step(a, store, start + milliseconds { 10 });
    cr_assert(a.mayIssueOrders(start + milliseconds { 20 }));
}

Test(lease, an_earlier_process_of_the_same_vm_is_another_holder)
{
    Partition store;
    Lease before("a#1", {});
    step(before, store, start);
    step(before, store, start);
    Lease after("a#2", {});
    step(after, store, start + milliseconds { 10 });
    cr_assert_not(after.isHolder());
}

Test(lease, quiet_time_passes_before_the_first_order)
{
    LeaseSettings settings;
    settings.firstOrderDelay = seconds { 3 };
    Partition store;
    Lease a("a#1", settings);
    Time now = start;
    for (int i = 0; i < 29; i++, now += milliseconds { 100 }) {
        step(a, store, now);
        cr_assert_not(a.mayIssueOrders(now));
    }
    for (int i = 0; i < 5; i++, now += milliseconds { 100 })
        step(a, store, now);
    cr_assert(a.mayIssueOrders(now));
}

Test(lease, only_an_unreachable_store_extends_it)
{
    Partition store;
    Lease a("a#1", checkedWorkers());
    step(a, store, start);
    step(a, store, start);
    auto late = start + seconds { 10 };
    cr_assert_not(a.mayIssueOrders(late));
    cr_assert_not(a.mayIssueOrdersExtended(late), "a VM that was frozen has not tried to renew");
    a.onAppendUncertain(late);
    cr_assert(a.mayIssueOrdersExtended(late));
    cr_assert_not(a.mayIssueOrdersExtended(late + seconds { 5 }), "the failure is no news any more");
    a.onReadFailed(start + seconds { 40 });
    cr_assert_not(a.mayIssueOrdersExtended(start + seconds { 40 }), "the extension has its end");
    Lease b("b#1", {});
    b.onRead(store.read(), start);
    cr_assert_not(b.mayIssueOrdersExtended(late));
}

Test(lease, a_conflict_ends_the_extension)
{
    Partition store;
    Lease a("a#1", checkedWorkers());
    step(a, store, start);
    step(a, store, start);
    a.onAppendUncertain(start + seconds { 6 });
    a.onAppendConflict();
    cr_assert_not(a.mayIssueOrdersExtended(start + seconds { 6 }));
}

Test(lease, a_claim_dates_the_record)
{
    Partition store;
    Lease a("a#1", {});
    step(a, store, start);
    step(a, store, start);
    Lease b("b#1", {});
    b.onHolderHeartbeat(store.offset, start + milliseconds { 200 });
    b.onHolderHeartbeat(store.offset, start + seconds { 1 });
    b.onRead(store.read(), start + seconds { 4 });
    cr_assert_eq(b.nextStep(start + seconds { 4 }), LeaseStep::Wait);
    b.onRead(store.read(), start + milliseconds { 4300 });
    cr_assert_eq(b.nextStep(start + milliseconds { 4300 }), LeaseStep::TakeOver);
}

Test(lease, never_two_holders_under_any_interleaving)
{
    cr_assert(rc::check("at most one VM may order without an extension; tokens of take-overs are unique and grow", [] {
        constexpr size_t vms = 3;
        Partition store;
        std::vector<Lease> leases;
        std::vector<Time> frozenUntil(vms, Time { 0 });
        std::vector<Time> cutUntil(vms, Time { 0 });
        /// An append that the store carries out later, if its condition still holds.
        struct Late {
            Time at;
            LeaseRecord record;
            uint64_t offset;
        };
        std::deque<Late> late;
        for (size_t i = 0; i < vms; i++)
            leases.emplace_back("vm" + std::to_string(i), checkedWorkers());
        Time now = start;
        uint64_t highest = 0;
        std::string holder;
        for (int i = 0; i < 400; i++) {
            now += milliseconds { *rc::gen::inRange(20, 300) };
            for (auto it = late.begin(); it != late.end();) {
                if (it->at > now) {
                    ++it;
                    continue;
                }
                store.append(it->record, it->offset);
                it = late.erase(it);
            }
            auto vm = *rc::gen::inRange<size_t>(0, vms);
            auto event = *rc::gen::inRange(0, 100);
            if (event < 3)
                frozenUntil[vm] = now + milliseconds { *rc::gen::inRange(500, 9000) };
            else if (event < 6)
                cutUntil[vm] = now + milliseconds { *rc::gen::inRange(500, 9000) };
            if (now < frozenUntil[vm])
                continue;
            auto& lease = leases[vm];
            auto todo = lease.nextStep(now);
            bool cut = now < cutUntil[vm];
            if (todo == LeaseStep::Read) {
                if (cut)
                    lease.onReadFailed(now);
                else
                    lease.onRead(store.read(), now);
            } else if (todo != LeaseStep::Wait) {
                auto record = lease.recordToAppend();
                auto offset = lease.appendOffset();
                auto fate = *rc::gen::inRange(0, 10);
                if (cut)
                    lease.onAppendUncertain(now);
                else if (fate == 0) {
                    late.push_back({ now + milliseconds { *rc::gen::inRange(100, 6000) }, record, offset });
                    lease.onAppendUncertain(now);
                } else if (fate == 1) {
                    store.append(record, offset);
                    lease.onAppendUncertain(now);
                } else if (store.append(record, offset))
                    lease.onAppended(now);
                else
                    lease.onAppendConflict();
            }
            if (store.record && store.record->holder != holder) {
                RC_ASSERT(store.record->token > highest);
                highest = store.record->token;
                holder = store.record->holder;
            }
            size_t ordering = 0;
            for (auto& each : leases)
                ordering += each.mayIssueOrders(now) ? 1 : 0;
            RC_ASSERT(ordering <= 1U);
        }
    }));
}

Test(lease, a_weak_holder_hands_it_to_a_stronger_vm_and_keeps_off_it)
{
    Partition store;
    Lease weak("weak", checkedWorkers());
    Lease strong("strong", checkedWorkers());
    HandoverPolicy weakDefers;
    std::optional<Time> handedOverAt;
    std::optional<Time> takenAt;
    bool heldByWeakAgain = false;
    for (Time now = start; now < start + seconds { 20 }; now += milliseconds { 100 }) {
        bool strongIsReady = now > start + seconds { 3 };
        if (weak.isHolder() && weakDefers.shouldHandOver(strongIsReady, now)) {
            weak.release();
            cr_assert_not(weak.mayIssueOrders(now));
            cr_assert(store.append(weak.recordToAppend(), weak.appendOffset()));
            weak.rejoin();
            handedOverAt = now;
        }
        bool defers = weak.nextStep(now) == LeaseStep::TakeOver && weakDefers.shouldYieldFreeLease(weak.newestRecordOffset(), strongIsReady, now);
        if (!defers)
            step(weak, store, now);
        if (strongIsReady)
            step(strong, store, now);
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

Test(lease, a_weak_vm_takes_a_free_lease_if_no_stronger_one_does)
{
    Partition store;
    Lease weak("weak", checkedWorkers());
    HandoverPolicy defers;
    Time now = start;
    for (; now < start + seconds { 10 } && !weak.isHolder(); now += milliseconds { 100 }) {
        if (weak.nextStep(now) != LeaseStep::TakeOver || !defers.shouldYieldFreeLease(weak.newestRecordOffset(), true, now))
            step(weak, store, now);
    }
    cr_assert(weak.isHolder());
    cr_assert_geq(now - start, maxYieldTime);
}
