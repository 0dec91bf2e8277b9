#!/usr/bin/env bash
# A node is killed with SIGKILL between the begin and end records of an order, so nobody knows whether the order ran. Retries
# on other nodes must be refused with 409 and run state `unknown`, and the order must not run twice.
source "$(dirname "$0")/common.sh"
start_cluster
publish_examples

set_fault "$plain_port" delay_ms=2000
send_order 1 key-1 booked > "$run/first.txt" &
sender_pid=$!
wait_for_output '^booked=1$' 10 curl -s "http://127.0.0.1:$plain_port/counts"
kill -KILL "$(pid_of entry-1)"
wait "$sender_pid" || true
response=$(send_order 2 key-1 booked)
[ "$(tail -n 1 <<< "$response")" = 409 ] || fail "expected status 409 for the retry, got: $response"
[ "$(run_state "$response")" = unknown ] || fail "expected run state unknown for the retry, got: $response"
[ "$(send_order 3 key-1 booked | tail -n 1)" = 409 ] || fail "a later retry was not refused with 409"
[ "$(order_run_count booked)" = 1 ] || fail "the order ran $(order_run_count booked) times"

set_fault "$plain_port" delay_ms=0
[ "$(send_order 2 key-2 another | tail -n 1)" = 200 ] || fail "a new order failed after the node was killed"
wait_for_output '"node":"entry-2"' 5 curl -s "http://$(node_address 2)/admin/status"
output_contains '"node":"entry-1","session"' curl -s "http://$(node_address 2)/admin/status" && fail "the session of the killed node did not expire"
[ "$(sum_engine_stat overcommits)" = 0 ] || fail "memory was overcommitted"
