"""Case 9: a route is moved to another service and back, while the leaves of the first one reject requests."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig2 import Rig, main  # noqa: E402

from budget2 import FIRST, OTHER, SHED_S, Traffic, configuration, judge, shed, start_leaves  # noqa: E402

HOSTS = 6
# When the route is moved away, after the beginning of the trouble, and for how long.
MOVES_S = (4.0,)
AWAY_S = 0.5


async def case(rig: Rig) -> bool:
    leaves = await start_leaves(rig)
    rig.store.put("op/config", configuration(7, FIRST))
    await rig.start(HOSTS)
    traffic = Traffic(rig)
    traffic.start()
    # The rule also counts the requests of the window before.
    await asyncio.sleep(12.0)
    began_s = time.monotonic()
    shed(rig, leaves, begins=True)
    version = 7
    for at_s in MOVES_S:
        await asyncio.sleep(max(0.0, began_s + at_s - time.monotonic()))
        for service in (OTHER, FIRST):
            version += 5
            if rig.trouble:
                rig.store.put("op/config", configuration(version, service))
                rig.note(f"the operator writes version {version}: the route goes to {service}")
            await asyncio.sleep(AWAY_S)
    await asyncio.sleep(max(0.0, began_s + SHED_S - time.monotonic()))
    shed(rig, leaves, begins=False)
    await asyncio.sleep(2.0)
    return judge(rig, leaves, traffic)


main(case, str(Path(__file__).resolve().parent))
