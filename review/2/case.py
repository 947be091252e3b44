"""Jobs with long descriptions end in an outage of the state service; nothing is written after it."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import world as w
from capacity import OVPU

JOBS, OUTAGE_MAX_S, WAIT_S = 26, 15.0, 90.0
# The machine types that the job allows: 200 names, 3.4 KiB of the 64 KiB that a body may have.
RIGS = ["yard-hauler"] + [f"yard-hauler-{number:03d}" for number in range(200)]


async def case(world):
    ids = [f"j-{number:06d}" for number in range(1, JOBS + 1)]
    small = dict(cores=0.5, memGb=1.0)
    # A first job brings the machine up.
    await world.submit(world.spec(0, rigs=["yard-hauler"], **small), 1.0)
    if not await world.until(lambda: "j-000000/0" in world.done, 30):
        raise w.CannotRun("no machine came up")
    for number, job in enumerate(ids):
        spec = world.spec(number + 1, rigs=RIGS, **small)
        if number == 0:
            world.note(f"the description of a job has {len(w.dumps(spec))} bytes")
        if await world.submit(spec, 5.0 + 0.15 * number, node=world.followers()[0]) not in (200, 201):
            raise w.CannotRun("a job was not accepted")
    if not await world.until(lambda: all(any(s[1] == f"{job}/0" for s in world.starts) for job in ids), 20):
        raise w.CannotRun("not all jobs started")
    began = world.now()
    if world.trouble:
        world.note("state service: down")
        world.state.set_down(True)
    if not await world.until(lambda: all(f"{job}/0" in world.done for job in ids), OUTAGE_MAX_S - 2.0):
        raise w.CannotRun("not all tasks ended in time")
    await asyncio.sleep(1.0)
    if world.trouble:
        world.state.set_down(False)
        world.note(f"state service: up again after {world.now() - began:.1f} s")
    # Another job comes once the trouble is over.
    await asyncio.sleep(1.0)
    last = world.spec(JOBS + 1, rigs=["yard-hauler"], **small)
    if await world.submit(last, 1.0) not in (200, 201):
        raise w.CannotRun("the last job was not accepted")
    accepted = world.now()
    started = lambda: any(lot == f"{last['id']}/0" for _, lot, *_ in world.starts)
    while world.now() < accepted + WAIT_S and not started():
        await asyncio.sleep(min(5.0 if world.now() > accepted + 4 else 1.0, accepted + WAIT_S + 0.2 - world.now()))
        await world.poll(last["id"])
        await world.poll(ids[0])
    for job in ids:
        await world.poll(job)
    if started():
        return None
    idle = [m.name for m in world.workers() if m.rig == "yard-hauler" and m.up_at
            and not any(t["standing"] != "ended" for t in m.tasks.values())]
    if not idle:
        raise w.CannotRun("no machine had room at the end")
    return (f"job {last['id']} waited for {world.now() - accepted:.0f} s after the outage while {idle} had room "
            f"and its team used nothing; {world.state.refused_transactions} transactions were too large")


w.main(os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"), OVPU, case)
