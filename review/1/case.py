# SPDX-License-Identifier: Apache-2.0
"""A configuration takes the last client account away; its key, and any other text, must not open the way any more."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))

import bed as bed_module  # noqa: E402

HOSTS = 3
REPLICAS = 2
RATE = 5.0  # requests a second at each host, of each group of callers
REVOKE_S = 5
SECONDS = 25


def make_config(version, tenants):
    return {
        "version": version,
        "routes": [{
            "name": "r-submit", "host": "a.example", "path-prefix": "/submit/", "kind": "unsafe",
            "timeout-ms": 1500, "target-latency-ms": 300, "priority": 2, "service": "app", "max-attempts": 1,
            "public": False}],
        "services": [{"name": "app", "health-path": "/healthz", "max-connections": 110}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
                   "idle-timeout-ms": 15000},
        "tenants": tenants,
    }


async def case(bed):
    await bed.start_store()
    bed.put_config(make_config(1, [{"name": "one", "api-keys": ["key-1"], "priority": 1}]))
    for number in range(REPLICAS):
        bed.start_replica(f"app-{number}", service="app", zone="hall-a", slots=6, work=0.02)
    await asyncio.sleep(1)
    bed.add_hosts(HOSTS)
    await bed.wait_until_ready()
    supervisor = asyncio.ensure_future(bed.supervise())
    await asyncio.sleep(2)
    bed.start_callers(path="/submit/x", rate=RATE, seconds=SECONDS, body=600, limit=3)
    bed.start_callers(group="stranger", path="/submit/x", rate=RATE, seconds=SECONDS, body=600, limit=3,
                      key="never-held")
    await asyncio.sleep(8)
    if bed_module.has_trouble():
        bed.put_config(make_config(2, []))
        bed.note("version 2, with an empty list of tenants, is acknowledged")
    acknowledged = time.time()
    await asyncio.sleep(SECONDS - 8 + 4)
    supervisor.cancel()
    return judge(bed, acknowledged)


def judge(bed, acknowledged):
    sent = bed.read_logs("sent")
    ran = bed.read_logs("runs")
    strangers = [name for name in ran if "stranger" in name]
    late = []
    if bed_module.has_trouble():
        late = [name for name in ran if name not in strangers and sent[name] > acknowledged + REVOKE_S]
    bed.note(f"{len(sent)} requests were sent, {len(ran)} ran")
    bed.note(f"{len(late)} ran that were sent over {REVOKE_S} s after the configuration without their key")
    bed.note(f"{len(strangers)} ran with a key that no configuration ever held")
    return not late and not strangers


if __name__ == "__main__":
    bed_module.run_case(case, os.path.join(HERE, "record.txt"))
