# Tests faults that need separate processes: an engine is killed or frozen while it streams, a router is killed after a
# booking, the platform is down or slow, and an order to load a model.
source "$(dirname "$0")/lib.bash"
P=${YUCCA_E2E_BASE:-18700}

cat >"$RUN/engine.json" <<'JSON'
{"tokensPerS": 40, "slots": 16, "logLevel": "warn"}
JSON
cat >"$RUN/router.json" <<'JSON'
{"streamPauseMs": 1000, "leaseMs": 2000, "logLevel": "warn"}
JSON
start_native_fleet $P 3 "$RUN/engine.json" "$RUN/router.json"

# Streams a response of 60 tokens into a file.
stream_chat() { # router request-id file
    curl -s -N -D "$3.head" -X POST "$1/v1/chat/completions" -H "x-workspace: ws-0" -H "x-request-id: $2" \
        -d '{"messages":[{"role":"user","content":"a long question about rent"}],"max_tokens":60,"stream":true}' >"$3"
}
# Prints the number of the engine that serves a stream, once three events have arrived.
serving_engine() { # file
    for _ in $(seq 1 100); do
        [ "$(grep -c '^id:' "$1" 2>/dev/null)" -ge 3 ] && { sed -n 's/^x-engine-id: engine-\([0-9]\).*/\1/Ip' "$1.head"; return; }
        sleep 0.05
    done
}
# Checks that a stream has the ids 1 to 61 in order, each once, and the terminal event.
is_complete() { # file
    [ "$(sed -n 's/^id: //p' "$1")" = "$(seq 1 61)" ] && tail -2 "$1" | grep -q 'data: \[DONE\]'
}

# An uninterrupted response for comparison: the same prompt gives the same tokens.
stream_chat $R1 golden "$RUN/golden.out"
is_complete "$RUN/golden.out" || fail "uninterrupted stream"

stream_chat $R1 killed "$RUN/killed.out" &
CURL=$!
victim=$(serving_engine "$RUN/killed.out")
pid_var="ENGINE_$victim"
kill -KILL "${!pid_var}"
wait $CURL || fail "the caller's connection was closed with the killed engine's"
is_complete "$RUN/killed.out" || fail "stream incomplete after its engine was killed"
diff <(sed 's/chatcmpl-[a-z]*//g; s/,"usage".*//' "$RUN/golden.out") <(sed 's/chatcmpl-[a-z]*//g; s/,"usage".*//' "$RUN/killed.out") >/dev/null || fail "resumed response differs"
pass "a stream whose engine is killed resumes on another engine, complete and in order"

start engine-$victim $B/yucca-engine --port $((P + victim)) --id engine-$victim --config "$RUN/engine.json"
eval "ENGINE_$victim=$LAST_PID"
wait_ok "127.0.0.1:$((P + victim))/healthz"
stream_chat $R2 frozen "$RUN/frozen.out" &
CURL=$!
victim=$(serving_engine "$RUN/frozen.out")
pid_var="ENGINE_$victim"
kill -STOP "${!pid_var}"
wait $CURL || fail "the caller's connection was closed with the frozen engine's"
kill -CONT "${!pid_var}"
is_complete "$RUN/frozen.out" || fail "stream incomplete after its engine froze"
pass "a stream whose engine freezes resumes on another engine, complete and in order"

executions() { curl -s "127.0.0.1:$((P + 9))/v1/executions" | python3 -c 'import json,sys; print(json.load(sys.stdin)["total"])'; }
book() { curl -s -w ' %{http_code}' -X POST "$1/v1/ops/book" -H 'x-workspace: scheduler' -H "Idempotency-Key: $2" -d '{"slot":7}'; }

