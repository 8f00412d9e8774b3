#!/usr/bin/env bash
# Runs the case: exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run. TROUBLE=0: without the
# disruption.
exec "$(dirname "$0")/../kit/run" 3
