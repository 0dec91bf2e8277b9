#!/usr/bin/env bash
# All nodes are replaced one by one while streams are open, a configuration is published and the log retains only 60 records.
# Streams must complete, the new configuration and the recorded outcomes must survive, and no order may run again.
session_extra='snapshot_every = 20'
source "$(dirname "$0")/common.sh"
start_cluster
publish_examples
set_fault "$log_port" retention=60
for n in $(seq 1 30); do send_order 1 "fill-$n" "fill-$n" > /dev/null; done
reader_pids=()
for i in 1 2 3; do
  stream_completion $i desk-chat "long answer $i" 700 > "$run/stream-$i.txt" &
  reader_pids[i]=$!
done
sleep 0.5
for i in 1 2 3; do
  old_pid=$(pid_of "entry-$i")
  # The second SIGTERM must not cut the drain short.
  kill -TERM "$old_pid"
  kill -TERM "$old_pid"
  wait "${reader_pids[i]}" || fail "the stream of node $i was cut off"
  expect_complete_stream "$run/stream-$i.txt" 700
  code=0; wait "$old_pid" || code=$?
  [ "$code" = 0 ] || fail "node $i exited with code $code"
  if [ $i = 2 ]; then
    sed -i 's/first_token_target = 570ms/first_token_target = 444ms/' "$run/services/front-desk.ini"
    "$root/build/client/comfreypier" --node "$(node_address 3)" publish "$run/services"
  fi
  start_node "$i"
  wait_nodes_ready "$i"
done
for i in 1 2 3; do
  output_contains 'first_token_target = 444ms' curl -s "http://$(node_address $i)/admin/config" || fail "node $i has an older configuration"
done
curl -s "http://127.0.0.1:$log_port/streams/region.mn-central?from=0&wait_ms=0" > "$run/records.bin"
first_offset=$(od -An -tu8 -N8 "$run/records.bin" | tr -d ' ')
[ "$first_offset" -gt 0 ] || fail "no record was removed by retention, so recovery without them was not tested"
stream_completion 2 draft-small "after the replacement" 20 > "$run/after.txt"
expect_complete_stream "$run/after.txt" 20
[ "$(order_run_count fill-1)" = 1 ] || fail "an order ran again"
[ "$(send_order 2 fill-1 fill-1 | tail -n 1)" = 200 ] || fail "a recorded outcome was lost when its records were removed"
[ "$(order_run_count fill-1)" = 1 ] || fail "an order ran again after its records were removed"
[ "$(sum_engine_stat overcommits)" = 0 ] || fail "memory was overcommitted"
