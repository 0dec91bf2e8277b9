/// Tests of the platform adapter: decoding of entries, configurations and headers, building of requests and responses, and calls.
#include "broken_answers.h"
#include "raw_peer.h"

#include <criterion/criterion.h>
#include <fcntl.h>
#include <platform/platform.h>
#include <rapidcheck.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <thread>

using namespace comfreypier;
using namespace comfreypier::platform;
using std::chrono::milliseconds;
using transport::findHeader;

namespace {

constexpr const char* validEntry = R"({"service":"s","addr":"10.0.0.1:80","zone":"dc","version":"v1","slots":4,"state":"ready","cold-left-ms":0,"born":1700000000000,"models":[{"name":"m","version":2,"adapters":["a1"]}],"available":{"resident":["m"],"cached-on-disk":["n"]},"seq":4})";
constexpr const char* validConfiguration = R"({"version":3,"routes":[{"name":"r","host":"h","path-prefix":"/p/","kind":"streaming","timeout-ms":6000,"target-latency-ms":800,"priority":1,"traffic-split":[{"service":"s","weight":90},{"service":"t","weight":10}],"max-attempts":2,"resumable":true,"target-gap-ms":250}],"services":[{"name":"s","max-conns":7,"engine":{"slots":64,"kv-capacity":232000,"backups":true,"stride":4,"models":[{"name":"m","weights-mb":34300.0,"load-s":2.0,"adapters":32,"adapter-mb":40.0,"warmup-s":0.28,"disk-load-s":0.4}],"weights-mb":200000.0,"adapter-slots":8,"loads-per-s":1.1}}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}})";

/// Returns a random prefix of `text` in which up to three random bytes are replaced.
std::string corrupt(std::string text)
{
    auto changes = *rc::gen::inRange(0, 4);
    for (int i = 0; i < changes && !text.empty(); i++)
        text[*rc::gen::inRange<size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
    return text.substr(0, *rc::gen::inRange<size_t>(0, text.size() + 1));
}

} // namespace

Test(entries, valid_entry_is_decoded)
{
    auto entry = decodeWorkerEntry("i-1", validEntry);
    cr_assert(entry.has_value());
    cr_assert_eq(entry->id, "i-1");
    cr_assert_eq(transport::toString(entry->address), "10.0.0.1:80");
    cr_assert_eq(entry->startedAt, 1700000000000);
    cr_assert(entry->models[0].adapters.contains("a1"));
    cr_assert(entry->onDisk.contains("n"));
    cr_assert_not(entry->draining);
}

// Each text is no JSON object, lacks a field, or has one of a wrong type, format or value. Guards against routing to a worker
// whose entry was decoded only in part.
Test(entries, invalid_entries_are_rejected)
{
    for (const auto* text : { "", "null", "[1]", "{}", R"({"service":"s","addr":"10.0.0.1:80","zone":"dc","slots":"4","state":"ready"})",
             R"({"service":"s","addr":"10.0.0.1:80","zone":"dc","slots":4,"state":"asleep"})", R"({"service":"s","addr":"10.0.0.1","zone":"dc","slots":4,"state":"ready"})",
             R"({"service":"s","addr":"10.0.0.1:80","zone":"dc","slots":4,"state":"ready","born":1.5})" })
        cr_assert_not(decodeWorkerEntry("i-1", text).has_value(), "%s", text);
}

// Guards against a crash or an exception when an entry in the store is corrupt.
Test(entries, corrupt_entries_are_handled)
{
    cr_assert(rc::check("truncated and corrupted entries", [] {
        auto entry = decodeWorkerEntry("i-1", corrupt(validEntry));
        if (entry)
            RC_ASSERT(entry->address.port != 0);
    }));
}

// Other writers may put any bytes into the entries. Numbers of any size must neither end the process nor become other numbers.
Test(entries, numbers_of_any_size_are_handled)
{
    auto entry = [](const std::string& born, const std::string& slots) {
        return decodeWorkerEntry("i-1", R"({"service":"s","addr":"10.0.0.1:80","zone":"z","state":"ready","slots":)" + slots + R"(,"born":)" + born + R"(,"models":[{"name":"m","version":)" + born + "}]}");
    };
    cr_assert(entry("1700000000000", "8").has_value());
    for (const auto* number : { "18446744073709551615", "9223372036854775808", "1e300", "-1e300", "1.5", "99999999999999999999999999" })
        cr_assert_not(entry(number, "8").has_value(), "born %s", number);
    for (const auto* number : { "-1", "1e300", "18446744073709551615" })
        cr_assert_not(entry("1", number).has_value(), "slots %s", number);
    std::string error;
    for (const auto* number : { "1e300", "18446744073709551615", "1e18" }) {
        auto configuration = decodeConfiguration(std::string(R"({"version":1,"routes":[{"host":"h","path-prefix":"/","kind":"idempotent","service":"s","timeout-ms":)") + number + R"(,"priority":)" + number + R"(}],"services":[{"name":"s","max-conns":)" + number + "}]}", error);
        cr_assert(configuration.has_value());
        cr_assert_gt(configuration->routes[0].timeout.count(), 0);
        cr_assert_gt(configuration->services["s"].connectionLimit, 0U);
    }
}

namespace {

/// Returns a sound entry with one field replaced or added.
std::string entryWith(const std::string& field, const std::string& value)
{
    std::map<std::string, std::string> fields { { "service", "\"s\"" }, { "addr", "\"10.0.0.1:80\"" }, { "zone", "\"z\"" }, { "state", "\"ready\"" }, { "slots", "8" }, { "born", "1" } };
    fields[field] = value;
    std::string text;
    for (const auto& [name, content] : fields)
        text += (text.empty() ? "{\"" : ",\"") + name + "\":" + content;
    return text + "}";
}

} // namespace

// Another writer leaves one odd entry among those of the workers: nested more deeply than any stack, with numbers that no type holds, with a
// port out of range, or under a key that breaks headers and log lines. It names no worker and must not end the process.
Test(entries, entries_of_other_writers_are_rejected)
{
    cr_assert(decodeWorkerEntry("i-1", entryWith("slots", "8")).has_value());
    constexpr size_t depth = 100'000; // The store takes records of up to 256 KiB.
    auto nestedArray = std::string(depth, '[') + std::string(depth, ']');
    std::string nestedObject;
    for (size_t i = 0; i < depth / 3; i++)
        nestedObject += R"({"":)";
    nestedObject += "1" + std::string(depth / 3, '}');
    for (const auto& bytes : { nestedArray, std::string(depth, '['), nestedObject, std::string(depth, '{'), entryWith("other", nestedArray), entryWith("models", nestedArray), entryWith("other", nestedObject) })
        cr_assert_not(decodeWorkerEntry("i-1", bytes).has_value());
    for (const auto& number : { std::string("1e400"), std::string("-1e400"), std::string("1e999999999"), std::string(400, '9'), "0." + std::string(1000, '0') + "1", std::string("-9223372036854775809") }) {
        for (const auto* field : { "slots", "born" })
            cr_assert_not(decodeWorkerEntry("i-1", entryWith(field, number)).has_value() && std::string(field) == "born", "%s %s", field, number.c_str());
        decodeWorkerEntry("i-1", entryWith("other", number));
    }
    for (const auto* address : { "10.0.0.1:65536", "10.0.0.1:0", "10.0.0.1:-1", "10.0.0.1:99999999999999999999", "10.0.0.1:+80", "10.0.0.1:8 0", "10.0.0.1:", ":80", "10.0.0.1", "10.0.0.256:80", "a:80", "10.0.0.1:80:80", "" })
        cr_assert_not(decodeWorkerEntry("i-1", entryWith("addr", std::string("\"") + address + "\"")).has_value(), "%s", address);
    for (const auto& id : { std::string(""), std::string("i 1"), std::string("i\r\nHold: 1"), std::string("i\n1"), std::string("i\0", 2), std::string("i\xff"), std::string("\x1b[2J") })
        cr_assert_not(decodeWorkerEntry(id, entryWith("slots", "8")).has_value(), "%s", id.c_str());
}

// A page of the newest records may hold items that can't be decoded, or nothing else. The records after them must still be read.
Test(store, odd_records_hide_no_others)
{
    constexpr uint16_t port = 15910;
    const std::string sound = R"({"key":"z","value":"e30=","offset":7})";
    const std::vector<std::string> oddItems {
        R"({"key":"a","value":"QUI"})", R"({"key":"a","value":"#"})", R"({"key":"a","value":7})", R"({"key":"a"})", R"({"key":"a","value":""})", R"({"key":"a","value":"e30=","offset":1e300})",
        R"({"key":"a","value":"e30=","offset":-1})", R"({"key":"a","value":"e30=","offset":"x"})", "{\"key\":\"a\xff\xfe\",\"value\":\"e30=\",\"offset\":1}", R"({"key":"a\ud800","value":"e30=","offset":1})",
        R"({"key":"a\udc81b","value":"e30=","offset":1})", R"({"key":7,"value":"e30="})", "7", "null", "[[]]", R"({"key":")" + std::string(255, 'a') + R"(","value":"!"})"
    };
    std::mutex mutex;
    std::string odd;
    std::atomic<int> calls { 0 };
    standins::RawPeer peer(port, [&](int connection) {
        while (true) {
            auto request = standins::RawPeer::readRequest(connection);
            if (request.empty())
                return;
            calls++;
            std::lock_guard lock(mutex);
            // The first page holds the odd item alone, or with a sound one before it; the second page the record after it.
            auto first = request.find("after=") == std::string::npos;
            auto body = first ? R"({"items":[{"key":"A","value":"e30=","offset":1},)" + odd + R"(],"has-more":true,"end":9})" : R"({"items":[)" + sound + R"(],"has-more":false,"end":9})";
            standins::RawPeer::write(connection, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        }
    });
    transport::Runtime runtime(1);
    transport::HttpClient client;
    std::atomic<bool> done { false };
    runtime.spawn([&] {
        for (const auto& item : oddItems) {
            {
                std::lock_guard lock(mutex);
                odd = item;
            }
            calls = 0;
            auto page = readLatest({ &client, { "127.0.0.1", port } }, Stream::Workers);
            cr_assert(page.has_value(), "%s", item.c_str());
            const auto& records = page.value().records;
            auto found = std::any_of(records.begin(), records.end(), [](const auto& record) { return record.key == "z" && record.value == "{}"; });
            cr_assert(found, "%s hides the record after it", item.c_str());
            cr_assert_eq(calls, 2, "%s: %d calls", item.c_str(), calls.load());
        }
        done = true;
    });
    while (!done)
        std::this_thread::sleep_for(milliseconds { 10 });
    cr_assert(runtime.stop(std::chrono::seconds { 5 }));
}

// All answers state the era of the store, also those that refuse a call.
Test(store, era_of_each_answer_is_reported)
{
    constexpr uint16_t port = 13450;
    struct Case {
        std::string status;
        std::string header;
        uint64_t era;
    };
    const std::vector<Case> cases { { "200 OK", "Store-Era: 3\r\n", 3 }, { "410 Gone", "store-era: 4\r\n", 4 }, { "412 Precondition Failed", "Store-Era: 5\r\n", 5 }, { "503 Unavailable", "Store-Era: 6\r\n", 6 }, { "200 OK", "", 0 },
        { "200 OK", "Store-Era: x\r\n", 0 }, { "200 OK", "Store-Era: -1\r\n", 0 }, { "200 OK", "Store-Era: 99999999999999999999999\r\n", 0 } };
    std::atomic<size_t> current { 0 };
    standins::RawPeer peer(port, [&](int connection) {
        for (auto request = standins::RawPeer::readRequest(connection); !request.empty(); request = standins::RawPeer::readRequest(connection)) {
            const auto& [status, header, era] = cases[current];
            std::string body = request.find("log-read") != std::string::npos ? std::string(16, '\0') : R"({"items":[],"has-more":false,"end":9,"offset":8})";
            standins::RawPeer::write(connection, "HTTP/1.1 " + status + "\r\n" + header + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        }
    });
    transport::Runtime runtime(1);
    transport::HttpClient client;
    std::atomic<bool> done { false };
    runtime.spawn([&] {
        for (; current < cases.size(); current++) {
            std::vector<uint64_t> seen;
            Store store { &client, { "127.0.0.1", port }, [&seen](uint64_t era) { seen.push_back(era); } };
            const auto& expected = cases[current];
            auto latest = readLatest(store, Stream::Workers);
            auto page = readFrom(store, Stream::Workers, 7, milliseconds { 0 });
            auto appended = append(store, Stream::Members, "k", "v");
            cr_assert_eq(latest.has_value(), expected.status.starts_with("200"));
            if (latest) {
                cr_assert_eq(latest.value().era, expected.era);
                cr_assert_eq(page.value().era, expected.era);
                cr_assert_eq(appended.value().era, expected.era);
                cr_assert_eq(appended.value().offset, 8U);
            }
            cr_assert(seen == std::vector<uint64_t>(expected.era == 0 ? 0 : 3, expected.era), "case %zu", current.load());
        }
        done = true;
    });
    while (!done)
        std::this_thread::sleep_for(milliseconds { 10 });
    cr_assert(runtime.stop(std::chrono::seconds { 5 }));
}

// The store may come back from a copy between two pages. Together they would tell of no moment at all.
Test(store, pages_of_two_eras_are_not_joined)
{
    constexpr uint16_t port = 13460;
    std::atomic<int> calls { 0 };
    standins::RawPeer peer(port, [&](int connection) {
        for (auto request = standins::RawPeer::readRequest(connection); !request.empty(); request = standins::RawPeer::readRequest(connection)) {
            auto first = request.find("after=") == std::string::npos;
            // The third and the fourth call are of one era.
            auto era = calls++ == 0 ? 1 : 2;
            auto body = first ? R"({"items":[{"key":"a","value":"e30=","offset":1}],"has-more":true,"end":9})" : R"({"items":[{"key":"b","value":"e30=","offset":2}],"has-more":false,"end":4})";
            standins::RawPeer::write(connection, "HTTP/1.1 200 OK\r\nStore-Era: " + std::to_string(era) + "\r\nContent-Length: " + std::to_string(std::string(body).size()) + "\r\n\r\n" + body);
        }
    });
    transport::Runtime runtime(1);
    transport::HttpClient client;
    std::atomic<bool> done { false };
    runtime.spawn([&] {
        Store store { &client, { "127.0.0.1", port } };
        auto page = readLatest(store, Stream::Workers);
        cr_assert_not(page.has_value());
        cr_assert_eq(page.error(), StoreError::Expired);
        page = readLatest(store, Stream::Workers);
        cr_assert(page.has_value());
        cr_assert_eq(page.value().records.size(), 2U);
        cr_assert_eq(page.value().era, 2U);
        done = true;
    });
    while (!done)
        std::this_thread::sleep_for(milliseconds { 10 });
    cr_assert(runtime.stop(std::chrono::seconds { 5 }));
}

Test(configurations, valid_configuration_is_decoded)
{
    std::string error;
    auto configuration = decodeConfiguration(validConfiguration, error);
    cr_assert(configuration.has_value());
    const auto& route = configuration->routes[0];
    cr_assert(route.streaming && route.resumable && !route.idempotent);
    cr_assert_eq(route.targets.size(), 2U);
    cr_assert_eq(route.timeout, milliseconds { 6000 });
    const auto& engine = *configuration->services.at("s").engine;
    cr_assert(engine.supportsBackups);
    cr_assert_eq(engine.models[0].diskLoadTime, milliseconds { 400 });
    cr_assert_eq(configuration->limits.maxBodyBytes, 4194304U);
}

// Guards against a crash or an exception when the configuration in the store is corrupt, and against a missing description of
// the error.
Test(configurations, corrupt_configurations_are_decoded_or_give_an_error)
{
    cr_assert(rc::check("truncated and corrupted configurations are decoded or give an error", [] {
        std::string error;
        auto configuration = decodeConfiguration(corrupt(validConfiguration), error);
        RC_ASSERT((configuration.has_value() || !error.empty()));
    }));
}

// A time limit that no clock can hold must not wrap around: the request would be late on arrival.
Test(requests, absurd_time_limits_are_bounded)
{
    for (const auto* text : { "9223372036854775807", "99999999999999999999999999", "9223372036855" }) {
        auto head = decodeRequestHead({ "POST", "/", { { "Deadline-Ms", text } }, "" });
        cr_assert(head.remainingTime && *head.remainingTime == transport::maxForeignDuration, "%s", text);
    }
    cr_assert_eq(decodeRequestHead({ "POST", "/", { { "Deadline-Ms", "-5" } }, "" }).remainingTime->count(), 0);
}

Test(requests, headers_are_decoded)
{
    transport::HttpRequest request { "POST", "/p/1", { { "Attempt-Id", "x" }, { "Model", "m/a3" }, { "Token-Count", "1460,80" }, { "Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250" }, { "Deadline-Ms", "5000" } }, "b" };
    auto head = decodeRequestHead(request);
    cr_assert_eq(head.id, "x");
    cr_assert_eq(head.shape.model, "m");
    cr_assert_eq(head.shape.adapter, "a3");
    cr_assert_eq(head.shape.promptTokens, 1460U);
    cr_assert_eq(head.shape.outputTokens, 80U);
    cr_assert_eq(head.shape.parts.size(), 3U);
    cr_assert_eq(head.shape.parts[0].id, 0x5c1e07a2U);
    cr_assert_eq(*head.remainingTime, milliseconds { 5000 });
}

// An error's text, a whole head or an event of another run must not be taken for an event that continues a stream.
Test(streams, only_events_that_continue_the_stream_are_found)
{
    struct Case {
        const char* bytes;
        size_t count;
        bool ended;
    };
    for (const auto& item : std::vector<Case> {
             { "", 0, false }, { "id: 4\ndata: a\n", 0, false }, { "id: 4\ndata: a\n\n", 1, false }, { "weight-versions: 3\nid: 4\ndata: a\n\nid:7\n\nid: 8", 2, false }, { ": note\n\nid: 4\n\n", 2, false },
             { "\n\nid: 4\n\n", 2, false }, { "id: 3\ndata: a\n\n", 0, true }, { "id: 2\n\n", 0, true }, { "id: 4\n\nid: 4\n\n", 1, true }, { "id: 4\n\nid: 10\n\nid: 9\n\n", 2, true }, { "overloaded\n\n", 0, true },
             { "{\"error\":\"x\"}\n\nid: 4\n\n", 0, true }, { "HTTP/1.1 500 Error\r\nContent-Length: 2\r\n\r\nok\n\n", 0, true }, { "data: a\n\n", 0, true } }) {
        auto events = findEvents(item.bytes, "3");
        cr_assert_eq(events.count, item.count, "%s", item.bytes);
        cr_assert_eq(events.ended, item.ended, "%s", item.bytes);
    }
    cr_assert_eq(findEvents("data: a\n\nid: 1\n\n", std::nullopt).count, 2U, "a stream without ids, or before its first");
    cr_assert_eq(*findEvents("id: 4\n\nid: 5\n\n: x\n\nid: 6", "3").lastId, "5");
    cr_assert(findEvents("id: a\n\n", "a").ended);
    cr_assert_eq(findEvents("id: b\n\n", "a").count, 1U);
}

// Guards against a crash or an exception when a caller sends invalid headers.
Test(requests, arbitrary_header_values_are_handled)
{
    cr_assert(rc::check("random header values", [](const std::string& a, const std::string& b, const std::string& c) {
        decodeRequestHead({ "GET", "/", { { "Token-Count", a }, { "Prompt-Prefix", b }, { "Deadline-Ms", c }, { "Model", a }, { "Length-Hint", c } }, "" });
    }));
}

// Hop-by-hop headers must not reach the worker, including those that the caller lists in Connection. Time limit and resume
// position are replaced by those in `options`.
Test(requests, end_to_end_headers_are_forwarded_unchanged)
{
    transport::HttpRequest request { "POST", "/p/1?q=%20", { { "Host", "h" }, { "Attempt-Id", "x" }, { "Model", "m/a3" }, { "Connection", "close, X-One" }, { "X-One", "1" }, { "X-Two", "2" }, { "Transfer-Encoding", "chunked" }, { "Deadline-Ms", "9000" }, { "Last-Event-Id", "4" } }, "body" };
    WorkerCallOptions options;
    options.workerId = "i-1";
    options.remainingTime = milliseconds { 321 };
    options.lastEventId = "6";
    options.backupSource = transport::Endpoint { "10.0.0.2", 81 };
    auto out = makeWorkerRequest(request, options);
    cr_assert_eq(out.target, "/p/1?q=%20");
    cr_assert_eq(out.body, "body");
    cr_assert_eq(findHeader(out.headers, "Model"), "m/a3");
    cr_assert_eq(findHeader(out.headers, "X-Two"), "2");
    cr_assert_eq(findHeader(out.headers, "Deadline-Ms"), "321");
    cr_assert_eq(findHeader(out.headers, "Last-Event-Id"), "6");
    cr_assert_eq(findHeader(out.headers, "Kv-From"), "10.0.0.2:81/x");
    for (const auto* name : { "X-One", "Connection", "Transfer-Encoding" })
        cr_assert(findHeader(out.headers, name).empty(), "%s", name);
}

// A key of a client account is a secret between its caller and the VMs, and a worker believes the account that it is told.
Test(requests, workers_are_told_the_account_and_never_the_key)
{
    transport::HttpRequest request { "POST", "/p", { { "authorization", "bearer secret-1" }, { "TENANT", "forged" }, { "Token-Count", "7,5" }, { "Length-Hint", "9" } }, "" };
    auto head = decodeRequestHead(request);
    cr_assert_eq(head.key, "secret-1");
    cr_assert_eq(*head.tokens, 12U, "what the caller states counts, not its estimate");
    WorkerCallOptions options;
    options.hasAccounts = true;
    options.account = "a1";
    auto out = makeWorkerRequest(request, options);
    cr_assert(findHeader(out.headers, "Authorization").empty());
    cr_assert_eq(findHeader(out.headers, "Tenant"), "a1");
    cr_assert_eq(std::count_if(out.headers.begin(), out.headers.end(), [](const auto& header) { return header.value == "forged"; }), 0);
    options.account.clear();
    cr_assert(findHeader(makeWorkerRequest(request, options).headers, "Tenant").empty(), "a caller without an account names none");
    cr_assert_eq(findHeader(makeWorkerRequest(request, {}).headers, "Authorization"), "bearer secret-1", "without accounts headers are forwarded as before");
    for (const auto* value : { "", "Bearer", "Bearer ", "Basic secret-1", "secret-1" })
        cr_assert(decodeRequestHead({ "GET", "/", { { "Authorization", value } }, "" }).key.empty(), "'%s'", value);
    cr_assert_not(decodeRequestHead({ "GET", "/", {}, "" }).tokens);
}

// Guards against callers whose requests cost nothing as their numbers of tokens can't be read.
Test(requests, token_counts_that_cannot_be_read_count_as_none)
{
    auto tokensOf = [](const char* text) { return decodeRequestHead({ "POST", "/", { { "Token-Count", text } }, "" }).tokens; };
    for (const auto* text : { "x", ",", "7,", ",7", "-3,1", "1e9,1", "7,5,1", "7 5", "99999999999999999999999,1" })
        cr_assert_not(tokensOf(text).has_value(), "%s", text);
    cr_assert_eq(tokensOf("0,0"), std::optional<uint64_t>(0));
    cr_assert_eq(tokensOf(" 7 , 5 "), std::optional<uint64_t>(12));
    cr_assert_eq(tokensOf("7"), std::optional<uint64_t>(7));
    cr_assert_gt(tokensOf("4294967296,1").value_or(0), 4294967295U, "more than the estimate holds");
    cr_assert_gt(tokensOf("18446744073709551615,18446744073709551615").value_or(0), 4294967295U);
}

// Guards against a configuration that opens all routes and passes keys on, as its accounts can't be read.
Test(configurations, client_accounts_that_are_no_list_are_an_error)
{
    auto decode = [](const std::string& accounts, std::string& error) { return decodeConfiguration(R"({"version":3,"routes":[],"services":[],"tenants":)" + accounts + "}", error); };
    std::string error;
    cr_assert(decode("[]", error).has_value());
    for (const auto* accounts : { "{}", "\"a\"", "5", "true" }) {
        error.clear();
        cr_assert_not(decode(accounts, error).has_value(), "%s", accounts);
        cr_assert_not(error.empty());
    }
}

// Guards against a name that brings a further header to workers: they are told the account in one.
Test(configurations, client_accounts_with_control_characters_are_an_error)
{
    auto decode = [](const std::string& name, std::string& error) { return decodeConfiguration(R"({"version":3,"routes":[],"services":[],"tenants":[{"name":")" + name + R"("}]})", error); };
    std::string error;
    cr_assert(decode("A & B \u00e9", error).has_value());
    for (const auto* name : { R"(a\r\nTenant: b)", R"(a\nb)", R"(a\u0000)", R"(\u007f)" }) {
        error.clear();
        cr_assert_not(decode(name, error).has_value(), "%s", name);
        cr_assert_not(error.empty());
    }
}

Test(configurations, client_accounts_are_decoded_without_their_keys)
{
    std::string error;
    auto configuration = decodeConfiguration(R"({"version":3,"routes":[{"host":"h","path-prefix":"/","kind":"idempotent","service":"s","public":true}],"services":[{"name":"s"}],"tenants":[
        {"name":"a","api-keys":["k1","k2",5],"priority":1,"unit":"token_count","raw-tokens":200,"rate-per-s":50,"burst":-3},{"name":"b","api-keys":[""]}]})",
        error);
    cr_assert(configuration && configuration->accounts && configuration->routes[0].open);
    const auto& account = configuration->accounts->at(0);
    cr_assert(account.keys.empty());
    cr_assert_eq(*account.priority, 1U);
    cr_assert(account.quota == (accounts::Quota { accounts::QuotaUnit::Tokens, 50, 0, 200 }));
    cr_assert_eq(*configuration->keys->find("k2"), 0U);
    cr_assert_eq(configuration->keys->size(), 2U);
    cr_assert_not(configuration->keys->find(""));
    cr_assert_not(configuration->accounts->at(1).priority);
    cr_assert_eq(account.weight, 0, "the quota of the other account is unlimited");
    auto comparable = decodeConfiguration(R"({"version":3,"routes":[],"services":[],"tenants":[{"name":"a","rate-per-s":50},{"name":"b","rate-per-s":20}]})", error);
    cr_assert_eq(comparable->accounts->at(0).weight, 50);
    cr_assert_eq(comparable->accounts->at(1).weight, 20);
    cr_assert_not(decodeConfiguration(R"({"version":3,"routes":[],"services":[],"tenants":[{}]})", error));
    cr_assert_eq(error, "client account 0 lacks a name");
    cr_assert_not(decodeConfiguration(R"({"version":3,"routes":[],"services":[]})", error)->accounts);
}

