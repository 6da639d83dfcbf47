#!/usr/bin/env bash
# Plays the case; with TROUBLE=0 the watches are cut off, but no machine is.
cd "$(dirname "$0")" && exec python3 play.py
