# Measures the latency that a node adds to the first token, tokens and requests per CPU second, and the memory per open stream.
source "$(dirname "$0")/common.sh"
write_standin_settings 1
sed -i 's/slots = 8/slots = 1024/; s/token_gap = 5ms/token_gap = 10ms/; s/prefill = 15ms/prefill = 5ms/' "$run/platform.ini"
start_process standins "$root/build/tests/comfreypier-standins" "$run/platform.ini"
wait_for_output '' 10 curl -sf "http://127.0.0.1:$vm_list_port/vms"
start_node 1
wait_nodes_ready 1
publish_bench_services
engine_endpoint=$(curl -s "http://$(node_address 1)/admin/placement" | tr '{' '\n' | awk -F'"' '/"worker":/ { e = $8 } /"item":"m@1"/ { print e; exit }')
echo "resident_idle=$(calc "$(counter_value 1 resident_bytes) / 1e6") MB"

load --target "$engine_endpoint" --item m@1 --rate 150 --count 1000 --tokens 4 --prefix direct_ > "$run/direct.txt" &
load --target "$(node_address 1)" --rate 150 --count 1000 --tokens 4 --prefix through_ > "$run/through.txt"
wait %% || true
cat "$run/direct.txt" "$run/through.txt"
for q in p50 p99; do echo "added_first_token_$q=$(calc "$(value "$run/through.txt" through_$q) - $(value "$run/direct.txt" direct_$q)") ms"; done

# measure_tokens_per_cpu_second NAME STREAMS TOKENS: prints the result as NAME, for STREAMS streams of TOKENS tokens each
measure_tokens_per_cpu_second() {
  local cpu_before cpu_after
  cpu_before=$(counter_value 1 cpu_seconds_total)
  load --target "$(node_address 1)" --rate 2000 --count "$2" --tokens "$3" --prefix "$1_" > "$run/$1.txt"
  cpu_after=$(counter_value 1 cpu_seconds_total)
  echo "$1_whole=$(value "$run/$1.txt" "$1_whole") requests"
  echo "$1=$(calc "$(value "$run/$1.txt" "$1_tokens") / ($cpu_after - $cpu_before)") tokens"
}
measure_tokens_per_cpu_second tokens_per_core_second 400 500
# Without a pause between tokens the engines send as fast as they can.
for i in 1 2 3 4; do set_fault "$(engine_port $i)" slow_factor=0; done
measure_tokens_per_cpu_second saturated_tokens_per_core_second 64 4000
cpu_before_requests=$(counter_value 1 cpu_seconds_total)
load --target "$(node_address 1)" --rate 3000 --count 6000 --tokens 1 --prefix short_ > "$run/short.txt" || true
echo "requests_per_core_second=$(calc "$(value "$run/short.txt" short_whole) / ($(counter_value 1 cpu_seconds_total) - $cpu_before_requests)") requests"

# With 50 ms between tokens a stream of 100 tokens lasts 5 s, so all streams are open when the memory is read after 3 s.
for i in 1 2 3 4; do set_fault "$(engine_port $i)" slow_factor=5; done
resident_before=$(counter_value 1 resident_bytes)
for streams in 100 1000; do
  load --target "$(node_address 1)" --rate 1000 --count $streams --tokens 100 --prefix hold_ > "$run/hold.txt" &
  sleep 3
  echo "streams_open=$(counter_value 1 http_active_requests) streams"
  echo "resident_${streams}=$(calc "$(counter_value 1 resident_bytes) / 1e6") MB"
  resident_after=$(counter_value 1 resident_bytes)
  wait %% || true
done
echo "resident_per_stream=$(calc "($resident_after - $resident_before) / 1000 / 1000") KB"
