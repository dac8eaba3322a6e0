"""Bodies of responses of httpcore, read up to a limit."""

import httpcore

__all__ = ["read_body"]


async def read_body(response: httpcore.Response, max_bytes: int) -> bytes:
    """Return the whole body; raise RemoteProtocolError if it is larger than max_bytes."""
    body = bytearray()
    async for part in response.aiter_stream():
        body += part
        if len(body) > max_bytes:
            await response.aclose()
            raise httpcore.RemoteProtocolError(f"the response body is larger than {max_bytes} bytes")
    return bytes(body)
