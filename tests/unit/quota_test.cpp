/// Tests of the whole daemon with client accounts: keys, what workers are told, and quotas over several VMs.
#include "edge_world.h"
#include "heartbeat_codec.h"

using namespace comfreypier;
using namespace comfreypier::testing;

namespace {

void waitUntilReady(TestCluster& cluster, int vms)
{
    for (int i = 0; i < vms; i++)
        cr_assert(cluster.waitUntil([&cluster, i] { return cluster.isReady(i); }), "the VM is not ready");
}

/// Sends requests to all VMs in turn, about 100 a second.
/// @return number of answers by status.
std::map<unsigned, int> sendRequests(TestCluster& cluster, int vms, milliseconds duration, const std::string& key)
{
    static int count = 0;
    std::map<unsigned, int> statuses;
    auto end = transport::monotonicNow() + duration;
    while (transport::monotonicNow() < end) {
        count++;
        statuses[cluster.sendRequest("/order/x", "q" + std::to_string(count), keyHeader(key), count % vms).status]++;
        std::this_thread::sleep_for(milliseconds { 6 });
    }
    return statuses;
}

} // namespace

// Guards against keys that reach workers, accounts that callers name themselves, and callers without a key that get through.
Test(quotas, worker_is_told_the_account_and_not_the_key, .timeout = 60)
{
    auto* cluster = new TestCluster(18100);
    cluster->configureAccounts(1, "[" + accountJson("ann", "k1", 0, 0) + "," + accountJson("bob", "k2", 0, 0) + "]");
    waitUntilReady(*cluster, 1);
    auto headers = keyHeader("k2");
    headers.push_back({ "Tenant", "ann" });
    cr_assert_eq(cluster->sendRequest("/order/x", "a1", headers).status, 200U);
    cr_assert_eq(cluster->sendRequest("/open/x", "a2", { { "Tenant", "ann" } }).status, 200U, "an open route takes requests without a key");
    int seen = 0;
    for (int i = 0; i < 2; i++) {
        std::lock_guard lock(cluster->app(i).mutex);
        for (const auto& request : cluster->app(i).recentRequests) {
            seen++;
            cr_assert(findHeader(request.headers, "Authorization").empty(), "the key was passed on");
            auto told = std::string(findHeader(request.headers, "Tenant"));
            cr_assert(told == (sentId(request) == "a1" ? "bob" : ""), "the worker was told \"%s\"", told.c_str());
        }
    }
    cr_assert_eq(seen, 2);
    for (const char* key : { "k", "k11", "" })
        cr_assert_eq(cluster->sendRequest("/order/x", std::string("b") + key, keyHeader(key)).status, 401U);
    cr_assert_eq(cluster->sendRequest("/order/x", "c", {}).status, 401U);
    exitProcess();
}

// Guards against VMs that each grant the whole quota, or refuse what is within it.
Test(quotas, hold_over_two_vms_together, .timeout = 90)
{
    constexpr int vms = 2;
    auto* cluster = new TestCluster(18200, vms);
    cluster->configureAccounts(1, "[" + accountJson("slow", "k1", 10, 5) + "," + accountJson("fast", "k2", 1000, 1000) + "]");
    waitUntilReady(*cluster, vms);
    std::this_thread::sleep_for(seconds { 2 });
    sendRequests(*cluster, vms, seconds { 2 }, "k1");
    auto statuses = sendRequests(*cluster, vms, seconds { 8 }, "k1");
    cr_assert(statuses[200] >= 70 && statuses[200] <= 86, "%d requests pass in 8 s at 10 a second", statuses[200]);
    cr_assert_gt(statuses[429], 100);
    cr_assert_eq(statuses.size(), 2U);
    auto refusal = cluster->sendRequest("/order/x", "r", keyHeader("k1"));
    for (int i = 0; refusal.status == 200 && i < 50; i++)
        refusal = cluster->sendRequest("/order/x", "r" + std::to_string(i), keyHeader("k1"));
    auto retryAfter = std::stod("0" + std::string(findHeader(refusal.headers, "Retry-After")));
    cr_assert(retryAfter > 0 && retryAfter <= 0.11, "Retry-After is %g at 10 a second", retryAfter);
    statuses = sendRequests(*cluster, vms, seconds { 2 }, "k2");
    cr_assert(statuses.size() == 1 && statuses[200] > 50, "another account is not refused");
    // A raised quota takes effect without a restart.
    cluster->configureAccounts(2, "[" + accountJson("slow", "k1", 1000, 1000) + "]");
    std::this_thread::sleep_for(seconds { 2 });
    statuses = sendRequests(*cluster, vms, seconds { 2 }, "k1");
    cr_assert(statuses.size() == 1 && statuses[200] > 50, "the raised quota is not applied");
    exitProcess();
}

