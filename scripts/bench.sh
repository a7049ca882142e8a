#!/usr/bin/env bash
# Measures, in one run, calls straight to a stand-in back end and calls through the entry node and
# the node beside the back end. Arguments are passed on to rillgap-lab bench. THREAD_LAYOUT (each,
# paired or single) is written into the settings of the nodes.
set -euo pipefail
source "$(dirname "$0")/deployment.sh"
trap end_processes EXIT

BIN=$ROOT/target/release
readonly NODES=(entry-hall-a entry-hall-b entry-hall-c node-bestilling-1)
ADDRESSES=(
  [entry-hall-a]=127.0.0.11 [entry-hall-b]=127.0.0.12 [entry-hall-c]=127.0.0.13
  [node-bestilling-1]=127.0.0.21
)

(cd "$ROOT" && cargo build --locked --quiet --release --workspace --bins)
choose_ports
start_platform "$(IFS=,; echo "${NODES[*]}")"
for zone in a b c; do
  write_settings "entry-hall-$zone" "hall-$zone"
done
write_settings node-bestilling-1 hall-a bestilling bestilling-1
start_back_end node-bestilling-1 bestilling bestilling-1 --slots 15 --service-time-ms 0
start_nodes
ctl entry-hall-a policy apply "$ROOT/deploy/trondheim/policy.toml" >&2
until_all_serve
"$BIN/rillgap-lab" bench --direct "$(back_end_of node-bestilling-1)" \
  --through "$(callers_of entry-hall-a)" \
  --pid "${PIDS[entry-hall-a]}" --pid "${PIDS[node-bestilling-1]}" "$@"
