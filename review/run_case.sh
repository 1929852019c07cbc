#!/usr/bin/env bash
# Runs one case: run_case.sh CASE FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -u
case=$1
folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/.."
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/service.toml)
if [ ! -x target/review/standins ] || [ -z "$run" ] || [ ! -x "${run%% *}" ]; then
    echo "build first: the build line of the deploy file, then review/build.sh"
    exit 2
fi
dir=$(mktemp -d)
timeout -k 2 117 target/review/standins "$case" "$run" "$dir" "$folder/record.txt"
code=$?
# The program ends its controllers itself; this is for one that was ended by the time limit.
if [ "$code" -ge 2 ] && [ -f "$dir/pids" ]; then
    while read -r pid; do
        if tr '\0' ' ' 2>/dev/null <"/proc/$pid/cmdline" | grep -qF "$dir"; then
            kill -KILL "$pid" 2>/dev/null
        fi
    done <"$dir/pids"
fi
[ -n "${KEEP:-}" ] && cp "$dir"/*.log "$KEEP" 2>/dev/null
rm -rf "$dir"
[ "$code" -le 1 ] && exit "$code"
exit 2
