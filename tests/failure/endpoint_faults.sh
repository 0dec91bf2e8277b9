#!/usr/bin/env bash
# Engines crash, go silent, cross answers, and crash on one marked request; every caller gets its own whole answer.
source "$(dirname "$0")/common.sh"
start_cluster
publish_examples
# Many short requests between two reports: none is refused because of those that have ended.
"$root/build/bench/comfreypier-load" --target "$(node_address 1)" --model draft-small --rate 100 --count 600 --tokens 1 > "$run/short.txt"
grep -q '^whole=600 ' "$run/short.txt" || fail "short requests were refused: $(cat "$run/short.txt")"

holders() { curl -s "http://$(node_address 1)/admin/placement" | tr '{' '\n' | awk -v item="$1@1" -F'"' '/"worker":/ { worker = $4 } index($0, "\"item\":\"" item "\"") { print worker }' | sed 's/worker-//'; }

# reference FILE-PREFIX: the answer of an undisturbed run; a disturbed one must be the same to the byte, ids apart
words() { grep -o '"text":"[^"]*"' "$1"; }
stream_completion 1 desk-chat "same prompt" 300 > "$run/reference.txt"
expect_complete_stream "$run/reference.txt" 300

disturbed() { # NAME FAULT HOLDER...: runs the stream and causes the fault on these holders in the middle
  local name="$1" fault="$2"
  shift 2
  stream_completion 1 desk-chat "same prompt" 300 > "$run/$name.txt" &
  local reader=$!
  sleep 0.5
  for i in "$@"; do set_fault "$(engine_port "$i")" "$fault"; done
  wait "$reader" || fail "$name: the stream was cut off"
  expect_complete_stream "$run/$name.txt" 300
  cmp <(words "$run/reference.txt") <(words "$run/$name.txt") || fail "$name: the answer differs"
  for i in 1 2 3 4; do set_fault "$(engine_port "$i")" 'crash=0'; done
  wait_for_copies 1 desk-chat 2
}
for i in $(holders desk-chat); do disturbed "crash_$i" crash=1 "$i"; done
disturbed silence silence=1 $(holders desk-chat)
[ "$(counter_value 1 streams_resumed_total)" -gt 0 ] || fail "no stream was resumed, the test proves nothing"

for i in $(holders desk-chat | head -n 1); do set_fault "$(engine_port "$i")" cross=1; done
for n in $(seq 1 10); do
  stream_completion 1 desk-chat "crossed $n" 20 > "$run/cross-$n.txt"
  expect_complete_stream "$run/cross-$n.txt" 20
done
for i in 1 2 3 4; do set_fault "$(engine_port "$i")" cross=0; done
[ "$(counter_value 1 crossed_answers_dropped_total)" -gt 0 ] || fail "no answer was crossed, the test proves nothing"

before=$(sum_engine_stat crashes)
for n in $(seq 1 20); do
  stream_completion $((n % 3 + 1)) draft-small "CRASH-ENGINE please" 10 > "$run/poison-$n.txt" || true
  grep -q '\[DONE\]' "$run/poison-$n.txt" && fail "a crashing request was answered"
done
crashed=$(($(sum_engine_stat crashes) - before))
[ "$crashed" -ge 1 ] && [ "$crashed" -le 2 ] || fail "one request crashed $crashed endpoints"
wait_for_copies 1 draft-small 1
stream_completion 2 draft-small "an innocent" 20 > "$run/innocent.txt"
expect_complete_stream "$run/innocent.txt" 20
