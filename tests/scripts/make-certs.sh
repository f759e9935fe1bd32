#!/bin/sh
# Certificates of tools/make-certs verify under the host name galenapier, and
# those of an earlier run still do after a later one.
# usage: tests/scripts/make-certs.sh BUILD
set -eu
directory=$(mktemp -d)
trap 'rm -rf "$directory"' EXIT
tools/make-certs "$directory/site" entry-1 guard-1
tools/make-certs "$directory/site" guard-2
tools/make-certs "$directory/other" guard-3
tools/make-certs "$directory/site" ../escape 2>/dev/null || echo "refused"
for process in site/entry-1 site/guard-1 site/guard-2 other/guard-3; do
  for purpose in sslclient sslserver; do
    if openssl verify -CAfile "$directory/site/authority.pem" \
      -verify_hostname galenapier -purpose $purpose \
      "$directory/$process.pem" >/dev/null 2>&1; then
      echo "$process $purpose: verified"
    else
      echo "$process $purpose: not verified"
    fi
  done
done
stat -c '%a %n' "$directory"/site/*.key | sed "s,$directory/,,"
