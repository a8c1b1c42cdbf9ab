#!/usr/bin/env bash
# Plays the case; see ../../REPORT.md. Exit status: 1 broken, 0 held, 2 could not run.
cd "$(dirname "$0")/../../.." || exit 2
exec env PYTHONPATH=target/deps:src python3 review/extra/home/play.py
