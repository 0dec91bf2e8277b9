/// Group commit, replicas and gossip.
#include <criterion/criterion.h>
#include <rapidcheck.h>
#include <state/state.h>

using namespace comfreypier;
using namespace comfreypier::state;
using namespace comfreypier::protocol;

Test(append_queue, many_entries_share_a_record_and_each_hears_its_verdict)
{
    AppendQueue queue(7);
    std::vector<Verdict> heard;
    for (int i = 0; i < 3; i++)
        queue.add(SessionRenew {}, [&](const AppendOutcome& outcome) { heard.push_back(outcome.verdict); });
    auto record = queue.buildRecord(1);
    cr_assert(record.has_value());
    cr_assert_eq(record->entries.size(), 3U);
    cr_assert(!queue.buildRecord(1));
    queue.confirm(4, *record, { Verdict::Applied, Verdict::Void, Verdict::Applied });
    cr_assert_eq(heard.size(), 3U);
    cr_assert_eq(heard[1], Verdict::Void);
    cr_assert(queue.isConfirmed(record->id));
}

Test(append_queue, a_cancelled_entry_never_leaves_unless_it_was_taken)
{
    AppendQueue queue(7);
    auto early = queue.add(SessionRenew {});
    cr_assert(queue.cancel(early));
    cr_assert(!queue.buildRecord(1));
    auto late = queue.add(SessionRenew {});
    auto record = queue.buildRecord(1);
    cr_assert(record.has_value());
    cr_assert(!queue.cancel(late));
    queue.requeue(record->id);
    cr_assert(!queue.buildRecord(1));
}

Test(append_queue, record_numbers_rise_and_nothing_is_lost_or_doubled)
{
    cr_assert(rc::check("queue", [] {
        AppendQueue queue(7);
        std::vector<int> heard;
        std::vector<Envelope> open;
        uint64_t lastNumber = 0;
        int added = 0;
        for (auto step : *rc::gen::container<std::vector<uint8_t>>(rc::gen::inRange<uint8_t>(0, 4))) {
            if (step <= 1) {
                queue.add(ActionsForget { static_cast<Offset>(added) }, [&heard, added](const AppendOutcome&) { heard.push_back(added); });
                added++;
            } else if (step == 2) {
                if (auto record = queue.buildRecord(1)) {
                    RC_ASSERT(record->id.low > lastNumber);
                    lastNumber = record->id.low;
                    open.push_back(*record);
                }
            } else if (!open.empty()) {
                queue.requeue(open.back().id);
                open.pop_back();
            }
        }
        while (auto record = queue.buildRecord(1))
            open.push_back(*record);
        for (const auto& record : open)
            queue.confirm(0, record, std::vector<Verdict>(record.entries.size(), Verdict::Applied));
        std::sort(heard.begin(), heard.end());
        RC_ASSERT(heard.size() == static_cast<size_t>(added));
        for (int i = 0; i < added; i++)
            RC_ASSERT(heard[static_cast<size_t>(i)] == i);
    }));
}

Test(replica, never_goes_back)
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

Test(gossip, the_newest_version_wins_in_any_order)
{
    cr_assert(rc::check("merge", [] {
        GossipTable table;
        NewsVersion newest;
        auto versions = *rc::gen::nonEmpty(rc::gen::container<std::vector<std::pair<uint8_t, uint8_t>>>(rc::gen::arbitrary<std::pair<uint8_t, uint8_t>>()));
        for (auto [session, counter] : versions) {
            News news;
            news.key = { NewsKind::Node, "n" };
            news.version = { session, counter };
            news.running = session * 256U + counter;
            table.merge(news, 8);
            newest = std::max(newest, news.version);
        }
        auto list = table.list(NewsKind::Node);
        RC_ASSERT(list.size() == 1U);
        RC_ASSERT(list[0].version == newest);
        RC_ASSERT(list[0].running == newest.session * 256 + newest.counter);
    }));
}

Test(gossip, each_entry_is_sent_a_bounded_number_of_times)
{
    GossipTable table;
    News news;
    news.key = { NewsKind::Node, "n" };
    news.version = { 1, 1 };
    table.merge(news, 8);
    int sent = 0;
    while (!table.takeNextBatch().empty() && sent < 100)
        sent++;
    cr_assert_gt(sent, 2);
    cr_assert_lt(sent, 10);
}
