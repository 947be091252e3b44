"""Polls at all controllers; the reads of one controller take 300 ms longer. It answers older than the others."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import world as w
from capacity import OVPU


async def case(world):
    await world.submit(world.spec(1, rigs=["yard-hauler"]), 1.0)
    if not await world.until(lambda: "j-000001/0" in world.done, 30):
        raise w.CannotRun("the first job was not done")
    slow = world.followers()[0]
    others = [name for name in world.controllers if name != slow]

    async def after(node, method, path, body):
        # Responses normally take under 10 ms, and now and then a few hundred.
        if world.trouble and node == slow and path.startswith("/changes"):
            await asyncio.sleep(0.3)

    world.state.after = after
    answers = []

    async def ask(node):
        sent = world.now()
        status, answer = await world.poll("j-000002", node)
        if status == 200:
            answers.append((world.now(), sent, node, answer["standing"]))

    await world.submit(world.spec(2, rigs=["yard-hauler"]), 1.0, node=others[0])
    for _ in range(100):
        for node in world.controllers:
            world.spawn(ask(node))
        await asyncio.sleep(0.05)
    await asyncio.sleep(2.0)
    told = [at for at, _, _, standing in sorted(answers) if standing == "done"]
    if not told:
        raise w.CannotRun("the job was not called done")
    older = [a for a in sorted(answers) if a[0] > told[0] and a[3] != "done"]
    return f"called done at {told[0]:.3f} s, then (at, sent at, controller, standing) {older[:3]}" if older else None


w.main(os.path.join(os.path.dirname(os.path.abspath(__file__)), "record-older.txt"), OVPU, case)
