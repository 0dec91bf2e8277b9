# Shared by the scripts that start daemons and stand-ins on loopback. Source it.
# Every process that it starts is noted in $run/pids and stopped by its id.

root="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
run="${run:-$root/run}"

# write_platform: settings of the stand-ins: $1 = entry count
write_platform() {
  mkdir -p "$run"
  {
    printf '[platform]\nlog = 127.0.0.1:17001\nvm_list = 127.0.0.1:17002\nload_time = 300ms\nloads_at_once = 4\nadapters_at_once = 30\n'
    local centres=(ulaanbaatar-a ulaanbaatar-b darkhan zuunmod)
    for i in $(seq 1 "$1"); do
      printf '[entry entry-%d]\nendpoint = 127.0.0.1:%d\ndata_centre = %s\n' "$i" $((17400 + i)) "${centres[$(((i - 1) % 4))]}"
    done
    for i in 1 2 3 4; do
      printf '[engine worker-%d]\nendpoint = 127.0.0.1:%d\ndata_centre = %s\ncapacity = 48GB\nslots = 8\nprefill = 15ms\ntoken_gap = 5ms\n' \
        "$i" $((17100 + i)) "${centres[$((i - 1))]}"
    done
    printf '[plain kiln]\nendpoint = 127.0.0.1:17301\n'
  } > "$run/platform.ini"
}

# write_node: settings of one daemon: $1 = number
write_node() {
  local centres=(ulaanbaatar-a ulaanbaatar-b darkhan zuunmod)
  cat > "$run/entry-$1.ini" <<END
[node]
name = entry-$1
region = mn-central
data_centre = ${centres[$((($1 - 1) % 4))]}
http = 127.0.0.1:$((17400 + $1))
rpc = 127.0.0.1:$((17500 + $1))
threads = 2
[platform]
log = 127.0.0.1:17001
vm_list = 127.0.0.1:17002
[session]
ttl = 3s
margin = 750ms
[drain]
leaving_notice = 500ms
address_hold = 1s
[log]
level = info
END
}

# start NAME COMMAND...: runs a program in the background with its output in $run/NAME.log
start() {
  local name="$1"
  shift
  "$@" > "$run/$name.log" 2>&1 &
  echo "$! $name" >> "$run/pids"
}

pid_of() {
  awk -v name="$1" '$2 == name { pid = $1 } END { print pid }' "$run/pids"
}

# stop_matching PATTERN: ends the processes whose name matches, by their ids, and waits for them
stop_matching() {
  local pid name
  while read -r pid name; do
    [[ "$name" =~ $1 ]] && kill -TERM "$pid" 2> /dev/null
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
  stop_matching '^entry-'
  stop_matching '.*'
  rm -f "$run/pids"
}

# wait_for TEXT SECONDS COMMAND...: repeats COMMAND until its output holds TEXT
wait_for() {
  local text="$1" limit="$2"
  shift 2
  for _ in $(seq 1 $((limit * 10))); do
    "$@" 2> /dev/null | grep -q "$text" && return 0
    sleep 0.1
  done
  echo "timed out waiting for '$text' from: $*" >&2
  return 1
}
