"""A cancellation that is repeated at the controller that is still confirming it (KNOWN-RED.txt).

A poll at another controller, which stands still for 1.45 s meanwhile, is answered older after that.
"""
import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import world as w
from capacity import OVPU


async def case(world):
    await world.submit(world.spec(1, rigs=["yard-hauler"]), 100.0)
    if not await world.until(lambda: any(s[1] == "j-000001/0" for s in world.starts), 30):
        raise w.CannotRun("the job did not start")
    await asyncio.sleep(2.0)
    leader, frozen = world.leader(), world.followers()[0]
    answers = []
    slow = [False]

    async def after(node, method, path, body):
        # Responses normally take under 10 ms, and now and then a few hundred.
        if slow[0] and node == frozen and path.startswith("/changes"):
            await asyncio.sleep(0.3)

    world.state.after = after

    async def ask(node, cancel=False):
        sent = world.now()
        status, answer = await (world.abort("j-000001", node, 0) if cancel else world.poll("j-000001", node))
        if status == 200:
            answers.append((world.now(), sent, node, answer["standing"]))

    slow[0] = world.trouble
    world.spawn(ask(frozen))
    await asyncio.sleep(0.1)
    if world.trouble:
        world.controllers[frozen].signal(signal.SIGSTOP)
    # The user cancels at the leader; the connection fails after 0.2 s; the user tries again 1 s later.
    first = w.Client(world.controllers[leader].serve_port)
    status, answer = await first.call("POST", "/v1/jobs/j-000001/abort", timeout=0.2)
    world.note(f"user: POST /v1/jobs/j-000001/abort at {leader}: {status} {w.dumps(answer)}")
    await asyncio.sleep(1.0)
    await ask(leader, cancel=True)
    if world.trouble:
        world.controllers[frozen].signal(signal.SIGCONT)
    await asyncio.sleep(2.5)
    answers.sort()
    world.note(f"answers (at, sent at, controller, standing): {answers}")
    told = [at for at, _, _, standing in answers if standing == "aborted"]
    if not told:
        raise w.CannotRun("the cancellation was not confirmed")
    older = [a for a in answers if a[0] > told[0] and a[3] != "aborted"]
    return f"told as cancelled at {told[0]:.3f} s, then {older}" if older else None


w.main(os.path.join(os.path.dirname(os.path.abspath(__file__)), "record-cancellation.txt"), OVPU, case)
