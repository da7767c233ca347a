#!/usr/bin/env bash
# Starts a deployment on loopback addresses: stand-ins of the platform and of the backend
# servers, and every entry instance. Rolls the bundle, sends requests for keys through
# instances of all domains and shows who owns the keys. Then stops, or with "stay" as second
# argument runs on until interrupted.
#
#   examples/run.sh [rokopisna|uva] [stay]
set -euo pipefail
cd "$(dirname "$0")/.."
name="${1:-rokopisna}"
dir="examples/$name"
keys="$dir/keys"
out="$dir/out"
case "$name" in
  rokopisna) net=10 service=pregled ;;
  uva) net=11 service=stockbook ;;
  *) echo "usage: examples/run.sh [rokopisna|uva] [stay]" >&2; exit 2 ;;
esac
export GOFLAGS="${GOFLAGS:--buildvcs=false}"
go build -o mustardring ./cmd/mustardring
mr() { ./mustardring --log-level warn "$@"; }
log="http://127.$net.0.1:7000"
export MUSTARDRING_TOKEN=example-token

pids=()
stop() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
}
trap stop EXIT

mkdir -p "$keys" "$out"
mr bundle keygen publisher --roles publish --roles roll --dir "$keys" --roots "$keys/roots.json" >/dev/null
mr bundle keygen approver --roles approve --dir "$keys" --roots "$keys/roots.json" >/dev/null
instances=()
for f in "$dir"/instances/*.json; do instances+=("$(basename "$f" .json)"); done
mr certs --dir "$keys" "${instances[@]}"
awk -v roots="$keys/roots.json" '
  /"signers": \[\]/ { printf "  \"signers\": "; while ((getline line < roots) > 0) print line; print "  ,"; next }
  { print }' "$dir/bundle.json" > "$out/bundle.json"

./mustardring stand-in --settings "$dir/stand-in.json" 2>"$out/stand-in.log" & pids+=($!)
for i in "${instances[@]}"; do
  ./mustardring run --settings "$dir/instances/$i.json" >"$out/$i.spans" 2>"$out/$i.log" & pids+=($!)
done
echo "started the stand-ins and ${#instances[@]} instances; their events are in $out"

sign="--log $log --roots $keys/roots.json"
mr bundle publish "$out/bundle.json" --signer publisher --key "$keys/publisher.key" $sign
hash=$(mr bundle check "$out/bundle.json" --output json | sed -n 's/.*"hash": *"\([0-9a-f]*\)".*/\1/p' | head -n 1)
mr bundle approve 1 --hash "$hash" --signer approver --key "$keys/approver.key" $sign
mr bundle roll 1 --signer publisher --key "$keys/publisher.key" $sign

callers=()
operators=()
for f in "$dir"/instances/*.json; do
  callers+=("$(sed -n 's/.*"caller-address": "\(.*\)",/\1/p' "$f")")
  operators+=("$(sed -n 's/.*"operator-address": "\(.*\)",/\1/p' "$f")")
done
# Each range needs an owner; at the first start that takes a few leases.
for o in "${operators[@]}"; do
  for _ in $(seq 200); do
    if mr status --address "$o" 2>/dev/null | grep -q '"owned":1[,}]'; then break; fi
    sleep 0.1
  done
done
for key in volume-1 volume-2 volume-3 volume-4; do
  echo "--- $service $key"
  for c in "${callers[0]}" "${callers[-1]}"; do
    mr ask --address "$c" "$service" "$key" | head -n 1 | sed "s/^/through $c: /"
  done
  for o in "${operators[@]}"; do
    owner=$(mr owner --address "$o" "$service" "$key")
    if echo "$owner" | grep -q '"server":"[^"]'; then echo "$owner"; break; fi
  done
done
if [ "${2:-}" = stay ]; then
  echo "running; interrupt to stop"
  wait
fi
