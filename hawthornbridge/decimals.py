"""Decimal numbers in text from outside this process."""

__all__ = ["parse_decimal"]

# Any number of so many digits fits into 64 bits.
MAX_DIGITS = 18


def parse_decimal(text: str | bytes) -> int | None:
    """Return the number that a text of ASCII digits holds, or None if it is none or has too many digits.

    str.isdigit also accepts digits that int does not read, and int refuses very long numbers.
    """
    if len(text) > MAX_DIGITS or not (text.isascii() and text.isdigit()):
        return None
    return int(text)
