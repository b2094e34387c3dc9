#!/usr/bin/env bash
# Runs this case. It exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. What was sent, answered and run is in record.txt beside it.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/grebedock ] || [ ! -x target/rig2 ]; then
	echo "build first: the command of deploy/service.toml, then review/build-2.sh" >&2
	exit 2
fi
exec target/rig2 cheap-queue review/7