// A request counts as not executed only if the worker says so by header or by status 421. Any other error leaves it open
// whether the request ran, so that it must not be retried as if it had not.
Test(responses, only_the_worker_marks_a_request_as_not_executed)
{
    cr_assert(decodeResponseHead(503, { { "Not-Executed", "1" } }).notExecuted);
    cr_assert(decodeResponseHead(421, {}).notExecuted);
    cr_assert_not(decodeResponseHead(503, { { "Server-Seal", "s" } }).notExecuted);
    cr_assert_not(decodeResponseHead(500, {}).notExecuted);
    cr_assert(decodeResponseHead(200, { { "Server-Seal", "s" } }).signedByWorker);
    cr_assert_not(decodeResponseHead(200, { { "Content-Encoding", "gzip" } }).identityEncoding);
}

// Guards against a worker that is left out for good because of a value that says nothing.
Test(responses, only_one_value_says_that_a_worker_leaves)
{
    for (const auto* value : { "1", " 1 " })
        cr_assert(decodeResponseHead(200, { { "server-leaving", value } }).leaving, "'%s'", value);
    for (const auto* value : { "", "0", "2", "01", "1.0", "true", "1, 1", "-1" })
        cr_assert_not(decodeResponseHead(200, { { "Server-Leaving", value } }).leaving, "'%s'", value);
    cr_assert_not(decodeResponseHead(200, {}).leaving);
    cr_assert_eq(decodeResponseHead(421, { { "Instance-Id", "i-2" } }).workerId, "i-2");
}

