#!/usr/bin/env bash
# The log loses half of its answers and is slow: each order runs once, and a publish comes into force.
source "$(dirname "$0")/common.sh"
start_cluster
publish_examples

set_fault "$log_port" 'lose_answers=0.5&slow_ms=20'
for i in $(seq 1 12); do
  { send_order 1 "key-$i" "order-$i"; send_order 2 "key-$i" "order-$i"; } > "$run/order-$i.txt" &
  orders[i]=$!
done
for i in $(seq 1 12); do wait "${orders[i]}"; done
answered=0
for i in $(seq 1 12); do
  count=$(order_run_count "order-$i")
  [ "${count:-0}" -le 1 ] || fail "order-$i ran $count times"
  ok=$(grep -c '^200$' "$run/order-$i.txt" || true)
  [ "$ok" = 0 ] || [ "$count" = 1 ] || fail "order-$i was confirmed and ran ${count:-0} times"
  [ "$(grep -c not_run "$run/order-$i.txt" || true)" = 2 ] && [ -n "$count" ] && fail "order-$i was refused as not run and ran"
  answered=$((answered + ok))
done
[ "$answered" -gt 0 ] || fail "no order was answered"
sed -i 's/memory = 14GB/memory = 13GB/' "$run/services/front-desk.ini"
client publish "$run/services" --wait-ms 20000
output_contains 'front-desk.*applied' client history || fail "the change is not in the history"
