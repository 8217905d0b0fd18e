#!/usr/bin/env bash
# Prepares what the scripts of the third review start: Python sources only, which
# need the packages of the deploy build and no compilation. Checks that they load.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH="target/deps:src:." PYTHONDONTWRITEBYTECODE=1 python3 -c "
import standins.platform_store
import review.rig3
"
