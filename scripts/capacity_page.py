#!/usr/bin/env python3
# SPDX-License-Identifier: Apache-2.0
"""Rewrites the generated parts of docs/CAPACITY.md from the results of the benchmarks.

Usage: capacity_page.py RESULTS-FOLDER PAGE. The page's text between "<!-- NAME:begin -->" and "<!-- NAME:end -->" is
replaced. Every figure is measured (from the results) or computed here from measured ones and the sizes below.
"""

import json
import pathlib
import re
import sys
from dataclasses import dataclass

DAY = 86_400


@dataclass(frozen=True)
class Fleet:
    """The size of a fleet; LETTER is the users' for two years from now, TODAY is theirs now."""

    name: str
    hosts: int
    replicas: int
    accounts: int
    models: int
    requests: float  # a second, over the fleet
    tokens: float  # a second, over the fleet
    changes: int  # of the bundle a day
    restarts: int  # of hosts a day
    halls: int
    stages: int  # of a chain

    @property
    def requests_a_host(self) -> float:
        return self.requests / self.hosts

    @property
    def tokens_a_host(self) -> float:
        return self.tokens / self.hosts

    @property
    def streams_a_host(self) -> float:
        """Streams at once: tokens a second times the time between tokens (62 ms)."""
        return self.tokens_a_host * 0.062


LETTER = Fleet("letter", 400, 600, 2800, 25, 4800, 1.5e6, 1500, 335, 6, 2)
# The users gave no rates for today: assumed are 40 replicas with 8 streams each at 62 ms a token, answers of 200
# tokens, and 20 changes a day.
TODAY = Fleet("today", 9, 40, 10, 4, 26, 5160, 20, 9, 3, 2)

BUDGET_CORE_PERCENT = 2.2
BUDGET_MEMORY_MB = 64
BUDGET_BYTES = 9000
HIDDEN_BYTES = 16_384
SHARE_LEASE_SECONDS = 30
KEY_MESSAGE_BYTES = 200
KEPT_ANSWER_BYTES = 4096
KEY_SECONDS = 600
RETENTION = DAY
SCRAPE_SECONDS = 60
LONG_READ_SECONDS = 5
LIST_POLL_BYTES = 300


class Results:
    """What the benchmarks measured."""

    def __init__(self, folder: pathlib.Path):
        self.sizes = json.loads((folder / "sizes.json").read_text())
        slopes = json.loads((folder / "slopes.json").read_text())
        self.slopes = {item["name"]: item for item in slopes["benchmarks"]}
        self.in_force = {item["hosts"]: item for item in reversed(json.loads((folder / "inforce.json").read_text()))}
        self.peer = json.loads((folder / "peer.json").read_text())
        self.relay = [json.loads(line) for line in (folder / "relay.jsonl").read_text().splitlines()]

    def micros(self, name: str) -> float:
        item = self.slopes[name]
        factor = {"ns": 1e-3, "us": 1.0, "ms": 1e3}[item["time_unit"]]
        return item["cpu_time"] * factor

    def counter(self, name: str, counter: str) -> float:
        return self.slopes[name][counter]

    def run(self, name: str, streams: int) -> dict:
        return next(item for item in self.relay if item["name"] == name and item["streams"] == streams)

    def step_micros(self, streams: int = 100) -> float:
        """Processor time of the host's process for one step over sockets."""
        item = self.run("two-stages", streams)
        return item["host_cpu_seconds"] * 1e6 / (2 * item["tokens"])

    def stream_bytes(self) -> float:
        few, many = self.run("two-stages", 100), self.run("two-stages", 2000)
        return (many["host_memory_kb"] - few["host_memory_kb"]) * 1024 / 1900


def table(header: list[str], rows: list[list[str]]) -> str:
    lines = ["| " + " | ".join(header) + " |", "|" + " --- |" * len(header)]
    lines += ["| " + " | ".join(row) + " |" for row in rows]
    return "\n".join(lines)


