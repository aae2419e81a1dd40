#!/usr/bin/env bash
# Plays this case; see claim.txt. TROUBLE=0 leaves the disruption out. Exits
# with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
timeout --preserve-status --signal=TERM --kill-after=3 112 \
  python3 -B case.py &
player=$!
trap 'kill -TERM "$player" 2>/dev/null' TERM INT
wait "$player"
status=$?
# A trapped signal ends the first wait before the player has ended.
if kill -0 "$player" 2>/dev/null; then
  wait "$player"
  status=$?
fi
case "$status" in
  0 | 1) exit "$status" ;;
  *) exit 2 ;;
esac
