#!/usr/bin/env bash
# Callers must get their own complete responses while engines crash, stop responding or mix up the responses of two requests. A
# request that crashes its engine (a poison request) must not crash one engine after another by being retried.
source "$(dirname "$0")/common.sh"
start_cluster
publish_examples
# Many short requests end between two load reports. Requests that have ended must not count as load, so none is refused.
"$root/build/bench/comfreypier-load" --target "$(node_address 1)" --model draft-small --rate 100 --count 600 --tokens 1 > "$run/short.txt"
grep -q '^whole=600 ' "$run/short.txt" || fail "short requests were refused: $(cat "$run/short.txt")"

# workers_of MODEL: numbers of the workers that hold version 1 of the model
workers_of() { curl -s "http://$(node_address 1)/admin/placement" | tr '{' '\n' | awk -v item="$1@1" -F'"' '/"worker":/ { worker = $4 } index($0, "\"item\":\"" item "\"") { print worker }' | sed 's/worker-//'; }

# token_texts FILE: the texts of all tokens. A stream with faults must have the same texts as the reference stream without faults.
token_texts() { grep -o '"text":"[^"]*"' "$1"; }
stream_completion 1 desk-chat "same prompt" 300 > "$run/reference.txt"
expect_complete_stream "$run/reference.txt" 300

# stream_with_fault NAME FAULT WORKER...: streams a completion and sets the fault on these workers in the middle of the stream
stream_with_fault() {
  local name="$1" fault="$2"
  shift 2
  stream_completion 1 desk-chat "same prompt" 300 > "$run/$name.txt" &
  local reader_pid=$!
  sleep 0.5
  for i in "$@"; do set_fault "$(engine_port "$i")" "$fault"; done
  wait "$reader_pid" || fail "$name: the stream was cut off"
  expect_complete_stream "$run/$name.txt" 300
  cmp <(token_texts "$run/reference.txt") <(token_texts "$run/$name.txt") || fail "$name: the text differs from the reference"
  for i in 1 2 3 4; do set_fault "$(engine_port "$i")" 'crash=0'; done
  wait_for_copies 1 desk-chat 2
}
for i in $(workers_of desk-chat); do stream_with_fault "crash_$i" crash=1 "$i"; done
stream_with_fault silence silence=1 $(workers_of desk-chat)
[ "$(counter_value 1 streams_resumed_total)" -gt 0 ] || fail "no stream was resumed, so resuming was not tested"

for i in $(workers_of desk-chat | head -n 1); do set_fault "$(engine_port "$i")" cross=1; done
for n in $(seq 1 10); do
  stream_completion 1 desk-chat "crossed $n" 20 > "$run/cross-$n.txt"
  expect_complete_stream "$run/cross-$n.txt" 20
done
for i in 1 2 3 4; do set_fault "$(engine_port "$i")" cross=0; done
[ "$(counter_value 1 crossed_answers_dropped_total)" -gt 0 ] || fail "no mixed-up response was dropped, so this check was not tested"

crashes_before=$(sum_engine_stat crashes)
for n in $(seq 1 20); do
  stream_completion $((n % 3 + 1)) draft-small "CRASH-ENGINE please" 10 > "$run/poison-$n.txt" || true
  grep -q '\[DONE\]' "$run/poison-$n.txt" && fail "a poison request got a complete response"
done
new_crashes=$(($(sum_engine_stat crashes) - crashes_before))
[ "$new_crashes" -ge 1 ] && [ "$new_crashes" -le 2 ] || fail "expected 1 or 2 engine crashes by poison requests, got $new_crashes"
wait_for_copies 1 draft-small 1
stream_completion 2 draft-small "an innocent" 20 > "$run/normal.txt"
expect_complete_stream "$run/normal.txt" 20
