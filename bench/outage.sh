# Measures the shares of completions and of keyed orders that are served while the log is unavailable for 30 s and one node is
# killed halfway. This simulates an outage of ten minutes at a scale of 1:20; the session TTL of 3 s is not scaled.
source "$(dirname "$0")/common.sh"
seconds=30
start_standins 4
for i in 1 2 3 4; do start_node $i; done
wait_nodes_ready 1 2 3 4
publish_bench_services
set_fault "$log_port" outage=1
# send_completions PREFIX SECONDS NODE...: sends 40 completions per second to the nodes
send_completions() {
  local prefix="$1" duration="$2" targets=() i
  shift 2
  for i in "$@"; do targets+=(--target "$(node_address "$i")"); done
  load "${targets[@]}" --rate 40 --count $((40 * duration)) --tokens 8 --prefix "$prefix" || true
}
load --target "$(node_address 1)" --target "$(node_address 2)" --mode orders --rate 10 --count $((10 * seconds)) --prefix keyed_orders_ > "$run/orders.txt" &
send_completions before_death_ $((seconds / 2)) 1 2 3 4 > "$run/before.txt"
kill -KILL "$(pid_of entry-4)"
send_completions after_death_ $((seconds / 2)) 1 2 3 > "$run/after.txt"
wait %% 2> /dev/null || true
set_fault "$log_port" outage=0
grep -E 'whole|refused|broken' "$run/before.txt" "$run/after.txt" "$run/orders.txt" -h
echo "completions_served=$(calc "100 * ($(value "$run/before.txt" before_death_whole) + $(value "$run/after.txt" after_death_whole)) / (40 * $seconds)") percent"
echo "keyed_orders_served=$(calc "100 * $(value "$run/orders.txt" keyed_orders_whole) / (10 * $seconds)") percent"
wait_for_output '^200$' 15 send_order 1 after-outage after-outage
for i in 1 2 3; do echo "sessions_lapsed_node_$i=$(counter_value $i sessions_lapsed_total) sessions"; done
