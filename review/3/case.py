"""A job is cancelled while the write of its tasks' starts is slow; the next job then waits for ever."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import world as w
from capacity import OVPU

SLOW_S = 0.3
WAIT_S = 90.0


async def case(world):
    # A first job brings a machine up and ends.
    fields = dict(cores=4.0, memGb=7.5, rigs=["yard-hauler"])
    await world.submit(world.spec(1, lots=4, **fields), 2.0)
    if not await world.until(lambda: len(world.done) == 4, 30):
        raise w.CannotRun("the first job was not done")
    if not await world.until(lambda: "live/pool/job/j-000001" not in world.state.keys, 10):
        raise w.CannotRun("the first job was not cleaned up")
    await asyncio.sleep(1.5)
    # The second job is cancelled at once. The write of its start is carried out SLOW_S late.
    slowed = []

    async def slow(node, method, path, body):
        if path == "/multi" and b"firing/j-000002/" in body and not slowed:
            slowed.append(node)
            if world.trouble:
                world.note(f"state service: a transaction of {node} takes {SLOW_S} s longer")
                await asyncio.sleep(SLOW_S)

    world.state.before = slow
    await world.submit(world.spec(2, lots=4, **fields), 2.0)
    await world.until(lambda: bool(slowed), 5, step=0.005)
    status, answer = await world.abort("j-000002")
    if status != 200 or not slowed:
        raise w.CannotRun("the second job was not cancelled during the write of its start")
    await asyncio.sleep(2.0)
    # The third job asks for a quarter of what the first one had.
    await world.submit(world.spec(3, **fields), 2.0)
    accepted = world.now()
    started = lambda: any(lot == "j-000003/0" for _, lot, *_ in world.starts)
    while world.now() < accepted + WAIT_S and not started():
        await asyncio.sleep(min(5.0 if world.now() > accepted + 3 else 0.5, accepted + WAIT_S + 0.2 - world.now()))
        await world.poll("j-000003")
        on = {m.name: [k for k, t in m.tasks.items() if t["standing"] != "ended"] for m in world.workers()}
        world.note(f"tasks on the machines: {on}")
    if started():
        return None
    idle = [m.name for m in world.workers() if m.rig == "yard-hauler" and not m.tasks and m.up_at]
    if not idle:
        raise w.CannotRun("no machine had room at the end")
    return f"job j-000003 waited for {world.now() - accepted:.0f} s while {idle} had room and its team used nothing"


w.main(os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"), OVPU, case)
