#!/usr/bin/env bash
# A node is stopped with SIGSTOP for longer than its session TTL. The other nodes must expire its session, take over its
# workers and remove it from the addresses. After SIGCONT the node must not issue orders with the expired session; it opens a
# new one.
source "$(dirname "$0")/common.sh"
start_cluster
publish_examples

kill -STOP "$(pid_of entry-1)"
wait_for_output 'sessions_expired_total [1-9]' 15 bash -c "curl -s http://$(node_address 2)/metrics; curl -s http://$(node_address 3)/metrics"
wait_for_output '"workers"' 5 curl -s "http://$(node_address 2)/admin/status"
output_contains "$(node_address 1)" curl -s "http://$(node_address 2)/v1/addresses" && fail "the stopped node is still among the addresses"
kill -CONT "$(pid_of entry-1)"
wait_for_output 'sessions_lapsed_total 1' 10 curl -s "http://$(node_address 1)/metrics"
wait_nodes_ready 1
stream_completion 1 desk-chat "after the pause" 30 > "$run/after.txt"
expect_complete_stream "$run/after.txt" 30
[ "$(sum_engine_stat overcommits)" = 0 ] || fail "memory was overcommitted"