// Guards against requests that count though no worker has run them, and against callers that wait for room that never comes.
Test(quotas, refused_requests_are_given_back_and_too_large_ones_told, .timeout = 60)
{
    auto* cluster = new TestCluster(18300);
    cluster->configureAccounts(1, "[" + accountJson("ann", "k1", 50, 100, R"(,"unit":"token_count","raw-tokens":100)") + "]");
    waitUntilReady(*cluster, 1);
    std::this_thread::sleep_for(seconds { 3 });
    for (int i = 0; i < 2; i++)
        cluster->app(i).fault = WorkerFault::Full;
    for (int i = 0; i < 3; i++)
        cr_assert_eq(cluster->sendRequest("/status/x", "f" + std::to_string(i), keyHeader("k1")).status, 503U, "no worker takes it");
    for (int i = 0; i < 2; i++)
        cluster->app(i).fault = WorkerFault::None;
    cr_assert(cluster->waitUntil([&] { return cluster->sendRequest("/open/x", "o", {}).status == 200; }));
    cr_assert_eq(cluster->sendRequest("/status/x", "g", keyHeader("k1")).status, 200U, "what has not run does not count");
    auto refusal = cluster->sendRequest("/status/x", "h", keyHeader("k1"));
    cr_assert_eq(refusal.status, 429U);
    auto headers = keyHeader("k1");
    headers.push_back(tokenHeader(90, 20));
    refusal = cluster->sendRequest("/status/x", "i", headers);
    cr_assert_eq(refusal.status, 429U);
    cr_assert(findHeader(refusal.headers, "Retry-After").empty(), "there never is room for it");
    auto metrics = cluster->call(cluster->metrics(), { "GET", "/", {}, {} }).value().body;
    cr_assert(metrics.find("comfreypier_quota_cost_total{account=\"ann\",outcome=\"granted\"}") != std::string::npos);
    cr_assert(metrics.find("comfreypier_refusals_total{reason=\"quota\"} 2") != std::string::npos);
    exitProcess();
}

// Guards against refusals of an account that has just got a quota: the request's configuration is newer than that of the buckets.
Test(quotas, new_ones_hold_from_their_first_request, .timeout = 60)
{
    auto* cluster = new TestCluster(18400);
    auto accounts = accountJson("a1", "k1", 1000, 1000);
    cluster->configureAccounts(1, "[" + accounts + "]");
    waitUntilReady(*cluster, 1);
    cr_assert(cluster->waitUntil([&] { return cluster->sendRequest("/order/x", "a", keyHeader("k1")).status == 200; }));
    for (int version = 2; version < 10; version++) {
        accounts += "," + accountJson("a" + std::to_string(version), "k" + std::to_string(version), 1000, 1000);
        cluster->configureAccounts(version, "[" + accounts + "]");
        std::map<unsigned, int> statuses;
        cr_assert(cluster->waitUntil([&] {
            auto status = cluster->sendRequest("/order/x", "b" + std::to_string(version) + "-" + std::to_string(statuses[401]), keyHeader("k" + std::to_string(version))).status;
            return ++statuses[status] > 0 && status != 401; }));
        cr_assert_eq(statuses[200], 1, "the first request is refused as the level is not known");
    }
    exitProcess();
}

// Guards against names of accounts that make the metrics unreadable: a label knows no escapes but these.
Test(quotas, metrics_name_accounts_as_prometheus_reads_them, .timeout = 60)
{
    auto* cluster = new TestCluster(18500);
    cluster->configureAccounts(1, "[" + accountJson(R"(Ann & \"Sons\" \\ 1)", "k1", 100, 100) + "]");
    waitUntilReady(*cluster, 1);
    cr_assert(cluster->waitUntil([&] { return cluster->sendRequest("/order/x", "a", keyHeader("k1")).status == 200; }));
    auto metrics = cluster->call(cluster->metrics(), { "GET", "/", {}, {} }).value().body;
    cr_assert_neq(metrics.find(R"(comfreypier_quota_cost_total{account="Ann & \"Sons\" \\ 1",outcome="granted"} 1)"), std::string::npos, "%s", metrics.c_str() + metrics.find("quota_cost"));
    exitProcess();
}

