# SPDX-License-Identifier: Apache-2.0
"""A host is killed under its streams; callers go on at another host after the last event that they have."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))

import bed as bed_module  # noqa: E402

HOSTS = 3
REPLICAS = 3
EVENTS = 77
GAP_S = 0.02
FIRST_ID = 1_764_860_000_000  # of a stream's events, whose ids rise by one
STREAMS = 12  # at each host at once
LIMIT_S = 20


def make_config():
    engine = {
        "slots": 192, "kv-capacity-tokens": 100000, "kv-token-bytes": 459000, "link-mbps": 480000.0, "stride": 2,
        "models": [{"name": "m", "pace": 1.0, "load_s": 1.0, "warm-s": 1.0}], "step_ms": 0.85,
        "per_seq_ms": 0.00297, "context_per_k": 0.00398, "read_per_s": 252000.0, "usual": {"prompt": 80, "answer": 20},
        "layers": 8, "layer_mb": 1750.0, "act_bytes": 22900, "pipe_mbps": 7900.0,
        "kinds": [{"name": "card", "mb": 80000.0, "pace": 1.0, "read_x": 1.0}],
    }
    return {
        "version": 1,
        "routes": [{
            "name": "r-notes", "host": "a.example", "path-prefix": "/notes/", "kind": "streaming",
            "timeout-ms": 20000, "target-latency-ms": 500, "priority": 1, "service": "llm", "max-attempts": 2,
            "public": False, "sticky": True, "resumable": True, "gap_aim_ms": 200}],
        "services": [{"name": "llm", "health-path": "/healthz", "max-connections": 1078, "engine": engine}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
                   "idle-timeout-ms": 15000},
        "tenants": [{"name": "one", "api-keys": ["key-1"], "priority": 1}],
    }


class Caller:
    """One stream, over as many channels as it takes: each after the first names the last event that has come."""

    def __init__(self, bed, name, hosts):
        self.bed = bed
        self.name = name
        self.hosts = hosts
        self.ids = []
        self.is_whole = False

    async def run(self):
        end = time.monotonic() + LIMIT_S
        for attempt in range(2):  # one retry, as on the sheet
            host = self.hosts[attempt % len(self.hosts)]
            try:
                await asyncio.wait_for(self.read(host, f"{self.name}-{attempt}", end), end - time.monotonic())
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            if self.is_whole:
                return
            await asyncio.sleep(0.2)

    async def read(self, host, name, end):
        ip, _, port = host.listen.rpartition(":")
        reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, int(port)), 1)
        try:
            resumed = f"Last-Event-Id: {self.ids[-1]}\r\n" if self.ids else ""
            self.bed.note(f"sent {name} to {host.name} {resumed.strip()}")
            writer.write((
                f"POST /notes/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {name}\r\n{resumed}"
                f"X-Deadline-Ms: {int(1000 * (end - time.monotonic()))}\r\nAuthorization: Bearer key-1\r\nX-Model: m\r\n"
                "X-Token-Usage: 80,154\r\nX-Prompt-Prefix: ab:80\r\nContent-Length: 3\r\nConnection: close\r\n\r\nask"
            ).encode())
            status = (await reader.readline()).split(b" ")[1:2]
            while (await reader.readline()).strip():
                pass
            before = len(self.ids)
            if status == [b"200"]:
                await self.read_events(reader)
            self.bed.note(f"answer {name} {status} {len(self.ids) - before} events, "
                          f"{'whole' if self.is_whole else 'cut'}")
        finally:
            writer.close()

    async def read_events(self, reader):
        while True:
            size = int(await reader.readline() or b"-1", 16)
            if size <= 0:
                self.is_whole = size == 0
                return
            for line in (await reader.readexactly(size)).decode().splitlines():
                if line.startswith("id: "):
                    self.ids.append(int(line[4:]))
            await reader.readexactly(2)


async def case(bed):
    await bed.start_store()
    bed.put_config(make_config())
    for number in range(REPLICAS):
        bed.start_replica(f"engine-{number}", service="llm", zone="hall-a", layers=8, events=EVENTS, gap=GAP_S,
                          first_id=FIRST_ID)
    await asyncio.sleep(1)
    bed.add_hosts(HOSTS)
    await bed.wait_until_ready()
    supervisor = asyncio.ensure_future(bed.supervise())
    await asyncio.sleep(2)
    callers = []
    for number, host in enumerate(bed.hosts):
        order = bed.hosts[number:] + bed.hosts[:number]
        callers += [Caller(bed, f"{host.name}-{stream}", order) for stream in range(STREAMS)]
    streams = [asyncio.ensure_future(caller.run()) for caller in callers]
    await asyncio.sleep(EVENTS * GAP_S / 2)
    if bed_module.has_trouble():
        bed.note("SIGKILL to h1")
        bed.hosts[0].process.kill()
    await asyncio.gather(*streams)
    supervisor.cancel()
    return judge(bed, callers)


def judge(bed, callers):
    wanted = list(range(FIRST_ID, FIRST_ID + EVENTS))
    doubled = [caller.name for caller in callers if len(set(caller.ids)) < len(caller.ids)]
    missing = [caller.name for caller in callers if caller.is_whole and sorted(set(caller.ids)) != wanted]
    bed.note(f"{sum(caller.is_whole for caller in callers)} of {len(callers)} streams came whole")
    bed.note(f"{len(doubled)} streams carry pieces twice: {doubled}")
    bed.note(f"{len(missing)} streams that came whole lack pieces: {missing}")
    return not doubled and not missing


if __name__ == "__main__":
    bed_module.run_case(case, os.path.join(HERE, "record.txt"))
