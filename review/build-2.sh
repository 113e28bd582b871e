#!/bin/sh
# Builds what the scripts in review/6 to review/10 start, after the build of the
# deploy file: the project's program, which is also the stand-in of the store.
# Workers and clients are in standins2.py, for the Python 3 that meson needs.
set -e
cd "$(dirname "$0")/.."
test -f target/build.ninja || meson setup target --buildtype=release
ninja -C target commands/peridothill
python3 -m py_compile review/standins2.py review/[6-9]/run.py review/10/run.py
rm -rf review/__pycache__ review/[6-9]/__pycache__ review/10/__pycache__
