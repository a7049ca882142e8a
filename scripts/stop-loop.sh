#!/usr/bin/env bash
# Stops every node of the demo's deployment in turn under load and starts it again after a random pause, round after round.
# Fails if a call is cut, unknown or without an answer, or if a restarted node leaves the view again. A long check, started
# by hand; needs built programs, bash and curl.
#
#   scripts/stop-loop.sh [ROUNDS] [SEED]
#
#   PROFILE=release     folder of the programs below target/
#   STOPPED="a b"       nodes to stop, in turn; default: all
#   PAUSE_MS=3000       longest pause between stop and start
#   SETTLE_S=0          seconds between a restart and the next stop
#   OVERLAP=0           1: the next node in turn is stopped, too, while the first one stops
#   OVERLAP_MS=0        longest pause, by chance, from the stop of the first node to that of the second one
#   RESTARTING="a b"    nodes, in turn, that are stopped before the load and start while the others stop
#   OUT=folder          keeps the logs of the nodes
set -euo pipefail
source "$(dirname "$0")/deployment.sh"
source "$(dirname "$0")/demo-deployment.sh"
BIN=$ROOT/target/${PROFILE:-release}

readonly ROUNDS=${1:-21}
readonly SEED=${2:-1}
RANDOM=$SEED
read -ra stopped <<< "${STOPPED:-${NODES[*]}}"
read -ra restarting <<< "${RESTARTING:-}"
failed=0

keep_logs() {
  local status=$?
  if [[ -n ${OUT:-} ]]; then
    mkdir -p "$OUT"
    cp "$WORK"/*.log "$OUT"/
  fi
  end_processes "$status"
}
trap keep_logs EXIT

report_failure() {
  failed=$((failed + 1))
  say "round failed: $*"
}

stop_node() {
  local status=0
  stop "$1" || status=$?
  ((status == 0)) || report_failure "$1 ended with $status"
}

# restart NODE: starts a node after a random pause and waits until it serves.
restart() {
  sleep "$((RANDOM % (${PAUSE_MS:-3000} + 1)))e-3"
  start_node "$1"
  until_true "$1 serves again" is_serving "$1"
}

# stop_overlapping NODE OTHER: stops a node, and another one while the first one stops.
stop_overlapping() {
  local node=$1 other=$2
  [[ $node != "$other" ]] || fail "two different nodes are needed to stop at the same time"
  if ((${OVERLAP_MS:-0})); then
    kill -TERM "${PIDS[$node]}"
    sleep "$((RANDOM % (OVERLAP_MS + 1)))e-3"
    kill -TERM "${PIDS[$other]}"
    wait_exit "$node" || report_failure "$node ended with $?"
    return
  fi
  kill -TERM "${PIDS[$other]}"
  stop_node "$node"
}

# run_round NODE OTHER THIRD: stops the node under load, and the other one at the same time if OVERLAP is set; the third
# one, if there is one, starts meanwhile.
run_round() {
  local node=$1 other=$2 third=${3:-}
  sleep "${SETTLE_S:-0}"
  if [[ -n $third ]]; then
    stop_node "$third"
    start_node "$third"
  fi
  start_load
  if ((${OVERLAP:-0})); then
    stop_overlapping "$node" "$other"
  else
    stop_node "$node"
  fi
  restart "$node"
  if ((${OVERLAP:-0})); then
    wait_exit "$other" || report_failure "$other ended with $?"
    restart "$other"
  fi
  wait_exit load || report_failure "calls failed"
  cat "$WORK/load.log"
  [[ -z $third ]] || until_true "$third serves again" is_serving "$third"
}

# removed_again: prints how often a restarted node left the view without a stop.
removed_again() {
  local name stops=0 ends=0
  for name in "${NODES[@]}"; do
    stops=$((stops + $(grep -c 'node: stopping' "$WORK/$name.log" || true)))
    ends=$((ends + $(grep -c 'not serving requests' "$WORK/$name.log" || true)))
  done
  echo "$((ends - stops))"
}

choose_ports
start_deployment
apply_policy
until_true "bookings are taken" load --rate 100 --seconds 0.2 --mix booking=1 \
  --fail-on cut,unknown,refused
for ((round = 0; round < ROUNDS; round++)); do
  node=${stopped[$((round % ${#stopped[@]}))]}
  other=${stopped[$(((round + 1) % ${#stopped[@]}))]}
  third=${restarting:+${restarting[$((round % ${#restarting[@]}))]}}
  say "round $((round + 1)): $node${third:+, $third starts}"
  run_round "$node" "$other" "$third"
done
check_executions
again=$(removed_again)
say "$ROUNDS rounds with seed $SEED: $failed failed, $again times a restarted node left the view again"
((failed == 0 && again == 0))
