# Functions for scripts that run daemons and stand-ins on loopback. Source this file.
# The process id and name of each started process go to $run/pids, so that only these processes are stopped.

root="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
# Directory for the settings, logs and process ids of this cluster.
run="${run:-$root/run}"
# Base port of this cluster; the stand-ins and daemons listen on the ports above it. All ports must be below 32768, where the
# system's ephemeral ports begin.
base="${base:-17000}"
# Settings of the stand-ins and daemons that a script can change before it starts them.
load_time="${load_time:-300ms}"
fencing="${fencing:-yes}"
session_extra="${session_extra:-}"
limits_extra="${limits_extra:-}"

log_port=$((base + 1))
vm_list_port=$((base + 2))
plain_port=$((base + 301))
engine_port() { echo $((base + 100 + $1)); }
node_address() { echo "127.0.0.1:$((base + 400 + $1))"; }

# write_standin_settings NODES: writes the settings of the stand-ins for a cluster of NODES nodes
write_standin_settings() {
  mkdir -p "$run"
  {
    printf '[platform]\nlog = 127.0.0.1:%d\nvm_list = 127.0.0.1:%d\nload_time = %s\nloads_at_once = 4\nadapters_at_once = 30\n' "$log_port" "$vm_list_port" "$load_time"
    local data_centres=(ulaanbaatar-a ulaanbaatar-b darkhan zuunmod)
    for i in $(seq 1 "$1"); do
      printf '[entry entry-%d]\nendpoint = %s\ndata_centre = %s\n' "$i" "$(node_address "$i")" "${data_centres[$(((i - 1) % 4))]}"
    done
    for i in 1 2 3 4; do
      printf '[engine worker-%d]\nendpoint = 127.0.0.1:%d\ndata_centre = %s\ncapacity = 48GB\nslots = 8\nprefill = 15ms\ntoken_gap = 5ms\nfencing = %s\n' \
        "$i" "$(engine_port "$i")" "${data_centres[$((i - 1))]}" "$fencing"
    done
    printf '[plain kiln]\nendpoint = 127.0.0.1:%d\n' "$plain_port"
  } > "$run/platform.ini"
}

