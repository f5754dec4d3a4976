#!/usr/bin/env bash
# Generates Go types from schema/*.json and the reference pages below docs/.
# With --check it changes nothing and fails if they are out of date.
set -euo pipefail
cd "$(dirname "$0")/.."
check=${1:-}

# generate PACKAGE OUTPUT TAGS SCHEMA...
generate() {
  local package=$1 out=$2 tags=$3 target=$2
  shift 3
  [ "$check" = --check ] && target=$(mktemp --suffix=.go)
  go tool -modfile=tools/go.mod go-jsonschema --only-models --disable-omitempty --disable-omitzero \
    --disable-custom-types-for-maps --struct-name-from-title --tags "$tags" --package "$package" \
    --capitalization ID,VM,VMs,TLS,URL,CA --output "$target" "$@"
  gofmt -w "$target"
  if [ "$target" != "$out" ]; then
    diff -u "$out" "$target" || { echo "$out is out of date: run _scripts/generate.sh" >&2; exit 1; }
    rm -f "$target"
  fi
}

generate schema pkg/schema/types.go json,msgpack schema/table.json schema/settings.json schema/messages.json schema/service.json
generate api service/api/types.go json schema/api.json

docs=docs
[ "$check" = --check ] && docs=$(mktemp -d)
go run ./_scripts/refdocs "$docs"
if [ "$docs" != docs ]; then
  for f in cli/gannetwelld.md cli/gannetctl.md cli/gannetbench.md operate/settings-reference.md operate/service-settings-reference.md operate/table-reference.md; do
    diff -u "docs/$f" "$docs/$f" || { echo "docs/$f is out of date: run _scripts/generate.sh" >&2; exit 1; }
  done
  rm -rf "$docs"
fi
