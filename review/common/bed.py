# SPDX-License-Identifier: Apache-2.0
"""Starts hosts with the command and the settings template of the deploy file, before stand-ins on loopback."""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.request

import store as store_module

COMMON = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(COMMON))

# A small deployment, as the users' page on deployment shows its settings.
MEMORY_MB = 260
LINK_MBPS = 1000
GRACE_S = 8
SETTINGS = {
    "zone": "hall-a", "bounds.grace-s": GRACE_S, "bounds.config-apply-ms": 2000, "bounds.revoke-ms": 5000,
    "bounds.retry-budget-ratio": 0.2, "bounds.retry-slack": 202, "bounds.retry-window-s": 10,
}
RESTART_S = 0.5


class CouldNotRun(Exception):
    """The case can't be judged."""


def free_ip():
    """A loopback address of its own for one machine, on which the fixed port of the metrics is free."""
    while True:
        ip = f"127.{random.randint(10, 250)}.{random.randint(0, 255)}.{random.randint(2, 250)}"
        with socket.socket() as probe:
            try:
                probe.bind((ip, 9464))
                return ip
            except OSError:
                continue


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Host:
    """One machine that runs sailtillerd; it is started again whenever its process ends."""

    def __init__(self, bed, name):
        self.bed = bed
        self.name = name
        self.ip = free_ip()
        self.listen = f"{self.ip}:{free_port(self.ip)}"
        self.readiness = f"{self.ip}:{free_port(self.ip)}"
        self.internal = [free_port(self.ip), free_port(self.ip)]
        self.process = None
        self.log = open(os.path.join(bed.folder, name + ".log"), "ab")
        self.memory_kills = 0
        self.other_ends = 0
        self.peak_mb = 0.0
        self.is_stopped = False

    def write_settings(self):
        values = dict(SETTINGS, **{
            "node-name": self.name, "ip": self.ip, "listen.frontend": self.listen,
            "listen.readiness": self.readiness, "internal-ports.0": self.internal[0],
            "internal-ports.1": self.internal[1], "platform.address": self.bed.store_address})
        with open(os.path.join(ROOT, self.bed.role["template"]), encoding="utf-8") as file:
            text = re.sub(r"\{\{([^}]*)\}\}", lambda gap: str(values[gap.group(1)]), file.read())
        path = os.path.join(self.bed.folder, self.name + ".conf")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        return path

    def start(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["SAILTILLER_CONFIG"] = self.write_settings()
        self.process = subprocess.Popen(
            self.bed.role["run"].split(), cwd=ROOT, env=environment, stdout=self.log, stderr=self.log)
        self.bed.note(f"host {self.name} starts, pid {self.process.pid}, callers at {self.listen}")

    def rss_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
                for line in file:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    def is_ready(self):
        try:
            return urllib.request.urlopen(f"http://{self.readiness}/readyz", timeout=0.5).status == 200
        except OSError:
            return False


class Bed:
    def __init__(self, record_path):
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.record_path = record_path
        self.record = open(record_path, "w", encoding="utf-8")
        self.began = time.monotonic()
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            self.role = tomllib.load(file)["roles"]["host"]
        if not os.path.exists(os.path.join(ROOT, self.role["run"].split()[0])):
            raise CouldNotRun("the host's program isn't built")
        self.store = store_module.Store()
        self.store_address = ""
        self.hosts = []
        self.children = []
        self.tasks = []
        self.trouble_path = os.path.join(self.folder, "trouble")

    def note(self, text):
        self.record.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.record.flush()

    async def start_store(self):
        ip = free_ip()
        self.store_address = f"{ip}:{await self.store.start(ip)}"

    def put_config(self, config):
        self.store.put("keyed.op", "config", json.dumps(config))

    def start_replica(self, name, **options):
        words = [sys.executable, os.path.join(COMMON, "replica.py"), "--id", name, "--ip", free_ip(),
                 "--store", "http://" + self.store_address, "--trouble", self.trouble_path]
        for option, value in options.items():
            words += ["--" + option.replace("_", "-"), str(value)]
        log = open(os.path.join(self.folder, name + ".log"), "ab")
        self.children.append(subprocess.Popen(words, stdout=log, stderr=log))

    def add_hosts(self, count):
        for number in range(1, count + 1):
            self.hosts.append(Host(self, f"h{number}"))
            self.hosts[-1].start()

    async def wait_until_ready(self, limit=20.0):
        end = time.monotonic() + limit
        loop = asyncio.get_running_loop()
        for host in self.hosts:
            while not await loop.run_in_executor(None, host.is_ready):
                if time.monotonic() > end:
                    raise CouldNotRun(f"{host.name} isn't ready")
                await asyncio.sleep(0.1)

    async def supervise(self):
        """The platform: it kills a process over its memory, and starts again whatever has ended."""
        while True:
            for host in self.hosts:
                if host.process.poll() is not None and not host.is_stopped:
                    host.other_ends += 1
                    self.note(f"host {host.name} has ended by itself: {host.process.returncode}")
                    await self.start_again(host)
                memory = host.rss_mb()
                host.peak_mb = max(host.peak_mb, memory)
                if memory > MEMORY_MB:
                    host.memory_kills += 1
                    self.note(f"host {host.name} holds {memory:.0f} MB of {MEMORY_MB}: killed")
                    host.process.kill()
                    host.process.wait()
                    await self.start_again(host)
            await asyncio.sleep(0.02)

    async def start_again(self, host):
        host.is_stopped = True

        async def later():
            await asyncio.sleep(RESTART_S)
            host.start()
            host.is_stopped = False

        self.tasks.append(asyncio.ensure_future(later()))

    def set_trouble(self, is_on):
        self.note("trouble begins" if is_on else "trouble ends")
        if is_on:
            with open(self.trouble_path, "w", encoding="ascii"):
                pass
        elif os.path.exists(self.trouble_path):
            os.remove(self.trouble_path)

    def start_callers(self, group="callers", **options):
        """Callers of each host, with the same options; their requests' ids begin with the host's name and the group."""
        for host in self.hosts:
            name = host.name if group == "callers" else f"{host.name}-{group}"
            words = [sys.executable, os.path.join(COMMON, "callers.py"), "--name", name, "--to", host.listen]
            for option, value in options.items():
                words += ["--" + option] if value is True else ["--" + option, str(value)]
            log = open(os.path.join(self.folder, f"{group}-{host.name}.log"), "ab")
            self.children.append(subprocess.Popen(words, stdout=log, stderr=log))

    def read_logs(self, word):
        """The moments at which the stand-ins noted the word, by the request's id."""
        moments = {}
        for name in os.listdir(self.folder):
            if name.endswith(".log") and not re.match(r"h\d+\.log", name):
                with open(os.path.join(self.folder, name), encoding="utf-8", errors="replace") as file:
                    for line in file:
                        parts = line.split()
                        if word in parts[1:3]:
                            moments[parts[parts.index(word) + 1]] = float(parts[0])
        return moments

    def judge_memory(self):
        """The rule on faults: on a tenth of the machines, two at least, processes end three times by themselves."""
        for host in self.hosts:
            self.note(f"host {host.name}: {host.memory_kills} times over its memory, {host.other_ends} other ends, "
                      f"peak {host.peak_mb:.0f} MB")
        bad = [host for host in self.hosts if host.memory_kills + host.other_ends >= 3]
        return len(bad) < max(2, len(self.hosts) / 10)

    def append_logs(self):
        """What was sent, answered and run, by the logs of the stand-ins."""
        for name in sorted(os.listdir(self.folder)):
            if name.endswith(".log") and not re.match(r"h\d+\.log", name):
                with open(os.path.join(self.folder, name), encoding="utf-8", errors="replace") as file:
                    self.record.write(f"== {name}\n" + file.read())

    def close(self):
        for child in self.children + [host.process for host in self.hosts if host.process]:
            if child.poll() is None:
                child.send_signal(signal.SIGCONT)
                child.kill()
                child.wait()
        self.append_logs()
        if os.environ.get("KEEP"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


def run_case(case, record_path, limit=115):
    """Runs `case(bed)`, which returns True if the rule held; the exit code is 0, 1, or 2 if it couldn't run."""
    bed = None
    try:
        bed = Bed(record_path)
        held = asyncio.run(asyncio.wait_for(case(bed), limit))
        bed.note("the rule held" if held else "the rule is broken")
        code = 0 if held else 1
    except (CouldNotRun, asyncio.TimeoutError, OSError, subprocess.SubprocessError) as failure:
        print("the case could not run:", repr(failure))
        code = 2
    finally:
        if bed:
            bed.close()
    sys.exit(code)


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"
