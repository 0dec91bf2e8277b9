#!/usr/bin/env bash
# SIGHUP and a silent change of the settings file: requests go on, the new settings are taken over, a broken file changes nothing.
source "$(dirname "$0")/common.sh"
source "$root/scripts/platform.sh"
start_platform_standin
start_vm 1
post_control "/configure?version=1"
wait_vms_ready 1
log="$run/entry-1.log"
vm=$(pid_of entry-1)
lines() { grep -c "$1" "$log" || true; }

send_chat 1 stream-1 m1 > /dev/null
{ for i in $(seq 1 60); do send_request 1 /status/1 "status-$i" | tail -1; sleep 0.05; done > "$run/statuses.txt"; } &
reader=$!

# SIGHUP with another log level: request lines stop.
write_vm_settings 1 warn
kill -HUP "$vm"
sleep 1
before=$(lines 'event=request')
expect_status 200 "$(send_request 1 /order/1 quiet-1 -d body)"
[ "$(lines 'event=request')" = "$before" ] || fail "the log level was not taken over"

# A broken file changes nothing and names its fault.
echo '[node' > "$run/vm-1.ini"
kill -HUP "$vm"
sleep 1
kill -0 "$vm" || fail "SIGHUP ended the daemon"
expect_status 200 "$(send_request 1 /order/1 broken-1 -d body)"
grep -q 'vm-1.ini:1:' "$log" || fail "the fault in the settings file is not named"

# The store's address changes without a signal: configurations are read there.
start_process other "$root/build/tests/comfreypier-platform" "$((base + 200))"
wait_for_output '^llm0' 10 curl -s "http://127.0.0.1:$((base + 200))/state"
curl -s -X POST "http://127.0.0.1:$((base + 200))/configure?version=5&path=/moved/"
expect_status 404 "$(send_request 1 /moved/1 moved-0)"
write_vm_settings 1 info "127.0.0.1:$((base + 201))"
for _ in $(seq 1 150); do [ "$(send_request 1 /moved/1 "moved-$RANDOM" | tail -1)" = 200 ] && break; sleep 0.1; done
expect_status 200 "$(send_request 1 /moved/1 moved-1)"
grep -q "event=reload store=127.0.0.1:$((base + 201))" "$log" || fail "the reload is not logged"

wait "$reader"
[ "$(sort -u "$run/statuses.txt")" = 200 ] || fail "requests failed meanwhile: $(sort "$run/statuses.txt" | uniq -c)"
