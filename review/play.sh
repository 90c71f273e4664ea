#!/usr/bin/env bash
# Plays a case with real processes: play.sh CASE FOLDER. The record goes to FOLDER/record.txt.
# Status 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves out the
# disruption.
set -u
review=$(cd "$(dirname "$0")" && pwd)
root=$(dirname "$review")
program=$root/target/jacinthgate-sidecar
if [ ! -x "$review/target/standin" ]; then
  "$review/build.sh" || exit 2
fi
if [ ! -x "$program" ]; then # the build line of deploy/system.toml
  (cd "$root" && go build -ldflags=-linkmode=external -o target/ ./cmd/jacinthgate-sidecar) || exit 2
fi
dir=$(mktemp -d) || exit 2
trap 'rm -rf "$dir"' EXIT
timeout -k 2 115 "$review/target/standin" "$1" "$program" "$dir" "$2/record.txt"
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
