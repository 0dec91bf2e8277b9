#!/usr/bin/env bash
# The log service is down for longer than a session: streams go on, orders are refused truthfully, nobody is expired,
# and a node that starts meanwhile takes its state from a peer.
source "$(dirname "$0")/common.sh"
start_cluster
publish_examples
[ "$(send_order 1 before done-before | tail -n 1)" = 200 ] || fail "an order before the outage failed"

set_fault "$log_port" outage=1
sleep 5
stream_completion 1 desk-chat "during the outage" 30 > "$run/during.txt"
expect_complete_stream "$run/during.txt" 30
answer=$(send_order 2 during never-run)
[ "$(tail -n 1 <<< "$answer")" = 503 ] || fail "an order during the outage got: $answer"
[ "$(run_state "$answer")" = not_run ] || fail "the refusal says: $answer"
[ "$(send_order 3 before done-before | tail -n 1)" = 200 ] || fail "a recorded outcome is not given during the outage"
start_node 4
wait_for_output 'data: \[DONE\]' 10 stream_completion 4 desk-chat "on a node without a log" 10

set_fault "$log_port" outage=0
wait_nodes_ready 1 2 3 4
[ -z "$(order_run_count never-run)" ] || fail "a request that was refused as not run did run"
wait_for_output '^200$' 10 send_order 2 during never-run
[ "$(order_run_count never-run)" = 1 ] || fail "the repeat ran $(order_run_count never-run) times"
for i in 1 2 3; do
  [ "$(counter_value $i sessions_expired_total)" = 0 ] || fail "node $i expired a session because of the outage"
  [ "$(counter_value $i sessions_lapsed_total)" = 0 ] || fail "node $i lost its session to the outage"
done
