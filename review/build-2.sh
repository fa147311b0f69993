#!/usr/bin/env bash
# Puts the stand-ins that the scripts of review/6 to review/10 start under
# target/review-2.  The libraries are those of the deploy build.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
cp -r packages/standins/src/cardamompath_standins target/review-2/
cp review/stand-ins-2/*.py target/review-2/
PYTHONPATH=target/deps:target/review-2 python3 -c \
    'import cardamompath_standins.store, cardamompath_standins.executor, deployment'
