#!/usr/bin/env bash
# Nobody reads a daemon's standard output: requests are answered as before, lines are dropped and counted.
source "$(dirname "$0")/common.sh"
source "$root/scripts/platform.sh"
start_platform_standin
write_vm_settings 1
mkfifo "$run/unread"
# Held open for reading and never read.
exec 9<> "$run/unread"
"$root/build/daemon/comfreypierd" edge --config "$run/vm-1.ini" > "$run/unread" 2> "$run/entry-1.log" &
echo "$! entry-1" >> "$run/pids"
post_control "/configure?version=1"
wait_vms_ready 1
for i in $(seq 1 600); do echo "url = \"http://$(front_address 1)/status/1\""; echo 'output = "/dev/null"'; done > "$run/urls"
slowest=$(curl -s --config "$run/urls" -H 'Host: h.example' -H 'Attempt-Id: unread' -H 'Deadline-Ms: 3000' -w '%{http_code} %{time_total}\n' \
  | awk '$1 != 200 { bad++ } $2 > slowest { slowest = $2 } END { print bad + 0, NR, slowest * 1000 }')
read -r bad answered slowest <<< "$slowest"
[ "$answered" = 600 ] || fail "only $answered of 600 requests ended"
[ "$bad" = 0 ] || fail "$bad requests were not answered"
awk -v ms="$slowest" 'BEGIN { exit !(ms < 500) }' || fail "a request took $slowest ms"
dropped=$(curl -s "http://$(vm_address 1 4)/metrics" | awk '$1 == "comfreypier_log_lines_dropped_total" { print $2 }')
[ "${dropped:-0}" -gt 0 ] || fail "no line was dropped, the test proves nothing"