// Guards against odd times: one that is no number of seconds is none, a huge one must not overflow.
Test(responses, time_after_which_a_worker_wants_requests_is_a_number_of_seconds)
{
    auto decode = [](const char* value) { return decodeResponseHead(503, { { "retry-after", value } }).retryAfter; };
    cr_assert(decode("0") == milliseconds { 0 });
    cr_assert(decode("2") == milliseconds { 2000 });
    cr_assert(decode(" 0.25 ") == milliseconds { 250 });
    cr_assert(decode("0.0001") == milliseconds { 1 }, "rounded up");
    cr_assert(decode("100000000000000000000000") == std::chrono::hours { 24 * 365 });
    for (const auto* value : { "", "-1", "-0.5", "nan", "inf", "1e9", "0x10", "2s", "1,5", "2, 3", "soon", "Wed, 21 Oct 2026 07:28:00 GMT" })
        cr_assert_not(decode(value).has_value(), "'%s'", value);
    cr_assert_not(decode(std::string(400, '9').c_str()).has_value(), "beyond the range of a number");
    cr_assert_not(decodeResponseHead(503, {}).retryAfter.has_value());
}

// The signature marks responses of workers, so a response of this system must not carry it.
Test(responses, error_response_has_retry_delay_and_attempt_id_but_no_signature)
{
    auto response = makeErrorResponse(503, "x", "no_room", milliseconds { 250 });
    cr_assert_eq(findHeader(response.headers, "Retry-After"), "0.250");
    cr_assert_eq(findHeader(response.headers, "Attempt-Id"), "x");
    cr_assert(findHeader(response.headers, "Server-Seal").empty());
}

