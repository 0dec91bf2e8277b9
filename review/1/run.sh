#!/usr/bin/env bash
# A worker ends a chunked answer with a trailer of 70 KB; see claim.txt. About 30 seconds.
# Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run. With TROUBLE=0 the disruption is left out.
folder=$(cd "$(dirname "$0")" && pwd)
exec "$folder/../run-case" "$folder" long_trailer
