import re
from pathlib import Path

import msgspec
import pytest

from hawthornbridge.settings import Settings, SettingsError, decode, load

VALID = {
    "host": {"id": "entry-1", "seat": 0, "seats": 3, "failure_domain": "a", "region": "r1"},
    "listeners": {"callers": "127.0.0.1:1", "operators": "127.0.0.1:2", "peers": "127.0.0.1:3"},
    "tokens": {"operators": "operators-token-1", "peers": "peers-token-00001"},
    "platform": {"store": "127.0.0.1:4", "host_list": "127.0.0.1:5"},
}


@pytest.mark.parametrize(
    ("section", "key", "value", "told"),
    [
        ("host", "seat", -1, "$.host.seat"),
        ("host", "seat", 3, "$.host.seat"),
        ("host", "colour", "red", "$.host"),
        ("listeners", "callers", "example.org:80", "$.listeners.callers"),
        ("limits", "read_ms", 0, "$.limits.read_ms"),
        ("limits", "read_s", 1, "read_s"),
        ("limits", "hedge_share", 1.5, "$.limits.hedge_share"),
        ("tokens", "peers", "short", "$.tokens.peers"),
    ],
)
def test_a_bad_setting_is_named_by_its_path(section, key, value, told):
    tree = {**VALID, section: {**VALID.get(section, {}), key: value}}
    with pytest.raises(SettingsError) as raised:
        decode(tree)
    assert told in str(raised.value)


def test_comments_and_trailing_commas_are_read(tmp_path):
    path = tmp_path / "settings.jsonc"
    path.write_text('{ // comment\n "host": {},\n}')
    with pytest.raises(SettingsError, match=r"host"):
        load(path)


PAGE = Path(__file__).parent.parent / "docs" / "settings.md"
UNITS = {"_per_s": "per s", "_ms": "ms", "_s": "s", "_bytes": "bytes"}


def described(kind, prefix=""):
    """Return the unit, range and default of each key below a struct."""
    keys = {}
    for field in kind.fields:
        key = f"{prefix}{field.encode_name}"
        if isinstance(field.type, msgspec.inspect.StructType):
            keys |= described(field.type, f"{key}.")
            continue
        unit = next((unit for suffix, unit in UNITS.items() if key.endswith(suffix)), "")
        default = "required" if field.required else msgspec.json.encode(field.default).decode()
        keys[key] = (unit, allowed(field.type), default)
    return keys


def allowed(kind):
    match kind:
        case msgspec.inspect.Metadata(type=inner, extra_json_schema={"description": described_as}):
            return described_as if inner else ""
        case msgspec.inspect.VarTupleType(item_type=item):
            return f"list of {allowed(item)}"
        case msgspec.inspect.StrType(min_length=int(length)):
            return f"at least {length} characters"
        case msgspec.inspect.StrType():
            return "text"
        case msgspec.inspect.IntType() | msgspec.inspect.FloatType():
            low = f"above {number(kind.gt)}" if kind.gt is not None else number(kind.ge)
            return f"{low} to {number(kind.le)}" if kind.le is not None else f"{low} or more"
    raise AssertionError(f"no words for {kind}")


def number(value):
    # typing caches equal annotations, so whether a bound is 0 or 0.0 depends on the modules imported before.
    return f"{int(value)}" if value == int(value) else f"{value}"


def test_the_page_lists_every_key_with_unit_range_and_default():
    """Guards against a page that lags behind the code."""
    rows = re.findall(r"^\| `([\w.]+)` \| (.*?) \| (.*?) \| `?(.*?)`? \|", PAGE.read_text(), re.M)
    listed = {key: (unit.strip(), range_.strip(), default) for key, unit, range_, default in rows}
    assert listed == described(msgspec.inspect.type_info(Settings))
