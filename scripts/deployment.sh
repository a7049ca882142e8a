# Shared by the scripts that run a deployment on this machine: starts processes, writes settings,
# waits by looking, and ends by identifier only what was started here. To be sourced.

readonly ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
readonly WORK=$(mktemp -d)
readonly WAIT_SECONDS=30

# Ports of each process on its own loopback address; all move by the same offset.
PORT_OFFSET=0
BIN=$ROOT/target/debug

declare -A PIDS=()
declare -A ADDRESSES=()

say() { printf '%s\n' "$*"; }

fail() {
  say "FAILED: $*" >&2
  local name
  for name in "${!PIDS[@]}"; do
    if [[ -s $WORK/$name.log ]]; then
      say "--- last records of $name" >&2
      tail -n 5 "$WORK/$name.log" >&2
    fi
  done
  exit 1
}

# end_processes [STATUS]: ends what still runs; called on every exit, whose status it keeps.
end_processes() {
  local status=${1:-$?} name
  for name in "${!PIDS[@]}"; do
    kill -TERM "${PIDS[$name]}" 2>/dev/null || true
  done
  for name in "${!PIDS[@]}"; do
    end_process "${PIDS[$name]}"
  done
  rm -rf "$WORK"
  exit "$status"
}

# Waits for a process of ours to end, and kills it if it does not.
end_process() {
  local pid=$1 end=$((SECONDS + 10))
  while kill -0 "$pid" 2>/dev/null; do
    if ((SECONDS >= end)); then
      kill -KILL "$pid" 2>/dev/null || true
    fi
    sleep 0.05
  done
  wait "$pid" 2>/dev/null || true
}

# start NAME COMMAND...: starts a process in the background and keeps its identifier.
start() {
  local name=$1
  shift
  "$@" >> "$WORK/$name.log" 2>&1 &
  PIDS[$name]=$!
}

# stop NAME: asks a process to stop as planned and waits; returns its exit code.
stop() {
  local name=$1
  kill -TERM "${PIDS[$name]}"
  wait_exit "$name"
}

# wait_exit NAME: waits for a process to end; returns its exit code.
wait_exit() {
  local pid=${PIDS[$1]} status=0
  wait "$pid" || status=$?
  unset "PIDS[$1]"
  return "$status"
}

# until_true WHAT COMMAND...: repeats a command until it succeeds.
until_true() {
  local what=$1 end=$((SECONDS + WAIT_SECONDS))
  shift
  until "$@" > /dev/null 2>&1; do
    ((SECONDS < end)) || fail "$what: not within $WAIT_SECONDS s"
    sleep 0.05
  done
}

port() { echo $(($1 + PORT_OFFSET)); }

# Addresses of a process by its name.
callers_of() { echo "${ADDRESSES[$1]}:$(port 17400)"; }
outbound_of() { echo "${ADDRESSES[$1]}:$(port 17401)"; }
mesh_of() { echo "${ADDRESSES[$1]}:$(port 17402)"; }
operator_of() { echo "${ADDRESSES[$1]}:$(port 17403)"; }
metrics_of() { echo "${ADDRESSES[$1]}:$(port 17404)"; }
back_end_of() { echo "${ADDRESSES[$1]}:$(port 17405)"; }
platform_address() { echo "127.0.0.9:$(port 17406)"; }

is_port_taken() { (: < "/dev/tcp/127.0.0.9/$1") 2>/dev/null; }

# lock_ports: takes the lock on the present ports. The started processes inherit it, so that it is held until the last of
# them has ended: the platform's port is free before the nodes' are.
lock_ports() {
  exec {PORT_LOCK}> "${TMPDIR:-/tmp}/rillgap-ports-$PORT_OFFSET.lock"
  flock --nonblock "$PORT_LOCK" || return 1
}

# Chooses ports that no other run on this machine uses.
choose_ports() {
  while is_port_taken "$(port 17406)" || ! lock_ports; do
    PORT_OFFSET=$((PORT_OFFSET + 10))
    ((PORT_OFFSET < 2000)) || fail "no free ports"
  done
}

# write_settings NAME ZONE [SERVICE BACK_END]: writes the settings file of a node.
write_settings() {
  local name=$1 zone=$2 service=${3:-} back_end=${4:-} seed
  {
    printf '[node]\nname = "%s"\nzone = "%s"\nregion = "trondheim"\n\n' "$name" "$zone"
    printf '[listen]\ncallers = "%s"\nmesh = "%s"\n' "$(callers_of "$name")" "$(mesh_of "$name")"
    printf 'operator = "%s"\nmetrics = "%s"\n' "$(operator_of "$name")" "$(metrics_of "$name")"
    if [[ -n $service ]]; then
      printf 'outbound = "%s"\n\n' "$(outbound_of "$name")"
      printf '[back-end]\nname = "%s"\nservice = "%s"\n' "$back_end" "$service"
      printf 'address = "%s"\nhealth-path = "/health"\n' "$(back_end_of "$name")"
      printf 'connections = 110\nhealth-interval-millis = 200\n'
    fi
    if [[ -n ${THREAD_LAYOUT:-} ]]; then
      printf '\n[threads]\nlayout = "%s"\n' "$THREAD_LAYOUT"
    fi
    printf '\n[store]\nendpoints = ["%s"]\n' "$(platform_address)"
    for seed in entry-hall-a entry-hall-b entry-hall-c; do
      [[ $seed == "$name" ]] && continue
      printf '\n[[seed]]\nname = "%s"\nmesh = "%s"\n' "$seed" "$(mesh_of "$seed")"
    done
  } > "$WORK/$name.toml"
}

start_platform() {
  start platform "$BIN/rillgap-lab" serve platform --listen "$(platform_address)" --machines "$1"
  until_true "platform serves" curl -sf "http://$(platform_address)/v1/catalog/nodes"
}

start_node() {
  start "$1" "$BIN/rillgapd" --settings "$WORK/$1.toml"
}

# start_nodes: starts all NODES and waits until each sees all of them.
start_nodes() {
  local node
  for node in "${NODES[@]}"; do
    start_node "$node"
  done
  for node in "${NODES[@]}"; do
    until_true "$node sees all members" has_members "$node" "${#NODES[@]}"
  done
}

until_all_serve() {
  local node
  for node in "${NODES[@]}"; do
    until_true "$node serves" is_serving "$node"
  done
}

# start_back_end NODE SERVICE BACK_END OPTION...: starts the back end beside a node.
start_back_end() {
  local node=$1 service=$2 back_end=$3
  shift 3
  start "$back_end" "$BIN/rillgap-lab" serve backend --listen "$(back_end_of "$node")" \
    --name "$back_end" --service "$service" --node "$(outbound_of "$node")" "$@"
  until_true "$back_end serves" curl -sf "http://$(back_end_of "$node")/health"
}

# ctl NODE ARGUMENT...: runs rillgapctl against a node.
ctl() {
  local node=$1
  shift
  "$BIN/rillgapctl" --node "$(operator_of "$node")" "$@"
}

# has_members NODE COUNT: whether a node's view has this many members, all heard from.
has_members() {
  local status
  status=$(ctl "$1" status) || return 1
  (($(grep -c ' reachable ' <<< "$status") == $2))
}

is_serving() { ctl "$1" status | grep -q 'serving true'; }

# counter BACK_END_ADDRESS NAME: prints a counter of a back end.
counter() {
  curl -sf "http://$1/admin/counters" | grep -o "\"$2\":[0-9]*" | cut -d: -f2
}
