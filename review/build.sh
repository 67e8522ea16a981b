#!/bin/sh
# Builds the program that runs the cases with a script, with its stand-ins. It needs no module but the standard library.
set -eu
cd "$(dirname "$0")/.."
go build -buildvcs=false -o review/build/drill ./review/_drill
