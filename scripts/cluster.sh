# Shared by the scripts that start daemons and stand-ins on loopback. Source it.
# Every process that it starts is noted in $run/pids and stopped by its id.

root="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
run="${run:-$root/run}"
# First port of this cluster; the stand-ins and daemons listen above it. Stay below 32768, where the system picks its own.
base="${base:-17000}"
# Settings that tests change.
load_time="${load_time:-300ms}"
fencing="${fencing:-yes}"
session_extra="${session_extra:-}"
limits_extra="${limits_extra:-}"

log_port=$((base + 1))
vm_list_port=$((base + 2))
plain_port=$((base + 301))
engine_port() { echo $((base + 100 + $1)); }
node_address() { echo "127.0.0.1:$((base + 400 + $1))"; }

# write_standin_settings: settings of the stand-ins: $1 = entry count
write_standin_settings() {
  mkdir -p "$run"
  {
    printf '[platform]\nlog = 127.0.0.1:%d\nvm_list = 127.0.0.1:%d\nload_time = %s\nloads_at_once = 4\nadapters_at_once = 30\n' "$log_port" "$vm_list_port" "$load_time"
    local centres=(ulaanbaatar-a ulaanbaatar-b darkhan zuunmod)
    for i in $(seq 1 "$1"); do
      printf '[entry entry-%d]\nendpoint = %s\ndata_centre = %s\n' "$i" "$(node_address "$i")" "${centres[$(((i - 1) % 4))]}"
    done
    for i in 1 2 3 4; do
      printf '[engine worker-%d]\nendpoint = 127.0.0.1:%d\ndata_centre = %s\ncapacity = 48GB\nslots = 8\nprefill = 15ms\ntoken_gap = 5ms\nfencing = %s\n' \
        "$i" "$(engine_port "$i")" "${centres[$((i - 1))]}" "$fencing"
    done
    printf '[plain kiln]\nendpoint = 127.0.0.1:%d\n' "$plain_port"
  } > "$run/platform.ini"
}

# write_node_settings: settings of one daemon: $1 = number
write_node_settings() {
  local centres=(ulaanbaatar-a ulaanbaatar-b darkhan zuunmod)
  cat > "$run/entry-$1.ini" <<END
[node]
name = entry-$1
region = mn-central
data_centre = ${centres[$((($1 - 1) % 4))]}
http = $(node_address "$1")
rpc = 127.0.0.1:$((base + 500 + $1))
threads = 2
[platform]
log = 127.0.0.1:$log_port
vm_list = 127.0.0.1:$vm_list_port
[session]
ttl = 3s
margin = 750ms
$session_extra
[limits]
$limits_extra
[drain]
leaving_notice = 500ms
address_hold = 1s
[log]
level = info
END
}

# start_process NAME COMMAND...: runs a program in the background with its output in $run/NAME.log
start_process() {
  local name="$1"
  shift
  "$@" > "$run/$name.log" 2>&1 &
  echo "$! $name" >> "$run/pids"
}

pid_of() {
  awk -v name="$1" '$2 == name { pid = $1 } END { print pid }' "$run/pids"
}

# stop_processes PATTERN: ends the processes whose name matches, by their ids, and waits for them
stop_processes() {
  local pid name
  while read -r pid name; do
    [[ "$name" =~ $1 ]] || continue
    kill -TERM "$pid" 2> /dev/null || true
  done < "$run/pids"
  while read -r pid name; do
    [[ "$name" =~ $1 ]] || continue
    for _ in $(seq 1 200); do
      kill -0 "$pid" 2> /dev/null || break
      sleep 0.05
    done
    kill -KILL "$pid" 2> /dev/null || true
  done < "$run/pids"
  return 0
}

# stop_all: ends every process that was started here, the platform last
stop_all() {
  [ -f "$run/pids" ] || return 0
  stop_processes '^entry-'
  stop_processes '.*'
  rm -f "$run/pids"
}

# output_contains TEXT COMMAND...: tells whether the output of COMMAND holds TEXT
output_contains() {
  local text="$1" output
  shift
  output=$("$@" 2> /dev/null) || true
  grep -q "$text" <<< "$output"
}

# wait_for_output TEXT SECONDS COMMAND...: repeats COMMAND until its output holds TEXT
wait_for_output() {
  local text="$1" limit="$2"
  shift 2
  for _ in $(seq 1 $((limit * 10))); do
    output_contains "$text" "$@" && return 0
    sleep 0.1
  done
  echo "timed out waiting for '$text' from: $*" >&2
  return 1
}

start_standins() {
  write_standin_settings "$1"
  start_process standins "$root/build/tests/comfreypier-standins" "$run/platform.ini"
  wait_for_output '' 10 curl -sf "http://127.0.0.1:$vm_list_port/vms"
}

start_node() {
  write_node_settings "$1"
  start_process "entry-$1" "$root/build/daemon/comfreypierd" --config "$run/entry-$1.ini"
}

wait_nodes_ready() {
  local i
  for i in "$@"; do wait_for_output '^ready' 20 curl -s "http://$(node_address "$i")/readyz"; done
}

client() { "$root/build/client/comfreypier" --node "$(node_address 1)" --node "$(node_address 2)" --node "$(node_address 3)" "$@"; }

# wait_for_copies NODE ITEM COUNT
wait_for_copies() { wait_for_output "\"copies\":[$3-9],*[^}]*\"id\":\"$2\"\|\"id\":\"$2\"[^}]*\"copies\":[$3-9]" 30 curl -s "http://$(node_address "$1")/v1/models"; }

# set_fault PORT NAME=VALUE: switches a fault of a stand-in
set_fault() { curl -s -X POST "http://127.0.0.1:$1/fault?$2" > /dev/null; }

# counter_value NODE NAME: value of a counter of one daemon
counter_value() { curl -s "http://$(node_address "$1")/metrics" | awk -v name="comfreypier_$2" '$1 == name { print $2 }'; }

# stream_completion NODE MODEL PROMPT TOKENS
stream_completion() {
  curl -sN --max-time 60 "http://$(node_address "$1")/v1/completions" -H 'Content-Type: application/json' \
    -d "{\"model\":\"$2\",\"prompt\":\"$3\",\"stream\":true,\"max_tokens\":$4}"
}

# send_order NODE KEY BODY: prints the body and, on a line of its own, the status
send_order() { curl -s --max-time 30 -w '\n%{http_code}\n' "http://$(node_address "$1")/services/kiln/orders" -H "Idempotency-Key: $2" -d "$3"; }

# order_run_count BODY: how often the plain service ran an order
order_run_count() { curl -s "http://127.0.0.1:$plain_port/counts" | awk -F= -v order="$1" '$1 == order { print $2 }'; }

# sum_engine_stat NAME: sum of a figure over all engines
sum_engine_stat() {
  local i
  for i in 1 2 3 4; do curl -s "http://127.0.0.1:$(engine_port "$i")/stats"; done | awk -F= -v name="$1" '$1 == name { sum += $2 } END { print sum + 0 }'
}

fail() {
  echo "FAILED: $*" >&2
  exit 1
}

# expect_complete_stream FILE TOKENS: tokens 1..N stand there once each, in order, and the end is there
expect_complete_stream() {
  local seen
  seen=$(grep -o '^id: [0-9]*' "$1" | awk '{ if ($2 != NR) exit 1 } END { print NR }') || fail "tokens out of order in $1"
  [ "$seen" = "$2" ] || fail "$1 holds $seen tokens in place of $2"
  grep -q '^data: \[DONE\]' "$1" || fail "no end in $1"
}