def measured(results: Results) -> str:
    sizes = results.sizes
    relay_rows = [
        [item["name"], str(item["streams"]), f"{item['load']['median_ms'] / 50:.3f}", f"{item['load']['requests_a_second']:.0f}",
         f"{item['load']['tokens_a_second']:.0f}", f"{item['host_cpu_seconds']:.2f}", f"{item['host_memory_kb'] / 1024:.1f}",
         str(item["load"]["failed"])]
        for item in results.relay
    ]
    direct, through = results.run("direct", 1), results.run("one-stage", 1)
    added = (through["load"]["median_ms"] - direct["load"]["median_ms"]) / 50 * 1000
    ratio = through["load"]["median_ms"] / direct["load"]["median_ms"]
    rows = [
        ["routing decision, 8 stages of 24 holders (16 looked at), least_time", f"{results.micros('decide/least_time/8/24'):.2f} µs"],
        ["the same, 8 stages of 4 holders", f"{results.micros('decide/least_time/8/4'):.2f} µs"],
        ["the same, round_robin / least_in_flight at 8 x 24",
         f"{results.micros('decide/round_robin/8/24'):.2f} / {results.micros('decide/least_in_flight/8/24'):.2f} µs"],
        ["finding an account by key, 10 / 2,800 accounts",
         f"{results.micros('find_account/10'):.2f} / {results.micros('find_account/2800'):.2f} µs"],
        ["admitting a request", f"{results.micros('admit_request'):.3f} µs"],
        ["owner of a key among 9 / 400 hosts",
         f"{results.micros('find_key_owner/9'):.2f} / {results.micros('find_key_owner/400'):.2f} µs"],
        ["judging an activation (two signatures)", f"{results.micros('judge_activation'):.0f} µs"],
        ["first bundle put together, letter size", f"{results.micros('assemble_first/100') / 1e3:.1f} ms"],
        ["a change put together, 1 % / 10 % / 100 % of letter size",
         " / ".join(f"{results.micros(f'assemble_change/{share}') / 1e3:.2f}" for share in (1, 10, 100)) + " ms"],
        ["what serves it built, 1 % / 10 % / 100 %",
         " / ".join(f"{results.micros(f'build_serving_state/{share}') / 1e3:.2f}" for share in (1, 10, 100)) + " ms"],
        ["carrier's look over 300 records, nothing due", f"{results.micros('look_at_duties/300'):.2f} µs"],
        ["a time recorded in two histograms", f"{results.micros('record_time'):.2f} µs"],
        ["/metrics written at 2,800 accounts",
         f"{results.micros('write_metrics/2800') / 1e3:.2f} ms, {results.counter('write_metrics/2800', 'bytes') / 1e3:.1f} KB"],
        ["/metrics/accounts of all 2,800 written",
         f"{results.micros('write_accounts/2800') / 1e3:.0f} ms, {results.counter('write_accounts/2800', 'bytes') / 1e6:.1f} MB"],
        ["step encoded / answer decoded, 16 KiB of hidden state",
         f"{results.micros('encode_step/16384'):.2f} / {results.micros('decode_answer/16384'):.2f} µs"],
        ["the core's part of one step, 2 stages", f"{results.micros('relay_tokens/2') / 400:.2f} µs"],
        ["a home's answer to one wish, with its four encodings", f"{results.micros('grant_share'):.2f} µs"],
        ["a small question between hosts over a kept connection, both sides",
         f"{results.peer['cpu_us_both_sides']:.1f} µs; {results.peer['bytes_sent']:.0f} B there, {results.peer['bytes_received']:.0f} B back"],
        ["memory of an account's share at its home / at a holder",
         f"{sizes['share_bytes_at_home']:.0f} / {sizes['share_bytes_at_holder']:.0f} B"],
        ["memory of an account's histogram (one of four)", f"{sizes['histogram_bytes_an_account']:.0f} B"],
        ["memory of an upstream's load", f"{sizes['load_bytes_an_upstream']:.0f} B"],
        ["memory of a relay in the core, prompt of 4,000 bytes", f"{sizes['relay_bytes_a_stream']:.0f} B"],
        ["memory of a stream in the whole process (100 to 2,000 streams)", f"{results.stream_bytes():.0f} B"],
        ["memory of a request's decisions, 9 of them", f"{sizes['decision_bytes_a_request']:.0f} B"],
        ["memory of the serving state, letter size / 10 accounts and 80 holders",
         f"{sizes['serving_state_bytes'] / 1e6:.2f} / {sizes['today_serving_state_bytes'] / 1e6:.3f} MB"],
        ["bundle of letter size", f"{sizes['bundle_bytes'] / 1e6:.2f} MB in {sizes['bundle_parts']} parts"],
        ["bytes moved by a change of one account / upstream / model",
         f"{sizes['account_change_bytes']} / {sizes['upstream_change_bytes']} / {sizes['model_change_bytes']} B"],
        ["append of an activation to in force on the last of 9 / 400 hosts in one process, log calls of 5 ms",
         f"{results.in_force[9]['longest_ms']:.0f} / {results.in_force[400]['longest_ms']:.0f} ms, of which up to 100 ms are the fake log's wake-up"],
        ["processor time of a change on a host, 20 accounts and 80 holders, the same runs",
         f"{results.in_force[9]['cpu_ms_a_host_and_change']:.2f} / {results.in_force[400]['cpu_ms_a_host_and_change']:.2f} ms"],
        ["record of an activation / of a snapshot", f"{sizes['activation_record_bytes']} / {sizes['snapshot_record_bytes']} B"],
    ]
    return (
        table(["slope", "measured"], rows)
        + "\n\nRelaying over sockets, answers of 50 tokens, engine stand-ins without step time, everything on one machine:\n\n"
        + table(["path", "streams", "median ms a token", "requests/s", "tokens/s", "host's CPU s", "host's memory MB", "failed"],
                relay_rows)
        + f"\n\nAt one stream a host adds {added:.0f} µs a token hop to the stand-in called directly "
        + f"(ratio {ratio:.2f} in one run). A step costs the host's process {results.step_micros():.1f} µs of processor time "
        + f"at 100 streams and {results.step_micros(2000):.1f} µs at 2,000."
    )


