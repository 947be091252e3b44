"""The state service lowers its limits, as kit/change/LATER.md says (issue 36); then an array and a small job are submitted."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import world as w
from capacity import OVPU

WAIT_S = 90.0
NEXT = "[params.state.next]\nvalue_kb = 2.0\ntxn_ops = 16\nwrite_rps = 56.0\n"


async def case(world):
    small = dict(cores=0.05, memGb=0.1, rigs=["yard-hauler"])
    await world.submit(world.spec(1, **small), 1.0)
    if not await world.until(lambda: len(world.starts) == 1, 40):
        raise w.CannotRun("no machine came up")
    if world.trouble:
        world.note("state service: value_kb 2, txn_ops 16, write_rps 56 from now on")
        w.VALUE_KIB, w.TXN_OPS = 2, 16
        world.state.writes = w.Bucket(56.0, 1.0)
    await asyncio.sleep(1.0)
    await world.submit(world.spec(2, lots=120, **small), 12.0)
    await asyncio.sleep(1.0)
    last = world.spec(3, **small)
    await world.submit(last, 1.0)
    accepted = world.now()
    started = lambda: any(lot == "j-000003/0" for _, lot, *_ in world.starts)
    while world.now() < accepted + WAIT_S and not started():
        await asyncio.sleep(min(5.0, accepted + WAIT_S + 0.2 - world.now()))
        await world.poll("j-000003")
    if started():
        return None
    return f"j-000003 waited for {world.now() - accepted:.0f} s; {world.state.refused_transactions} transactions refused"


def write_settings(self, others, original=w.Controller.write_settings):
    original(self, others)
    with open(self.settings, "a") as file:
        file.write(NEXT)


w.Controller.write_settings = write_settings
w.main(os.path.join(os.path.dirname(os.path.abspath(__file__)), "record-limits.txt"), OVPU, case)
