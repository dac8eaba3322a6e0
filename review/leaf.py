"""Stand-in for a leaf as PROTOCOL.md describes it: slots, a short queue, refusals, and late second answers.

It serves one request at a time on a connection, echoes the attempt id in every answer, and says in a refusal that it
has not run the request. A spoiled answer is sent a second time at the point where the next answer on the connection is
expected ("An extra response may arrive late").
"""

import asyncio
import contextlib
import itertools
import time


class Leaf:
    def __init__(self, name, service, zone, record, *, slots=2, queue=4, work_s=lambda: 0.01, version="v1"):
        self.name, self.service, self.zone, self.version = name, service, zone, version
        self.slots, self.queue, self.work_s = slots, queue, work_s
        self.runs = {}
        self.run_log = []
        self.answers = 0
        self.spoiled = 0
        self.spoils = lambda leaf, refusal: False
        self.port = 0
        self._record = record
        self._free = asyncio.Semaphore(slots)
        self._waiting = 0
        self._numbers = itertools.count()
        self._server = None
        self._writers = set()

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    def entry(self, state="ready", seq=1, born=None):
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": state,
            "warmup_left_ms": 0,
            "seq": seq,
            "born": born or int(time.time() * 1_000),
        }

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self):
        """Stop listening and reset every connection, as a process that ends does."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        late = b""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                headers = {k.strip().lower(): v.strip() for k, _, v in (line.partition(":") for line in lines[1:])}
                body = await reader.readexactly(int(headers.get("content-length") or 0))
                attempt = headers.get("hawthornbridge-attempt-id", "")
                if late:
                    self._record(f"{self.name}: late second answer {late.split()[1].decode()} before that to {attempt}")
                    writer.write(late)
                    late = b""
                answer, refusal = await self._answer(lines[0], headers, attempt, body)
                self.answers += 1
                if self.spoils(self, refusal):
                    self.spoiled += 1
                    late = answer
                writer.write(answer)
                await writer.drain()
        self._writers.discard(writer)
        writer.transport.abort()

    async def _answer(self, line, headers, attempt, body):
        echo = f"Hawthornbridge-Attempt-Id: {attempt}\r\n"
        if headers.get("hawthornbridge-expect-instance", self.name) != self.name:
            text = f"HTTP/1.1 421 Misdirected Request\r\n{echo}Hawthornbridge-Instance-Id: {self.name}\r\n"
            return (text + "Content-Length: 0\r\n\r\n").encode(), True
        if self._free.locked() and self._waiting >= self.queue:
            self._record(f"{self.name}: refuses {attempt}, not executed")
            text = f"HTTP/1.1 503 Service Unavailable\r\n{echo}Hawthornbridge-Not-Executed: 1\r\n"
            return (text + "Content-Length: 0\r\n\r\n").encode(), True
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        try:
            self.runs[attempt] = self.runs.get(attempt, 0) + 1
            self.run_log.append((time.monotonic(), attempt))
            self._record(f"{self.name}: runs {attempt} ({line.split()[0]} {line.split()[1]})")
            await asyncio.sleep(self.work_s())
        finally:
            self._free.release()
        content = f"{self.name}/{attempt}".encode()
        stamp = f"{self.name}.{next(self._numbers)}"
        text = f"HTTP/1.1 200 OK\r\n{echo}Hawthornbridge-Server-Stamp: {stamp}\r\nContent-Length: {len(content)}\r\n\r\n"
        return text.encode() + content, False
