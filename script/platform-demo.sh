#!/usr/bin/env bash
# Runs the gateway's path in separate processes against a stand-in of the users'
# platform: two engines in two data centres, two gateways, a stream, an adapter
# that is loaded on request, a withdrawn key, an engine that speaks of itself, a planned
# stop.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$PWD/bin
dir=$(mktemp -d)
pids=()
finish() {
	for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
	rm -rf "$dir"
}
trap finish EXIT
base=$((20000 + RANDOM % 20000))
store=127.0.0.1:$base

step() { printf '\n== %s\n' "$1"; }
# until_ok runs a command until it succeeds, 20 s at most.
until_ok() {
	for _ in $(seq 200); do
		"$@" >"$dir/out" 2>"$dir/err" && { cat "$dir/out"; return 0; }
		sleep 0.1
	done
	cat "$dir/err" >&2
	return 1
}
ask() { "$bin/toucanplatform" ask --front "127.0.0.1:$1" --host h.example --path /p/x --key "$2" --model "$3" --body text; }
config() {
	cat >"$dir/config.json" <<JSON
{"Version":$1,"Routes":[{"Name":"r","Host":"h.example","PathPrefix":"/p/","Kind":"stream","TimeoutMs":5000,"Service":"texts","MaxAttempts":1}],
 "Services":[{"Name":"texts","MaxConns":100,"Engine":{"Slots":8,"WeightsMb":100,"AdapterSlots":2,"LoadsPerS":2,
 "Models":[{"Name":"m","WeightsMb":50,"AdapterMb":1,"Adapters":4,"LoadS":0.5},{"Name":"m2","WeightsMb":50,"AdapterMb":1,"Adapters":4,"LoadS":0.5}]}}],
 "Tenants":[{"Name":"shop","ApiKeys":[$2],"Unit":"tokens","PlainTokens":10,"RatePerS":100000,"Burst":100000}]}
JSON
	"$bin/toucanplatform" put --store "$store" --file "$dir/config.json"
}

step "a store, two engines, a configuration, two gateways"
"$bin/toucanplatform" store --listen "$store" &
pids+=($!)
for i in 1 2; do
	"$bin/toucanplatform" engine --listen "127.0.0.1:$((base + i))" --store "$store" --id "engine-$i" --service texts --zone "dc-$i" --model m &
	pids+=($!)
	cat >"$dir/vm-$i.json" <<JSON
{"vm":"vm-$i","data_centre":"dc-$i","callers":"127.0.0.1:$((base + 10 * i))","ready":"127.0.0.1:$((base + 10 * i + 1))",
 "peers":"127.0.0.1:$((base + 10 * i + 2))","metrics":"127.0.0.1:$((base + 10 * i + 3))","store":"$store","store_partitions":8,"revoke_within":"5s","drain_within":"2s","config_within":"2s",
 "stop_within":"8s","lease":"3s","fenced":true,"repeat_ratio":0.2,"repeat_slack":50,"repeat_window":"10s","log_level":"warning"}
JSON
	"$bin/toucanfall" gateway --settings "$dir/vm-$i.json" --check
	"$bin/toucanfall" gateway --settings "$dir/vm-$i.json" >"$dir/vm-$i.log" &
	pids+=($!)
	gateway=$!
done
until_ok config 1 '"one","two"'

step "a stream over each gateway"
until_ok ask $((base + 10)) one m
until_ok ask $((base + 20)) one m

step "an adapter is loaded on request"
until_ok ask $((base + 10)) two m/a1

step "a withdrawn key stops working on both"
config 2 '"two"'
for port in $((base + 10)) $((base + 20)); do
	refused() { ! ask "$port" one m 2>"$dir/refused" && grep -q "status 401" "$dir/refused"; }
	until_ok refused
	cat "$dir/refused"
done

step "an engine names how many requests a second it takes, then leaves"
"$bin/toucanplatform" engine --listen "127.0.0.1:$((base + 3))" --store "$store" --id engine-3 --service texts --zone dc-1 --model m2 \
	--say "0s limit=2.5" --say "8s limit=2.5 leaving" &
pids+=($!)
# told asks for the engine's model until a gauge of the gateway shows what the engine has said.
told() {
	ask $((base + 10)) two m2 >/dev/null 2>&1 || true
	"$bin/toucanplatform" show --front "127.0.0.1:$((base + 13))" --path /metrics | grep "^$1"
}
until_ok told 'toucanfall_upstream_intake{upstream="engine-3"}'
until_ok told 'toucanfall_permits_total{outcome="denied"}'
until_ok told 'toucanfall_upstream_leaving{upstream="engine-3"}'

step "a planned stop of one gateway; the other serves on"
kill -TERM "$gateway"
wait "$gateway"
until_ok ask $((base + 10)) two m
echo "done"
