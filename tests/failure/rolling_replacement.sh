#!/usr/bin/env bash
# All nodes are replaced one by one with streams open, a publish in between and little kept in the log.
session_extra='snapshot_every = 20'
source "$(dirname "$0")/common.sh"
start_cluster
publish_examples
set_fault "$log_port" retention=60
for n in $(seq 1 30); do send_order 1 "fill-$n" "fill-$n" > /dev/null; done
readers=()
for i in 1 2 3; do
  stream_completion $i desk-chat "long answer $i" 700 > "$run/stream-$i.txt" &
  readers[i]=$!
done
sleep 0.5
for i in 1 2 3; do
  old=$(pid_of "entry-$i")
  kill -TERM "$old"
  kill -TERM "$old"
  wait "${readers[i]}" || fail "the stream of node $i was cut off"
  expect_complete_stream "$run/stream-$i.txt" 700
  code=0; wait "$old" || code=$?
  [ "$code" = 0 ] || fail "node $i ended with $code"
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
curl -s "http://127.0.0.1:$log_port/streams/region.mn-central?from=0&wait_ms=0" > "$run/page.bin"
first=$(od -An -tu8 -N8 "$run/page.bin" | tr -d ' ')
[ "$first" -gt 0 ] || fail "retention never passed, the test proves nothing"
stream_completion 2 draft-small "after the replacement" 20 > "$run/after.txt"
expect_complete_stream "$run/after.txt" 20
[ "$(order_run_count fill-1)" = 1 ] || fail "an order ran again"
[ "$(send_order 2 fill-1 fill-1 | tail -n 1)" = 200 ] || fail "a recorded outcome was lost with the old records"
[ "$(order_run_count fill-1)" = 1 ] || fail "an order ran again after its record aged out"
[ "$(sum_engine_stat overcommits)" = 0 ] || fail "memory was overcommitted"
