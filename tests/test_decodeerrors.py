"""Values that are nested deeper than a decoder can follow, at each place that decodes bytes from outside."""

import msgspec
import pytest

from hawthornbridge import settings as own_settings
from hawthornbridge.httpconnection import Reply
from hawthornbridge.messages import Codec, MessageRejectedError
from hawthornbridge.peersnapshots import _decode_message
from hawthornbridge.platform import settings as platform_settings
from hawthornbridge.platform.decoding import decode
from hawthornbridge.platform.store import _decoded, _Page
from hawthornbridge.records import UnreadableRecord
from hawthornbridge.settings import SettingsError
from hawthornbridge.store import Key, Unavailable

DEPTH = 4_000
NESTED_JSON = [b"[" * DEPTH, b'{"x": ' + b"[" * DEPTH, b'{"x": ' + b"[" * DEPTH + b"]" * DEPTH + b"}"]
# An array of one element, which is such an array again.
NESTED_MSGPACK = b"\x91" * DEPTH


@pytest.mark.parametrize("value", NESTED_JSON)
@pytest.mark.parametrize("key", ["servers/x", "op/config", "hosts/x", "op/rollout/s", "rollouts/s", "evidence/s/x"])
def test_a_deeply_nested_value_of_a_key_is_unreadable(key, value):
    """Guards against one entry of another writer that ends every daemon, again after each restart."""
    assert isinstance(decode(Key(key), value), UnreadableRecord)


@pytest.mark.parametrize("body", NESTED_JSON)
def test_a_deeply_nested_answer_of_the_store_is_a_failed_call(body):
    """Guards against a store whose spoiled answer ends the daemon."""
    assert isinstance(_decoded(Reply(200, [], body), _Page), Unavailable)


def test_a_deeply_nested_copy_of_another_host_is_ignored():
    """Guards against a host that ends the hosts that follow it."""
    body = msgspec.msgpack.encode({"revision": 1, "cursor": 1, "age_s": 0.0, "values": []})
    assert _decode_message(body, "peer") is not None
    extended = b"\x85" + body[1:] + msgspec.msgpack.encode("other") + NESTED_MSGPACK
    assert _decode_message(extended, "peer") is None


def test_a_deeply_nested_message_is_rejected():
    """Guards against a message that ends the task that receives from other hosts."""
    codec = Codec("token")
    with pytest.raises(MessageRejectedError):
        codec.decode(codec._digest(NESTED_MSGPACK) + NESTED_MSGPACK)


@pytest.mark.parametrize("load", [own_settings.load, platform_settings.load])
def test_a_deeply_nested_settings_file_is_reported(load, tmp_path):
    """Guards against a settings file that ends a reload with an error that names no file."""
    path = tmp_path / "settings"
    path.write_bytes(b"x: " + b"[" * DEPTH if load is platform_settings.load else b"[" * DEPTH)
    with pytest.raises(SettingsError, match="settings"):
        load(path)
