#!/bin/sh
# Runs the trial: a repeated submission that outlives the wait for a silent controller.
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
exec "$root/target/review-2/cases" repeated_submission "$root" "$here"
