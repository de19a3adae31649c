#!/usr/bin/env bash
# Runs one case's script five times with its disruption, then twice without.
# Usage: review/repeat.sh N
cd "$(dirname "$0")"
for _ in 1 2 3 4 5; do "$1"/run.sh; echo "case $1: exit $?"; done
for _ in 1 2; do TROUBLE=0 "$1"/run.sh; echo "case $1 without trouble: exit $?"; done
