#!/usr/bin/env bash
# A publish shortly after the start, when only one worker is known yet, must wait for the other workers instead of being refused
# for lack of capacity.
source "$(dirname "$0")/common.sh"
start_standins 3
for i in 2 3 4; do curl -s -X POST "http://127.0.0.1:$vm_list_port/vms?name=worker-$i&state=gone" > /dev/null; done
for i in 1 2 3; do start_node "$i"; done
wait_nodes_ready 1 2 3
wait_for_output '"worker":"worker-1"' 10 curl -s "http://$(node_address 1)/admin/placement"
output_contains '"worker":"worker-2"' curl -s "http://$(node_address 1)/admin/placement" && fail "all workers are known before the publish, so waiting was not tested"
{ sleep 1; for i in 2 3 4; do curl -s -X POST "http://127.0.0.1:$vm_list_port/vms?name=worker-$i&state=live" > /dev/null; done; } &
publish_examples
