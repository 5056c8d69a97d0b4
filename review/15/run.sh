#!/bin/sh
# Runs the case; see claim.txt. TROUBLE=0 leaves the kill out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
program=review/standins-3/target/release/streams_after_kill
[ -x "$program" ] && [ -x target/release/jackdaw-edge ] || { echo "build first: review/build-3.sh"; exit 2; }
work=$(mktemp -d) || exit 2
timeout 110 "$program" "$work"
result=$?
cp "$work/record.txt" "$here/record.txt" 2>/dev/null
rm -rf "$work"
[ "$result" -le 2 ] || result=2
exit "$result"
