import pytest

from hawthornbridge import daemon
from hawthornbridge.registry import PluginKind, UnknownPluginError, lookup, names, register
from hawthornbridge.settings import PluginSettings


def test_every_default_of_the_settings_is_registered():
    """Guards against a daemon that stops at its first start because a plug-in is not imported."""
    assert daemon.Daemon
    for kind in PluginKind:
        assert getattr(PluginSettings(), kind.value) in names(kind)


def test_an_unknown_name_says_which_ones_there_are():
    with pytest.raises(UnknownPluginError, match=r"no ramp plug-in named 'steep'; registered: none, shared"):
        lookup(PluginKind.RAMP, "steep")


def test_a_name_is_registered_once():
    with pytest.raises(ValueError, match="twice"):
        register(PluginKind.RAMP, "none")(object)
