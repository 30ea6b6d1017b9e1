#!/bin/bash
# Plays the case; see claim.txt. TROUBLE=0 plays it without its disruption, and the rule must hold.
here=$(cd "$(dirname "$0")" && pwd)
export TROUBLE=${TROUBLE:-1}
exec "$here/../play.sh" late-append "$here"
