#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Installs the Debian packages that the build, the tests and the demonstration need.
set -euo pipefail

packages=(
  g++ cmake ninja-build pkg-config git curl ca-certificates openssl python3
  clang-format clang-tidy
  libh2o-evloop-dev libhttp-parser-dev libnghttp2-dev libssl-dev zlib1g-dev
  nlohmann-json3-dev libboost-dev libboost-program-options-dev
  liblog4cplus-dev libxxhash-dev
  libgtest-dev libbenchmark-dev librapidcheck-dev
)

missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0

as_root=()
[ "$(id -u)" -eq 0 ] || as_root=(sudo)
"${as_root[@]}" apt-get update -q
DEBIAN_FRONTEND=noninteractive "${as_root[@]}" apt-get install -y -q --no-install-recommends "${missing[@]}"
