"""Random faults against three controllers, with the rules checked; for trials, not a case.

    python3 -B review/trials/random_faults.py SEED SECONDS FAULT,FAULT,...

The faults are the names in FAULTS. Workers' leases are 12 s here, so that they end in a short run.
"""
import asyncio
import os
import random
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import world as w
from capacity import OVPU

FAULTS = ("kill killall freeze slow lost late refuse outage peers linkslow held dlate fail mcut zonecut take "
          "cloudlate cloudout lrep").split()
FINAL = ("done", "aborted")


class Everything:
    """A set that holds every task: a machine on which all fail."""

    def __contains__(self, lot):
        return True


class Link:
    """A proxy for the link from one controller to another, which can hold or refuse."""

    def __init__(self, target):
        self.target, self.port = target, w.free_port()
        self.open, self.refuses, self.writers = asyncio.Event(), False, set()
        self.open.set()

    async def connection(self, reader, writer):
        try:
            if self.refuses:
                return
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.target)
            self.writers.add(writer)
            await asyncio.gather(self.pump(reader, far_writer), self.pump(far_reader, writer))
        except OSError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def pump(self, reader, writer):
        try:
            while data := await reader.read(65536):
                await self.open.wait()
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    def refuse(self):
        self.refuses = True
        for writer in list(self.writers):
            writer.close()


