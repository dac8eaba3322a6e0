"""Import of libraries without the parts that an entry host never uses.

Most hosts of a large fleet serve nobody, and their memory is mostly that of imported modules.
"""

import importlib.util
import sys
from types import ModuleType

__all__ = ["import_lean"]

# Names of the ssl module that uvicorn and anyio evaluate when they are imported.
TLS_NAMES = {"PROTOCOL_TLS_SERVER": 17, "CERT_NONE": 0, "SSLContext": type("SSLContext", (), {})}


def import_lean() -> None:
    """Import asyncio and uvicorn without OpenSSL and without uvicorn's command line; call this before other imports.

    Listeners and clients of an entry host use plain TCP, and digests of keys are computed by Python's own BLAKE2. The
    ssl module with its libraries takes 4.5 MB, hashlib on OpenSSL alone 3.5 MB, and the command line 2.7 MB, as it
    brings click and the supervisors of worker processes.
    """
    if "ssl" in sys.modules:
        return
    _import_digests()
    # Asyncio can be imported on a Python that was built without TLS.
    sys.modules["ssl"] = None  # type: ignore[assignment]
    import asyncio  # noqa: F401

    sys.modules["ssl"] = _names_of_tls()
    try:
        _import_users_of_tls()
    finally:
        # A later import of ssl gets the whole module.
        del sys.modules["ssl"]


def _import_digests() -> None:
    """Import what uses OpenSSL's digests; on a Python without them, Python's own are used."""
    if "_hashlib" in sys.modules:
        return
    sys.modules["_hashlib"] = None  # type: ignore[assignment]
    try:
        import hashlib  # noqa: F401
        import hmac  # noqa: F401
    finally:
        del sys.modules["_hashlib"]


def _import_users_of_tls() -> None:
    package = _without_own_imports("uvicorn")
    import anyio._backends._asyncio  # noqa: F401
    from uvicorn.config import Config
    from uvicorn.server import Server

    # Other modules of uvicorn take these from the package.
    setattr(package, Config.__name__, Config)
    setattr(package, Server.__name__, Server)


def _names_of_tls() -> ModuleType:
    module = ModuleType("ssl")
    for name, value in TLS_NAMES.items():
        setattr(module, name, value)
    return module


def _without_own_imports(name: str) -> ModuleType:
    """Put a package into the table of modules, so that its submodules are imported without what it imports itself."""
    spec = importlib.util.find_spec(name)
    assert spec is not None
    package = sys.modules[name] = importlib.util.module_from_spec(spec)
    return package
