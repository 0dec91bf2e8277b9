/// Tests of the client's command `explain-request`.
#include <client/client.h>
#include <criterion/criterion.h>

using namespace comfreypier::client;

namespace {

/// Returns a log line written at 07:00 and `second`.
std::string logLine(const char* second, const char* rest)
{
    return std::string("2026-12-04T07:00:") + second + " INFO  " + rest;
}

/// Returns the logs of three VMs: vm-1 refused the request r1, vm-3 relayed r2 and r3 from the worker w3, and vm-2 refused r5.
const std::vector<LogLine>& sampleLogs()
{
    static const std::vector<LogLine> lines {
        { "vm-1", logLine("01.000", "store: event=store_lost stream=workers error=no_answer") },
        { "vm-1", logLine("02.000", "relay: event=request id=r1 route=chat model=m1/a2 worker=- sends=0 status=503 outcome=no_adapter") },
        { "vm-2", logLine("01.900", "orders: event=order worker=w7 kind=load model=m1 adapter=a2 outcome=conflict") },
        { "vm-2", logLine("01.500", "orders: event=lease step=take_over token=4 outcome=held") },
        { "vm-2", logLine("01.600", "orders: event=order worker=w8 kind=load model=m9 outcome=accepted") },
        { "vm-3", logLine("10.000", "relay: event=streaming id=r2 worker=w3 backup=- sends=1 first_ms=20.0") },
        { "vm-3", logLine("10.400", "store: event=worker_gone worker=w3") },
        { "vm-1", logLine("10.400", "store: event=worker_gone worker=w3") },
        { "vm-3", logLine("10.500", "relay: event=request id=r2 route=chat model=m1 worker=w3 sends=1 status=200 outcome=cut") },
        { "vm-3", logLine("20.000", "relay: event=streaming id=r3 worker=w3 backup=- sends=1 first_ms=20.0") },
        { "vm-2", logLine("30.000", "relay: event=worker_hold worker=w4 ms=3000") },
        { "vm-2", logLine("30.100", "peers: event=worker_leaving worker=w5 started=1 evidence=answer") },
        { "vm-2", logLine("30.500", "relay: event=request id=r5 route=chat model=m1 worker=- sends=0 passed_over=w4:held+w5:leaving status=503 outcome=worker_hold") },
        { "vm-3", logLine("21.000", "edge: event=start node=vm-3") },
    };
    return lines;
}

bool contains(const std::string& report, const char* text)
{
    return report.find(text) != std::string::npos;
}

} // namespace

// r1 was refused because the order to load its adapter had failed. Only the log of another VM, vm-2, shows that, so a report from
// the log of r1's VM alone would not name the cause.
Test(explain_request, refusal_is_shown_with_orders_for_its_model_and_store_errors_of_its_vm)
{
    auto report = explainRequest("r1", sampleLogs()).value();
    cr_assert(contains(report, "cause: no_adapter: workers had loaded the model, but none had loaded the adapter in time"));
    cr_assert(contains(report, "outcome=conflict"));
    cr_assert(contains(report, "event=lease step=take_over"));
    cr_assert(contains(report, "store_lost"));
    cr_assert_not(contains(report, "model=m9"), "orders for other models on other workers must be left out");
}

// vm-3, which relayed r2, removed the worker 100 ms before the stream was cut. A report that also listed the removal by vm-1, which
// had no part in the request, would mislead.
Test(explain_request, cut_stream_is_shown_with_removal_of_its_worker)
{
    auto report = explainRequest("r2", sampleLogs()).value();
    cr_assert(contains(report, "cause: cut:"));
    cr_assert(contains(report, "vm-3: 2026-12-04T07:00:10.400 INFO  store: event=worker_gone worker=w3"));
    cr_assert_not(contains(report, "vm-1: 2026-12-04T07:00:10.400"), "only the removal seen by the VM of the request matters");
}

// r3 has no line event=request, because its VM stopped before the request ended. No log names r4.
Test(explain_request, request_without_final_line_is_reported_as_lost_with_its_vm)
{
    auto report = explainRequest("r3", sampleLogs()).value();
    cr_assert(contains(report, "the VM of vm-3 stopped"));
    cr_assert(contains(report, "event=start node=vm-3"));
    cr_assert_not(explainRequest("r4", sampleLogs()).has_value());
}

// Guards against operators who can't see from a request's id that workers were passed over.
Test(explain_request, workers_that_were_passed_over_are_shown_with_the_reason_and_what_they_said)
{
    auto report = explainRequest("r5", sampleLogs()).value();
    cr_assert(contains(report, "cause: worker_hold: all workers that could take it had named times"));
    cr_assert(contains(report, "passed over: w4: held: it had named a time"));
    cr_assert(contains(report, "passed over: w5: leaving: its entry was draining, or it had said"));
    cr_assert(contains(report, "event=worker_hold worker=w4 ms=3000"));
    cr_assert(contains(report, "event=worker_leaving worker=w5"));
    cr_assert_not(contains(report, "worker_gone"));
}