@dataclass
class Cost:
    """What one role costs a host: percent of a core, megabytes, bytes a second, and how they were worked out."""

    role: str
    core: float
    memory: float
    rate: float
    lines: list[str]
    mechanism: str
    is_computed: bool = False


def bundle_cost(results: Results, fleet: Fleet) -> Cost:
    sizes = results.sizes
    is_letter = fleet is LETTER
    share = 100 if is_letter else 1
    apply_ms = (results.micros(f"assemble_change/{share}") + results.micros(f"build_serving_state/{share}")) / 1e3
    # Three records travel for a change: the part, the manifest and the activation. At today's size a bundle is one part
    # of about 3 KB and a manifest of 1 KB.
    change_bytes = (sizes["account_change_bytes"] if is_letter else 4000) + sizes["activation_record_bytes"]
    rate = fleet.changes * change_bytes * 1.1 / DAY
    polls = 1 / LONG_READ_SECONDS
    poll_bytes = 350
    state = sizes["serving_state_bytes"] if is_letter else sizes["today_serving_state_bytes"]
    bundle_bytes = sizes["bundle_bytes"] if is_letter else 5000
    memory = (2 * state + 2 * bundle_bytes + 3 * bundle_bytes) / 1e6 + (4 if is_letter else 1)
    core = (fleet.changes * (apply_ms + 3 * 0.25) / 1e3 / DAY + polls * 60e-6) * 100
    return Cost(
        "follower of the bundle", core, memory, rate + polls * poll_bytes,
        [
            f"time: {fleet.changes} changes a day x ({apply_ms:.2f} ms apply + 0.75 ms read) / {DAY} s + {polls:.1f} reads/s x 60 µs = {core:.4f} % of a core",
            f"bytes: {fleet.changes} x {change_bytes:.0f} B x 1.1 (JSON in JSON) / {DAY} s = {rate:.0f} B/s, and {polls:.1f} waiting reads/s x {poll_bytes} B = {polls * poll_bytes:.0f} B/s",
            f"memory: serving state {state / 1e6:.2f} MB twice during a change, parts and their read forms {5 * bundle_bytes / 1e6:.1f} MB, spare parts up to {4 if is_letter else 1} MB",
            f"pause: one turn of the loop of {apply_ms:.1f} ms for each change",
        ],
        "content-addressed parts in buckets, fragments kept as read, waiting reads",
    )


