#!/usr/bin/env bash
# Runs every toucanctl command of docs/OPERATING.md in order against a fleet on
# loopback, and compares each exit code with the one that the page gives. A line
# "(the log fails)" or "(the log works)" of the page changes the stand-in.
# shellcheck source=script/fleet.sh
. "$(dirname "$0")/fleet.sh"

toucanctl() { "$bin/toucanctl" "$@"; }

faults() { # faults JSON: sets the faults of the log's stand-in
	exec 3<>"/dev/tcp/127.0.0.1/$log_port"
	printf 'POST /faults HTTP/1.0\r\nContent-Length: %d\r\n\r\n%s' "${#1}" "$1" >&3
	head -n 1 <&3 | grep -q 204
	exec 3>&-
}

log_reached() { [ "$(ctl --json status | grep -c "\"log_reachable\": $1")" -eq 6 ]; }

step "run the commands of docs/OPERATING.md"
command="" want=0 revision=0 count=0
run_command() {
	[ -n "$command" ] || return 0
	# Offsets differ from run to run: the page names the revision just shown.
	command=$(sed -E "s/--base [0-9]+/--base $revision/" <<<"$command")
	echo "\$ $command"
	local code=0
	(eval "$command") >"$dir/command.out" 2>&1 || code=$?
	cat "$dir/command.out"
	if [ "$code" -ne "$want" ]; then
		echo "exit code $code, but the page says $want" >&2
		exit 1
	fi
	revision=$(sed -n 's/^current value at revision \([0-9]*\).*/\1/p' "$dir/command.out" | grep . || echo "$revision")
	command="" want=0 count=$((count + 1))
}
while IFS= read -r line; do
	case $line in
	"    \$ toucan"*)
		run_command
		command=${line#    \$ }
		;;
	"    (exit code "*)
		want=${line//[!0-9]/}
		;;
	"    (the log fails)")
		run_command
		faults '{"outage":true}'
		until_ok log_reached false
		;;
	"    (the log works)")
		run_command
		faults '{}'
		until_ok log_reached true
		;;
	esac
done <docs/OPERATING.md
run_command
echo "$count commands ended as the page says"
