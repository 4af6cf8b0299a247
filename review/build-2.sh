#!/bin/sh
# Builds the stand-ins of the cases 6 to 10.
cd "$(dirname "$0")/.." && go build -tags review -o target/review-stand ./review/stand2
