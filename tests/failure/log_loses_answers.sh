#!/usr/bin/env bash
# The log service is slow and drops half of its responses, so a node can't tell whether an append succeeded. Each order must
# run at most once, its reported run state must be true, and a published configuration must come into force.
source "$(dirname "$0")/common.sh"
start_cluster
publish_examples

set_fault "$log_port" 'lose_answers=0.5&slow_ms=20'
for i in $(seq 1 12); do
  { send_order 1 "key-$i" "order-$i"; send_order 2 "key-$i" "order-$i"; } > "$run/order-$i.txt" &
  sender_pids[i]=$!
done
for i in $(seq 1 12); do wait "${sender_pids[i]}"; done
confirmed_total=0
for i in $(seq 1 12); do
  count=$(order_run_count "order-$i")
  [ "${count:-0}" -le 1 ] || fail "order-$i ran $count times"
  confirmed=$(grep -c '^200$' "$run/order-$i.txt" || true)
  [ "$confirmed" = 0 ] || [ "$count" = 1 ] || fail "order-$i was confirmed but ran ${count:-0} times"
  [ "$(grep -c not_run "$run/order-$i.txt" || true)" = 2 ] && [ -n "$count" ] && fail "order-$i was refused as not run but ran"
  confirmed_total=$((confirmed_total + confirmed))
done
[ "$confirmed_total" -gt 0 ] || fail "no order was confirmed"
sed -i 's/memory = 14GB/memory = 13GB/' "$run/services/front-desk.ini"
client publish "$run/services" --wait-ms 20000
output_contains 'front-desk.*applied' client history || fail "the configuration change is not in the history"
