#!/usr/bin/env bash
# Malformed, too large and too slow requests, faulty settings and wrong arguments each get a clear answer.
source "$(dirname "$0")/common.sh"
limits_extra='read_timeout = 2s'
start_cluster
publish_examples
status() { curl -s -o "$run/body.txt" -w '%{http_code}' --max-time 20 "$@"; }
expect() { # STATUS REASON CURL-ARGUMENTS...
  local want="$1" reason="$2"
  shift 2
  [ "$(status "$@")" = "$want" ] || fail "expected $want from: $*: $(cat "$run/body.txt")"
  grep -q "\"reason\":\"$reason\",\"run\":\"not_run\"" "$run/body.txt" || fail "expected $reason: $(cat "$run/body.txt")"
}
url="http://$(node_address 1)"
expect 400 bad_json "$url/v1/completions" -d '{"model":'
expect 400 bad_json "$url/v1/completions" -d '{"prompt":"x"}'
expect 404 unknown_model "$url/v1/completions" -d '{"model":"nobody"}'
expect 404 unknown_service "$url/services/nobody/x" -d 'x'
expect 404 not_found "$url/nothing"
expect 405 method_not_allowed -X DELETE "$url/v1/models"
expect 405 method_not_allowed "$url/v1/completions"
expect 431 header_too_large -H "X-Large: $(head -c 20000 /dev/zero | tr '\0' x)" "$url/v1/models"
head -c 5000000 /dev/zero | tr '\0' ' ' > "$run/large.txt"
expect 413 body_too_large "$url/v1/completions" --data-binary "@$run/large.txt" -H 'Expect:'
host="${url#http://}"
exec 3<> "/dev/tcp/${host%:*}/${host#*:}"
printf 'GARBAGE\r\n\r\n' >&3
head -n 1 <&3 | grep -q '400' || fail "garbage got no 400"
exec 3>&-
exec 3<> "/dev/tcp/${host%:*}/${host#*:}"
printf 'POST /v1/completions HTTP/1.1\r\nContent-Length: 50\r\n\r\nabc' >&3
head -n 1 <&3 > "$run/slow.txt"
grep -q ' 408 ' "$run/slow.txt" || fail "a request that stops in the middle got no 408"
exec 3>&-
for _ in $(seq 1 20); do
  { head -c 300 /dev/urandom > "/dev/tcp/${host%:*}/${host#*:}"; } 2> /dev/null || true
done
[ "$(send_order 1 reused one | tail -n 1)" = 200 ] || fail "an order failed"
[ "$(send_order 1 reused two | tail -n 1)" = 422 ] || fail "a key was taken for another request"
[ -z "$(order_run_count two)" ] || fail "a refused order ran"
[ "$(status "$url/healthz")" = 200 ] || fail "the daemon has stopped"

daemon="$root/build/daemon/comfreypierd"
printf '[node]\nname = x\nhttp = nowhere\nspeed = 9\n' > "$run/faulty.ini"
code=0; "$daemon" --config "$run/faulty.ini" --check 2> "$run/faults.txt" || code=$?
[ "$code" = 2 ] || fail "faulty settings exit with $code"
for text in "faulty.ini:3: 'http' is 'nowhere'" "faulty.ini:4: unknown key 'speed'" "faulty.ini:1: \[node\] lacks 'region'" "section \[platform\] is missing"; do
  grep -q "$text" "$run/faults.txt" || fail "the faults lack: $text"
done
"$daemon" --config "$run/entry-1.ini" --check > /dev/null || fail "good settings are refused"
output_contains '^comfreypierd ' "$daemon" --version || fail "no version"
code=0; "$daemon" --config "$run/entry-1.ini" 2> /dev/null || code=$?
[ "$code" = 3 ] || fail "a taken address exits with $code"
code=0; client nonsense 2> /dev/null || code=$?
[ "$code" = 2 ] || fail "a wrong command exits with $code"
code=0; "$root/build/client/comfreypier" --node 127.0.0.1:1 status 2> /dev/null || code=$?
[ "$code" = 3 ] || fail "an absent node exits with $code"
for command in status models placement history 'explain desk-chat'; do
  client $command > /dev/null || fail "'$command' failed"
  output_contains '^{' client $command --json || fail "'$command --json' is no JSON"
done
