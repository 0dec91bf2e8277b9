# Measures the time until a published configuration is in force, log appends per second at different loads, and the time until
# another node takes over the workers of a node killed with SIGKILL.
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
# Of 40 results the 20th is reported as p50 and the largest as p99.
echo "in_force_p50=$(sed -n 20p "$run/in-force.txt") ms"
echo "in_force_p99=$(tail -n 1 "$run/in-force.txt") ms"

# appends: number of appends that the log service has accepted
appends() { curl -s "http://127.0.0.1:$log_port/stats" | cut -d= -f2; }
appends_before=$(appends); sleep 5
echo "appends_idle=$(calc "($(appends) - $appends_before) / 5") 1/s"
targets=(); for i in $(seq 1 8); do targets+=(--target "$(node_address $i)"); done
for rate in 100 1000; do
  appends_before=$(appends); started_at=$(now_ms)
  load "${targets[@]}" --mode orders --rate $rate --count $((rate * 5)) --prefix "orders_${rate}_" > "$run/orders.txt" || true
  duration_ms=$(($(now_ms) - started_at))
  cat "$run/orders.txt"
  echo "appends_at_$rate=$(calc "($(appends) - $appends_before) * 1000 / $duration_ms") 1/s"
done

# session_with_most_workers: session of the node that owns the most workers
session_with_most_workers() { curl -s "http://$(node_address 2)/admin/placement" | grep -o '"owner_session":[0-9]*' | sort | uniq -c | sort -rn | awk 'NR == 1 { print $2 }' | cut -d: -f2; }
session=$(session_with_most_workers)
killed_node=$(curl -s "http://$(node_address 2)/admin/status" | grep -o "\"node\":\"entry-[0-9]*\",\"session\":$session," | grep -o 'entry-[0-9]*')
observer=2; [ "$killed_node" = entry-2 ] && observer=3
killed_at=$(now_ms)
kill -KILL "$(pid_of "$killed_node")"
while output_contains "\"owner_session\":$session," curl -s "http://$(node_address $observer)/admin/placement"; do sleep 0.02; done
takeover_ms=$(($(now_ms) - killed_at))
echo "takeover=$(calc "$takeover_ms / 1000") s"
# Time beyond the session TTL of 3 s.
echo "takeover_over_ttl=$(calc "$takeover_ms / 1000 - 3") s"
