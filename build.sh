#!/usr/bin/env bash
# Builds the project and runs the demo, the tests, the benchmarks or the
# linter; release only builds.
set -euo pipefail
cd "$(dirname "$0")"

jobs=$(nproc)
# Lets ccache share results between checkouts in different folders.
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1

usage() {
  echo "usage: ./build.sh demo|test|bench|lint|release" >&2
  exit 2
}

configure_and_build() { # directory, build type, sanitizers ON/OFF
  cmake -S . -B "$1" -G Ninja -DCMAKE_BUILD_TYPE="$2" \
    -DPAPAYAWAY_SANITIZE="$3" >"$1.configure.log" 2>&1 ||
    { cat "$1.configure.log"; return 1; }
  cmake --build "$1" -j "$jobs"
}

[ $# -ge 1 ] || usage
./setup.sh
mkdir -p build
case "$1" in
  release)
    configure_and_build build/release RelWithDebInfo OFF
    ;;
  demo)
    configure_and_build build/release RelWithDebInfo OFF
    build/release/bin/papayaway-lab demo --bin build/release/bin --samples samples
    ;;
  test)
    configure_and_build build/asan Debug ON
    shift
    .ci/run-tests build/asan "$@"
    ;;
  bench)
    configure_and_build build/release RelWithDebInfo OFF
    build/release/bin/papayaway-lab bench --bin build/release/bin --samples samples
    ;;
  lint)
    cmake -S . -B build/release -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo \
      -DPAPAYAWAY_SANITIZE=OFF >/dev/null
    .ci/lint build/release "$jobs"
    ;;
  *) usage ;;
esac
