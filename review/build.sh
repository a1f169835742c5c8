#!/bin/sh
# Builds the stand-ins of the review's scripts into target/.
set -eu
cd "$(dirname "$0")/standin"
GOWORK=off GO111MODULE=on go build -o ../../target/review-standin .
