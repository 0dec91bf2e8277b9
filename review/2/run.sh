#!/usr/bin/env bash
# A full worker sends its refusal a second time, late; see claim.txt. About 70 seconds.
# Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run. With TROUBLE=0 the disruption is left out.
folder=$(cd "$(dirname "$0")" && pwd)
exec "$folder/../run-case" "$folder" late_refusal
