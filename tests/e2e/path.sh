# Tests the request path with separate processes: responses match their requests and are complete, bookings run at most
# once despite platform faults, a response that says not_run is true, catalogue changes take effect, concurrent edits
# are rejected, and a graceful stop completes requests in flight.
source "$(dirname "$0")/lib.bash"
P=${YUCCA_E2E_BASE:-18600}

start_native_fleet $P 2

chat() { # router workspace request-id content [stream]
    curl -s -X POST "$1/v1/chat/completions" -H "x-workspace: $2" -H "x-request-id: $3" \
        -d "{\"messages\":[{\"role\":\"user\",\"content\":\"$4\"}],\"max_tokens\":${MAXTOK:-6},\"stream\":${5:-false}}"
}

# Responses match their requests and are complete.
out=$(chat $R1 ws-0 req-a "rent question")
echo "$out" | grep -q '"id":"chatcmpl-req-a"' || fail "response of another request: $out"
out=$(chat $R2 ws-1 req-b "deposit question" true)
echo "$out" | grep -q 'chatcmpl-req-b' || fail "stream of another request"
echo "$out" | tail -3 | grep -q 'data: \[DONE\]' || fail "incomplete stream"
pass "responses match their requests and are complete"

book() { # router key -> prints body and status
    curl -s -w ' %{http_code}' -X POST "$1/v1/ops/book" -H 'x-workspace: scheduler' -H "Idempotency-Key: $2" -d '{"slot":7}'
}
executions() { curl -s "127.0.0.1:$((P + 9))/v1/executions" | python3 -c 'import json,sys; print(json.load(sys.stdin)["total"])'; }

# At most once: the platform applies the claim but loses the response.
curl -sf -X POST "127.0.0.1:$P/admin/faults" -d '{"loseAnswers":1}' >/dev/null
first=$(book $R1 key-1)
second=$(book $R2 key-1)
[ "$(executions)" = 1 ] || fail "lost response: ran $(executions) times ($first / $second)"
echo "$second" | grep -q ' 200$' || fail "retry was not served: $second"
pass "a booking runs at most once despite a lost response and a retry on another router"

# During a store outage a booking is rejected with outcome not_run, and was not run.
curl -sf -X POST "127.0.0.1:$P/admin/faults" -d '{"outage":true}' >/dev/null
during=$(book $R1 key-2)
echo "$during" | grep -q '"outcome":"not_run"' || fail "response during the outage: $during"
[ "$(executions)" = 1 ] || fail "a booking ran after the outcome not_run"
curl -sf -X POST "127.0.0.1:$P/admin/faults" -d '{}' >/dev/null
after=$(book $R1 key-2)
echo "$after" | grep -q ' 200$' || fail "after outage: $after"
[ "$(executions)" = 2 ] || fail "booking after the outage"
pass "a booking with outcome not_run did not run, and runs after the outage"

# A catalogue change takes effect on both routers, and an edit of an outdated version is rejected.
cat >"$RUN/new.json" <<'JSON'
[{"kind": "workspace", "name": "ws-new", "value": {"owner": "fiji-market", "class": "counsel"}}]
JSON
$B/yucca-ctl --port $P --author e2e apply "$RUN/new.json" >/dev/null || fail "apply ws-new"
for r in $R1 $R2; do
    ok=0
    for _ in $(seq 1 50); do
        chat $r ws-new "req-new" "hello" | grep -q chatcmpl-req-new && { ok=1; break; }
        sleep 0.1
    done
    [ $ok = 1 ] || fail "ws-new has no effect on $r"
done
cat >"$RUN/stale.json" <<'JSON'
[{"kind": "workspace", "name": "ws-new", "ifVersion": 1, "value": {"owner": "someone-else", "class": "counsel"}}]
JSON
set +e
$B/yucca-ctl --port $P apply "$RUN/stale.json" 2>"$RUN/race.err" >/dev/null
rc=$?
set -e
[ $rc = 3 ] || fail "an edit of an outdated version exited with $rc, not 3"
grep -q "changed by someone else" "$RUN/race.err" || fail "message about the conflicting edit"
$B/yucca-ctl --port $P history workspace ws-new | grep -q "by e2e" || fail "audit record"
pass "a catalogue change takes effect on every router, a conflicting edit is rejected, and the audit record is kept"

# Graceful stop: a long stream in flight through router 1 completes.
MAXTOK=150 chat $R1 ws-0 req-long "a long answer" true >"$RUN/long.out" &
CURL=$!
for _ in $(seq 1 50); do
    [ -s "$RUN/long.out" ] && break
    sleep 0.05
done
kill -TERM $ROUTER_1
wait $CURL
wait $ROUTER_1 || fail "router did not stop cleanly"
tail -3 "$RUN/long.out" | grep -q 'data: \[DONE\]' || fail "stream truncated by a graceful stop"
pass "a graceful stop interrupts no request in flight"

# Invalid settings: every problem is reported, the exit code is 2, and nothing is started.
echo '{"loadFactor": 9, "listen": {"port": "x"}, "colour": 1}' >"$RUN/bad.json"
set +e
$B/yucca-router --config "$RUN/bad.json" 2>"$RUN/bad.err"
rc=$?
set -e
[ $rc = 2 ] || fail "invalid settings: exit code $rc"
[ "$(grep -c '^/' "$RUN/bad.err")" = 3 ] || fail "findings: $(cat "$RUN/bad.err")"
pass "invalid settings: three findings, exit code 2"