# write_node_settings NODE: writes the settings of the daemon with the number NODE (from 1)
write_node_settings() {
  local data_centres=(ulaanbaatar-a ulaanbaatar-b darkhan zuunmod)
  cat > "$run/entry-$1.ini" <<END
[node]
name = entry-$1
region = mn-central
data_centre = ${data_centres[$((($1 - 1) % 4))]}
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

# start_process NAME COMMAND...: runs COMMAND in the background with its output in $run/NAME.log
start_process() {
  local name="$1"
  shift
  "$@" > "$run/$name.log" 2>&1 &
  echo "$! $name" >> "$run/pids"
}

# pid_of NAME: process id of the last process started under NAME
pid_of() {
  awk -v name="$1" '$2 == name { pid = $1 } END { print pid }' "$run/pids"
}

# stop_processes REGEX: sends SIGTERM to the processes whose names match, and SIGKILL to those still running about 10 s later
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

# stop_all: stops all processes of this cluster, the daemons before the stand-ins
stop_all() {
  [ -f "$run/pids" ] || return 0
  stop_processes '^entry-'
  stop_processes '.*'
  rm -f "$run/pids"
}

# output_contains REGEX COMMAND...: succeeds if a line of the output of COMMAND matches; ignores its exit code
output_contains() {
  local regex="$1" output
  shift
  output=$("$@" 2> /dev/null) || true
  grep -q "$regex" <<< "$output"
}

# wait_for_output REGEX SECONDS COMMAND...: repeats COMMAND every 100 ms until its output matches; fails after at least SECONDS
wait_for_output() {
  local regex="$1" timeout="$2"
  shift 2
  for _ in $(seq 1 $((timeout * 10))); do
    output_contains "$regex" "$@" && return 0
    sleep 0.1
  done
  echo "timed out after $timeout s waiting for '$regex' in the output of: $*" >&2
  return 1
}

# start_standins NODES: starts the stand-ins for a cluster of NODES nodes
start_standins() {
  write_standin_settings "$1"
  start_process standins "$root/build/tests/comfreypier-standins" "$run/platform.ini"
  wait_for_output '' 10 curl -sf "http://127.0.0.1:$vm_list_port/vms"
}

# start_node NODE: starts a daemon; doesn't wait until it is ready
start_node() {
  write_node_settings "$1"
  start_process "entry-$1" "$root/build/daemon/comfreypierd" --config "$run/entry-$1.ini"
}

# wait_nodes_ready NODE...: waits until all these daemons report that they are ready
wait_nodes_ready() {
  local i
  for i in "$@"; do wait_for_output '^ready' 20 curl -s "http://$(node_address "$i")/readyz"; done
}

# client ARGUMENTS...: runs the operator's client against nodes 1 to 3
client() { "$root/build/client/comfreypier" --node "$(node_address 1)" --node "$(node_address 2)" --node "$(node_address 3)" "$@"; }

# wait_for_copies NODE ITEM COUNT: waits until NODE lists COUNT to 9 copies of the model or adapter
wait_for_copies() { wait_for_output "\"copies\":[$3-9],*[^}]*\"id\":\"$2\"\|\"id\":\"$2\"[^}]*\"copies\":[$3-9]" 30 curl -s "http://$(node_address "$1")/v1/models"; }

# set_fault PORT NAME=VALUE[&NAME=VALUE]...: sets faults of the stand-in that listens on PORT; 0 disables a fault
set_fault() { curl -s -X POST "http://127.0.0.1:$1/fault?$2" > /dev/null; }

# counter_value NODE NAME: value of a metric of one daemon, named without its prefix comfreypier_
counter_value() { curl -s "http://$(node_address "$1")/metrics" | awk -v name="comfreypier_$2" '$1 == name { print $2 }'; }

# stream_completion NODE MODEL PROMPT TOKENS: requests a streamed completion and prints its events
stream_completion() {
  curl -sN --max-time 60 "http://$(node_address "$1")/v1/completions" -H 'Content-Type: application/json' \
    -d "{\"model\":\"$2\",\"prompt\":\"$3\",\"stream\":true,\"max_tokens\":$4}"
}

# send_order NODE KEY BODY: sends an order with an idempotency key; prints the response body and, on the last line, the status
send_order() { curl -s --max-time 30 -w '\n%{http_code}\n' "http://$(node_address "$1")/services/kiln/orders" -H "Idempotency-Key: $2" -d "$3"; }

# order_run_count BODY: how many times the plain service ran the order with this body; empty if never
order_run_count() { curl -s "http://127.0.0.1:$plain_port/counts" | awk -F= -v order="$1" '$1 == order { print $2 }'; }

# sum_engine_stat NAME: sum of a statistic over all engines
sum_engine_stat() {
  local i
  for i in 1 2 3 4; do curl -s "http://127.0.0.1:$(engine_port "$i")/stats"; done | awk -F= -v name="$1" '$1 == name { sum += $2 } END { print sum + 0 }'
}

# fail MESSAGE...: prints the message and exits with code 1
fail() {
  echo "FAILED: $*" >&2
  exit 1
}

# expect_complete_stream FILE TOKENS: fails unless FILE has the tokens 1 to TOKENS once each and in order, and the end marker
expect_complete_stream() {
  local token_count
  token_count=$(grep -o '^id: [0-9]*' "$1" | awk '{ if ($2 != NR) exit 1 } END { print NR }') || fail "$1: tokens missing, repeated or out of order"
  [ "$token_count" = "$2" ] || fail "$1: expected $2 tokens, got $token_count"
  grep -q '^data: \[DONE\]' "$1" || fail "$1: no end marker [DONE]"
}
