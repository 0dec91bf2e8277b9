#!/usr/bin/env bash
# The log service is unavailable for longer than the session TTL. Completions must still be served, orders must be refused as not
# run, no session may expire, and a node that starts during the outage must get its state from a peer.
source "$(dirname "$0")/common.sh"
start_cluster
publish_examples
[ "$(send_order 1 before done-before | tail -n 1)" = 200 ] || fail "an order before the outage failed"

set_fault "$log_port" outage=1
# Longer than the session TTL of 3 s.
sleep 5
stream_completion 1 desk-chat "during the outage" 30 > "$run/during.txt"
expect_complete_stream "$run/during.txt" 30
response=$(send_order 2 during never-run)
[ "$(tail -n 1 <<< "$response")" = 503 ] || fail "expected status 503 for an order during the outage, got: $response"
[ "$(run_state "$response")" = not_run ] || fail "expected run state not_run, got: $response"
[ "$(send_order 3 before done-before | tail -n 1)" = 200 ] || fail "a recorded outcome was not returned during the outage"
start_node 4
wait_for_output 'data: \[DONE\]' 10 stream_completion 4 desk-chat "on a node without a log" 10

set_fault "$log_port" outage=0
wait_nodes_ready 1 2 3 4
[ -z "$(order_run_count never-run)" ] || fail "an order that was refused as not run did run"
wait_for_output '^200$' 10 send_order 2 during never-run
[ "$(order_run_count never-run)" = 1 ] || fail "the retry ran $(order_run_count never-run) times"
for i in 1 2 3; do
  [ "$(counter_value $i sessions_expired_total)" = 0 ] || fail "node $i expired a session during the outage"
  [ "$(counter_value $i sessions_lapsed_total)" = 0 ] || fail "the session of node $i lapsed during the outage"
done
