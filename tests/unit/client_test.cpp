/// The operators' client: the story of a request from the VMs' logs.
#include <client/client.h>
#include <criterion/criterion.h>

using namespace comfreypier::client;

namespace {

std::string at(const char* second, const char* rest)
{
    return std::string("2026-12-04T07:00:") + second + " INFO  " + rest;
}

const std::vector<LogLine>& logs()
{
    static const std::vector<LogLine> lines {
        { "vm-1", at("01.000", "store: event=store_lost stream=workers error=no_answer") },
        { "vm-1", at("02.000", "relay: event=request id=r1 route=chat model=m1/a2 worker=- sends=0 status=503 outcome=no_adapter") },
        { "vm-2", at("01.900", "orders: event=order worker=w7 kind=load model=m1 adapter=a2 outcome=conflict") },
        { "vm-2", at("01.500", "orders: event=lease step=take_over token=4 outcome=held") },
        { "vm-2", at("01.600", "orders: event=order worker=w8 kind=load model=m9 outcome=accepted") },
        { "vm-3", at("10.000", "relay: event=streaming id=r2 worker=w3 backup=- sends=1 first_ms=20.0") },
        { "vm-3", at("10.400", "store: event=worker_gone worker=w3") },
        { "vm-1", at("10.400", "store: event=worker_gone worker=w3") },
        { "vm-3", at("10.500", "relay: event=request id=r2 route=chat model=m1 worker=w3 sends=1 status=200 outcome=cut") },
        { "vm-3", at("20.000", "relay: event=streaming id=r3 worker=w3 backup=- sends=1 first_ms=20.0") },
        { "vm-3", at("21.000", "edge: event=start node=vm-3") },
    };
    return lines;
}

bool holds(const std::string& story, const char* text)
{
    return story.find(text) != std::string::npos;
}

} // namespace

Test(explain_request, a_refusal_is_shown_with_the_orders_for_its_model_and_what_the_vm_lost)
{
    auto story = explainRequest("r1", logs()).value();
    cr_assert(holds(story, "cause: no_adapter: workers held the model, none the adapter in time"));
    cr_assert(holds(story, "outcome=conflict"));
    cr_assert(holds(story, "event=lease step=take_over"));
    cr_assert(holds(story, "store_lost"));
    cr_assert_not(holds(story, "model=m9"), "orders for other models at other workers are left out");
}

Test(explain_request, a_cut_stream_is_shown_with_the_end_of_its_worker)
{
    auto story = explainRequest("r2", logs()).value();
    cr_assert(holds(story, "cause: cut:"));
    cr_assert(holds(story, "vm-3: 2026-12-04T07:00:10.400 INFO  store: event=worker_gone worker=w3"));
    cr_assert_not(holds(story, "vm-1: 2026-12-04T07:00:10.400"), "what other VMs heard did not decide");
}

Test(explain_request, a_request_without_an_end_died_with_its_vm)
{
    auto story = explainRequest("r3", logs()).value();
    cr_assert(holds(story, "the VM of vm-3 ended"));
    cr_assert(holds(story, "event=start node=vm-3"));
    cr_assert_not(explainRequest("r4", logs()).has_value());
}
