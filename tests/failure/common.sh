# Common part of the failure tests, sourced first by each. $1 of the test is the base port of its own cluster.
set -euo pipefail
base="$1"
source "$(dirname "${BASH_SOURCE[0]}")/../../scripts/cluster.sh"
run="$root/run/$(basename "$0" .sh)"
rm -rf "$run"
mkdir -p "$run/services"
# Stops all processes of the test. Prints the ends of all logs if the test failed.
clean_up() {
  local code=$?
  [ $code = 0 ] || tail -n 25 "$run"/*.log >&2
  stop_processes '^entry-' 2> /dev/null || true
  stop_all
  exit $code
}
trap clean_up EXIT

# publish_examples: publishes examples/tengerleg, with the address of this cluster's plain service, and waits for the models
publish_examples() {
  cp "$root"/examples/tengerleg/*.ini "$run/services"
  sed -i "s/127.0.0.1:17301/127.0.0.1:$plain_port/" "$run/services/kiln.ini"
  client publish "$run/services"
  wait_for_copies 1 desk-chat 2
  wait_for_copies 2 draft-large 1
  wait_for_copies 3 draft-small 1
}

# start_cluster: starts the stand-ins for four nodes, and nodes 1 to 3
start_cluster() {
  start_standins 4
  for i in 1 2 3; do start_node "$i"; done
  wait_nodes_ready 1 2 3
}

# run_state RESPONSE: the 'run' member of a problem document, which says whether the request ran
run_state() { grep -o '"run":"[a-z_]*"' <<< "$1" | cut -d'"' -f4; }
