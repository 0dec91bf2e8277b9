# Functions for scripts that run daemons of the users' platform against its stand-ins on loopback. Source it after cluster.sh.

# Address for the control calls of the stand-ins.
control_address="127.0.0.1:$base"
# vm_address VM OFFSET: address of a listener of the VM with this number (from 1).
# OFFSET: 0 front, 1 directory, 2 readiness, 3 inner (heartbeats), 4 metrics.
vm_address() { echo "127.0.0.1:$((base + 40 + 10 * $1 + $2))"; }
front_address() { vm_address "$1" 0; }

# write_vm_settings VM [LOG_LEVEL [STORE_ADDRESS]]: replaces the settings file of one daemon atomically
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

# start_platform_standin: starts the stand-ins for the platform's store and workers, and waits until they respond
start_platform_standin() {
  mkdir -p "$run"
  start_process platform "$root/build/tests/comfreypier-platform" "$base"
  wait_for_output '^llm0' 10 curl -s "http://$control_address/state"
}

# start_vm VM: starts a daemon; doesn't wait until it is ready
start_vm() {
  write_vm_settings "$1"
  start_process "entry-$1" "$root/build/daemon/comfreypierd" edge --config "$run/vm-$1.ini"
}

# vm_is_ready VM: succeeds if the VM reports that it is ready
vm_is_ready() { [ "$(curl -s -o /dev/null -w '%{http_code}' "http://$(vm_address "$1" 2)/v1/ready")" = 200 ]; }

# wait_vms_ready VM...: waits until all these VMs are ready; fails if one is not ready after about 10 s of waiting for it
wait_vms_ready() {
  local i
  for i in "$@"; do
    for _ in $(seq 1 100); do vm_is_ready "$i" && continue 2; sleep 0.1; done
    fail "vm-$i did not become ready"
  done
}

# send_request VM PATH ID [CURL_ARGUMENT...]: sends a request; prints the response body and, on the last line, the status
send_request() {
  local vm=$1 path=$2 id=$3
  shift 3
  curl -sN --max-time 20 -w '\n%{http_code}\n' "http://$(front_address "$vm")$path" -H 'Host: h.example' -H "Attempt-Id: $id" -H 'Deadline-Ms: 8000' "$@"
}

# send_chat VM ID MODEL: sends a chat request, whose response is a stream
send_chat() { send_request "$1" /chat/x "$2" -H "Model: $3" -H 'Token-Count: 500,100' -d hello; }

# expect_status STATUS RESPONSE: fails unless the last line of RESPONSE is STATUS
expect_status() { [ "$(tail -1 <<< "$2")" = "$1" ] || fail "expected status $1, got: $2"; }

# post_control PATH: sends a control call to the stand-ins
post_control() { curl -sf -X POST "http://$control_address$1" || fail "control call $1 failed"; }
