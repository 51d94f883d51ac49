#!/usr/bin/env bash
# Starts a fleet on loopback for the scripts that source this file, each part as
# a process of its own: the stand-ins of the platform, engines and order
# services, and two entry VMs in each of three data centres. A script that ends
# stops them all, and exits non-zero at the first step that fails.
set -euo pipefail
cd "$(dirname "$0")/.."

bin=$PWD/bin
dir=$(mktemp -d)
base=${TOUCAN_DEMO_PORT:-21000}
data_centres=(at-1 at-2 at-3)
pids=()

stop_all() {
	local pid
	for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
	for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
}
finish() {
	local code=$?
	stop_all
	if [ "$code" -ne 0 ]; then
		echo "failed; the last log lines of each process:" >&2
		tail -n 3 "$dir"/*.log >&2 || true
	fi
	rm -rf "$dir"
	exit "$code"
}
trap finish EXIT

step() { echo; echo "== $*"; }

start() { # start NAME COMMAND...
	local name=$1
	shift
	"$@" >"$dir/$name.log" 2>&1 &
	pids+=($!)
	eval "pid_${name//-/_}=$!"
}

until_ok() { # until_ok COMMAND...: repeats for up to 10 s
	local i
	for i in $(seq 100); do
		if "$@" >"$dir/until.out" 2>&1; then return 0; fi
		sleep 0.1
	done
	cat "$dir/until.out" >&2
	return 1
}

log_port=$base list_port=$((base + 1)) store_port=$((base + 2))
addr() { echo "127.0.0.1:$1"; }
callers_port() { echo $((base + 100 + $1 * 10)); } # VM number, from 0

step "write settings for 6 VMs in 3 data centres"
credential=$("$bin/toucanctl" --json secret)
sed -n 's/.*"secret": "\(.*\)",/\1/p' <<<"$credential" >"$dir/credential"
hash=$(sed -n 's/.*"hash": "\(.*\)"/\1/p' <<<"$credential")
vms="" n=0
for d in 0 1 2; do
	dc=${data_centres[$d]}
	vms+="{\"id\":\"engine-$dc-a\",\"role\":\"model_engine\",\"data_centre\":\"$dc\",\"address\":\"$(addr $((base + 10 + d * 3)))\",\"state\":\"live\"},"
	vms+="{\"id\":\"engine-$dc-b\",\"role\":\"model_engine\",\"data_centre\":\"$dc\",\"address\":\"$(addr $((base + 11 + d * 3)))\",\"state\":\"live\"},"
	vms+="{\"id\":\"orders-$dc\",\"role\":\"service\",\"service\":\"orderdesk\",\"data_centre\":\"$dc\",\"address\":\"$(addr $((base + 12 + d * 3)))\",\"state\":\"live\"},"
	for v in a b; do
		p=$(callers_port $n)
		vms+="{\"id\":\"entry-$dc-$v\",\"role\":\"entry\",\"data_centre\":\"$dc\",\"address\":\"$(addr $((p + 2)))\",\"state\":\"live\"},"
		cat >"$dir/entry-$dc-$v.json" <<JSON
{
  "vm": "entry-$dc-$v",
  "data_centre": "$dc",
  "data_centres": ["at-1", "at-2", "at-3"],
  "callers": {"address": "$(addr "$p")"},
  "operators": {"address": "$(addr $((p + 1)))"},
  "peers": {"address": "$(addr $((p + 2)))"},
  "platform": {
    "log": "http://$(addr $log_port)",
    "vm_list": "http://$(addr $list_port)",
    "weight_store": "http://$(addr $store_port)"
  },
  "first_operator": "$hash",
  "stop_after": "500ms"
}
JSON
		"$bin/toucand" --settings "$dir/entry-$dc-$v.json" --check
		n=$((n + 1))
	done
done
echo "{\"vms\":[${vms%,}]}" >"$dir/vms.json"

step "start the stand-ins"
start log "$bin/toucanfake" --name log --kind log --listen "$(addr $log_port)"
start list "$bin/toucanfake" --name vm-list --kind vm_list --listen "$(addr $list_port)" --vms "$dir/vms.json"
start store "$bin/toucanfake" --name weight-store --kind weight_store --listen "$(addr $store_port)"
also=()
for d in 0 1 2; do
	dc=${data_centres[$d]}
	start "engine-$dc-a" "$bin/toucanfake" --name "engine-$dc-a" --kind engine --fenced --listen "$(addr $((base + 10 + d * 3)))"
	start "engine-$dc-b" "$bin/toucanfake" --name "engine-$dc-b" --kind engine --listen "$(addr $((base + 11 + d * 3)))"
	start "orders-$dc" "$bin/toucanfake" --name "orders-$dc" --kind service --listen "$(addr $((base + 12 + d * 3)))"
	for i in 10 11 12; do also+=(--also "http://$(addr $((base + i + d * 3)))"); done
done

step "start 6 toucand"
n=0
for dc in "${data_centres[@]}"; do
	for v in a b; do
		start "entry-$dc-$v" "$bin/toucand" --settings "$dir/entry-$dc-$v.json"
		n=$((n + 1))
	done
done

export TOUCAN_CREDENTIAL_FILE=$dir/credential TOUCAN_VM=http://$(addr $(($(callers_port 0) + 1)))
ctl() { "$bin/toucanctl" "$@"; }
vm() { echo "http://$(addr "$(callers_port "$1")")"; }
all_answer() { [ "$(ctl --json status | grep -c '"answering": true')" -eq 6 ]; }
until_ok all_answer
ctl status

step "make a team, a key, a model, an adapter and two routes"
ctl team put quotes --name "Quote letters"
ctl --json key create quotes quotes-key-1 | sed -n 's/.*"secret": "\(.*\)".*/\1/p' >"$dir/key"
ctl model put quotes-7b --size 14000000000
ctl adapter put quotes-tone --model quotes-7b --size 50000000
ctl route put textdesk --kind draft --team quotes --model quotes-7b --adapter quotes-tone --priority interactive
ctl route put orderdesk --kind service --team quotes --service orderdesk
ctl settings set team/quotes:rate_tokens_per_second 100000
ctl settings set team/quotes:burst_tokens 200000
ctl settings show --effective --team quotes --route textdesk
ctl settings show --explain burst_tokens --team quotes
ctl history team/quotes:burst_tokens

draft() { "$bin/toucanload" --vm "$(vm "$1")" --key-file "$dir/key" --route textdesk draft --tokens 8 "${@:2}"; }
book() { "$bin/toucanload" --vm "$(vm "$1")" --key-file "$dir/key" --route orderdesk service --idempotency-key "$2" /reservations '{"item":"sieve-40"}'; }
