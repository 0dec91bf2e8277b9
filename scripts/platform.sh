# Shared by the scripts that start daemons of the platform against its stand-ins on loopback. Source it after cluster.sh.

control_address="127.0.0.1:$base"
# First of the ports of a VM: front, directory, readiness, beats, metrics.
vm_address() { echo "127.0.0.1:$((base + 40 + 10 * $1 + $2))"; }
front_address() { vm_address "$1" 0; }

# write_vm_settings NUMBER [LEVEL [STORE]]: settings of one daemon
write_vm_settings() {
  cat > "$run/vm-$1.ini.new" <<END
[node]
name = vm-$1
region = r
data_centre = dc
[listen]
front = $(vm_address "$1" 0)
directory = $(vm_address "$1" 1)
readiness = $(vm_address "$1" 2)
inner = $(vm_address "$1" 3)
metrics = $(vm_address "$1" 4)
[store]
address = ${3:-127.0.0.1:$((base + 1))}
[drain]
grace = 8s
[log]
level = ${2:-info}
END
  mv "$run/vm-$1.ini.new" "$run/vm-$1.ini"
}

start_platform_standin() {
  mkdir -p "$run"
  start_process platform "$root/build/tests/comfreypier-platform" "$base"
  wait_for_output '^llm0' 10 curl -s "http://$control_address/state"
}

start_vm() {
  write_vm_settings "$1"
  start_process "entry-$1" "$root/build/daemon/comfreypierd" edge --config "$run/vm-$1.ini"
}

vm_is_ready() { [ "$(curl -s -o /dev/null -w '%{http_code}' "http://$(vm_address "$1" 2)/v1/ready")" = 200 ]; }

wait_vms_ready() {
  local i
  for i in "$@"; do
    for _ in $(seq 1 100); do vm_is_ready "$i" && continue 2; sleep 0.1; done
    fail "vm-$i is not ready"
  done
}

# send_request VM PATH ID [CURL ARGUMENTS]: prints the body and, on a line of its own, the status
send_request() {
  local vm=$1 path=$2 id=$3
  shift 3
  curl -sN --max-time 20 -w '\n%{http_code}\n' "http://$(front_address "$vm")$path" -H 'Host: h.example' -H "Attempt-Id: $id" -H 'Deadline-Ms: 8000' "$@"
}

# send_chat VM ID MODEL: a stream
send_chat() { send_request "$1" /chat/x "$2" -H "Model: $3" -H 'Token-Count: 500,100' -d hello; }

# expect_status STATUS TEXT: the last line of TEXT is STATUS
expect_status() { [ "$(tail -1 <<< "$2")" = "$1" ] || fail "expected $1, got: $2"; }

# post_control PATH: a call that switches the stand-ins
post_control() { curl -sf -X POST "http://$control_address$1" || fail "the platform refuses $1"; }
