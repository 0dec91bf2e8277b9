/// Unit tests of the state layer: group commit, replicas and gossip.
#include <criterion/criterion.h>
#include <rapidcheck.h>
#include <state/state.h>

using namespace comfreypier;
using namespace comfreypier::state;
using namespace comfreypier::protocol;

Test(append_queue, entries_share_a_record_and_each_receives_its_verdict)
{
    AppendQueue queue(7);
    std::vector<Verdict> received;
    for (int i = 0; i < 3; i++)
        queue.add(SessionRenew {}, [&](const AppendOutcome& outcome) { received.push_back(outcome.verdict); });
    auto record = queue.buildRecord(1);
    cr_assert(record.has_value());
    cr_assert_eq(record->entries.size(), 3U);
    cr_assert(!queue.buildRecord(1));
    queue.confirm(4, *record, { Verdict::Applied, Verdict::Void, Verdict::Applied });
    cr_assert_eq(received.size(), 3U);
    cr_assert_eq(received[1], Verdict::Void);
    cr_assert(queue.isConfirmed(record->id));
}

/// Guards against a cancelled entry that is sent, also with a later record after its own record was requeued.
Test(append_queue, a_cancelled_entry_is_not_sent_unless_it_is_in_a_record)
{
    AppendQueue queue(7);
    auto queuedEntry = queue.add(SessionRenew {});
    cr_assert(queue.cancel(queuedEntry));
    cr_assert(!queue.buildRecord(1));
    auto entryInRecord = queue.add(SessionRenew {});
    auto record = queue.buildRecord(1);
    cr_assert(record.has_value());
    cr_assert(!queue.cancel(entryInRecord));
    queue.requeue(record->id);
    cr_assert(!queue.buildRecord(1));
}

/// Guards against entries that are lost, delivered twice or get a used record number when a record is requeued. Runs
/// random sequences of adding entries (steps 0 and 1), building records (2) and requeueing the newest record (3). At the end
/// every record is confirmed.
Test(append_queue, record_numbers_increase_and_no_entry_is_lost_or_duplicated)
{
    cr_assert(rc::check("queue", [] {
        AppendQueue queue(7);
        std::vector<int> confirmed;
        std::vector<Envelope> unconfirmed;
        uint64_t lastNumber = 0;
        int added = 0;
        for (auto step : *rc::gen::container<std::vector<uint8_t>>(rc::gen::inRange<uint8_t>(0, 4))) {
            if (step <= 1) {
                queue.add(ActionsForget { static_cast<Offset>(added) }, [&confirmed, added](const AppendOutcome&) { confirmed.push_back(added); });
                added++;
            } else if (step == 2) {
                if (auto record = queue.buildRecord(1)) {
                    RC_ASSERT(record->id.low > lastNumber);
                    lastNumber = record->id.low;
                    unconfirmed.push_back(*record);
                }
            } else if (!unconfirmed.empty()) {
                queue.requeue(unconfirmed.back().id);
                unconfirmed.pop_back();
            }
        }
        while (auto record = queue.buildRecord(1))
            unconfirmed.push_back(*record);
        for (const auto& record : unconfirmed)
            queue.confirm(0, record, std::vector<Verdict>(record.entries.size(), Verdict::Applied));
        std::sort(confirmed.begin(), confirmed.end());
        RC_ASSERT(confirmed.size() == static_cast<size_t>(added));
        for (int i = 0; i < added; i++)
            RC_ASSERT(confirmed[static_cast<size_t>(i)] == i);
    }));
}

/// Guards against a replica that moves backwards: an older snapshot and a record below `next` have no effect.
Test(replica, never_moves_backwards)
{
    ConfigReplica replica(coordination::applyConfigRecord);
    Envelope publish { { 1, 1 }, invalidOffset, { ConfigPublish { "a", std::nullopt, "[service]\nname = a\n[model m]\nmemory = 1GB\n", "me", false } } };
    replica.applyRecord(5, publish);
    coordination::ConfigState older;
    older.next = 3;
    replica.restore(older);
    replica.applyRecord(2, { { 2, 1 }, invalidOffset, { ConfigPublish { "a", 5, {}, "me", true } } });
    cr_assert_eq(replica.next(), 6U);
    cr_assert_eq(replica.read([](const auto& state) { return state.services.size(); }), 1U);
}

/// Guards against an update that is replaced by an older one which arrives later. `running` is derived from the version, to check
/// that the content stored is that of the newest version.
Test(gossip, the_newest_version_wins_in_any_order)
{
    cr_assert(rc::check("merge", [] {
        GossipTable table;
        PeerUpdateVersion newest;
        auto versions = *rc::gen::nonEmpty(rc::gen::container<std::vector<std::pair<uint8_t, uint8_t>>>(rc::gen::arbitrary<std::pair<uint8_t, uint8_t>>()));
        for (auto [session, counter] : versions) {
            PeerUpdate update;
            update.key = { PeerUpdateKind::Node, "n" };
            update.version = { session, counter };
            update.running = session * 256U + counter;
            table.merge(update, 8);
            newest = std::max(newest, update.version);
        }
        auto list = table.list(PeerUpdateKind::Node);
        RC_ASSERT(list.size() == 1U);
        RC_ASSERT(list[0].version == newest);
        RC_ASSERT(list[0].running == newest.session * 256 + newest.counter);
    }));
}

/// Guards against updates that circulate forever or are dropped before they have spread.
Test(gossip, each_entry_is_sent_a_bounded_number_of_times)
{
    GossipTable table;
    PeerUpdate update;
    update.key = { PeerUpdateKind::Node, "n" };
    update.version = { 1, 1 };
    table.merge(update, 8);
    int sent = 0;
    while (!table.takeNextBatch().empty() && sent < 100)
        sent++;
    cr_assert_gt(sent, 2);
    cr_assert_lt(sent, 10);
}
