#!/usr/bin/env bash
# Standard output of a daemon is a pipe that nobody reads, so a write blocks once the pipe is full. Requests must still be served
# without delay; log lines are dropped and counted.
source "$(dirname "$0")/common.sh"
source "$root/scripts/platform.sh"
start_platform_standin
write_vm_settings 1
mkfifo "$run/unread"
# Holds the pipe open for reading, without reading from it.
exec 9<> "$run/unread"
"$root/build/daemon/comfreypierd" edge --config "$run/vm-1.ini" > "$run/unread" 2> "$run/entry-1.log" &
echo "$! entry-1" >> "$run/pids"
post_control "/configure?version=1"
wait_vms_ready 1
for i in $(seq 1 600); do echo "url = \"http://$(front_address 1)/status/1\""; echo 'output = "/dev/null"'; done > "$run/urls"
summary=$(curl -s --config "$run/urls" -H 'Host: h.example' -H 'Attempt-Id: unread' -H 'Deadline-Ms: 3000' -w '%{http_code} %{time_total}\n' \
  | awk '$1 != 200 { failed++ } $2 > slowest { slowest = $2 } END { print failed + 0, NR, slowest * 1000 }')
read -r failed completed slowest_ms <<< "$summary"
[ "$completed" = 600 ] || fail "only $completed of 600 requests completed"
[ "$failed" = 0 ] || fail "$failed of 600 requests failed"
awk -v ms="$slowest_ms" 'BEGIN { exit !(ms < 500) }' || fail "the slowest request took $slowest_ms ms, limit 500 ms"
dropped=$(curl -s "http://$(vm_address 1 4)/metrics" | awk '$1 == "comfreypier_log_lines_dropped_total" { print $2 }')
[ "${dropped:-0}" -gt 0 ] || fail "no log line was dropped, so the pipe never filled"
