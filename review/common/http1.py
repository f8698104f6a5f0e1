# SPDX-License-Identifier: Apache-2.0
"""A small HTTP/1.1 server for stand-ins, on asyncio."""

import asyncio
import socket


class Request:
    """One request whose head has been read; the body follows by read_body()."""

    def __init__(self, method, path, headers, reader, writer):
        self.method = method
        self.path = path
        self.headers = headers
        self.reader = reader
        self.writer = writer
        self.body = b""

    def header(self, name):
        return self.headers.get(name, "")

    async def read_body(self, pause=0.0, piece=65536):
        """Reads the body in pieces, with a pause after each."""
        if "chunked" in self.header("transfer-encoding"):
            self.body = await self._read_chunks()
            return self.body
        left = int(self.header("content-length") or 0)
        pieces = []
        while left > 0:
            part = await self.reader.read(min(piece, left))
            if not part:
                raise ConnectionResetError
            left -= len(part)
            pieces.append(part)
            if pause > 0:
                await asyncio.sleep(pause)
        self.body = b"".join(pieces)
        return self.body

    async def _read_chunks(self):
        pieces = []
        while True:
            size = int((await self.reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await self.reader.readline()).strip():
                    pass
                return b"".join(pieces)
            pieces.append(await self.reader.readexactly(size))
            await self.reader.readexactly(2)

    def start(self, status, headers, length=None):
        """Writes the head: with a length, or in chunks without one."""
        lines = [f"HTTP/1.1 {status} X"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines.append("transfer-encoding: chunked" if length is None else f"content-length: {length}")
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())

    def chunk(self, text):
        data = text if isinstance(text, bytes) else text.encode()
        self.writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")

    def end_chunks(self):
        self.writer.write(b"0\r\n\r\n")

    def respond(self, status, headers, body=b""):
        data = body if isinstance(body, bytes) else body.encode()
        self.start(status, headers, len(data))
        self.writer.write(data)


async def read_request(reader, writer):
    line = await reader.readline()
    if not line:
        return None
    method, path, _ = line.decode("latin-1").split(" ", 2)
    headers = {}
    while True:
        line = (await reader.readline()).decode("latin-1").strip()
        if not line:
            break
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Request(method, path, headers, reader, writer)


async def serve(handler, ip, port=0, receive_buffer=None):
    """Serves `handler(request)` and returns the port. The handler reads the body itself."""

    async def handle_connection(reader, writer):
        try:
            while True:
                request = await read_request(reader, writer)
                if request is None:
                    break
                await handler(request)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if receive_buffer:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    listener.bind((ip, port))
    listener.listen(512)
    await asyncio.start_server(handle_connection, sock=listener)
    return listener.getsockname()[1]