class Trial:
    def __init__(self, world, seed, seconds, faults):
        self.world, self.seconds, self.faults, self.draw = world, seconds, faults, random.Random(seed)
        self.told, self.accepted, self.cancelled, self.asked_to_cancel = {}, set(), {}, set()
        self.broken, self.share, self.refused, self.slow_s = set(), {}, set(), 0.0
        self.cloud_down = False

    def happens(self, fault):
        return self.draw.random() < self.share.get(fault, 0.0)

    def rule(self, name, text):
        self.broken.add(name)
        self.world.note(f"RULE {name}: {text}")

    # What the stand-ins do while a fault lasts.

    def install(self):
        state, cloud = self.world.state, self.world.cloud
        handle_state, handle_cloud = state.handle, cloud.handle
        handle_worker, send_report, report = w.Worker.handle, w.Worker.send_report, w.Worker.report
        trial = self

        async def on_state(node, method, path, body):
            if node in self.refused and ("holdMs" not in path or "holdMs=0" in path):
                return 503, {}
            if path == "/multi" and self.happens("late"):
                self.later(self.draw.uniform(2, 12), state.execute, method, path, body)
                raise ConnectionError
            await asyncio.sleep(self.draw.uniform(0, self.slow_s))
            result = await handle_state(node, method, path, body)
            await asyncio.sleep(self.draw.uniform(0, self.slow_s))
            if self.happens("lost"):
                raise ConnectionError
            return result

        async def on_cloud(method, path, body):
            if self.cloud_down:
                return 503, {"error": "trouble"}
            if method == "POST" and self.happens("cloudlate"):
                delay = self.draw.choice([0.0, self.draw.uniform(2, 14)])
                self.later(delay, handle_cloud, method, path, body)
                await asyncio.sleep(7.0)
                raise ConnectionError
            return await handle_cloud(method, path, body)

        async def on_command(worker, method, path, body):
            if getattr(worker, "cut", False):
                await asyncio.sleep(30.0)
                raise ConnectionError
            if path == "/do" and trial.happens("dlate"):
                trial.later(trial.draw.uniform(2, 16), handle_worker, worker, method, path, body)
                await asyncio.sleep(6.0)
                raise ConnectionError
            return await handle_worker(worker, method, path, body)

        async def on_report(worker, client, node):
            if getattr(worker, "cut", False):
                await asyncio.sleep(1.5)
                return 0, None
            return await send_report(worker, client, node)

        def copied_report(worker):
            made = report(worker)
            if trial.happens("lrep"):
                port = trial.draw.choice(list(trial.world.controllers.values())).serve_port
                trial.later(trial.draw.uniform(2, 25), w.Client(port).call, "POST", "/checkin", made)
            return made

        state.handle, cloud.handle = on_state, on_cloud
        w.Worker.handle, w.Worker.send_report, w.Worker.report = on_command, on_report, copied_report
        self.world.on_answer = lambda *_: self.draw.uniform(0.5, 3.9) if self.happens("held") else 0.0

    def later(self, delay, call, *arguments):
        async def run():
            await asyncio.sleep(delay)
            result = call(*arguments)
            if asyncio.iscoroutine(result):
                await result
        self.world.spawn(run())

    # The faults.

    async def fault(self, kind):
        draw, world = self.draw, self.world
        node = world.controllers[draw.choice(list(world.controllers) + [world.leader() or "stall-0"] * 2)]
        lasts = draw.uniform(1, 10)
        world.note(f"FAULT {kind} {node.name} {lasts:.1f}")
        machines = world.workers()
        if kind in ("late", "lost", "dlate", "held", "cloudlate", "lrep"):
            self.share[kind] = 0.5 if kind == "cloudlate" else 0.25
            await asyncio.sleep(lasts)
            self.share[kind] = 0.0
        elif kind in ("kill", "killall"):
            nodes = [node] if kind == "kill" else list(world.controllers.values())
            for each in nodes:
                each.process.kill()
                each.process.wait()
            await asyncio.sleep(draw.choice([0.2, 1.0, 5.0] if kind == "kill" else [0.2, 5.0, w.LEASE_S + 3.0]))
            for each in nodes:
                each.start()
        elif kind == "freeze":
            node.signal(signal.SIGSTOP)
            await asyncio.sleep(draw.choice([1.9, 3.0, 6.0, 16.0]))
            node.signal(signal.SIGCONT)
        elif kind == "slow":
            self.slow_s = draw.choice([0.1, 0.3, 0.8])
            await asyncio.sleep(lasts)
            self.slow_s = 0.0
        elif kind == "refuse":
            self.refused.add(node.name)
            await asyncio.sleep(lasts)
            self.refused.discard(node.name)
        elif kind == "outage":
            world.state.set_down(True)
            await asyncio.sleep(draw.choice([1.0, 3.0, 6.0, 15.0]))
            world.state.set_down(False)
        elif kind == "cloudout":
            self.cloud_down = True
            await asyncio.sleep(2 * lasts)
            self.cloud_down = False
        elif kind in ("peers", "linkslow"):
            links = [link for pair, link in LINKS.items() if node.name in pair]
            links = links if kind == "peers" else [draw.choice(links)]
            refuses = kind == "peers" and draw.random() < 0.5
            for link in links:
                link.refuse() if refuses else link.open.clear()
            await asyncio.sleep(lasts if kind == "peers" else draw.uniform(0.1, 1.5))
            for link in links:
                link.refuses = False
                link.open.set()
        elif kind == "fail" and machines:
            machine = draw.choice(machines)
            machine.failing = Everything()
            await asyncio.sleep(lasts)
            machine.failing = set()
        elif kind in ("mcut", "zonecut"):
            zone = draw.choice(w.ZONES)
            cut = draw.sample(machines, min(3, len(machines))) if kind == "mcut" else \
                [machine for machine in machines if machine.yard == zone]
            for machine in cut:
                machine.cut = True
            await asyncio.sleep(draw.choice([3.0, 8.0, w.LEASE_S + 4.0]))
            for machine in cut:
                machine.cut = False
        elif kind == "take":
            for machine in draw.sample([m for m in machines if m.loaner] or machines, min(1, len(machines))):
                world.note(f"cloud: {machine.name} is taken back")
                world.cloud.remove(machine.name)

    # Users.

    async def ask(self, job, node, kind):
        before = self.told.get(job)
        client = w.Client(self.world.controllers[node].serve_port)
        if kind == "submit":
            status, answer = await client.call("POST", "/v1/jobs", self.world.specs[job])
        elif kind == "abort":
            status, answer = await client.call("POST", f"/v1/jobs/{job}/abort")
        else:
            status, answer = await client.call("GET", f"/v1/jobs/{job}", timeout=2.0)
        client.close()
        standing = (answer or {}).get("standing") if status in (200, 201) else None
        if (status == 404 and before) or status in (400, 422):
            self.rule("forgotten", f"{job}: {kind} at {node}: {status} after {before}")
        if standing:
            if before in FINAL and standing != before:
                self.rule("went_back", f"{job}: {kind} at {node}: {standing} after {before}")
            if standing == "aborted" and job not in self.asked_to_cancel:
                self.rule("went_back", f"{job}: aborted, and nobody cancelled it")
            tasks = range(self.world.specs[job]["lots"])
            if standing == "done" and not all(f"{job}/{task}" in self.world.done for task in tasks):
                self.rule("not_done", job)
            if self.told.get(job) not in FINAL:
                self.told[job] = standing
        return status, standing

    async def user(self, job, cancel_after):
        nodes = list(self.world.controllers)
        until = time.monotonic() + 60.0
        while (await self.ask(job, self.draw.choice(nodes), "submit"))[0] not in (200, 201):
            if time.monotonic() > until:
                return
            await asyncio.sleep(1.0)
        self.accepted.add(job)
        if cancel_after is not None:
            await asyncio.sleep(cancel_after)
            self.asked_to_cancel.add(job)
            while (result := await self.ask(job, self.draw.choice(nodes), "abort"))[0] != 200:
                await asyncio.sleep(1.0)
            if result[1] == "aborted":
                self.cancelled[job] = self.world.now()
        while self.told.get(job) not in FINAL:
            await asyncio.sleep(self.draw.uniform(0.5, 4.0))
            await self.ask(job, self.draw.choice(nodes), "poll")
        await asyncio.gather(*[self.ask(job, node, kind) for node in nodes for kind in ("poll", "submit")])

    async def submit(self):
        number, draw = 0, self.draw
        while self.world.now() < self.seconds:
            number += 1
            lots = draw.choice([1, 1, 2, 3, 5, 12])
            fields = draw.choice([{}, {}, {"oneZone": True}, {"scatter": True}, {"yard": draw.choice(w.ZONES)},
                                  {"tallyS": 1.0, "ledgerS": 1.0}])
            spec = self.world.spec(number, lots=lots, cores=draw.choice([1.0, 4.0, 8.0]), memGb=4.0,
                                   consignor=f"auction-floor-{draw.randrange(3):02d}", loaner=draw.random() < 0.5,
                                   bidRank=draw.choice(["low", "standard", "high"]), **fields)
            self.world.specs[spec["id"]] = spec
            self.world.run_s[spec["id"]] = draw.choice([0.3, 2.0, 6.0, 15.0])
            self.world.spawn(self.user(spec["id"], draw.choice([None, None, None, 0.0, 0.2, 2.0, 6.0])))
            await asyncio.sleep(draw.uniform(0.1, 1.2))

    # Checks.

    async def check(self):
        seen = 0
        while True:
            await asyncio.sleep(0.1)
            for _, lot, attempt, name, elsewhere in self.world.starts[seen:]:
                if elsewhere:
                    self.rule("ran_twice", f"{lot} attempt {attempt} on {name} and {elsewhere}")
            seen = len(self.world.starts)
            used = {}
            for worker in self.world.workers():
                for (lot, _), task in worker.tasks.items():
                    job = lot.split("/")[0]
                    spec = self.world.specs[job]
                    if task["standing"] in ("running", "saving"):
                        used[spec["consignor"]] = used.get(spec["consignor"], 0.0) + spec["cores"]
                        if self.world.now() > self.cancelled.get(job, 1e9) + w.CANCEL_S:
                            self.rule("ran_cancelled", f"{lot} on {worker.name}")
            for team, cores in used.items():
                if cores > 96.0 + 1e-6:
                    self.rule("quota", f"{team}: {cores}")

    def check_place(self, worker, lot):
        job = lot.split("/")[0]
        spec = self.world.specs[job]
        zones = [m.yard for other, on in self.world.on.items() if other.split("/")[0] == job for m in on]
        wrong = (spec["oneZone"] and len(set(zones)) > 1) or (spec["yard"] not in (None, worker.yard)) \
            or (spec["scatter"] and max(map(zones.count, zones)) > (spec["lots"] + 1) // 2) \
            or (worker.loaner and not spec["loaner"])
        if wrong:
            self.rule("wrong_place", f"{lot} on {worker.name} in {worker.yard}, with {zones}")

    async def run(self):
        begins = self.world.task_begins

        def task_begins(worker, lot, attempt):
            begins(worker, lot, attempt)
            self.check_place(worker, lot)

        self.world.task_begins = task_begins
        self.install()
        self.world.spawn(self.check())
        self.world.spawn(self.submit())
        await asyncio.sleep(6.0)
        ends = []
        while self.world.now() < self.seconds:
            await asyncio.sleep(self.draw.uniform(0.5, 4.0))
            kind = self.draw.choice(self.faults)
            if kind in ("kill", "killall", "freeze"):
                ends = [end for end in ends if not end.done()]
                if not ends:
                    ends.append(self.world.spawn(self.fault(kind)))
            else:
                self.world.spawn(self.fault(kind))
        unfinished = lambda: sorted(job for job in self.accepted if self.told.get(job) not in FINAL)
        await self.world.until(lambda: not unfinished(), 140.0, step=1.0)
        if unfinished():
            self.rule("unfinished", f"{unfinished()} {140} s after the last fault")
        self.world.note(f"{len(self.accepted)} jobs accepted, {len(self.world.starts)} starts")
        return ", ".join(sorted(self.broken)) or None


LINKS = {}


async def start_with_links(self, start=w.World.start, write=w.Controller.write_settings):
    for near in self.controllers.values():
        for far in self.controllers.values():
            if near is not far:
                link = LINKS[near.name, far.name] = Link(far.peer_port)
                await asyncio.start_server(link.connection, "127.0.0.1", link.port)

    def write_settings(controller, others):
        ports = {other.name: other.peer_port for other in others}
        for other in others:
            other.peer_port = LINKS[controller.name, other.name].port
        write(controller, others)
        for other in others:
            other.peer_port = ports[other.name]

    w.Controller.write_settings = write_settings
    await start(self)


async def serve_with_changes(port, handle, serve=w.serve_http):
    """Serves with the handler that the stand-in has at the time of the request."""
    if getattr(handle, "__func__", None) is w.Cloud.handle:
        cloud = handle.__self__
        return await serve(port, lambda method, path, body: cloud.handle(method, path, body))
    return await serve(port, handle)


w.World.start, w.serve_http = start_with_links, serve_with_changes
w.LEASE_S, w.CANCEL_S = 12.0, 20.0
seed, seconds, faults = int(sys.argv[1]), float(sys.argv[2]), sys.argv[3].split(",")
if set(faults) - set(FAULTS):
    sys.exit(f"unknown faults; known are {FAULTS}")
folder = os.path.dirname(os.path.abspath(__file__))
w.main(os.path.join(folder, f"record-{seed}.txt"), OVPU, lambda world: Trial(world, seed, seconds, faults).run(),
       limit_s=seconds + 200.0)
