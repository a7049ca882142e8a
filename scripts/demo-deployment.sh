# The deployment of the demo, shared by the scripts that run it: its nodes, how they start, a load on its entries, and the
# check that no booking ran twice. To be sourced after deployment.sh.

readonly ENTRIES=(entry-hall-a entry-hall-b entry-hall-c)
readonly NODES=("${ENTRIES[@]}" node-bestilling-1 node-bestilling-2 node-takst-1 node-takst-2)
readonly POLICY=$ROOT/deploy/trondheim/policy.toml
ADDRESSES=(
  [entry-hall-a]=127.0.0.11 [entry-hall-b]=127.0.0.12 [entry-hall-c]=127.0.0.13
  [node-bestilling-1]=127.0.0.21 [node-bestilling-2]=127.0.0.22
  [node-takst-1]=127.0.0.31 [node-takst-2]=127.0.0.32
)

step() { say; say "== $*"; }

targets() {
  local entry list=
  for entry in "${ENTRIES[@]}"; do
    list+=,$(callers_of "$entry")
  done
  echo "${list#,}"
}

load() { "$BIN/rillgap-lab" load --target "$(targets)" "$@"; }

start_deployment() {
  step "Start the platform, four back ends, three entry nodes and four nodes beside back ends"
  local number zones=(a b c)
  start_platform "$(IFS=,; echo "${NODES[*]}")"
  for number in 0 1 2; do
    write_settings "${ENTRIES[$number]}" "hall-${zones[$number]}"
  done
  for number in 1 2; do
    write_settings "node-bestilling-$number" "hall-${zones[$number]}" bestilling "bestilling-$number"
    write_settings "node-takst-$number" "hall-${zones[$number]}" takst "takst-$number"
    start_back_end "node-bestilling-$number" bestilling "bestilling-$number" \
      --slots 15 --calls takst:/fares/zone --service-time-ms 2
    start_back_end "node-takst-$number" takst "takst-$number" --slots 21 --service-time-ms 2
  done
  start_nodes
  say "all ${#NODES[@]} nodes see each other; none serves before a policy is in force"
}

apply_policy() {
  step "An operator puts the policy in force"
  ctl entry-hall-a policy plan "$POLICY" | tail -n 1
  ctl entry-hall-a policy apply "$POLICY" || fail "policy not accepted"
  until_all_serve
}

# start_load: begins the load that a stop must not disturb, until downloads run.
start_load() {
  rm -f "$WORK/load.log"
  start load "$BIN/rillgap-lab" load --target "$(targets)" --rate 100 --seconds 5 --attempts 5 \
    --mix booking=5,browse=10,bulk=1 --bulk-bytes 1048576 --bulk-pause-ms 30 \
    --timeout-ms 30000 --fail-on cut,unknown,refused
  until_true "downloads run" is_busy "$(back_end_of node-takst-2)"
}

is_busy() { (($(counter "$1" running) >= 2)); }

check_executions() {
  step "No booking ran twice"
  local node
  for node in node-bestilling-1 node-bestilling-2; do
    curl -sf "http://$(back_end_of "$node")/admin/executions" | tee "$WORK/executions"
    say
    grep -q '"repeated":{}' "$WORK/executions" || fail "$node ran a booking twice"
  done
}
