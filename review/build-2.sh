#!/bin/sh
# Builds the stand-ins of the second review's scripts.
cd "$(dirname "$0")/.." || exit 2
exec go build -o target/drill2 ./review/_drill2
