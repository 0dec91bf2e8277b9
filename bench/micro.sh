exec "$(dirname "$0")/../build/bench/comfreypier-micro"
