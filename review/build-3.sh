#!/bin/sh
# Builds the stand-ins that the scripts of the third review start.
cd "$(dirname "$0")/standins-3" && exec cargo build --release --locked --offline
