#!/usr/bin/env python3
# SPDX-License-Identifier: Apache-2.0
"""Tells how long a version of the configuration took to be in force on every host, from the hosts' logs.

LOGDIR holds a file of log lines for each host. A line is one JSON object of the log; a time in seconds and the host's
name may stand before it. Without them the time is the object's own, and the host is the one that the file's `started`
line names, or else the file's name without its ending. Other lines are passed over.

A host has a version once that one or a later one is in force. Prints for each version the first host, the median and
the last host, then each host's delay after the first one, with what its line says on where the version came from. Hosts
that never had the version count as missing: they had ended, or the log ends before. A host that was started again has a
version as of the first time.
"""
import argparse
import datetime
import json
import pathlib
import re
import statistics
import sys

LINE = re.compile(r"\s*(?:(-?[\d.]+) (\S+) )?(\{.*\})\s*$")
# No run lasts so long, and no clock is set before it (2001): tells seconds into a run from a time of the day.
LEAST_EPOCH_SECOND = 1e9


def read_record(line):
    """The seconds (None without them), the host (likewise) and the JSON object of a line; None for another line."""
    match = LINE.match(line)
    if match is None:
        return None
    try:
        record = json.loads(match[3])
    except json.JSONDecodeError:
        return None
    if not isinstance(record, dict):
        return None
    second = None if match[1] is None else float(match[1])
    return second, match[2], record


def read_time(record):
    """Seconds of a record's own time, which is UTC."""
    return datetime.datetime.fromisoformat(record["time"].replace("Z", "+00:00")).timestamp()


def read_log(path, hosts):
    """Adds to `hosts` the (second, version, detail) of each bundle in force that a file tells, by host."""
    own_name = path.stem
    for line in path.read_text(encoding="utf-8", errors="replace").splitlines():
        parts = read_record(line)
        if parts is None:
            continue
        second, host, record = parts
        event = record.get("event")
        if event == "started":
            own_name = record.get("host", own_name)
        if event != "bundle_in_force" or not record.get("peer", "").isdigit():
            continue
        if second is None:
            second = read_time(record)
        hosts.setdefault(host or own_name, []).append((second, int(record["peer"]), record.get("detail", "")))


def list_arrivals(hosts, version):
    """The (second, host, detail) as of which each host had the version, earliest first."""
    arrivals = []
    for host, changes in hosts.items():
        had = [(second, host, detail) for second, other, detail in changes if other >= version]
        if had:
            arrivals.append(min(had))
    return sorted(arrivals)


def print_delays(hosts, least_ms, out):
    versions = sorted({version for changes in hosts.values() for _, version, _ in changes})
    earliest = min(second for changes in hosts.values() for second, _, _ in changes)
    # A time of the day is told from the first line on, seconds that stood in the lines as they were.
    start = earliest if earliest > LEAST_EPOCH_SECOND else 0
    print("| version | first host | at s | median ms | last host | after ms | missing |", file=out)
    print("| --- | --- | --- | --- | --- | --- | --- |", file=out)
    details = []
    for version in versions:
        arrivals = list_arrivals(hosts, version)
        first, first_host, _ = arrivals[0]
        delays = [((second - first) * 1000, host, detail) for second, host, detail in arrivals]
        last, last_host, _ = delays[-1]
        median = statistics.median(delay for delay, _, _ in delays)
        missing = len(hosts) - len(delays)
        print(
            f"| {version} | {first_host} | {first - start:.3f} | {median:.0f} | {last_host} | {last:.0f} "
            f"| {missing} |",
            file=out,
        )
        if last >= least_ms:
            details.append((version, delays))
    for version, delays in details:
        print(f"\nversion {version}", file=out)
        for delay, host, detail in delays:
            print(f"  {delay:7.0f} ms  {host}  {detail}".rstrip(), file=out)


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("logdir", metavar="LOGDIR", type=pathlib.Path, help="folder with a log for each host")
    parser.add_argument(
        "--least-ms", type=float, default=0, help="lists the hosts only of versions whose last host came so late"
    )
    arguments = parser.parse_args()
    if not arguments.logdir.is_dir():
        sys.exit(f"{arguments.logdir}: no folder")
    hosts = {}
    for path in sorted(arguments.logdir.iterdir()):
        if path.is_file():
            read_log(path, hosts)
    if not hosts:
        sys.exit(f"{arguments.logdir}: no line about a bundle in force")
    print_delays(hosts, arguments.least_ms, sys.stdout)


if __name__ == "__main__":
    main()
