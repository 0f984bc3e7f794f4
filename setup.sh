#!/usr/bin/env bash
# Installs every package that the build, the tests, the formatter and the
# linter need on a Debian host. Does nothing if all are installed.
# With --check it only prints the missing packages.
set -euo pipefail

packages=(
  build-essential cmake ninja-build ccache clang clang-format clang-tidy
  libev-dev libwebsocketpp-dev libmicrohttpd-dev libcurl4-openssl-dev
  libinih-dev libhttp-parser-dev nlohmann-json3-dev libexpected-dev librapidcheck-dev
  prometheus-cpp-dev libgoogle-glog-dev libboost-dev
  libboost-program-options-dev libxxhash-dev libssl-dev zlib1g-dev
  libgtest-dev libbenchmark-dev
)

missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
    grep -q 'install ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -eq 0 ]; then
  exit 0
fi
if [ "${1:-}" = "--check" ]; then
  echo "missing packages: ${missing[*]}"
  exit 1
fi
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y --no-install-recommends "${missing[@]}"
