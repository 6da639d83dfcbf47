#!/bin/sh
# A stopping process passes requests on just before it exits. See claim.txt.
here=$(cd "$(dirname "$0")" && pwd)
# TROUBLE=0 plays the same without the disruption; `site3.main` reads it.
TROUBLE=${TROUBLE:-1}
export TROUBLE
exec python3 "$here/play.py" "$here"
