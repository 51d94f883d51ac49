#!/usr/bin/env bash
# Runs the whole path on loopback: makes what a team needs, drafts, books, kills
# a VM under load, withdraws the key and shows the time line of one request.
# shellcheck source=script/fleet.sh
. "$(dirname "$0")/fleet.sh"

step "a settings file with a fault is refused with its path and exit code 2"
sed 's/"stop_after": "500ms"/"stop_after": "500"/' "$dir/entry-at-1-a.json" >"$dir/bad.json"
code=0
"$bin/toucand" --settings "$dir/bad.json" --check || code=$?
[ "$code" -eq 2 ]

step "draft, whole and as a stream"
until_ok draft 0 "quote for ten sieves"
draft 0 "quote for ten sieves" | tee "$dir/draft.out"
request=$(tail -n 1 "$dir/draft.out")
until_ok draft 3 "warm up"
draft 3 --stream "short answer for the shop"
ctl placement list

step "book once, and repeat with the same idempotency key on another VM"
book 1 order-1 | tee "$dir/book1.out"
book 4 order-1 | tee "$dir/book2.out"
grep -q "status 201, stored false" "$dir/book1.out"
grep -q "status 201, stored true" "$dir/book2.out"

step "kill one VM under load; the others go on serving"
"$bin/toucanload" --vm "$(vm 1)" --vm "$(vm 2)" --vm "$(vm 4)" --vm "$(vm 5)" --key-file "$dir/key" --route textdesk load --callers 8 --duration 2s --tokens 8 >"$dir/load.out" &
load=$!
sleep 0.5
kill -KILL "$pid_entry_at_2_b"
wait "$load"
cat "$dir/load.out"
grep -q "failed 0," "$dir/load.out"

step "withdraw the key: it is refused on every VM that runs"
ctl key withdraw quotes-key-1
for i in 0 1 2 4 5; do
	refused() {
		code=0
		draft "$i" "refused" || code=$?
		[ "$code" -eq 4 ]
	}
	until_ok refused
	cat "$dir/until.out"
done

step "the time line of one request over all processes"
ctl timeline --request "$request" "${also[@]}" | tee "$dir/timeline.out"
grep -q "standin_served" "$dir/timeline.out"

step "stop everything"
for dc in "${data_centres[@]}"; do
	for v in a b; do
		[ "$dc-$v" = at-2-b ] && continue
		name="pid_entry_${dc//-/_}_$v"
		kill -TERM "${!name}"
		wait "${!name}"
	done
done
echo "every toucand stopped with exit code 0"