// Guards against a VM that starts, becomes the holder, and charges a bucket beside the former holder, which does not know it yet: in large groups
// VMs read the members seldom, and other groups hear a VM every two seconds.
Test(quotas, new_vms_are_known_with_their_first_message, .timeout = 60)
{
    auto* cluster = new TestCluster(18600);
    std::atomic<bool> introduced { false };
    std::atomic<bool> answered { false };
    transport::DatagramSocket known(cluster->runtime, loopback(18660), [&](std::string_view bytes) {
        auto message = edge::decodeHeartbeat(bytes);
        if (message && !message->quota.isEmpty() && message->member && message->member->incarnation == message->incarnation)
            introduced = true;
    });
    transport::DatagramSocket unknown(cluster->runtime, loopback(18670), [&](std::string_view bytes) {
        auto message = edge::decodeHeartbeat(bytes);
        if (message && !message->quota.levels.empty() && message->quota.levels.front().answers == seconds { 1 })
            answered = true;
    });
    cr_assert(known.start() && unknown.start());
    cluster->writeMember("known", edge::encodeMember({ 1, loopback(18660), loopback(18661), "dc", 1 }));
    cluster->configureAccounts(1, "[" + accountJson("ann", "k1", 10, 5) + "]");
    cr_assert(cluster->waitUntil([&] {
        cluster->sendRequest("/order/x", "id-" + std::to_string(std::rand()), keyHeader("k1"));
        return introduced.load();
    }),
        "the messages of a new VM don't say that it is a member");
    edge::Heartbeat report;
    report.node = "unknown";
    report.incarnation = 7;
    report.member = edge::Member { 7, loopback(18670), loopback(18671), "dc", 1 };
    accounts::LevelReport level;
    level.account = "ann";
    level.sentAt = seconds { 1 };
    level.wantsAnswer = true;
    report.quota.levels.push_back(level);
    std::atomic<bool> sent { false };
    cluster->runtime.spawn([&] {
        (void)unknown.send(loopback(cluster->base + 23), edge::encodeHeartbeat(report));
        sent = true;
    });
    cr_assert(cluster->waitUntil([&] { return answered.load(); }), "the first message of a new VM is not answered");
    cr_assert(sent.load());
    exitProcess();
}

// Guards against a VM that begins to exchange levels up to a second after its first configuration, and refuses all requests of accounts with a
// quota meanwhile.
Test(quotas, levels_are_exchanged_from_the_first_configuration_on, .timeout = 60)
{
    auto* cluster = new TestCluster(18700, 0);
    std::atomic<bool> reported { false };
    transport::DatagramSocket peer(cluster->runtime, loopback(18760), [&](std::string_view bytes) {
        auto message = edge::decodeHeartbeat(bytes);
        if (message && !message->quota.levels.empty())
            reported = true;
    });
    cr_assert(peer.start());
    cluster->writeMember("peer", edge::encodeMember({ 1, loopback(18760), loopback(18761), "dc", 1 }));
    // The VM holds the buckets of some of them.
    std::string accounts = accountJson("account0", "key0", 10, 5);
    for (int i = 1; i < 12; i++)
        accounts += "," + accountJson("account" + std::to_string(i), "key" + std::to_string(i), 10, 5);
    cluster->configureAccounts(1, "[" + accounts + "]");
    cluster->startVm(0);
    std::atomic<bool> sending { true };
    std::atomic<bool> ended { false };
    cluster->runtime.spawn([&] {
        edge::Heartbeat heartbeat;
        heartbeat.node = "peer";
        heartbeat.incarnation = 1;
        heartbeat.ready = true;
        heartbeat.storeEra = 1;
        while (sending) {
            heartbeat.sequence++;
            (void)peer.send(loopback(cluster->base + 23), edge::encodeHeartbeat(heartbeat));
            transport::sleepFor(milliseconds { 20 });
        }
        ended = true;
    });
    cr_assert(cluster->waitUntil([&] { return reported.load(); }, milliseconds { 700 }), "no report within a few rounds");
    sending = false;
    cr_assert(cluster->waitUntil([&] { return ended.load(); }));
    exitProcess();
}
