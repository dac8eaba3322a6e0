import re
from pathlib import Path

from hawthornbridge.events import Event

PAGE = Path(__file__).parent.parent / "docs" / "events.md"


def test_the_catalogue_lists_every_event():
    listed = {(int(number), name) for number, name in re.findall(r"^\| (\d+) \| (\w+) \|", PAGE.read_text(), re.M)}
    assert listed == {(event.value, event.name.lower()) for event in Event}
