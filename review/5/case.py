# SPDX-License-Identifier: Apache-2.0
"""The settings change to a fraction of a second; hosts that are stopped and started in turn must come back."""

import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))

import bed as bed_module  # noqa: E402

HOSTS = 3
REPLICAS = 2
RATE = 5.0  # requests a second at each host
GRACE_S = 7.5
RECOVERY_S = 12
SECONDS = 65


def make_config():
    return {
        "version": 1,
        "routes": [{
            "name": "r-list", "host": "a.example", "path-prefix": "/list/", "kind": "safe",
            "timeout-ms": 1500, "target-latency-ms": 300, "priority": 2, "service": "app", "max-attempts": 2,
            "public": False}],
        "services": [{"name": "app", "health-path": "/healthz", "max-connections": 110}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
                   "idle-timeout-ms": 15000},
        "tenants": [{"name": "one", "api-keys": ["key-1"], "priority": 1}],
    }


async def case(bed):
    await bed.start_store()
    bed.put_config(make_config())
    for number in range(REPLICAS):
        bed.start_replica(f"app-{number}", service="app", zone="hall-a", slots=6, work=0.02)
    await asyncio.sleep(1)
    bed.add_hosts(HOSTS)
    await bed.wait_until_ready()
    supervisor = asyncio.ensure_future(bed.supervise())
    await asyncio.sleep(2)
    bed.start_callers(method="GET", path="/list/x", rate=RATE, seconds=SECONDS, limit=3)
    await asyncio.sleep(3)
    if bed_module.has_trouble():
        bed_module.SETTINGS["bounds.grace-s"] = GRACE_S
    for host in bed.hosts:
        host.write_settings()
        host.process.send_signal(signal.SIGHUP)
    bed.note(f"the settings say grace-s {bed_module.SETTINGS['bounds.grace-s']}; SIGHUP")
    await asyncio.sleep(3)
    for host in bed.hosts:
        bed.note(f"SIGTERM to {host.name}")
        host.is_stopped = True
        host.process.send_signal(signal.SIGTERM)
        while host.process.poll() is None:
            await asyncio.sleep(0.05)
        await asyncio.sleep(bed_module.RESTART_S)
        host.start()
        host.is_stopped = False
        await asyncio.sleep(2)
    back = time.time()
    await asyncio.sleep(RECOVERY_S + 6)
    supervisor.cancel()
    return judge(bed, back)


def judge(bed, back):
    sent = bed.read_logs("sent")
    ran = bed.read_logs("runs")
    after = [name for name, at in sent.items() if at > back + RECOVERY_S]
    served = [name for name in after if name in ran]
    for host in bed.hosts:
        bed.note(f"host {host.name} ended by itself {host.other_ends} times")
    bed.note(f"{len(served)} of {len(after)} requests ran that were sent over {RECOVERY_S} s after the last start")
    if not after:
        raise bed_module.CouldNotRun("no request was sent after the restarts")
    return all(host.other_ends < 3 for host in bed.hosts) and 4 * len(served) >= len(after)


if __name__ == "__main__":
    bed_module.run_case(case, os.path.join(HERE, "record.txt"))
