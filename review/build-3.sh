#!/usr/bin/env bash
# Builds the project's stand-ins that the scripts of this review start.
# Run it after the build of deploy/system.toml; it needs no network.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
cp -r packages/standins/src/cardamompath_standins target/review-3/
PYTHONPATH=target/deps:target/review-3 python3 -c '
import cardamompath_standins.executor
import cardamompath_standins.store
import cardamompathd.platform.program
'
