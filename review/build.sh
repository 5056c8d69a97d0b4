#!/bin/sh
# Builds the stand-ins that the scripts start. Run after the build of the deploy file.
set -e
cd "$(dirname "$0")/standins"
exec cargo build --release --locked --offline
