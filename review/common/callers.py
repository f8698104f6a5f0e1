# SPDX-License-Identifier: Apache-2.0
"""Callers of one host as a process of its own: requests at a steady rate, each on a channel of its own.

A caller gives a stream up after a gap without bytes, as the users' page on the protocol says, and any request at its
time limit. A request that may be repeated is tried once more after a failure, with an id of its own.
"""

import argparse
import asyncio
import time


def note(text):
    print(f"{time.time():.3f} {text}", flush=True)


class Callers:
    def __init__(self, options):
        self.options = options
        self.body = b"p" * options.body
        self.host, _, port = options.to.rpartition(":")
        self.port = int(port)

    async def exchange(self, name, left):
        """Returns the status, or a word for what came instead of a whole answer."""
        reader, writer = await asyncio.wait_for(asyncio.open_connection(self.host, self.port), 1)
        try:
            head = (
                f"{self.options.method} {self.options.path} HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {name}\r\n"
                f"X-Deadline-Ms: {int(left * 1000)}\r\nAuthorization: Bearer {self.options.key}\r\n"
                "X-Model: m\r\nX-Token-Usage: 80,20\r\nX-Prompt-Prefix: ab:80\r\n"
                f"Content-Length: {len(self.body)}\r\nConnection: close\r\n\r\n")
            writer.write(head.encode())
            writer.write(self.body)
            gap = self.options.gap or left
            await asyncio.wait_for(writer.drain(), gap)
            answer = b""
            while True:
                part = await asyncio.wait_for(reader.read(65536), gap)
                if not part:
                    break
                answer += part
                if len(answer) > 1 << 20:
                    return "too long"
            if not answer:
                return "closed"
            status = int(answer.split(b" ", 2)[1])
            is_chunked = b"transfer-encoding: chunked" in answer.split(b"\r\n\r\n")[0].lower()
            return status if not is_chunked or answer.endswith(b"0\r\n\r\n") else f"{status} cut"
        finally:
            writer.close()

    async def call(self, name):
        end = time.monotonic() + self.options.limit
        for attempt in range(2 if self.options.repeats else 1):
            left = end - time.monotonic()
            if left < 0.2:
                return
            one = f"{name}-{attempt}"
            note(f"sent {one}")
            try:
                result = await asyncio.wait_for(self.exchange(one, left), left)
            except asyncio.TimeoutError:
                result = "given up"
            except OSError as failure:
                result = type(failure).__name__
            note(f"answer {one} {result}")
            if result == 200:
                return
            await asyncio.sleep(0.2)

    async def main(self):
        begin = time.monotonic()
        count = 0
        calls = []
        while time.monotonic() - begin < self.options.seconds:
            calls.append(asyncio.ensure_future(self.call(f"{self.options.name}-{count}")))
            count += 1
            await asyncio.sleep(max(0.0, begin + count / self.options.rate - time.monotonic()))
        await asyncio.gather(*calls)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--name", required=True)
    parser.add_argument("--to", required=True)
    parser.add_argument("--key", default="key-1")
    parser.add_argument("--method", default="POST")
    parser.add_argument("--path", required=True)
    parser.add_argument("--rate", type=float, required=True)
    parser.add_argument("--seconds", type=float, required=True)
    parser.add_argument("--body", type=int, default=0)
    parser.add_argument("--limit", type=float, required=True)
    parser.add_argument("--gap", type=float, default=0)
    parser.add_argument("--repeats", action="store_true")
    asyncio.run(Callers(parser.parse_args()).main())


if __name__ == "__main__":
    main()
