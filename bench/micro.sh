# Runs the micro-benchmarks, which need no daemons.
exec "$(dirname "$0")/../build/bench/comfreypier-micro"
