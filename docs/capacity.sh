#!/usr/bin/env bash
# Prints the measurements behind docs/CAPACITY.md, one line each. Takes about
# five minutes; run it on a machine that does nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."

bench() { # bench PACKAGE PATTERN [TIME]
	go test -run '^$' -bench "$2" -benchtime "${3:-1s}" "$1" | grep -E '^Benchmark|instances:' | sed "s|^|$1 |"
}

bench ./core/dhcatalog 'LookUp|BlockDelta|Apply'
bench ./core/dhsteer 'PoolSelect'
bench ./core/dhtraffic 'Tick'
bench ./core/dhledger 'Claim'
bench ./core/dhgrant 'HolderSpend|OwnerGrant'
bench ./core/dhreducer 'GrantRequest'
bench ./core/dhreducer 'Distribution' 1x
bench ./io/dhwire 'Messages'
bench ./io/dhpeer 'Deliver'
bench ./io/dhpeer 'LargeChange' 3x
bench ./core/dhreducer 'LargeDeclaration' 1x
bench ./io/dhdisk 'Open'
bench ./io/dhprocess 'Idle' 3x
bench ./io/dhprocess 'InForce/(10|216|432)' 5x
bench ./io/dhprocess 'Accept' 2s
bench ./io/dhprocess 'LeaderLoss' 10x