def carrier_cost(results: Results, fleet: Fleet) -> Cost:
    records = results.sizes["bundle_parts"] + 1 if fleet is LETTER else 8
    period = RETENTION / 3
    appends = 2 * records / period
    body = (results.sizes["bundle_bytes"] if fleet is LETTER else 5000) / records
    look = results.micros("look_at_duties/300") if fleet is LETTER else results.micros("look_at_duties/10")
    core = look * 1e-6 / 5 * 100
    rate = appends / fleet.hosts * body
    return Cost(
        "carrier of the bundle", core, records * 150 / 1e6, rate,
        [
            f"appends: {records} records each third of {RETENTION // 3600} h, at most twice = {appends:.4f}/s over the fleet, {appends / fleet.hosts:.6f}/s a host",
            f"time: a look of {look:.2f} µs every 5 s = {core:.5f} % of a core",
        ],
        "ranks by rendezvous hashing, each waiting its turn, so appends don't grow with hosts",
    )


def watcher_cost(results: Results, fleet: Fleet) -> Cost:
    stages = fleet.models * fleet.stages * 16 if fleet is LETTER else 2 * fleet.replicas
    watched = min(stages, fleet.replicas * fleet.stages)
    listed = 150 * (fleet.hosts + fleet.replicas * fleet.stages)
    changes = 2 * fleet.restarts
    rate = LIST_POLL_BYTES + changes * listed / DAY
    core = fleet.requests_a_host * results.micros("decide/least_time/8/24") * 1e-6 * 100
    return Cost(
        "watcher of upstreams", core, watched * results.sizes["load_bytes_an_upstream"] / 1e6, rate,
        [
            f"state: at most 16 holders for each layer range, {watched} loads x {results.sizes['load_bytes_an_upstream']:.0f} B",
            f"time: {fleet.requests_a_host:.1f} decisions/s x {results.micros('decide/least_time/8/24'):.2f} µs = {core:.4f} % of a core",
            "messages: none of its own; health comes from its own requests, load reports ride on step answers",
            f"bytes: the host list is asked for each second by its version, {LIST_POLL_BYTES} B/s, and sent whole ({listed / 1e3:.0f} KB) after each of {changes} changes a day = {rate - LIST_POLL_BYTES:.0f} B/s (assumption: the platform's list has versions, as the stand-in's)",
        ],
        "a subset drawn by rendezvous hashing, passive health, piggybacked load, the list by version",
    )


def home_cost(results: Results, fleet: Fleet) -> Cost:
    # An account without a limit asks nothing. Here every account has a limit of streams, and one request in ten finds
    # no room in the share at hand (assumption); streams in use are renewed at half of their lease.
    asked = fleet.requests_a_host * 0.1
    pairs = min(fleet.streams_a_host, fleet.accounts)
    renewals = pairs / (SHARE_LEASE_SECONDS / 2)
    messages = asked + renewals
    core = messages * results.peer["cpu_us_both_sides"] * 1e-6 * 100
    each_way = results.peer["bytes_sent"] + results.peer["bytes_received"]
    rate = messages * each_way
    state = pairs * (results.sizes["share_bytes_at_home"] + results.sizes["share_bytes_at_holder"]) / 1e6
    return Cost(
        "account home and holder of shares", core, state, rate,
        [
            f"accounts in use on a host: no more than its streams, {fleet.streams_a_host:.0f}, nor all {fleet.accounts} = {pairs:.0f}; "
            + f"hosts x accounts would be {fleet.hosts * fleet.accounts}, and is never reached as a share lives only while it is used",
            f"questions: {fleet.requests_a_host:.1f} requests/s x 0.1 (assumption) + {pairs:.0f} renewals / {SHARE_LEASE_SECONDS // 2} s = {messages:.2f}/s as holder, and as many to answer as home",
            f"time: {messages:.2f}/s x {results.peer['cpu_us_both_sides']:.1f} µs for both sides = {core:.4f} % of a core",
            f"bytes: {messages:.2f}/s x {each_way:.0f} B, sent and received = {rate:.0f} B/s",
        ],
        "homes by rendezvous hashing; shares only where an account has requests",
    )


