import pytest

from hawthornbridge.settings import SettingsError, decode, load

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
