#!/usr/bin/env bash
# Invalid input must be refused with a specific error, and must not stop the daemon: malformed, oversized and slow requests,
# reused idempotency keys, invalid settings files and wrong command-line arguments.
source "$(dirname "$0")/common.sh"
limits_extra='read_timeout = 2s'
start_cluster
publish_examples
# request_status CURL_ARGUMENT...: sends a request, saves the body in $run/body.txt and prints the status
request_status() { curl -s -o "$run/body.txt" -w '%{http_code}' --max-time 20 "$@"; }
# expect_refusal STATUS REASON CURL_ARGUMENT...: the request is refused with this status and reason and did not run
expect_refusal() {
  local expected_status="$1" reason="$2"
  shift 2
  [ "$(request_status "$@")" = "$expected_status" ] || fail "expected status $expected_status from: $*: $(cat "$run/body.txt")"
  grep -q "\"reason\":\"$reason\",\"run\":\"not_run\"" "$run/body.txt" || fail "expected reason $reason, not run: $(cat "$run/body.txt")"
}
url="http://$(node_address 1)"
expect_refusal 400 bad_json "$url/v1/completions" -d '{"model":'
expect_refusal 400 bad_json "$url/v1/completions" -d '{"prompt":"x"}'
expect_refusal 404 unknown_model "$url/v1/completions" -d '{"model":"nobody"}'
expect_refusal 404 unknown_service "$url/services/nobody/x" -d 'x'
expect_refusal 404 not_found "$url/nothing"
expect_refusal 405 method_not_allowed -X DELETE "$url/v1/models"
expect_refusal 405 method_not_allowed "$url/v1/completions"
expect_refusal 431 header_too_large -H "X-Large: $(head -c 20000 /dev/zero | tr '\0' x)" "$url/v1/models"
head -c 5000000 /dev/zero | tr '\0' ' ' > "$run/large.txt"
expect_refusal 413 body_too_large "$url/v1/completions" --data-binary "@$run/large.txt" -H 'Expect:'
host="${url#http://}"
exec 3<> "/dev/tcp/${host%:*}/${host#*:}"
printf 'GARBAGE\r\n\r\n' >&3
head -n 1 <&3 | grep -q '400' || fail "a malformed request line was not refused with 400"
exec 3>&-
exec 3<> "/dev/tcp/${host%:*}/${host#*:}"
printf 'POST /v1/completions HTTP/1.1\r\nContent-Length: 50\r\n\r\nabc' >&3
head -n 1 <&3 > "$run/slow.txt"
grep -q ' 408 ' "$run/slow.txt" || fail "an incomplete request was not refused with 408"
exec 3>&-
# A request hidden in the body of another one is not served.
exec 3<> "/dev/tcp/${host%:*}/${host#*:}"
printf 'POST /v1/completions HTTP/1.1\r\nTransfer-Encoding: xchunked\r\n\r\nGET /healthz HTTP/1.1\r\n\r\n' >&3
timeout 5 cat <&3 > "$run/hidden.txt" || fail "the connection of an ambiguous request was not closed"
[ "$(grep -c '^HTTP/1.1 ' "$run/hidden.txt")" = 1 ] || fail "a hidden request was served"
grep -q '^HTTP/1.1 400 ' "$run/hidden.txt" || fail "an ambiguous request was not refused with 400"
exec 3>&-
# Random bytes must not stop the daemon, which is checked below.
for _ in $(seq 1 20); do
  { head -c 300 /dev/urandom > "/dev/tcp/${host%:*}/${host#*:}"; } 2> /dev/null || true
done
[ "$(send_order 1 reused one | tail -n 1)" = 200 ] || fail "an order with a new idempotency key failed"
[ "$(send_order 1 reused two | tail -n 1)" = 422 ] || fail "a reused idempotency key with another body was not refused with 422"
[ -z "$(order_run_count two)" ] || fail "a refused order ran"
[ "$(request_status "$url/healthz")" = 200 ] || fail "the daemon no longer responds"

daemon="$root/build/daemon/comfreypierd"
printf '[node]\nname = x\nhttp = nowhere\nspeed = 9\n' > "$run/invalid.ini"
code=0; "$daemon" --config "$run/invalid.ini" --check 2> "$run/errors.txt" || code=$?
[ "$code" = 2 ] || fail "expected exit code 2 for invalid settings, got $code"
for text in "invalid.ini:3: 'http' is 'nowhere'" "invalid.ini:4: unknown key 'speed'" "invalid.ini:1: \[node\] lacks 'region'" "section \[platform\] is missing"; do
  grep -q "$text" "$run/errors.txt" || fail "missing in the reported errors: $text"
done
"$daemon" --config "$run/entry-1.ini" --check > /dev/null || fail "valid settings were refused"
output_contains '^comfreypierd ' "$daemon" --version || fail "--version printed no version"
code=0; "$daemon" --config "$run/entry-1.ini" 2> /dev/null || code=$?
[ "$code" = 3 ] || fail "expected exit code 3 for an address in use, got $code"
code=0; client nonsense 2> /dev/null || code=$?
[ "$code" = 2 ] || fail "expected exit code 2 for an unknown command, got $code"
code=0; "$root/build/client/comfreypier" --node 127.0.0.1:1 status 2> /dev/null || code=$?
[ "$code" = 3 ] || fail "expected exit code 3 for an unreachable node, got $code"
for command in status models placement history 'explain desk-chat'; do
  client $command > /dev/null || fail "'$command' failed"
  output_contains '^{' client $command --json || fail "'$command --json' printed no JSON"
done
