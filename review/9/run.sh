#!/usr/bin/env bash
exec "$(dirname "$0")/../run-case-2" "$(dirname "$0")"
