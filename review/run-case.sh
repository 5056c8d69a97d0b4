#!/bin/sh
# Usage: run-case.sh CASE FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 otherwise.
folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/.." || exit 2
program=review/standins/target/release/review-standins
for needed in "$program" target/release/jackdaw-edge; do
    [ -x "$needed" ] || { echo "$needed is missing; see review/build.sh"; exit 2; }
done
"$program" "$1" "$folder"
case $? in
    0) exit 0 ;;
    1) exit 1 ;;
    *) exit 2 ;;
esac
