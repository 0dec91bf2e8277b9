# Common part of the benchmarks that run daemons, sourced first by each. Each has its own cluster, which is stopped at exit.
set -euo pipefail
base="${base:-27000}"
run="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)/run/bench"
source "$(dirname "${BASH_SOURCE[0]}")/../scripts/cluster.sh"
rm -rf "$run"
mkdir -p "$run/services"
trap stop_all EXIT
# load ARGUMENTS...: runs the load generator (bench/load.cpp)
load() { "$root/build/bench/comfreypier-load" "$@"; }
# value FILE NAME: value of the line "NAME=VALUE UNIT"
value() { awk -F'[= ]' -v name="$2" '$1 == name { print $2 }' "$1"; }
# calc EXPRESSION: value of an arithmetic expression with 4 decimal places
calc() { awk "BEGIN { printf \"%.4f\", $* }"; }
# publish_bench_services: publishes one model and one plain service, and waits for two copies of the model
publish_bench_services() {
  printf '[service]\nname = bench\n[model m]\nmemory = 10GB\nfirst_token_target = 2s\n[plain kiln]\nendpoints = 127.0.0.1:%d\nnot_repeatable = POST /orders\n' "$plain_port" > "$run/services/bench.ini"
  client publish "$run/services" > /dev/null
  wait_for_copies 1 m 2
}
