#!/usr/bin/env python3
# SPDX-License-Identifier: Apache-2.0
"""Tells where service was lost, from the structured log of a run's hosts.

Each line is a time in seconds, a host's name and one JSON object of the log. Lines of other shapes are passed over, so
the whole output of a run may be given. Prints what became of the requests by reason, in shares of all, second by
second; how long first events and pauses took; and over which paths late streams ran.
"""
import argparse
import collections
import json
import re
import sys

LINE = re.compile(r"\s*(-?[\d.]+) (\S+) (\{.*\})\s*$")
PACE = re.compile(r"(\d+) events, first after (\d+) ms, longest pause (\d+) ms")
ENDINGS = {
    "finished",
    "finished_late",
    "answered",
    "refused",
    "refused_at_entry",
    "broken_off",
    "caller_left",
    "time_limit",
}
SERVED = {"finished", "answered"}


def read_lines(path):
    """Yields (second, host, record) of each log line."""
    with open(path, encoding="utf-8", errors="replace") as lines:
        for line in lines:
            match = LINE.match(line)
            if match is None:
                continue
            try:
                yield float(match[1]), match[2], json.loads(match[3])
            except json.JSONDecodeError:
                continue


class Account:
    """What the log of a run tells of its requests."""

    def __init__(self):
        self.events = collections.Counter()
        self.reasons = collections.Counter()
        self.seconds = collections.defaultdict(collections.Counter)
        self.first_waits = []
        self.pauses = []
        self.paths = {}
        self.late_heads = collections.Counter()
        self.heads = collections.Counter()

    def take(self, second, record):
        event = record.get("event")
        self.events[event] += 1
        if event == "sent" and "=" in record.get("detail", ""):
            self.paths[record["request"]] = record["detail"]
            self.heads[record["detail"].split(",")[0]] += 1
        if event in ENDINGS:
            self.note_ending(second, event, record)

    def note_ending(self, second, event, record):
        reason = event if event in SERVED else f"{event}: {describe(event, record)}"
        self.reasons[reason] += 1
        self.seconds[int(second)][event] += 1
        pace = PACE.search(record.get("detail", ""))
        if pace is not None:
            self.first_waits.append(int(pace[2]))
            self.pauses.append(int(pace[3]))
        if event == "finished_late":
            path = self.paths.get(record.get("request"), "?")
            self.late_heads[path.split(",")[0]] += 1

    def print(self, out):
        total = sum(self.reasons.values()) or 1
        print(f"{total} answers ended; upstream verdicts of death {self.events['upstream_dead']}, "
              f"sends {self.events['sent']}, refused by upstreams {self.events['refused_by_upstream']}, "
              f"paths changed {self.events['path_changed']}", file=out)
        print("\n| what became of them | answers | share |\n| --- | --- | --- |", file=out)
        for reason, count in self.reasons.most_common(25):
            print(f"| {reason} | {count} | {count / total:.4f} |", file=out)
        print(f"\nfirst event ms {quantiles(self.first_waits)}; longest pause ms {quantiles(self.pauses)}", file=out)
        self.print_heads(out)
        self.print_seconds(out)

    def print_heads(self, out):
        sent = sum(self.heads.values()) or 1
        print("\n| first part of the path | share of sends | late |\n| --- | --- | --- |", file=out)
        for head, count in self.heads.most_common(10):
            print(f"| {head} | {count / sent:.3f} | {self.late_heads[head]} |", file=out)

    def print_seconds(self, out):
        names = sorted({name for counts in self.seconds.values() for name in counts})
        print("\n| second | " + " | ".join(names) + " |\n|" + " --- |" * (len(names) + 1), file=out)
        for second in sorted(self.seconds):
            counts = self.seconds[second]
            print(f"| {second} | " + " | ".join(str(counts[name]) for name in names) + " |", file=out)


def describe(event, record):
    """The reason of an answer that was not served in time, without names of upstreams and numbers."""
    detail = record.get("detail", "")
    if event == "finished_late":
        pace = PACE.search(detail)
        if pace is None:
            return "?"
        return "first event" if int(pace[2]) > 500 else "pause"
    if event in ("caller_left", "time_limit"):
        return "before the first event" if detail.startswith("0 ") else "within the stream"
    return re.sub(r"\d+", "N", detail)[:80]


def quantiles(values):
    ordered = sorted(values)
    if not ordered:
        return "none"
    pick = lambda share: ordered[min(int(share * len(ordered)), len(ordered) - 1)]
    return ", ".join(f"p{int(share * 100)} {pick(share)}" for share in (0.5, 0.9, 0.95, 0.99))


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("log", help="output of a run with the log of all hosts")
    arguments = parser.parse_args()
    account = Account()
    for second, _, record in read_lines(arguments.log):
        account.take(second, record)
    if not account.events:
        sys.exit(f"{arguments.log}: no line of a host's log")
    account.print(sys.stdout)


if __name__ == "__main__":
    main()