def key_cost(results: Results, fleet: Fleet) -> Cost:
    share = 0.1
    keys = fleet.requests * share / fleet.hosts
    codec = 2 * (results.micros("encode_step/16") + results.micros("decode_answer/16"))
    core = 2 * keys * (codec + results.micros("find_key_owner/400") + results.peer["cpu_us_both_sides"]) * 1e-6 * 100
    rate = 2 * 2 * keys * KEY_MESSAGE_BYTES
    memory = 2 * keys * KEY_SECONDS * (KEPT_ANSWER_BYTES + 300) / 1e6
    return Cost(
        "key owner", core, memory, rate,
        [
            f"keys: one request in ten is not repeatable (assumption), {keys:.2f}/s a host",
            f"memory: kept {KEY_SECONDS} s with answers of {KEPT_ANSWER_BYTES} B by owner and runner = {memory:.1f} MB",
            f"bytes: claim and completion, {keys:.2f}/s x 2 roles x 2 messages x {KEY_MESSAGE_BYTES} B = {rate:.0f} B/s (the kept answer stays with its runner)",
        ],
        "owners by rendezvous hashing; fences through the log on changes of ownership only", True,
    )


def entry_control_cost(results: Results, fleet: Fleet) -> Cost:
    accounts = min(fleet.accounts, 4096)
    histograms = accounts * 4 * results.sizes["histogram_bytes_an_account"] / 1e6
    decisions = 4_000 * results.sizes["decision_bytes_a_request"] / 1e6
    scrape = results.counter("write_metrics/2800", "bytes") / SCRAPE_SECONDS
    per_request = results.micros("find_account/2800") + results.micros("admit_request") + 6 * results.micros("record_time")
    core = (fleet.requests_a_host * per_request * 1e-6
            + results.micros("write_metrics/2800") * 1e-6 / SCRAPE_SECONDS) * 100
    return Cost(
        "entry: accounts, metrics, explanations", core, histograms + decisions, scrape,
        [
            f"memory: {accounts} accounts x 4 histograms x {results.sizes['histogram_bytes_an_account']:.0f} B = {histograms:.1f} MB; decisions of 4,000 requests {decisions:.1f} MB",
            f"time: {fleet.requests_a_host:.1f} requests/s x {per_request:.1f} µs, and a scrape every {SCRAPE_SECONDS} s",
            f"bytes: {results.counter('write_metrics/2800', 'bytes') / 1e3:.1f} KB of metrics every {SCRAPE_SECONDS} s = {scrape:.0f} B/s",
        ],
        "histograms by class for scrapes, by account on request; bounded records",
    )


COSTS = [entry_control_cost, bundle_cost, carrier_cost, watcher_cost, home_cost, key_cost]


def control_table(results: Results, fleet: Fleet) -> str:
    costs = [make(results, fleet) for make in COSTS]
    rows = [
        [cost.role + (" (computed)" if cost.is_computed else ""), f"{cost.core:.4f}", f"{cost.memory:.2f}", f"{cost.rate:.0f}", cost.mechanism]
        for cost in costs
    ]
    core, memory, rate = (sum(getattr(cost, field) for cost in costs) for field in ("core", "memory", "rate"))
    rows.append(["**sum**", f"**{core:.4f}**", f"**{memory:.1f}**", f"**{rate:.0f}**", ""])
    rows.append(["budget (aim: half)", f"{BUDGET_CORE_PERCENT} ({BUDGET_CORE_PERCENT / 2})", f"{BUDGET_MEMORY_MB} ({BUDGET_MEMORY_MB / 2:.0f})",
                 f"{BUDGET_BYTES} ({BUDGET_BYTES / 2:.0f})", ""])
    text = table(["role", "% of a core", "MB", "B/s", "mechanism that carries it"], rows)
    text += "\n\nLine by line:\n\n"
    for cost in costs:
        text += f"- {cost.role}\n" + "".join(f"  - {line}\n" for line in cost.lines)
    for name, value, budget in (("processor time", core, BUDGET_CORE_PERCENT), ("memory", memory, BUDGET_MEMORY_MB), ("bytes", rate, BUDGET_BYTES)):
        text += f"- {name}: {value / budget * 100:.0f} % of the budget" + (", above the aim of half\n" if value > budget / 2 else "\n")
    return text.rstrip()


