#!/usr/bin/env bash
# Creates variants of a site file of the users' bench in which the limits of client
# accounts restrict what runs:
#
#   _scripts/account-sites.sh SITE DIR
#
# half: limits of half the average load of an account. few: six accounts, limits of
# three quarters. cut: limits of 0.8, repeatedly lowered far below the load, also by
# each change of the configuration. last: as half, and accounts lose all their keys.
# unguarded: as few, and workers start whatever they are told.
set -euo pipefail
[ $# -eq 2 ] || { sed -n '2,11p' "$0" >&2; exit 2; }
site=$1 dir=$2

# variant NAME SED_ARGS... writes one variant.
variant() {
	local name=$1 out
	shift
	mkdir -p "$dir/$name"
	out="$dir/$name/$(basename "$site")"
	sed "$@" "$site" > "$out"
	! cmp -s "$site" "$out" || { echo "$name: the edit matches nothing in $site" >&2; exit 1; }
	cp "$(dirname "$site")/wire.json" "$dir/$name/"
	echo "$out"
}

limits() { echo "s/^quota_x = .*/quota_x = $1/"; }
cuts='s/^plan = \[/&\n  { at = 3.0, kind = "config_change", how = "quota down" },\n  { at = 12.0, kind = "config_change", how = "quota" },\n  { at = 16.0, kind = "config_change", how = "quota down" },\n  { at = 28.0, kind = "config_change", how = "quota down" },/'

variant half -e "$(limits 0.5)"
variant few -e "$(limits 0.75)" -e '/^\[tenants\]/,/^\[/s/^count = .*/count = 6/'
variant cut -e "$(limits 0.8)" -e 's/kind = "config_change", how = "[a-z]*"/kind = "config_change", how = "quota down"/' -e "$cuts"
variant last -e "$(limits 0.5)" -e 's/^plan = \[/&\n  { at = 2.0, kind = "revoke", count = 2, gap_s = 0.5, how = "last" },\n  { at = 18.0, kind = "revoke", count = 2, gap_s = 0.5, how = "last" },/'
variant unguarded -e "$(limits 0.75)" -e '/^\[tenants\]/,/^\[/s/^count = .*/count = 6/' -e 's/guards = true/guards = false/g'