# A router is killed right after the service ran a booking; no router may run the booking again.
curl -sf -X POST "127.0.0.1:$((P + 9))/admin/faults" -d '{"loseAnswers":1}' >/dev/null
first=$(book $R1 key-kill)
echo "$first" | grep -q '"outcome":"unknown"' || fail "lost response: $first"
kill -KILL $ROUTER_1
start router-1b $B/yucca-router --port $((P + 11)) --platform-port $P --id router-1 --config "$RUN/router.json"
wait_ok "$R1/readyz"
for r in $R1 $R2; do
    again=$(book $r key-kill)
    echo "$again" | grep -q '"outcome":"unknown"' || fail "after the kill: $again"
done
[ "$(executions)" = 1 ] || fail "ran $(executions) times"
pass "a booking runs once when its router is killed and replaced under the same name"

# While the platform is down, chats are served with the last catalogue and edits are rejected. A change after the outage
# and a history compaction takes effect on both routers.
curl -sf -X POST "127.0.0.1:$P/admin/faults" -d '{"outage":true}' >/dev/null
for r in $R1 $R2; do
    curl -sf -X POST "$r/v1/chat/completions" -H 'x-workspace: ws-1' -d '{"messages":[{"role":"user","content":"hi"}],"max_tokens":2}' >/dev/null || fail "chat during the outage"
done
$B/yucca-ctl --port $P edit workspace ws-1 /limits/maxInflight 7 >/dev/null 2>&1 && fail "an edit was accepted during the outage"
curl -sf -X POST "127.0.0.1:$P/admin/faults" -d '{"compact":true}' >/dev/null
$B/yucca-ctl --port $P --author e2e edit class counsel /priority 2 >/dev/null || fail "edit after the outage"
version=$($B/yucca-ctl --port $P get class counsel | python3 -c 'import json,sys; print(json.load(sys.stdin)["version"])')
for r in $R1 $R2; do
    for _ in $(seq 1 100); do
        seen=$(curl -s "$r/status" | python3 -c 'import json,sys; print(json.load(sys.stdin)["catalogueRevision"])')
        [ "$seen" -ge "$version" ] && break
        sleep 0.1
    done
    [ "$seen" -ge "$version" ] || fail "the change has no effect on $r: $seen < $version"
done
pass "chats are served during an outage, and a change after it takes effect on both routers"

# While the platform is slow, bookings wait for it and run once, and chats are served with the last catalogue.
curl -sf -X POST "127.0.0.1:$P/admin/faults" -d '{"slowMs":400}' >/dev/null
before=$(executions)
for copy in 1 2; do
    slow=$(book $R2 key-slow)
    echo "$slow" | grep -q ' 200$' || fail "booking with a slow store: $slow"
done
[ "$(executions)" = $((before + 1)) ] || fail "a booking with a slow store ran $(($(executions) - before)) times"
curl -sf -X POST "$R1/v1/chat/completions" -H 'x-workspace: ws-1' -d '{"messages":[{"role":"user","content":"hi"}],"max_tokens":2}' >/dev/null || fail "chat with a slow store"
curl -sf -X POST "127.0.0.1:$P/admin/faults" -d '{}' >/dev/null
pass "with a slow store, bookings run once and chats are served"

# The router that holds the lease for background tasks orders every engine of the pool once to load the catalogue's
# model.
$B/yucca-ctl --port $P edit class counsel /model counsel-v2 >/dev/null || fail "edit model"
for i in 1 2 3; do
    for _ in $(seq 1 100); do
        curl -s "127.0.0.1:$((P + i))/load" | grep -q '"model":"counsel-v2"' && break
        sleep 0.1
    done
    curl -s "127.0.0.1:$((P + i))/load" | grep -q '"model":"counsel-v2"' || fail "engine-$i has not loaded counsel-v2"
    [ "$(curl -s "127.0.0.1:$((P + i))/stats" | python3 -c 'import json,sys; print(json.load(sys.stdin)["ordersApplied"])')" = 1 ] || fail "engine-$i was ordered more than once"
done
pass "every engine loads the catalogue's model after exactly one order"
