#!/bin/sh
# galenapier without a site: check, usage and timelines from files.
# Prints commands with their output, or with their exit status only.
set -u
galenapier=$1/galenapier
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
unset GALENAPIER_ENTRY GALENAPIER_TOKEN_FILE

run() {
  {
    echo "\$ galenapier $*"
    "$galenapier" "$@" 2>&1
  } | sed "s|$dir|DIR|g"
}

status() {
  "$galenapier" "$@" >/dev/null 2>&1
  echo "exit $?: galenapier $*" | sed "s|$dir|DIR|g"
}

cat >"$dir/faults.yaml" <<'END'
version: 1
site: s
services:
  - name: a
    latency_target_ms: 100
    timeout_ms: 50
    slots: eight
    connections: 64
    kinds: [{name: k, path_prefix: /a, class: urgent}]
END
cat >"$dir/warnings.yaml" <<'END'
version: 1
site: s
services:
  - name: a
    latency_target_ms: 100
    timeout_ms: 500
    slots: 8
    connections: 64
    kinds: [{name: k, path_prefix: /a, class: batch, expected_ms: 200}]
END
cat >"$dir/a.jsonl" <<'END'
{"process":"entry-1","incarnation":"0000000000000001","sequence":1,"ms":1700000000000,"counter":0,"kind":"process.start"}
{"process":"entry-1","incarnation":"0000000000000001","sequence":2,"ms":1700000000005,"counter":1,"kind":"task.granted","task":"00000000000000aa","epoch":1,"vm":"w1"}
{"process":"entry-1","incarnation":"0000000000000001","lost":7}
not an event
END
cat >"$dir/b.jsonl" <<'END'
{"process":"guard-1","incarnation":"0000000000000002","sequence":9,"ms":1700000000005,"counter":2,"kind":"task.started","task":"00000000000000aa","epoch":1,"vm":"w1"}
{"process":"guard-1","incarnation":"0000000000000002","sequence":8,"ms":1700000000005,"counter":0,"kind":"lease.renewed","text":"until 15 s"}
{"process":"entry-1","incarnation":"0000000000000001","sequence":1,"ms":1700000000000,"counter":0,"kind":"process.start"}
{"process":"guard-1","incarnation":"0000000000000002","sequence":10,"ms":1700000000990,"counter":0,"kind":"task.ended","task":"00000000000000aa","epoch":1,"vm":"w1","text":"succeeded"}
END

run check examples/parabrisas-claros.yaml
run check examples/obermaier.yaml
run check "$dir/faults.yaml"
run check "$dir/warnings.yaml"
run check --json "$dir/warnings.yaml"
run check "$dir/missing.yaml"
run timeline "$dir/a.jsonl" "$dir/b.jsonl"
run timeline --kind task. --trace "$dir/a.jsonl" "$dir/b.jsonl"
run publish --base 1 "$dir/faults.yaml"
run publish "$dir/warnings.yaml"
run status
run status extra
run nonsense
status check examples/obermaier.yaml
status check "$dir/warnings.yaml"
status check "$dir/faults.yaml"
status check "$dir/missing.yaml"
status check
status check --schema
status publish --base 1 "$dir/faults.yaml"
status config
status config wait soon
status submit
status submit --kind k --count 0
status timeline
status status --entry 127.0.0.1:1
status status --entry localhost:1
status nonsense
status --help
status --version
