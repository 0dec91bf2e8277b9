/// Tests of the parsers, encoders and decoders of the protocol layer.
#include "generators.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace comfreypier;
using namespace comfreypier::protocol;
using namespace comfreypier::testing;

namespace {

const std::string validService = "[service]\nname = desk\n[model chat]\nmemory = 14GB\nurgency = urgent\n[plain kiln]\nendpoints = 127.0.0.1:1\nnot_repeatable = POST /orders\n";
const std::string validSettings = "[node]\nname = n\nregion = r\ndata_centre = d\nhttp = 127.0.0.1:1\nrpc = 127.0.0.1:2\n[platform]\nlog = 127.0.0.1:3\nvm_list = 127.0.0.1:4\n";

std::vector<ConfigError> parseServiceErrors(const std::string& text)
{
    auto parsed = parseServiceFile("f.ini", text);
    return parsed ? std::vector<ConfigError> {} : parsed.error();
}

} // namespace

Test(service_file, reads_models_adapters_and_plain_services)
{
    auto parsed = parseServiceFile("f.ini", validService + "[adapter chat-city]\nmodel = chat\nmemory = 150MB\nversion = 3\n");
    cr_assert(bool(parsed));
    const auto& service = parsed.value();
    cr_assert_eq(service.name, "desk");
    cr_assert_eq(service.items.size(), 2U);
    cr_assert_eq(service.items[0].bytes, 14'000'000'000U);
    cr_assert_eq(service.items[0].urgency, Urgency::Urgent);
    cr_assert_eq(itemKey(service.items[1]), "chat-city@3");
    cr_assert_eq(service.plainServices[0].nonRetryable[0].method, "POST");
    cr_assert_eq(service.plainServices[0].nonRetryable[0].pathPrefix, "/orders");
}

Test(service_file, reports_every_error_with_its_line)
{
    auto errors = parseServiceErrors("[service]\nname = desk\n[model chat]\nmemory = lots\nurgency = soon\ncolour = red\n[adapter a]\nmemory = 1MB\n");
    cr_assert_eq(errors.size(), 4U);
    cr_assert_eq(toString(errors[0]), "f.ini:4: 'memory' is 'lots', expected a size such as 24GB, 180MB or 4096B");
    cr_assert_eq(toString(errors[1]), "f.ini:5: 'urgency' is 'soon', allowed: urgent, normal, background");
    cr_assert_eq(errors[2].line, 6U);
    cr_assert_eq(toString(errors[3]), "f.ini:7: [adapter a] lacks 'model'");
}

Test(service_file, rejects_zero_memory_and_invalid_call_patterns)
{
    cr_assert_eq(parseServiceErrors("[service]\nname = a\n[model m]\nmemory = 0B\n").size(), 1U);
    cr_assert_eq(parseServiceErrors("[service]\nname = a\n[plain p]\nendpoints = 127.0.0.1:1\nnot_repeatable = orders\n").size(), 1U);
    cr_assert_eq(parseServiceErrors("[service]\nname = a\n[model m]\nmemory = 1GB\nversion = 0\n").size(), 1U);
}

// Guards against accepting a deployment whose files are valid one by one, but contradict each other.
Test(service_file, merging_reports_duplicate_names_and_missing_base_models)
{
    auto a = parseServiceFile("a", "[service]\nname = a\n[model m]\nmemory = 1GB\n").value();
    auto b = parseServiceFile("b", "[service]\nname = b\n[model m]\nmemory = 1GB\n[adapter x]\nmodel = nowhere\nmemory = 1MB\n").value();
    cr_assert(bool(mergeServices({ a })));
    auto merged = mergeServices({ a, b });
    cr_assert(!merged);
    cr_assert_eq(merged.error().size(), 2U);
}

// The first text has five errors: two invalid values, the missing key `rpc`, an unknown section, and no section [platform]. The
// parser must report all of them, and not stop at the first. Ranges are checked only in a file without such errors.
Test(settings, reports_all_errors_at_once)
{
    cr_assert(bool(parseNodeSettings("s", validSettings)));
    auto parsed = parseNodeSettings("s", "[node]\nname = n\nregion = r\ndata_centre = d\nhttp = here\nthreads = many\n[sesion]\nttl = 1s\n");
    cr_assert(!parsed);
    cr_assert_eq(parsed.error().size(), 5U);
    auto outOfRange = parseNodeSettings("s", validSettings + "[session]\nttl = 1ms\n[limits]\nqueue = 0\n");
    cr_assert(!outOfRange);
    cr_assert_geq(outOfRange.error().size(), 2U);
}

Test(values, sizes_and_durations_round_trip)
{
    cr_assert(rc::check("duration", [] {
        auto duration = std::chrono::microseconds { *rc::gen::inRange<int64_t>(0, 1'000'000'000'000) };
        RC_ASSERT(parseDuration(formatDuration(duration)) == duration);
    }));
    cr_assert(rc::check("bytes", [] {
        auto bytes = *rc::gen::inRange<uint64_t>(0, 1'000'000'000'000);
        RC_ASSERT(parseBytes(formatBytes(bytes)) == bytes);
    }));
}

Test(records, round_trip)
{
    cr_assert(rc::check("envelope round trip", [] {
        auto envelope = *genEnvelope();
        auto decoded = decodeEnvelope(encodeEnvelope(envelope));
        RC_ASSERT(bool(decoded));
        RC_ASSERT(decoded.value() == envelope);
    }));
}

// Guards against a crash or an exception when a record in the log is corrupt.
Test(records, corrupt_bytes_decode_to_an_error_or_a_record)
{
    cr_assert(rc::check("damaged record", [] {
        auto valid = encodeEnvelope(*genEnvelope());
        auto decoded = decodeEnvelope(*genDamaged(valid));
        RC_ASSERT((decoded || decoded.error() < RecordError::Count));
    }));
}

Test(snapshots, round_trip)
{
    cr_assert(rc::check("snapshot round trip", [] {
        Snapshot snapshot;
        snapshot.upTo = *rc::gen::arbitrary<uint64_t>();
        snapshot.seenIds = { { 1, 2 }, { 3, 4 } };
        snapshot.sessions.push_back({ 5, 6, { *genName(), "a", "b", "c", std::chrono::milliseconds { 7 } } });
        snapshot.workers.push_back({ { *genName(), "e", "d", 100, 2 }, { { "m@1", 10, { 1, 2 }, true, false, 9 } }, 5, 6 });
        snapshot.plan.push_back({ "w", "m@1" });
        snapshot.actions.push_back({ { 1, 2 }, 3, 4, 5, true, { { 1, 2 }, 5, 200, "t", *genBytes(), true }, 8 });
        snapshot.services.push_back({ { "s", 4, "text", "me", false }, 12 });
        auto decoded = decodeSnapshot(encodeSnapshot(snapshot));
        RC_ASSERT(bool(decoded));
        RC_ASSERT(decoded.value() == snapshot);
    }));
}

// Guards against accepting part of a page when the response of the log service was cut off.
Test(log_pages, round_trip_and_reject_truncated_pages)
{
    LogPage page { 3, 9, { { 3, "abc" }, { 4, std::string("\0x", 2) } } };
    auto bytes = encodeLogPage(page);
    auto decoded = decodeLogPage(bytes);
    cr_assert(decoded.has_value());
    cr_assert_eq(decoded->records[1].bytes, page.records[1].bytes);
    cr_assert(!decodeLogPage(std::string_view(bytes).substr(0, bytes.size() - 1)));
    cr_assert(rc::check("random page", [bytes] { decodeLogPage(*genDamaged(bytes)); }));
}

// Guards against a crash or an exception when a file or a message is corrupt. What the parsers return is not checked.
Test(parsers, do_not_crash_on_corrupt_input)
{
    const std::string report = R"({"incarnation":1,"items":[{"item":"m@1","loaded":true}],"arrived_copies":[1,2]})";
    const std::string completion = R"({"model":"m","stream":true,"messages":[{"role":"user","content":"x"}]})";
    cr_assert(rc::check("no crash", [&] {
        (void)parseServiceFile("f", *genDamaged(validService));
        (void)parseNodeSettings("s", *genDamaged(validSettings));
        (void)parseCompletion(*genDamaged(completion));
        parseEngineReport(*genDamaged(report));
        parseEngineOrder(*genDamaged(R"({"kind":"load","item":"m@1","copy":3})"));
        parseVmList(*genDamaged(R"([{"name":"w","role":"worker","endpoint":"127.0.0.1:1","capacity":5}])"));
    }));
}

// Numbers of others that the fields can't hold must neither wrap around nor end the process.
Test(parsers, numbers_of_any_size_are_bounded)
{
    auto maxTokens = [](const std::string& number) { return parseCompletion(R"({"model":"m","max_tokens":)" + number + "}").value().maxTokens; };
    cr_assert_eq(maxTokens("7"), 7U);
    cr_assert_eq(maxTokens("4294967301"), UINT32_MAX);
    cr_assert_eq(maxTokens("18446744073709551615"), UINT32_MAX);
    for (const auto* number : { "-1", "1.5", "1e300", "-1e300", "\"7\"", "18446744073709551616" }) {
        cr_assert_eq(maxTokens(number), 0U, "%s", number);
        auto vms = parseVmList(std::string(R"([{"name":"w","role":"worker","endpoint":"127.0.0.1:1","capacity":)") + number + "}]");
        cr_assert(vms && vms->size() == 1 && vms->front().capacity == 0, "%s", number);
    }
    SseParser parser;
    cr_assert(feedSse(parser, "id: 18446744073709551616\ndata: x\n\n").has_value());
    SseEvent event;
    cr_assert(nextSseEvent(parser, event) && !event.id);
}

// Guards against a request whose JSON is nested too deeply. The parser must reject it as bad JSON.
Test(parsers, reject_deeply_nested_json)
{
    std::string deep = R"({"model":"m","x":)" + std::string(100000, '[') + std::string(100000, ']') + "}";
    cr_assert_eq(parseCompletion(deep).error(), CompletionError::BadJson);
}

// Guards against lost or damaged events when an event is split across several reads.
Test(sse, events_do_not_depend_on_chunk_boundaries)
{
    cr_assert(rc::check("cut stream", [] {
        auto count = *rc::gen::inRange<uint64_t>(1, 20);
        std::string stream;
        for (uint64_t i = 1; i <= count; i++)
            stream += "id: " + std::to_string(i) + "\ndata: {\"t\":" + std::to_string(i) + "}\n\n";
        SseParser parser;
        uint64_t lastId = 0;
        while (!stream.empty()) {
            auto size = *rc::gen::inRange<size_t>(1, stream.size() + 1);
            RC_ASSERT(bool(feedSse(parser, std::string_view(stream).substr(0, size))));
            stream.erase(0, size);
            SseEvent event;
            while (nextSseEvent(parser, event)) {
                RC_ASSERT(event.id == ++lastId);
                RC_ASSERT(event.data == "{\"t\":" + std::to_string(lastId) + "}");
            }
        }
        RC_ASSERT(lastId == count);
    }));
}

// Guards against unlimited memory use by an engine that sends a line without an end.
Test(sse, rejects_an_endless_line)
{
    SseParser parser;
    std::string chunk(64 * 1024, 'x');
    bool rejected = false;
    for (int i = 0; i < 100 && !rejected; i++)
        rejected = !feedSse(parser, chunk);
    cr_assert(rejected);
    cr_assert_leq(parser.buffer.size(), maxSseBufferBytes);
}

// A refusal must tell the caller whether the request was executed. The delay of 1500 ms is rounded up to 2 s, so that callers don't
// retry too early, and quotes in the detail text must not break the JSON.
Test(problems, state_whether_the_request_ran)
{
    auto response = toResponse({ RefusalReason::Late, RunState::NotRun, std::chrono::milliseconds { 1500 }, "a \"quoted\" detail" });
    cr_assert_eq(response.status, 503U);
    cr_assert_eq(transport::findHeader(response.headers, "retry-after"), "2");
    cr_assert_neq(response.body.find("\"run\":\"not_run\""), std::string::npos);
    cr_assert_neq(response.body.find("a \\\"quoted\\\" detail"), std::string::npos);
}
