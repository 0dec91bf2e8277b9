#!/usr/bin/env bash
# The log service is down for longer than a session: streams go on, orders are refused truthfully, nobody is expired,
# and a node that starts meanwhile takes its state from a peer.
source "$(dirname "$0")/common.sh"
start_cluster
publish_examples
[ "$(order 1 before done-before | tail -n 1)" = 200 ] || fail "an order before the outage failed"

fault "$log_port" outage=1
sleep 5
stream 1 desk-chat "during the outage" 30 > "$run/during.txt"
expect_whole "$run/during.txt" 30
answer=$(order 2 during never-run)
[ "$(tail -n 1 <<< "$answer")" = 503 ] || fail "an order during the outage got: $answer"
[ "$(run_state "$answer")" = not_run ] || fail "the refusal says: $answer"
[ "$(order 3 before done-before | tail -n 1)" = 200 ] || fail "a recorded outcome is not given during the outage"
start_node 4
wait_for 'data: \[DONE\]' 10 stream 4 desk-chat "on a node without a log" 10

fault "$log_port" outage=0
wait_ready 1 2 3 4
[ -z "$(runs never-run)" ] || fail "a request that was refused as not run did run"
wait_for '^200$' 10 order 2 during never-run
[ "$(runs never-run)" = 1 ] || fail "the repeat ran $(runs never-run) times"
for i in 1 2 3; do
  [ "$(counter $i sessions_expired_total)" = 0 ] || fail "node $i expired a session because of the outage"
  [ "$(counter $i sessions_lapsed_total)" = 0 ] || fail "node $i lost its session to the outage"
done