// The text `id:` inside of the data must not be taken for the ID: a stream would resume at the wrong event.
Test(events, id_is_found_on_any_line)
{
    cr_assert_eq(*eventId("id: 7\ndata: x\n"), "7");
    cr_assert_eq(*eventId("weight-versions: 2\r\nid:8\r\ndata: id: 9"), "8");
    cr_assert_not(eventId("data: id: 9\n").has_value());
}

Test(directory, query_is_decoded_and_response_lists_addresses)
{
    auto query = decodeDirectoryQuery("/v1/resolve?name=h.example&region=r&zone=dc-1");
    cr_assert_eq(query.host, "h.example");
    cr_assert_eq(query.dataCentre, "dc-1");
    auto response = makeDirectoryResponse({ { "10.0.0.1", 80 }, { "10.0.0.2", 81 } }, std::chrono::seconds { 2 });
    cr_assert_eq(response.body, R"({"addrs":["10.0.0.1:80","10.0.0.2:81"],"ttl-s":2})");
}

// Guards against leaves that only answers to the lease holder tell of.
Test(orders, answers_to_reports_orders_and_probes_tell_that_a_worker_leaves)
{
    constexpr uint16_t port = 12595;
    standins::RawPeer peer(port, [](int connection) {
        auto request = standins::RawPeer::readRequest(connection);
        const std::string report = R"({"seq":1,"born":5})";
        auto head = std::string(request.starts_with("GET") ? "HTTP/1.1 200 OK" : "HTTP/1.1 409 Conflict") + "\r\nServer-Leaving: 1\r\nInstance-Id: i-1\r\n";
        standins::RawPeer::write(connection, head + "Content-Length: " + std::to_string(report.size()) + "\r\nConnection: close\r\n\r\n" + report);
    });
    transport::Runtime runtime(1);
    transport::HttpClient client;
    std::atomic<bool> done { false };
    runtime.spawn([&] {
        routing::WorkerEntry worker;
        worker.id = "i-1";
        worker.startedAt = 5;
        worker.address = { "127.0.0.1", port };
        int calls = 0;
        auto check = [&](const auto& reply) {
            calls++;
            cr_assert(reply.leaving, "call %d got status %u", calls, reply.source.status);
            cr_assert(routing::isStatementOf(reply.source, worker));
            routing::WorkerEntry other;
            other.id = "i-2";
            cr_assert_not(routing::isStatementOf(reply.source, other));
        };
        auto report = fetchReport(client, worker);
        check(report);
        cr_assert(report.value.has_value());
        cr_assert_eq(report.source.startedAt.value_or(0), 5);
        check(probeWorker(client, worker));
        auto order = sendOrder(client, worker, {}, {});
        check(order);
        cr_assert_eq(order.value, placement::OrderOutcome::Conflict);
        done = true;
    });
    while (!done)
        std::this_thread::sleep_for(milliseconds { 10 });
    cr_assert(runtime.stop(std::chrono::seconds { 5 }));
}

