"""Server that refuses the first request on its first connection, and sends a late second copy of the refusal."""

import asyncio


class LateRefusalServer:
    """Send the copy as soon as the next request on the same connection arrives, and then run this request.

    answer returns the bytes of the answer to a request that runs; answer_other returns those for a request that does
    not run, such as a status call, and None for all others.
    """

    def __init__(self, refusal, answer, answer_other=lambda head: None):
        self._refusal = refusal
        self._answer = answer
        self._answer_other = answer_other
        self.server = self
        self.runs = 0
        self.open = 0
        self.most_open = 0
        self._has_refused = False

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *_):
        self._server.close()

    async def _serve(self, reader, writer):
        self.open += 1
        self.most_open = max(self.most_open, self.open)
        copy = b""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                body = await reader.readexactly(_content_length(head))
                other = self._answer_other(head)
                if other is not None:
                    writer.write(other)
                elif not self._has_refused:
                    self._has_refused = True
                    copy = self._refusal(head, body)
                    writer.write(copy)
                else:
                    if copy:
                        writer.write(copy)
                        await asyncio.sleep(0.02)
                    self.runs += 1
                    writer.write(self._answer(head, body))
        except (asyncio.IncompleteReadError, OSError):
            return
        finally:
            self.open -= 1
            writer.close()


def _content_length(head):
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.partition(b":")[2])
    return 0


def response(status, body=b"", headers=()):
    """Return the bytes of a response."""
    lines = [b"HTTP/1.1 %d Status" % status, b"content-length: %d" % len(body)]
    lines += [name + b": " + value for name, value in headers]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body