def data_plane(results: Results) -> str:
    rows = []
    codec = (results.micros("encode_step/16384") - results.micros("encode_step/16")
             + results.micros("decode_answer/16384") - results.micros("decode_answer/16"))
    for stages in (1, 2, 4, 8):
        steps = LETTER.tokens_a_host * stages
        boundaries = LETTER.tokens_a_host * (stages - 1)
        core = (steps * results.step_micros() + boundaries * codec) * 1e-6
        rate = boundaries * 2 * HIDDEN_BYTES
        rows.append([str(stages), f"{steps:.0f}", f"{core:.2f}", f"{rate / 1e6:.0f}", f"{rate * 8 / 1e9:.2f}"])
    memory = LETTER.streams_a_host * results.stream_bytes() / 1e6
    return (
        f"A host carries {LETTER.requests_a_host:.0f} requests and {LETTER.tokens_a_host:.0f} tokens a second, so "
        f"{LETTER.streams_a_host:.0f} streams at once, which take {memory:.1f} MB. Each token costs a step for each stage, and "
        f"each boundary between stages carries a hidden state of {HIDDEN_BYTES} B in and out of the host (assumption: 8,192 "
        "numbers of two bytes).\n\n"
        + table(["stages of a chain", "steps/s a host", "cores a host", "MB/s of hidden states", "Gbit/s"], rows)
        + "\n\nThe processor time is measured at small messages and extended by the codec's slope; the copies of the socket layer for "
        "16 KiB are not in it. One loop on one thread ends at one core."
    )


def log_load(results: Results) -> str:
    sizes = results.sizes
    hall = LETTER.hosts // LETTER.halls
    retained = LETTER.changes * (sizes["account_change_bytes"] + sizes["activation_record_bytes"]) + 3 * sizes["bundle_bytes"]
    carried = 2 * (sizes["bundle_parts"] + 1) / (RETENTION / 3)
    rows = [
        ["calm: appends", f"{LETTER.changes * 3 / DAY + carried:.3f}/s",
         f"{LETTER.changes} changes x 3 records / {DAY} s + carrying {carried:.3f}/s"],
        ["calm: waiting reads", f"{LETTER.hosts / LONG_READ_SECONDS:.0f}/s", f"{LETTER.hosts} hosts, one read each {LONG_READ_SECONDS} s"],
        ["a change: reads in its first second", f"{3 * LETTER.hosts}", "each host is woken by at most three records"],
        ["a change: bytes from the log", f"{LETTER.hosts * sizes['account_change_bytes'] * 1.1 / 1e6:.1f} MB", f"{LETTER.hosts} hosts x {sizes['account_change_bytes']} B x 1.1"],
        ["a hall returns: from the log if every host read all of it", f"{hall * retained * 1.1 / 1e9:.2f} GB", f"{hall} hosts x {retained / 1e6:.0f} MB retained"],
        ["a hall returns: from the log with peers asked first", f"{hall} reads", "each host reads on from its peer's offset"],
        ["a hall returns: from peers", f"{hall * sizes['bundle_bytes'] / 1e6:.0f} MB", f"{hall} hosts x {sizes['bundle_bytes'] / 1e6:.2f} MB, spread over {LETTER.hosts - hall} hosts that serve"],
        ["a hall returns: appends", "0", "starting appends nothing"],
    ]
    return table(["load on the platform", "figure", "how"], rows)


def replace(text: str, name: str, content: str) -> str:
    pattern = re.compile(rf"(<!-- {name}:begin -->\n).*?(<!-- {name}:end -->)", re.S)
    if not pattern.search(text):
        raise SystemExit(f"the page has no part {name}")
    return pattern.sub(lambda match: match.group(1) + content + "\n" + match.group(2), text)


def main() -> None:
    results = Results(pathlib.Path(sys.argv[1]))
    page = pathlib.Path(sys.argv[2])
    text = page.read_text()
    for name, content in (
        ("measured", measured(results)),
        ("letter", control_table(results, LETTER)),
        ("today", control_table(results, TODAY)),
        ("data", data_plane(results)),
        ("log", log_load(results)),
    ):
        text = replace(text, name, content)
    page.write_text(text)


if __name__ == "__main__":
    main()
