#!/usr/bin/env bash
# Settings are reloaded on SIGHUP and when the file changes without a signal. New settings must be applied and an invalid file
# must change nothing, in both cases without failed requests.
source "$(dirname "$0")/common.sh"
source "$root/scripts/platform.sh"
start_platform_standin
start_vm 1
post_control "/configure?version=1"
wait_vms_ready 1
log_file="$run/entry-1.log"
vm_pid=$(pid_of entry-1)
# log_line_count REGEX: number of matching lines in the daemon's log
log_line_count() { grep -c "$1" "$log_file" || true; }

send_chat 1 stream-1 m1 > /dev/null
{ for i in $(seq 1 60); do send_request 1 /status/1 "status-$i" | tail -1; sleep 0.05; done > "$run/statuses.txt"; } &
sender_pid=$!

# SIGHUP with the log level warn: requests are no longer logged.
write_vm_settings 1 warn
kill -HUP "$vm_pid"
sleep 1
lines_before=$(log_line_count 'event=request')
expect_status 200 "$(send_request 1 /order/1 quiet-1 -d body)"
[ "$(log_line_count 'event=request')" = "$lines_before" ] || fail "the new log level was not applied"

# An invalid file changes nothing, and its error is logged with file and line.
echo '[node' > "$run/vm-1.ini"
kill -HUP "$vm_pid"
sleep 1
kill -0 "$vm_pid" || fail "the daemon exited on SIGHUP"
expect_status 200 "$(send_request 1 /order/1 broken-1 -d body)"
grep -q 'vm-1.ini:1:' "$log_file" || fail "the error in the settings file was not logged"

# The store address changes without a signal: the daemon reads configurations from the new store.
start_process other "$root/build/tests/comfreypier-platform" "$((base + 200))"
wait_for_output '^llm0' 10 curl -s "http://127.0.0.1:$((base + 200))/state"
curl -s -X POST "http://127.0.0.1:$((base + 200))/configure?version=5&path=/moved/"
expect_status 404 "$(send_request 1 /moved/1 moved-0)"
write_vm_settings 1 info "127.0.0.1:$((base + 201))"
for _ in $(seq 1 150); do [ "$(send_request 1 /moved/1 "moved-$RANDOM" | tail -1)" = 200 ] && break; sleep 0.1; done
expect_status 200 "$(send_request 1 /moved/1 moved-1)"
grep -q "event=reload store=127.0.0.1:$((base + 201))" "$log_file" || fail "the reload was not logged"

wait "$sender_pid"
[ "$(sort -u "$run/statuses.txt")" = 200 ] || fail "requests failed during the changes: $(sort "$run/statuses.txt" | uniq -c)"
