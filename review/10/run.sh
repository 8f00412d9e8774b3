#!/usr/bin/env bash
exec "$(dirname "$0")/../kit-2/run" "$(dirname "$0")"
