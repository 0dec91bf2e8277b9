# Runs the micro-benchmarks, which need no daemons.
dir="$(dirname "$0")/../build/bench"
"$dir/comfreypier-micro"
exec "$dir/comfreypier-heartbeats"
