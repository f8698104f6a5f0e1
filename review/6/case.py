# SPDX-License-Identifier: Apache-2.0
"""An entry of another writer whose `born` is a list of lists: does every host go on running?"""
import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
import bed as kit  # noqa: E402

RECORD_BYTES = 262144  # `platform.record_bytes` of the settings page
NESTING = 120000
TRAFFIC_S = 25
TROUBLE_AT_S = 5
BEAT_S = 1.2  # `heartbeat-ms`
BEATS = 7
REQUESTS_PER_S = 8.3  # of the plain kinds of request on the sheet


async def send_traffic(bed, answers):
    number = 0
    end = asyncio.get_running_loop().time() + TRAFFIC_S
    while asyncio.get_running_loop().time() < end:
        host = bed.hosts[number % len(bed.hosts)]
        kind = "tag-list" if number % 3 == 0 else "blob-head"
        answers.append(asyncio.create_task(bed.send(host, f"/{kind}/{number}", b"x" * 600)))
        number += 1
        await asyncio.sleep(1 / REQUESTS_PER_S)


async def scenario(bed):
    bed.replicas = [
        kit.Replica(bed, "pull-through", f"i-7f3a91c{number}", zone, f"{bed.prefix}.{100 + number}")
        for number, zone in enumerate(["abertawe-a", "abertawe-b", "castell-nedd"])]
    await bed.start([kit.plain_service()], [kit.plain_route("blob-head", "unsafe"), kit.plain_route("tag-list", "safe")])
    await bed.wait_until_ready()
    answers = []
    traffic = asyncio.create_task(send_traffic(bed, answers))
    await asyncio.sleep(TROUBLE_AT_S)
    if bed.trouble:
        entry = bed.replicas[0].entry() | {"address": f"{bed.prefix}.200:9", "born": 0}
        text = json.dumps(entry).replace('"born": 0', '"born": ' + "[" * NESTING + "]" * NESTING)
        assert len(text) < RECORD_BYTES
        # The other writer keeps its entry as replicas keep theirs, for a while.
        for _ in range(BEATS):
            await bed.store.put("keyed.servers", "inventory-export", text.encode())
            bed.note("entry", key="inventory-export", bytes=len(text))
            await asyncio.sleep(BEAT_S)
        await bed.store.put("keyed.servers", "inventory-export", b"")
        bed.note("entry-gone", key="inventory-export")
    await traffic
    results = await asyncio.gather(*answers)
    lost = sum(1 for item in results if item["ending"] != "whole")
    bed.note("result", requests=len(results), without_whole_answer=lost)
    hit = [host for host in bed.hosts if len(host.own_ends) >= 3]
    for host in bed.hosts:
        bed.note("result", host=host.name, ends_by_itself=len(host.own_ends), starts=host.starts)
    least = max(2, -(-len(bed.hosts) // 10))
    if len(hit) >= least:
        return [f"on {len(hit)} of {len(bed.hosts)} machines processes ended by themselves three times or more; "
                f"{lost} of {len(results)} requests got no whole answer"]
    return []


kit.run_case(kit.Bed(hosts=3), scenario)
