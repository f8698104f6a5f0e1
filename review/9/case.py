# SPDX-License-Identifier: Apache-2.0
"""An entry of another writer whose address names no endpoint: are lost layers still put back?"""
import asyncio
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
import bed as kit  # noqa: E402

STREAMS_PER_S = 6.0
PLAIN_PER_S = 0.8  # the share of the plain kinds of request on the sheet: 8.3 of 70.1
ENTRY_AT_S = 5
CRASH_AT_S = 8
CRASH_FOR_S = 4.5  # `for_s` of `srv_crash` among the site's troubles
FINAL_FAULT_AT_S = 16
RUN_S = 46
BEAT_S = 1.2  # `heartbeat-ms`
RECOVERY_S = kit.BOUNDS["recovery-s"]


def services():
    # Four engines of two layers each hold the eight layers once.
    engine = {
        "kv-token-bytes": 8000, "models": [{"name": "m0", "load_s": 1.0}], "step_ms": 0.85, "per_seq_ms": 0.01,
        "context_per_k": 0.01, "read_per_s": 252000.0, "usual": {"prompt": 800, "answer": 154}, "layers": 8,
        "layer_mb": 1750.0, "act_bytes": 16384, "link-mbps": 10000.0, "pipe_mbps": 7900.0, "loads_at_once": 4,
        "slots": 192, "kinds": [{"name": "a100s", "mb": 4500.0, "pace": 1.0, "read_x": 1.0}]}
    llm = {"name": "llm-harbour", "health-path": "/healthz", "max-connections": 1078, "slots": 192, "engine": engine}
    return [llm, kit.plain_service()]


def stream_route():
    return {
        "name": "layer-diff", "host": "ficu95.example", "path-prefix": "/layer-diff/", "kind": "streaming",
        "timeout-ms": 20000, "target-latency-ms": 500, "gap_aim_ms": 200, "priority": 1, "max-attempts": 2,
        "sticky": True, "service": "llm-harbour"}


async def ask(bed, host, number):
    more = {
        "X-Model": "daka510000", "X-Token-Usage": "800,154", "X-Prompt-Prefix": f"5c1e07a2:40,{number:08x}:760",
        "Length-Hint": "154"}
    return await bed.send(host, "/layer-diff/2f", b"prompt %d" % number, 20000, more)


async def send_at(bed, rate, answers, send):
    number = 0
    while time.monotonic() < bed.traffic_end:
        number += 1
        task = asyncio.create_task(send(bed.hosts[number % len(bed.hosts)], number))
        answers.append((time.monotonic(), task))
        await asyncio.sleep(1 / rate)


async def keep_foreign_entry(bed):
    while not bed.is_over:
        # Another writer's agent tells where it listens, not where it is reached.
        entry = {
            "service": "llm-harbour", "address": ":8080", "zone": "abertawe-a", "version": "v1", "slots": 192,
            "state": "ready", "cold-remaining-ms": 0, "kind": "a100s", "sequence": 0}
        await bed.store.put("keyed.servers", "edge-inventory", json.dumps(entry).encode())
        await asyncio.sleep(BEAT_S)


async def crash_one(bed):
    engine = bed.replicas[2]
    bed.note("crash", replica=engine.name, held="%d-%d" % engine.held)
    engine.crash()
    await bed.store.put("keyed.servers", engine.name, b"")
    await asyncio.sleep(CRASH_FOR_S)
    await engine.start()
    bed.note("back", replica=engine.name)


async def scenario(bed):
    zones = ["abertawe-a", "abertawe-b", "castell-nedd"]
    bed.replicas = [
        kit.Engine(bed, "llm-harbour", f"i-7f3a91c{number}", "abertawe-a", f"{bed.prefix}.{100 + number}")
        for number in range(4)]
    bed.replicas += [
        kit.Replica(bed, "pull-through", f"i-0e4aede{number}", zone, f"{bed.prefix}.{110 + number}")
        for number, zone in enumerate(zones)]
    await bed.start(services(), [
        stream_route(), kit.plain_route("blob-head", "unsafe"), kit.plain_route("tag-list", "safe")])
    await bed.wait_until_ready()

    async def serves():
        return (await ask(bed, bed.hosts[0], 0))["status"] == 200

    await bed.wait_until(serves, 20, "no stream was served")
    began = time.monotonic()
    bed.traffic_end = began + RUN_S

    async def until(moment):
        await asyncio.sleep(max(0, began + moment - time.monotonic()))

    answers = []

    def send_plain(host, number):
        kind = "tag-list" if number % 3 == 0 else "blob-head"
        return bed.send(host, f"/{kind}/{number}", b"x" * 600)

    traffic = [
        asyncio.create_task(send_at(bed, STREAMS_PER_S, answers, lambda host, number: ask(bed, host, number))),
        asyncio.create_task(send_at(bed, PLAIN_PER_S, answers, send_plain))]
    await until(ENTRY_AT_S)
    if bed.trouble:
        bed.note("foreign-entry", key="edge-inventory", address=":8080")
        foreign = asyncio.create_task(keep_foreign_entry(bed))
    await until(CRASH_AT_S)
    crash = asyncio.create_task(crash_one(bed))
    await until(FINAL_FAULT_AT_S)
    killed = time.monotonic()
    bed.note("final-fault")
    for host in bed.hosts:
        host.kill("final fault")
    await asyncio.sleep(kit.RESTART_DELAY_S)
    await bed.wait_until_ready()
    back = time.monotonic()
    bed.note("hosts-are-back")
    await asyncio.gather(*traffic, crash)
    results = [(at, await task) for at, task in answers]
    if bed.trouble:
        foreign.cancel()
    served = [(at, item["status"] == 200 and item["ending"] == "whole") for at, item in results]
    before = [is_served for at, is_served in served if at < killed]
    after = [is_served for at, is_served in served if at > back + RECOVERY_S]
    bed.note("result", before=len(before), served_before=sum(before), after=len(after), served_after=sum(after))
    for engine in bed.replicas[:4]:
        bed.note("result", engine=engine.name, held="%d-%d" % engine.held)
    if sum(before) * 4 >= len(before) and sum(after) * 4 < len(after):
        return [f"{sum(before)} of {len(before)} requests were served before the final fault, {sum(after)} of "
                f"{len(after)} of those sent later than {RECOVERY_S} s after the hosts were back"]
    return []


kit.run_case(kit.Bed(hosts=3), scenario)
