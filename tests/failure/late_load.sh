#!/usr/bin/env bash
# Delayed load orders must not overcommit the memory of engines that don't check fencing numbers. The orders for a model arrive
# after it was removed and another model was published in its place.
fencing=no
source "$(dirname "$0")/common.sh"
start_cluster
publish_examples

for i in 1 2 3 4; do set_fault "$(engine_port $i)" order_delay_ms=2500; done
printf '[service]\nname = extra\n[model extra]\nmemory = 15GB\n' > "$run/services/extra.ini"
client publish "$run/services"
sleep 1
client publish --remove extra
printf '[service]\nname = other\n[model other]\nmemory = 16GB\n' > "$run/services/extra.ini"
client publish "$run/services"
# Longer than the delay of the orders, so that those sent for the removed model arrive meanwhile.
sleep 4
for i in 1 2 3 4; do set_fault "$(engine_port $i)" order_delay_ms=0; done
wait_for_copies 1 other 1
wait_for_copies 1 desk-chat 1
[ "$(sum_engine_stat overcommits)" = 0 ] || fail "memory was overcommitted"
for name in draft-large draft-small desk-chat; do
  stream_completion 2 "$name" "still there" 10 > "$run/$name.txt"
  expect_complete_stream "$run/$name.txt" 10
done
