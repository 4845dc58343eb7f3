# Tests with separate processes that no value ends one by its depth or number: a caller's chat, entries of the store at routers and
# at yucca-ctl, which must be able to remove them, and operators' files. Sound requests are served throughout.
source "$(dirname "$0")/lib.bash"
P=${YUCCA_E2E_BASE:-18600}

start_native_fleet $P 1

ask() { # router body -> status
    curl -s -o /dev/null -w '%{http_code}' -m 10 -X POST "$1/v1/chat/completions" -H 'x-workspace: ws-0' --data-binary "$2"
}
sound='{"messages":[{"role":"user","content":"hello"}]}'
all_alive() { # what was done
    for pid in "${PIDS[@]}"; do kill -0 "$pid" 2>/dev/null || fail "a program ended: $1"; done
    for r in $R1 $R2; do [ "$(ask $r "$sound")" = 200 ] || fail "a sound chat was not served at $r: $1"; done
}
nested() { # levels open close -> text
    python3 -c 'import sys; n = int(sys.argv[1]); print(sys.argv[2] * n + "1" + sys.argv[3] * n, end="")' "$@"
}

# A caller's chat, in lists and objects, up to the largest body; beside the messages, in them, and as the whole body.
for levels in 129 2000 60000 1000000; do
    for shape in '[ ]' '{"a": }'; do
        nested $levels $shape >"$RUN/value"
        printf '{"messages":[{"role":"user","content":%s}]}' "$(cat "$RUN/value")" >"$RUN/inside"
        printf '{"more":%s,"messages":[{"role":"user","content":"x"}]}' "$(cat "$RUN/value")" >"$RUN/beside"
        for body in value inside beside; do
            status=$(ask $R1 "@$RUN/$body")
            [ "$status" = 400 ] || fail "chat of $levels levels of $shape, $body: $status"
        done
    done
done
all_alive "nested chats"
pass "a nested chat is refused with 400, and the router serves the next one"

# Entries of another writer, in a field of a known kind and as a whole value.
put() { # kind name spec
    curl -sf -X POST "127.0.0.1:$P/api/objects/$1" -d "{\"metadata\":{\"name\":\"$2\"},\"spec\":$3}" >/dev/null || fail "put $1/$2"
}
put workspace foreign '{"owner":"o","class":"counsel","limits":{"nestedLists":150000}}'
put class foreign '{"pool":{"nestedObjects":150000},"kind":"engine"}'
put evacuation foreign '{"nestedLists":150000}'
put idem foreign '{"nestedObjects":150000}'
for _ in $(seq 1 50); do
    [ "$(cat "$RUN"/router-?.log | grep -c 'entry=.*foreign.*nested deeper')" -ge 6 ] && break
    sleep 0.1
done
[ "$(cat "$RUN"/router-?.log | grep -c 'entry=.*foreign.*nested deeper')" -ge 6 ] || fail "routers did not log the foreign entries"
all_alive "foreign entries"
pass "nested entries are findings of their own, and the others hold"

# The operators' tool shows, edits and removes such entries.
for kind in workspace class evacuation; do
    $B/yucca-ctl --port $P list $kind | grep -q '"problem":"the value is nested deeper than 128 levels"' || fail "list $kind"
    version=$($B/yucca-ctl --port $P get $kind foreign | python3 -c 'import json,sys; print(json.load(sys.stdin)["version"])')
    $B/yucca-ctl --port $P remove $kind foreign "$version" >/dev/null || fail "remove $kind"
done
rc=0
$B/yucca-ctl --port $P edit workspace ws-0 /limits "$(nested 60000 '[' ']')" >/dev/null 2>"$RUN/edit.err" || rc=$?
[ $rc = 2 ] && grep -q "nested deeper" "$RUN/edit.err" || fail "edit with a nested value: $rc"
printf '[{"kind":"workspace","name":"n","value":%s}]' "$(nested 150000 '{"a":' '}')" >"$RUN/nested.json"
for command in apply diff; do
    rc=0
    $B/yucca-ctl --port $P $command "$RUN/nested.json" >/dev/null 2>"$RUN/apply.err" || rc=$?
    [ $rc = 2 ] && grep -q "nested deeper" "$RUN/apply.err" || fail "$command of a nested file: $rc"
done
for program in yucca-router yucca-ctl yucca-engine yucca-platform; do
    rc=0
    $B/$program --config "$RUN/nested.json" list workspace >/dev/null 2>"$RUN/config.err" || rc=$?
    [ $rc = 2 ] || fail "$program with nested settings: $rc"
done
all_alive "the operators' tool"
pass "the operators' tool lists and removes nested entries, and refuses nested files"
