#!/usr/bin/env bash
# Two operators publish different changes of one file, based on the same version. Exactly one publish must succeed, and all nodes
# must have the same result. Stale, invalid and too large configurations must be refused with their own exit codes.
source "$(dirname "$0")/common.sh"
start_cluster
publish_examples
mkdir -p "$run/a" "$run/b"
for author in a b; do cp "$run/services/front-desk.ini" "$run/$author"; done
sed -i 's/first_token_target = 570ms/first_token_target = 400ms/' "$run/a/front-desk.ini"
sed -i 's/first_token_target = 570ms/first_token_target = 500ms/' "$run/b/front-desk.ini"
offset=$(curl -s "http://$(node_address 1)/admin/config" | grep -o '"service":"front-desk","offset":[0-9]*' | grep -o '[0-9]*$')
client publish "$run/a" --author a --base "front-desk=$offset" > "$run/a.txt" 2>&1 & pid_a=$!
client publish "$run/b" --author b --base "front-desk=$offset" > "$run/b.txt" 2>&1 & pid_b=$!
code_a=0; wait $pid_a || code_a=$?
code_b=0; wait $pid_b || code_b=$?
[ "$((code_a + code_b))" = 4 ] || fail "expected exit codes 0 and 4, got $code_a and $code_b"
variants=$(for i in 1 2 3; do curl -s "http://$(node_address $i)/admin/config" | grep -o 'first_token_target = [45]00ms'; done | sort -u | wc -l)
[ "$variants" = 1 ] || fail "the nodes have different configurations"

code=0
client publish "$run/a" --base "front-desk=0" > "$run/stale.txt" 2>&1 || code=$?
# 0 if a won: its content is in force, so there is nothing to publish.
[ "$code" = 4 ] || [ "$code" = 0 ] || fail "expected exit code 4 or 0 for a stale publish, got $code"
printf '[service]\nname = desk2\n[adapter lost]\nmodel = nowhere\nmemory = 1MB\n' > "$run/a/bad.ini"
code=0
client publish "$run/a" > "$run/bad.txt" 2>&1 || code=$?
[ "$code" = 1 ] || fail "expected exit code 1 for invalid service files, got $code"
printf '[service]\nname = huge\n[model huge]\nmemory = 900GB\n' > "$run/a/bad.ini"
code=0
client publish "$run/a" > "$run/huge.txt" 2>&1 || code=$?
[ "$code" = 7 ] || fail "expected exit code 7 for a model larger than any engine, got $code"
