#!/usr/bin/env bash
# Plays the case "forgotten-drain"; see claim.txt. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" && exec ../play.sh forgotten-drain "$PWD"
