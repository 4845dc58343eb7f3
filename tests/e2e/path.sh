# The whole path as separate processes, and the invariants that need them:
# own and whole answers, at most once through platform faults, the truth of
# not-run answers, catalogue changes in force, operators racing, graceful stop.
source "$(dirname "$0")/lib.bash"
P=${YUCCA_E2E_BASE:-18600}

start_own_fleet $P 2

chat() { # router workspace request-id content [stream]
    curl -s -X POST "$1/v1/chat/completions" -H "x-workspace: $2" -H "x-request-id: $3" \
        -d "{\"messages\":[{\"role\":\"user\",\"content\":\"$4\"}],\"max_tokens\":${MAXTOK:-6},\"stream\":${5:-false}}"
}

# Own and whole answers.
out=$(chat $R1 ws-0 req-a "rent question")
echo "$out" | grep -q '"id":"chatcmpl-req-a"' || fail "own answer: $out"
out=$(chat $R2 ws-1 req-b "deposit question" true)
echo "$out" | grep -q 'chatcmpl-req-b' || fail "own stream id"
echo "$out" | tail -3 | grep -q 'data: \[DONE\]' || fail "stream not whole"
pass "own and whole answers"

book() { # router key -> prints status and body
    curl -s -w ' %{http_code}' -X POST "$1/v1/ops/book" -H 'x-workspace: scheduler' -H "Idempotency-Key: $2" -d '{"slot":7}'
}
executions() { curl -s "127.0.0.1:$((P + 9))/v1/executions" | python3 -c 'import json,sys; print(json.load(sys.stdin)["total"])'; }

# At most once: the platform loses the answer of the claim after it took effect.
curl -sf -X POST "127.0.0.1:$P/admin/faults" -d '{"loseAnswers":1}' >/dev/null
first=$(book $R1 key-1)
second=$(book $R2 key-1)
[ "$(executions)" = 1 ] || fail "lost answer: ran $(executions) times ($first / $second)"
echo "$second" | grep -q ' 200$' || fail "retry not answered: $second"
pass "at most once through a lost answer and a retry on another router"

# Not-run truth: during an outage the booking is refused as not run, and was not run.
curl -sf -X POST "127.0.0.1:$P/admin/faults" -d '{"outage":true}' >/dev/null
during=$(book $R1 key-2)
echo "$during" | grep -q '"outcome":"not_run"' || fail "outage answer: $during"
[ "$(executions)" = 1 ] || fail "a not-run booking ran"
curl -sf -X POST "127.0.0.1:$P/admin/faults" -d '{}' >/dev/null
after=$(book $R1 key-2)
echo "$after" | grep -q ' 200$' || fail "after outage: $after"
[ "$(executions)" = 2 ] || fail "booking after the outage"
pass "not run means not run; it runs once the store is back"

# A catalogue change is in force on both routers; a racing edit loses clearly.
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
    [ $ok = 1 ] || fail "ws-new not in force on $r"
done
cat >"$RUN/stale.json" <<'JSON'
[{"kind": "workspace", "name": "ws-new", "ifVersion": 1, "value": {"owner": "someone-else", "class": "counsel"}}]
JSON
set +e
$B/yucca-ctl --port $P apply "$RUN/stale.json" 2>"$RUN/race.err" >/dev/null
rc=$?
set -e
[ $rc = 3 ] || fail "a stale edit gave exit $rc, not 3"
grep -q "changed by someone else" "$RUN/race.err" || fail "race message"
$B/yucca-ctl --port $P history workspace ws-new | grep -q "by e2e" || fail "audit record"
pass "catalogue change in force on every router; racing edit refused; audit kept"

# Graceful stop: a long stream in flight through router 1 finishes whole.
MAXTOK=150 chat $R1 ws-0 req-long "a long answer" true >"$RUN/long.out" &
CURL=$!
for _ in $(seq 1 50); do
    [ -s "$RUN/long.out" ] && break
    sleep 0.05
done
kill -TERM $ROUTER_1
wait $CURL
wait $ROUTER_1 || fail "router did not stop cleanly"
tail -3 "$RUN/long.out" | grep -q 'data: \[DONE\]' || fail "stream cut by a planned stop"
pass "a planned stop cut no request in flight"

# Settings are checked whole: every problem reported, exit 2, nothing started.
echo '{"loadFactor": 9, "listen": {"port": "x"}, "colour": 1}' >"$RUN/bad.json"
set +e
$B/yucca-router --config "$RUN/bad.json" 2>"$RUN/bad.err"
rc=$?
set -e
[ $rc = 2 ] || fail "bad settings gave exit $rc"
[ "$(grep -c '^/' "$RUN/bad.err")" = 3 ] || fail "findings: $(cat "$RUN/bad.err")"
pass "bad settings: three findings, exit 2"
