"""The answer to a report is held up for seconds; the start in it runs a task again that was moved."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import world as w
from capacity import OVPU

HOLD_S = 2.5
SMALL = dict(cores=0.5, memGb=1.0, rigs=["yard-hauler"], appraisedS=9.0)


def running(world, worker):
    """Returns the one-task jobs that run on the machine."""
    return [lot.split("/")[0] for (lot, _), task in worker.tasks.items()
            if task["standing"] == "running" and int(lot[2:8]) >= 100]


async def submit_small(world, stop, submitted):
    """Users submit one-task jobs, four a second."""
    while not stop.is_set():
        spec = world.spec(100 + len(submitted), **SMALL)
        submitted.append(spec["id"])
        world.spawn(world.submit(spec, 6.0))
        await asyncio.sleep(0.25)


async def case(world):
    # Three machines come up, for one long task each.
    await world.submit(world.spec(1, lots=3, cores=9.0, memGb=30.0, rigs=["yard-hauler"]), 200.0)
    if not await world.until(lambda: sum(lot.startswith("j-000001/") for _, lot, *_ in world.starts) == 3, 30):
        raise w.CannotRun("three machines did not come up")
    held, submitted, cancelled = {}, [], []

    def on_answer(worker, node, answer):
        """Holds up the first answer that starts a task on a machine on which several others run."""
        runs = [call for call in answer["calls"] if call["call"] == "run"]
        others = [job for job in running(world, worker) if f"{job}/0" not in [run["lot"] for run in runs]]
        if held or not runs or len(submitted) < 16 or len(others) < 4:
            return 0.0
        held.update(worker=worker, others=others)
        worker.failing.update(run["lot"] for run in runs)
        world.note(f"{worker.name}: {node} answers {w.dumps(answer)}; these tasks will fail on this machine")
        if not world.trouble:
            return 0.0
        world.note(f"{worker.name}: this answer is held up for {HOLD_S} s")
        return HOLD_S

    world.on_answer = on_answer
    stop = asyncio.Event()
    world.spawn(submit_small(world, stop, submitted))
    if not await world.until(lambda: bool(held), 60, step=0.01):
        raise w.CannotRun("no answer started a task on a busy machine")
    # While the answer is held up, users cancel jobs that run on the machine, one in four of all at most.
    for _ in range(4):
        await asyncio.sleep(0.4)
        victims = [job for job in running(world, held["worker"]) if job in held["others"] and job not in cancelled]
        if victims and len(cancelled) < len(submitted) // 4:
            cancelled.append(victims[-1])
            world.spawn(world.abort(victims[-1]))
    await asyncio.sleep(4.0)
    stop.set()
    await asyncio.sleep(2.0)
    twice = [(lot, attempt, name, others) for _, lot, attempt, name, others in world.starts if others]
    if not twice:
        return None
    return "; ".join(f"{lot} attempt {attempt} started on {name} while it was on {others}"
                     for lot, attempt, name, others in twice)


w.main(os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"), OVPU, case)
