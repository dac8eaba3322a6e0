"""Run an object in a child process and call its coroutine methods from the parent."""

import asyncio
import multiprocessing
import threading
from collections.abc import Callable
from multiprocessing.connection import Connection
from typing import Any

__all__ = ["Remote"]


class Remote:
    """An object in a child process, so that a measurement can use several cores; the daemon starts no processes."""

    def __init__(self, factory: Callable[..., Any], *args: Any) -> None:
        context = multiprocessing.get_context("spawn")
        self._pipe, child_end = context.Pipe()
        self._lock = threading.Lock()
        self._process = context.Process(target=_serve, args=(child_end, factory, args), daemon=True)
        self._process.start()
        child_end.close()

    @property
    def pid(self) -> int:
        """Return the process id of the child."""
        assert self._process.pid is not None
        return self._process.pid

    async def call(self, method: str, *args: Any) -> Any:
        """Call a coroutine method of the object and return its result."""
        return await asyncio.to_thread(self._call, method, args)

    def close(self) -> None:
        """End the child process."""
        self._process.terminate()
        self._process.join(5)

    def _call(self, method: str, args: tuple[Any, ...]) -> Any:
        with self._lock:
            self._pipe.send((method, args))
            failed, result = self._pipe.recv()
        if failed:
            raise RuntimeError(f"{method} failed in the child process: {result}")
        return result


def _serve(pipe: Connection, factory: Callable[..., Any], args: tuple[Any, ...]) -> None:
    asyncio.run(_loop(pipe, factory, args))


async def _loop(pipe: Connection, factory: Callable[..., Any], args: tuple[Any, ...]) -> None:
    target = factory(*args)
    while True:
        try:
            method, arguments = await asyncio.to_thread(pipe.recv)
        except (EOFError, OSError):
            return
        try:
            pipe.send((False, await getattr(target, method)(*arguments)))
        except Exception as error:  # Any error is reported to the parent, which raises it.
            pipe.send((True, repr(error)))
