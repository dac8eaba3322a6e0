"""Errors of decoders on bytes from outside this process."""

import msgspec

__all__ = ["DECODE_ERRORS"]

# msgspec raises RecursionError for values that are nested too deeply, also within fields that it skips.
DECODE_ERRORS: tuple[type[Exception], ...] = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)
