#!/usr/bin/env bash
# kill -9 of a node between begin and end of an order: the repeat is told `unknown` and nothing runs twice.
source "$(dirname "$0")/common.sh"
start_cluster
publish_examples

set_fault "$plain_port" delay_ms=2000
send_order 1 key-1 booked > "$run/first.txt" &
first=$!
wait_for_output '^booked=1$' 10 curl -s "http://127.0.0.1:$plain_port/counts"
kill -KILL "$(pid_of entry-1)"
wait "$first" || true
answer=$(send_order 2 key-1 booked)
[ "$(tail -n 1 <<< "$answer")" = 409 ] || fail "the repeat got: $answer"
[ "$(run_state "$answer")" = unknown ] || fail "the repeat was told: $answer"
[ "$(send_order 3 key-1 booked | tail -n 1)" = 409 ] || fail "a later repeat got another answer"
[ "$(order_run_count booked)" = 1 ] || fail "the order ran $(order_run_count booked) times"

set_fault "$plain_port" delay_ms=0
[ "$(send_order 2 key-2 another | tail -n 1)" = 200 ] || fail "orders do not go on"
wait_for_output '"node":"entry-2"' 5 curl -s "http://$(node_address 2)/admin/status"
output_contains '"node":"entry-1","session"' curl -s "http://$(node_address 2)/admin/status" && fail "the dead node's session did not expire"
[ "$(sum_engine_stat overcommits)" = 0 ] || fail "memory was overcommitted"