// A worker sends its answer to an order or a report request once more, when the next call arrives on the same connection. It must not be
// taken for the answer to an order: the lease holder would believe that the worker carries it out.
Test(orders, late_copy_of_an_answer_is_not_taken_for_that_to_an_order)
{
    constexpr uint16_t port = 15900;
    const std::string accepted = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";
    const std::string conflict = "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n";
    const std::string report = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{\"seq\":1}";
    std::atomic<int> orders { 0 };
    standins::RawPeer peer(port, [&](int connection) {
        std::string copy;
        while (true) {
            auto request = standins::RawPeer::readRequest(connection);
            if (request.empty())
                return;
            standins::RawPeer::write(connection, copy);
            copy = request.starts_with("GET") ? report : orders++ == 0 ? accepted
                                                                       : conflict;
            standins::RawPeer::write(connection, copy);
        }
    });
    transport::Runtime runtime(1);
    transport::HttpClient client;
    std::atomic<bool> done { false };
    runtime.spawn([&] {
        routing::WorkerEntry worker;
        worker.id = "i-1";
        worker.address = { "127.0.0.1", port };
        cr_assert(fetchReport(client, worker).value.has_value());
        cr_assert_eq(sendOrder(client, worker, {}, {}).value, placement::OrderOutcome::Accepted, "the answer to the report request was taken for it");
        cr_assert_eq(sendOrder(client, worker, {}, {}).value, placement::OrderOutcome::Conflict, "the answer to the order before was taken for it");
        done = true;
    });
    while (!done)
        std::this_thread::sleep_for(milliseconds { 10 });
    cr_assert(runtime.stop(std::chrono::seconds { 5 }));
}

// A VM without free descriptors must not take its own failure to connect for the end of its workers.
Test(probes, worker_is_not_taken_for_ended_when_this_process_has_no_descriptors)
{
    constexpr uint16_t port = 15350;
    constexpr rlim_t descriptorLimit = 64;
    standins::RawPeer peer(port, [](int connection) {
        standins::RawPeer::readRequest(connection);
        standins::RawPeer::write(connection, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{\"seq\":1}");
    });
    transport::Runtime runtime(1);
    transport::HttpClient client;
    auto before = WorkerState::Unknown;
    auto state = WorkerState::Unknown;
    auto evidence = routing::RunEvidence::Count;
    std::atomic<bool> done { false };
    runtime.spawn([&] {
        routing::WorkerEntry worker;
        worker.id = "i-1";
        worker.address = { "127.0.0.1", port };
        before = probeWorker(client, worker).value;
        rlimit limit {};
        ::getrlimit(RLIMIT_NOFILE, &limit);
        auto softLimit = std::exchange(limit.rlim_cur, descriptorLimit);
        ::setrlimit(RLIMIT_NOFILE, &limit);
        std::vector<int> descriptors;
        for (int descriptor = 0; (descriptor = ::open("/dev/null", O_RDONLY | O_CLOEXEC)) >= 0;)
            descriptors.push_back(descriptor);
        state = probeWorker(client, worker).value;
        transport::CancelToken cancel;
        evidence = probeRun(client, worker, "id", cancel).value;
        for (int descriptor : descriptors)
            ::close(descriptor);
        limit.rlim_cur = softLimit;
        ::setrlimit(RLIMIT_NOFILE, &limit);
        done = true;
    });
    while (!done)
        std::this_thread::sleep_for(milliseconds { 10 });
    cr_assert(runtime.stop(std::chrono::seconds { 5 }));
    cr_assert_eq(before, WorkerState::Running);
    cr_assert_neq(state, WorkerState::Ended, "the worker counts as ended");
    cr_assert_neq(evidence, routing::RunEvidence::Ended, "the run counts as ended");
}

// An answer that is no valid HTTP must tell a VM nothing, whatever it has called.
Test(calls, broken_answers_tell_nothing)
{
    constexpr uint16_t port = 19404;
    auto answers = comfreypier::testing::joined({ comfreypier::testing::answersWithBrokenStatus(), comfreypier::testing::answersWithBrokenFields(), comfreypier::testing::answersWithBrokenFraming() });
    std::atomic<size_t> current { 0 };
    standins::RawPeer peer(port, [&](int connection) {
        standins::RawPeer::readRequest(connection);
        standins::RawPeer::write(connection, format(answers[current], "Server-Leaving: 1\r\nRetry-After: 5\r\nStore-Era: 7\r\nInstance-Id: i-1\r\n", R"({"seq":1,"born":5,"runs":[],"queued":0,"items":[],"end":3,"offset":2})"));
        ::shutdown(connection, SHUT_WR);
    });
    transport::Runtime runtime(1);
    transport::HttpClient client;
    std::string wrong;
    std::atomic<bool> done { false };
    runtime.spawn([&] {
        routing::WorkerEntry worker;
        worker.id = "i-1";
        worker.startedAt = 5;
        worker.address = { "127.0.0.1", port };
        uint64_t era = 0;
        const Store store { &client, worker.address, [&era](uint64_t named) { era = named; } };
        for (; current < answers.size(); current++) {
            auto expect = [&](const char* call, bool holds) { wrong += holds ? "" : transport::escapeForLog(answers[current].name) + ": " + call + "\n"; };
            auto tellsNothing = [](const auto& reply) { return !reply.leaving && !reply.retryAfter && reply.source.status == 0; };
            auto report = fetchReport(client, worker);
            expect("report", !report.value && tellsNothing(report));
            auto order = sendOrder(client, worker, {}, {});
            expect("order", order.value == placement::OrderOutcome::Unknown && tellsNothing(order));
            auto probe = probeWorker(client, worker);
            expect("probe", probe.value == WorkerState::Unknown && tellsNothing(probe));
            transport::CancelToken cancel;
            auto run = probeRun(client, worker, "id", cancel);
            expect("probe of a run", run.value == routing::RunEvidence::NoAnswer && tellsNothing(run));
            auto mayHaveHappened = [](const auto& result) { return !result && result.error() == StoreError::NoAnswer; };
            expect("read of the newest", mayHaveHappened(readLatest(store, Stream::Workers)));
            expect("read", mayHaveHappened(readFrom(store, Stream::Workers, 0, milliseconds { 0 })));
            expect("append", mayHaveHappened(append(store, Stream::Members, "key", "value", std::nullopt)));
            expect("era", std::exchange(era, 0) == 0);
        }
        done = true;
    });
    while (!done)
        std::this_thread::sleep_for(milliseconds { 10 });
    cr_assert(runtime.stop(std::chrono::seconds { 5 }));
    cr_assert(wrong.empty(), "taken for an answer:\n%s", wrong.c_str());
}
