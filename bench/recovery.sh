# Measures the takeover time after kill -9, the time until a published configuration is in force, and log appends per second by load.
source "$(dirname "$0")/common.sh"
now_ms() { date +%s%3N; }
start_standins 8
for i in $(seq 1 8); do start_node $i; done
wait_nodes_ready 1 2 3 4 5 6 7 8
publish_bench_services

for n in $(seq 1 40); do
  sed -i "s/first_token_target = .*/first_token_target = $((2000 + n))ms/" "$run/services/bench.ini"
  client publish "$run/services" --json | grep -o '"in_force_ms":[0-9]*' | cut -d: -f2
done | sort -n > "$run/in-force.txt"
echo "in_force_p50=$(sed -n 20p "$run/in-force.txt") ms"
echo "in_force_p99=$(tail -n 1 "$run/in-force.txt") ms"

appends() { curl -s "http://127.0.0.1:$log_port/stats" | cut -d= -f2; }
before=$(appends); sleep 5
echo "appends_idle=$(calc "($(appends) - $before) / 5") a_second"
targets=(); for i in $(seq 1 8); do targets+=(--target "$(node_address $i)"); done
for rate in 100 1000; do
  before=$(appends); from=$(now_ms)
  load "${targets[@]}" --mode orders --rate $rate --count $((rate * 5)) --prefix "orders_${rate}_" > "$run/orders.txt" || true
  took=$(($(now_ms) - from))
  cat "$run/orders.txt"
  echo "appends_at_$rate=$(calc "($(appends) - $before) * 1000 / $took") a_second"
done

owner_of() { curl -s "http://$(node_address 2)/admin/placement" | grep -o '"owner_session":[0-9]*' | sort | uniq -c | sort -rn | awk 'NR == 1 { print $2 }' | cut -d: -f2; }
session=$(owner_of)
killed_node=$(curl -s "http://$(node_address 2)/admin/status" | grep -o "\"node\":\"entry-[0-9]*\",\"session\":$session," | grep -o 'entry-[0-9]*')
observer=2; [ "$killed_node" = entry-2 ] && observer=3
killed_at=$(now_ms)
kill -KILL "$(pid_of "$killed_node")"
while output_contains "\"owner_session\":$session," curl -s "http://$(node_address $observer)/admin/placement"; do sleep 0.02; done
took=$(($(now_ms) - killed_at))
echo "takeover=$(calc "$took / 1000") s"
echo "takeover_over_ttl=$(calc "$took / 1000 - 3") s"
