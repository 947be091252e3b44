"""Stand-ins for a small deployment of sumacbend: the state service, the cloud, workers and users.

They follow PROTOCOL and run in one process, on loopback addresses and the real clock. The
controllers are the project's own program, each a process of its own. Only the Python standard
library is used.
"""
import asyncio
import ctypes
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
ZONES = ["madison-yard", "watkinsville-office"]
REPORT_S, LEASE_S, CANCEL_S = 3.0, 45.0, 65.0
TXN_OPS, VALUE_KIB, TXN_KIB, WATCH_LOG = 48, 16, 64, 10_000
STATE_RPS, STATE_WRITE_RPS, CLOUD_RPS = 200.0, 80.0, 4.0


def end_with_parent():
    """Called in a new process: the kernel ends it when the process that started it ends."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


RESERVED = []


def free_port():
    """Returns a port and keeps it: no other program is given it, and a server may still listen on it."""
    reserved = socket.socket()
    reserved.bind(("127.0.0.1", 0))
    # On Linux a socket with this option may listen where others with it are bound and don't listen.
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    RESERVED.append(reserved)
    return reserved.getsockname()[1]


def dumps(value):
    return json.dumps(value, separators=(",", ":"))


class Bucket:
    """A token bucket with bursts of `burst_s` seconds' worth."""

    def __init__(self, rate, burst_s):
        self.rate, self.size = rate, rate * burst_s
        self.level, self.at = self.size, time.monotonic()

    def take(self, count):
        now = time.monotonic()
        self.level = min(self.size, self.level + (now - self.at) * self.rate)
        self.at = now
        if self.level < count:
            return False
        self.level -= count
        return True


async def read_message(reader):
    """Reads one HTTP message: its first line, headers and body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                break
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


async def serve_http(port, handle):
    """Serves HTTP/1.1. `handle(method, path, body)` returns a status and a JSON value."""

    async def connection(reader, writer):
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, path, _ = first.split(" ", 2)
                status, value = await handle(method, path, body)
                data = dumps(value).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
                writer.write(head.encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, "127.0.0.1", port, limit=1 << 22)


class Client:
    """An HTTP client with one connection, which it opens as needed."""

    def __init__(self, port):
        self.port, self.streams = port, None

    async def call(self, method, path, body=None, timeout=5.0):
        """Returns the status and the JSON value of the response, or (0, None) without one."""
        try:
            return await asyncio.wait_for(self._call(method, path, body), timeout)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            self.close()
            return 0, None

    async def _call(self, method, path, body):
        if self.streams is None:
            self.streams = await asyncio.open_connection("127.0.0.1", self.port, limit=1 << 22)
        reader, writer = self.streams
        data = b"" if body is None else (body if isinstance(body, bytes) else dumps(body).encode())
        writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: 127.0.0.1:{self.port}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data
        )
        await writer.drain()
        first, headers, answer = await read_message(reader)
        if headers.get("connection", "").lower() == "close":
            self.close()
        return int(first.split(" ")[1]), json.loads(answer or b"null")

    def close(self):
        if self.streams is not None:
            self.streams[1].close()
            self.streams = None


class StateService:
    """The state service, with the limits of the settings. Each controller has a port of its own."""

    def __init__(self, world):
        self.world = world
        self.keys, self.rev, self.log, self.leases, self.next_lease = {}, 0, [], {}, 1
        self.down = False
        self.changed = asyncio.Event()
        self.requests, self.writes = Bucket(STATE_RPS, 1.0), Bucket(STATE_WRITE_RPS, 1.0)
        # Called with the node, the method, the path and the body of a request before it is executed.
        self.before = None
        # Called with the same once it is executed, before it is answered.
        self.after = None
        self.refused_transactions = 0

    def set_down(self, down):
        self.down = down
        if not down:
            for lease in self.leases.values():
                lease["ends"] = time.monotonic() + lease["ms"] / 1000.0

    def record_change(self, key, value, lease):
        """Puts or (without a value) deletes a key at the current revision."""
        if value is None:
            if key in self.keys:
                del self.keys[key]
                self.log.append({"drop": key, "entryRev": self.rev})
        else:
            self.keys[key] = (value, self.rev, lease)
            self.log.append({"put": key, "v": value, "entryRev": self.rev})

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.02)
            if self.down:
                continue
            for number in [n for n, lease in self.leases.items() if time.monotonic() > lease["ends"] + 0.02]:
                del self.leases[number]
                attached = [key for key, (_, _, lease) in self.keys.items() if lease == number]
                if attached:
                    self.rev += 1
                    for key in attached:
                        self.record_change(key, None, None)
                    self.wake()

    async def handle(self, node, method, path, body):
        if self.before:
            await self.before(node, method, path, body)
        await asyncio.sleep(random.uniform(0.002, 0.006))
        if path.startswith("/changes"):
            result = await self.watch(path)
        else:
            result = self.execute(method, path, body)
        if self.after:
            await self.after(node, method, path, body)
        return result

    def execute(self, method, path, body):
        if self.down:
            return 503, {"error": "outage"}
        if not self.requests.take(1):
            return 429, {"error": "rate"}
        if method == "POST" and path == "/multi":
            return self.transact(body)
        if method == "POST" and path == "/leases":
            number, self.next_lease = self.next_lease, self.next_lease + 1
            ms = json.loads(body)["lifeMs"]
            self.leases[number] = {"ms": ms, "ends": time.monotonic() + ms / 1000.0}
            return 200, {"consignment": number}
        if match := re.fullmatch(r"/leases/(\d+)(/extend)?", path):
            lease = self.leases.get(int(match[1]))
            if lease is None:
                return 404, {"error": "no such lease"}
            lease["ends"] = time.monotonic() + (lease["ms"] / 1000.0 if match[2] else 0.0)
            return 200, {}
        if path.startswith("/store?"):
            return self.list(path)
        if path.startswith("/store/"):
            key = path[len("/store/"):]
            if key not in self.keys:
                return 404, {"bookRev": self.rev}
            value, rev, lease = self.keys[key]
            return 200, {"k": key, "v": value, "entryRev": rev, "consignment": lease}
        return 400, {"error": "malformed"}

    def list(self, path):
        query = dict(urllib.parse.parse_qsl(path.split("?", 1)[1]))
        prefix, since, limit = query["starts"], query.get("since", ""), min(int(query["limit"]), 1000)
        names = sorted(key for key in self.keys if key.startswith(prefix) and key > since)
        items, size = [], 0
        for key in names[:limit]:
            item = {"k": key, "v": self.keys[key][0], "entryRev": self.keys[key][1]}
            size += len(dumps(item)) + 1
            if size > 500 * 1024 and items:
                break
            items.append(item)
        return 200, {"items": items, "more": len(items) < len(names), "bookRev": self.rev}

    def transact(self, body):
        try:
            transaction = json.loads(body)
            when, apply = transaction["when"], transaction["apply"]
        except (ValueError, KeyError):
            return 400, {"error": "malformed"}
        values = [len(dumps(change["v"])) for change in apply if "put" in change]
        too_large = max(values, default=0) > VALUE_KIB * 1024
        if len(apply) > TXN_OPS or len(when) > 4 * TXN_OPS or len(body) > TXN_KIB * 1024 or too_large:
            self.refused_transactions += 1
            if self.refused_transactions <= 10:
                self.world.note("state service: answered 400 to a transaction of %d bytes, %d changes, %d conditions"
                                % (len(body), len(apply), len(when)))
            return 400, {"error": "the transaction is larger than the limits"}
        if not self.writes.take(len(apply)):
            return 429, {"error": "rate"}
        for change in apply:
            lease = change.get("consignment")
            if lease is not None and lease not in self.leases:
                return 400, {"error": "no such lease"}
        failed = [c["k"] for c in when if self.keys.get(c["k"], (None, 0, None))[1] != c["entryRev"]]
        if failed:
            return 409, {"failed": failed, "bookRev": self.rev}
        if apply:
            self.rev += 1
            for change in apply:
                if "put" in change:
                    self.record_change(change["put"], change["v"], change.get("consignment"))
                else:
                    self.record_change(change["drop"], None, None)
            self.wake()
        return 200, {"bookRev": self.rev}

    async def watch(self, path):
        query = dict(urllib.parse.parse_qsl(path.split("?", 1)[1]))
        prefix, since = query["starts"], int(query["since"])
        until = time.monotonic() + min(int(query.get("holdMs", "0")), 60_000) / 1000.0
        if self.down:
            return 503, {"error": "outage"}
        if not self.requests.take(1):
            return 429, {"error": "rate"}
        while True:
            if len(self.log) > WATCH_LOG and since < self.log[-WATCH_LOG]["entryRev"]:
                return 410, {"error": "too old"}
            events = [e for e in self.log if e["entryRev"] > since and e.get("put", e.get("drop")).startswith(prefix)]
            left = until - time.monotonic()
            # An open watch stays open during an outage.
            if not self.down and (events or left <= 0):
                return 200, {"bookRev": self.rev, "log": events}
            try:
                await asyncio.wait_for(self.changed.wait(), max(0.02, min(left, 0.2)))
            except asyncio.TimeoutError:
                pass


TYPES = {
    "ring-clerk": {"cores": 4.0, "memGb": 16.0, "hourly": 0.25, "spotPrice": 0.06, "bootS": 35.0, "pullGbPerS": 0.5},
    "yard-hauler": {"cores": 16.0, "memGb": 64.0, "hourly": 0.93, "spotPrice": 0.22, "bootS": 25.0, "pullGbPerS": 0.8},
}


class Cloud:
    """The cloud. Machines come up within 1 to 2 s, as PROTOCOL says they do at times."""

    def __init__(self, world, capacity):
        self.world, self.capacity = world, dict(capacity)
        self.machines, self.answers, self.number = {}, {}, 230
        self.calls = Bucket(CLOUD_RPS, 2.0)

    async def handle(self, method, path, body):
        await asyncio.sleep(random.uniform(0.02, 0.05))
        if not self.calls.take(1):
            return 429, {"error": "rate"}
        if path == "/catalog":
            rigs = [{"name": name, "cards": 0, "cacheGb": 80.0, "yards": ZONES, **info} for name, info in TYPES.items()]
            return 200, {"rigs": rigs}
        if method == "POST" and path == "/machines":
            return self.rent(json.loads(body))
        if method == "POST" and path == "/machines/delete":
            for name in json.loads(body)["stalls"]:
                if name in self.machines:
                    self.world.note(f"cloud: {name} deleted")
                    self.remove(name)
            return 200, {}
        if path.startswith("/machines"):
            return self.list(path)
        return 400, {"error": "malformed"}

    def remove(self, name):
        """Ends a machine, which may be rented again."""
        worker = self.machines.pop(name)["worker"]
        self.capacity[worker.rig, worker.yard, worker.loaner] += 1
        worker.remove()

    def rent(self, request):
        slip = request["hireSlip"]
        if slip in self.answers:
            return 200, self.answers[slip]
        offer = (request["rig"], request["yard"], request["loaner"])
        count = min(request["number"], self.capacity.get(offer, 0), 50)
        if count == 0:
            return 503, {"error": "no capacity"}
        self.capacity[offer] -= count
        names = []
        for _ in range(count):
            self.number += 1
            name = f"host-{self.number:06d}"
            worker = Worker(self.world, name, request["rig"], request["yard"], request["loaner"])
            self.machines[name] = {"worker": worker, "rented": time.monotonic()}
            names.append(name)
        self.world.note(f"cloud: rented {names} of {offer}")
        self.answers[slip] = {"stalls": names}
        return 200, self.answers[slip]

    def list(self, path):
        query = dict(urllib.parse.parse_qsl(path.split("?", 1)[1], keep_blank_values=True))
        since, limit, now = query.get("since", ""), int(query["limit"]), time.monotonic() - 6.0
        listed = []
        for name in sorted(self.machines):
            machine = self.machines[name]
            if name > since and machine["rented"] <= now:
                w = machine["worker"]
                up = w.up_at is not None and w.up_at <= now
                listed.append({"id": name, "address": w.address, "rig": w.rig, "yard": w.yard, "loaner": w.loaner,
                               "standing": "running" if up else "starting", "heldS": now - machine["rented"]})
        return 200, {"stalls": listed[:limit], "more": len(listed) > limit}


class Worker:
    """A machine and its worker."""

    def __init__(self, world, name, rig, yard, loaner):
        self.world, self.name, self.rig, self.yard, self.loaner = world, name, rig, yard, loaner
        self.port = free_port()
        self.address = f"127.0.0.1:{self.port}"
        self.session, self.seq, self.token, self.reported_token_at = 1, 0, 0, -100.0
        self.tasks, self.images = {}, {}  # (lot, attempt) -> its state; image -> its fetch
        self.up_at, self.removed = None, False
        self.changed = asyncio.Event()
        self.failing = set()  # the tasks that fail soon after their start here
        self.server = None
        self.jobs = [world.spawn(self.run())]

    def remove(self):
        self.removed = True
        for key in list(self.tasks):
            self.end(key, None, "the machine is gone")
        self.tasks.clear()
        for job in self.jobs:
            job.cancel()
        if self.server:
            self.server.close()

    async def run(self):
        await asyncio.sleep(random.uniform(1.0, 2.0))
        self.server = await serve_http(self.port, self.handle)
        self.up_at = time.monotonic()
        self.world.note(f"{self.name}: up")
        self.renewed = self.up_at
        self.jobs.append(self.world.spawn(self.watch_lease()))
        await self.report_loop()

    async def watch_lease(self):
        while True:
            await asyncio.sleep(0.1)
            if time.monotonic() > self.renewed + LEASE_S:
                self.world.note(f"{self.name}: the lease of session {self.session} ended")
                for key in list(self.tasks):
                    self.end(key, None, "the lease ended")
                self.tasks.clear()
                self.session += 1
                self.renewed = time.monotonic()
                self.changed.set()

    def report(self):
        self.seq += 1
        lots = []
        for (lot, attempt), task in self.tasks.items():
            entry = {"lot": lot, "relist": attempt, "standing": task["standing"]}
            if task["standing"] == "ended":
                entry["passReason"] = task["why"]
            lots.append(entry)
        return {"stall": self.name, "address": self.address, "rig": self.rig, "yard": self.yard,
                "loaner": self.loaner, "saleDay": self.session, "paddleCount": self.seq, "gavel": self.token,
                "recallS": None, "lots": lots}

    async def report_loop(self):
        nodes = list(self.world.controllers)
        at, client = random.randrange(len(nodes)), None
        last_sent = -100.0
        while not self.removed:
            wait = last_sent + REPORT_S * random.uniform(0.75, 1.25) - time.monotonic()
            try:
                await asyncio.wait_for(self.changed.wait(), max(wait, 0.0))
            except asyncio.TimeoutError:
                pass
            await asyncio.sleep(max(0.0, last_sent + 0.5 - time.monotonic()))
            self.changed.clear()
            node = nodes[at]
            if client is None or client.port != self.world.controllers[node].serve_port:
                client = Client(self.world.controllers[node].serve_port)
            last_sent, session = time.monotonic(), self.session
            status, answer = await self.send_report(client, node)
            if status == 200:
                self.take_answer(answer, last_sent, session)
            elif status == 421 and answer and answer.get("auctioneer") in nodes and answer["auctioneer"] != node:
                client.close()
                at = nodes.index(answer["auctioneer"])
                last_sent = -100.0
                self.changed.set()
            else:
                client.close()
                at = (at + 1) % len(nodes)
                await asyncio.sleep(1.0)
                last_sent = -100.0
                self.changed.set()

    async def send_report(self, client, node):
        """Sends a report. An answer that arrives later than 4 s after it is dropped."""
        sent = time.monotonic()
        status, answer = await client.call("POST", "/checkin", self.report(), timeout=4.0)
        if status == 200 and self.world.on_answer:
            hold_s = self.world.on_answer(self, node, answer)
            if hold_s:
                await asyncio.sleep(max(0.0, sent + hold_s - time.monotonic()))
                self.world.note(f"{self.name}: the held answer of {node} arrives "
                                f"{time.monotonic() - sent:.2f} s after its report: {dumps(answer)}")
        if time.monotonic() > sent + 4.0:
            client.close()
            return 0, None
        return status, answer

    def take_answer(self, answer, sent, session):
        token = answer.get("gavel")
        if token is None or token < self.token or session != self.session or self.removed:
            return
        self.raise_token(token)
        self.renewed = max(self.renewed, sent)
        for call in answer["calls"]:
            self.execute(call, "answer")

    def raise_token(self, token):
        if token > self.token:
            self.token = token
            if time.monotonic() > self.reported_token_at + LEASE_S / 2:
                self.reported_token_at = time.monotonic()
                self.changed.set()

    async def handle(self, method, path, body):
        if self.removed:
            raise ConnectionError
        if method == "GET" and path == "/status":
            return 200, self.report()
        if method != "POST" or path != "/do":
            return 400, {}
        request = json.loads(body)
        if "gavel" not in request or "saleDay" not in request:
            return 400, {}
        if request["gavel"] < self.token or request["saleDay"] != self.session:
            return 409, self.report()
        self.raise_token(request["gavel"])
        for call in request["calls"]:
            self.execute(call, "direct")
        return 200, self.report()

    def execute(self, call, way):
        key = (call["lot"], call["relist"])
        self.world.note(f"{self.name}: {way}: {call['call']} {key[0]} attempt {key[1]}")
        task = self.tasks.get(key)
        if call["call"] == "run" and task is None:
            self.changed.set()
            self.tasks[key] = {"standing": "fetching", "why": None}
            refusal = self.refusal(key)
            if refusal:
                self.end(key, refusal, refusal)
            else:
                self.tasks[key]["job"] = self.world.spawn(self.run_task(key))
        elif call["call"] == "kill" and task and task["standing"] != "ended":
            spec = self.world.specs[key[0].split("/")[0]]
            grace = call.get("closingS", 0)
            if task["standing"] == "running" and spec["tallyS"] > 0 and grace > 0 and grace >= spec["ledgerS"]:
                task["standing"] = "saving"
                self.changed.set()
                asyncio.get_running_loop().call_later(spec["ledgerS"], self.end, key, "stopped", "stopped")
            elif task["standing"] != "saving" or grace == 0:
                self.end(key, "stopped", "stopped")
        elif call["call"] == "reap" and task and task["standing"] == "ended":
            del self.tasks[key]
            self.changed.set()

    def refusal(self, key):
        lot = key[0]
        job, _, number = lot.partition("/")
        spec = self.world.specs.get(job)
        if spec is None or int(number) >= spec["lots"]:
            return "no_such"
        others = [(k, t) for k, t in self.tasks.items() if k != key and t["standing"] != "ended"]
        if any(k[0] == lot for k, _ in others):
            return "in_use"
        used = [self.world.specs[k[0].split("/")[0]] for k, _ in others]
        cores = sum(s["cores"] for s in used) + spec["cores"]
        memory = sum(s["memGb"] for s in used) + spec["memGb"]
        if cores > TYPES[self.rig]["cores"] + 1e-6 or memory > TYPES[self.rig]["memGb"] + 1e-6:
            return "no_room"
        return None

    async def run_task(self, key):
        lot = key[0]
        spec = self.world.specs[lot.split("/")[0]]
        await self.fetch(spec["catalog"], spec["pullGb"])
        self.tasks[key]["standing"] = "running"
        self.changed.set()
        self.world.task_begins(self, lot, key[1])
        if lot in self.world.done:
            return self.end(key, "done", "done before")
        begun = time.monotonic()
        while time.monotonic() < begun + self.world.run_s[lot.split("/")[0]]:
            if lot in self.failing:
                await asyncio.sleep(0.1)
                return self.end(key, "error", "error")
            await asyncio.sleep(0.05)
        self.world.done.add(lot)
        self.end(key, "done", "done")

    async def fetch(self, name, size_gb):
        """Waits for an image. It is fetched once, and given up when no task waits for it any more."""
        image = self.images.get(name)
        if image is None:
            image = self.images[name] = {"waiting": 0, "ready": asyncio.Event()}
            duration = size_gb / TYPES[self.rig]["pullGbPerS"]
            image["timer"] = asyncio.get_running_loop().call_later(duration, image["ready"].set)
        image["waiting"] += 1
        try:
            await image["ready"].wait()
        finally:
            image["waiting"] -= 1
            if image["waiting"] == 0 and not image["ready"].is_set():
                image["timer"].cancel()
                del self.images[name]

    def end(self, key, why, note):
        task = self.tasks.get(key)
        if task is None or task["standing"] == "ended":
            return
        if task["standing"] in ("running", "saving"):
            self.world.task_ends(self, key[0], key[1], note)
        else:
            self.world.note(f"{self.name}: {key[0]} attempt {key[1]} ended before it ran: {note}")
        task["standing"], task["why"] = "ended", why
        job = task.get("job")
        if job and job is not asyncio.current_task():
            job.cancel()
        self.changed.set()


class Controller:
    """One process of the project's program, started as the deploy file says."""

    def __init__(self, world, number):
        self.world, self.name, self.zone = world, f"stall-{number}", ZONES[number % 2]
        self.serve_port, self.peer_port, self.state_port = free_port(), free_port(), free_port()
        self.process = None

    def write_settings(self, others):
        w = self.world
        lines = [f'node = "{self.name}"', f'location = "{self.zone}"', f'serve_on = "127.0.0.1:{self.serve_port}"',
                 f'peer_listen = "127.0.0.1:{self.peer_port}"']
        for other in others:
            lines += ["[[seeds]]", f'node = "{other.name}"', f'location = "{other.zone}"',
                      f'address = "127.0.0.1:{other.peer_port}"']
        lines += ["[external]", f'cloud = "127.0.0.1:{w.cloud_port}"', f'state = "127.0.0.1:{self.state_port}"',
                  "[params]", "nodes = 3", f"zones = {dumps(ZONES)}", "time_bound_ms = 25.0"]
        for number in range(10):
            lines += ["[[params.teams]]", f'name = "auction-floor-{number:02d}"', "cpus = 32.0", "cpus_max = 96.0",
                      "gpus = 0.0", "gpus_max = 0.0"]
        for within in (20.0, 40.0):
            lines += ["[[params.objectives]]", 'kind = "wait"', 'class = "lot-settlement"', f"within_s = {within}",
                      "share = 0.96"]
        lines += ["[[params.objectives]]", 'kind = "finished"', 'class = "lot-settlement"', "within_s = 50.0",
                  "share = 0.96", "[[params.objectives]]", 'kind = "deadline"', 'class = "catalog-photos"',
                  "share = 0.9", "times = 1.0", "[[params.objectives]]", 'kind = "guarantee"', "within_s = 15.0",
                  "share = 0.94", "[params.workers]", f"report_s = {REPORT_S}", f"lease_s = {LEASE_S}",
                  "gang_wait_s = 50.0", "gang_peer_s = 4.0", f"cancel_s = {CANCEL_S}", "[params.state]",
                  f"rps = {STATE_RPS}", f"write_rps = {STATE_WRITE_RPS}", f"value_kb = {float(VALUE_KIB)}",
                  f"txn_ops = {TXN_OPS}", "[params.cloud]", f"rps = {CLOUD_RPS}", "list_lag_s = 6.0",
                  "[params.quota]", "cores = 0.064", "memory_mb = 136.0", "max_connections = 3000"]
        self.settings = os.path.join(w.folder, f"{self.name}.toml")
        with open(self.settings, "w") as file:
            file.write("\n".join(lines) + "\n")

    def start(self):
        log = open(os.path.join(self.world.folder, f"{self.name}.log"), "a")
        command = self.world.run_command + [self.settings]
        level = os.environ.get("CONTROLLER_LOG", "info")
        self.process = subprocess.Popen(command, cwd=ROOT, stderr=log, stdout=log, preexec_fn=end_with_parent,
                                        env={**os.environ, "LOG_LEVEL": level, "NO_COLOR": "1"})
        self.world.note(f"{self.name}: started")

    def signal(self, number):
        self.world.note(f"{self.name}: sent {signal.Signals(number).name}")
        self.process.send_signal(number)


class World:
    def __init__(self, record, capacity):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = open(record, "w")
        self.began = time.monotonic()
        self.folder = tempfile.mkdtemp(prefix="sumacbend-review-")
        self.specs, self.run_s, self.done, self.on, self.starts = {}, {}, set(), {}, []
        self.broken = []
        self.on_answer = None
        self.tasks = set()
        with open(os.path.join(ROOT, "deploy", "service.toml")) as file:
            self.run_command = re.search(r'^run = "(.*)"', file.read(), re.M)[1].split()
        self.state, self.cloud, self.cloud_port = StateService(self), Cloud(self, capacity), free_port()
        self.controllers = {c.name: c for c in (Controller(self, number) for number in range(3))}
        self.note(f"TROUBLE={int(self.trouble)}")

    def note(self, text):
        self.record.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.record.flush()

    def now(self):
        return time.monotonic() - self.began

    def spawn(self, work):
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.finished)
        return task

    def finished(self, task):
        self.tasks.discard(task)
        if not task.cancelled() and task.exception():
            self.note(f"stand-in failed: {task.exception()!r}")

    async def start(self):
        if not os.path.exists(os.path.join(ROOT, self.run_command[0])):
            raise RuntimeError("the program is not built")
        for controller in self.controllers.values():
            def handle(method, path, body, node=controller.name):
                return self.state.handle(node, method, path, body)
            await serve_http(controller.state_port, handle)
            others = [other for other in self.controllers.values() if other is not controller]
            controller.write_settings(others)
        await serve_http(self.cloud_port, self.cloud.handle)
        self.spawn(self.state.expire_leases())
        for controller in self.controllers.values():
            controller.start()
        for _ in range(150):
            await asyncio.sleep(0.1)
            health = [await Client(c.serve_port).call("GET", "/healthz", timeout=1.0) for c in
                      self.controllers.values()]
            if all(status == 200 for status, _ in health) and self.leader() and "live/pool/catalogue" in self.state.keys:
                self.note(f"all controllers are healthy, {self.leader()} leads")
                return
        raise RuntimeError("the controllers did not become healthy")

    def leader(self):
        owner = self.state.keys.get("live/pool/owner")
        return owner[0]["node"] if owner else None

    def followers(self):
        return [name for name in self.controllers if name != self.leader()]

    def stop(self):
        for controller in self.controllers.values():
            if controller.process and controller.process.poll() is None:
                controller.process.send_signal(signal.SIGCONT)
                controller.process.kill()
                controller.process.wait()

    def task_begins(self, worker, lot, attempt):
        elsewhere = [w.name for w in self.on.get(lot, []) if w is not worker]
        self.note(f"{worker.name}: {lot} attempt {attempt} starts" + (f" WHILE ON {elsewhere}" if elsewhere else ""))
        self.starts.append((self.now(), lot, attempt, worker.name, elsewhere))
        self.on.setdefault(lot, []).append(worker)

    def task_ends(self, worker, lot, attempt, note):
        self.on[lot].remove(worker)
        self.note(f"{worker.name}: {lot} attempt {attempt} ends: {note}")

    def spec(self, number, **fields):
        spec = {"id": f"j-{number:06d}", "lotType": "lot-settlement", "consignor": "auction-floor-00",
                "saleFormat": "array", "bidRank": "high", "lots": 1, "cores": 4.0, "cards": 0.0, "memGb": 7.5,
                "catalog": "img-01", "pullGb": 0.4, "rigs": None, "yard": None, "oneZone": False, "scatter": False,
                "loaner": False, "appraisedS": 9.0, "tallyS": 0.0, "ledgerS": 0.0, "hammerS": None}
        spec.update(fields)
        return spec

    async def submit(self, spec, run_s, node=None, budget_s=60.0):
        """Submits a job as a user does, with retries. Returns the status of the final answer."""
        self.specs[spec["id"]], self.run_s[spec["id"]] = spec, run_s
        until = time.monotonic() + budget_s
        while True:
            name = node or random.choice(list(self.controllers))
            status, answer = await Client(self.controllers[name].serve_port).call("POST", "/v1/jobs", spec)
            self.note(f"user: POST /v1/jobs {spec['id']} at {name}: {status} {dumps(answer)}")
            if status in (200, 201, 400, 422) or time.monotonic() > until:
                return status
            await asyncio.sleep(1.0)

    async def poll(self, job, node=None):
        name = node or random.choice(list(self.controllers))
        status, answer = await Client(self.controllers[name].serve_port).call("GET", f"/v1/jobs/{job}", timeout=2.0)
        self.note(f"user: GET /v1/jobs/{job} at {name}: {status} {dumps(answer)}")
        return status, answer

    async def abort(self, job, node=None, budget_s=60.0):
        until = time.monotonic() + budget_s
        while True:
            name = node or random.choice(list(self.controllers))
            path = f"/v1/jobs/{job}/abort"
            status, answer = await Client(self.controllers[name].serve_port).call("POST", path)
            self.note(f"user: POST {path} at {name}: {status} {dumps(answer)}")
            if status == 200 or time.monotonic() > until:
                return status, answer
            await asyncio.sleep(1.0)

    async def until(self, condition, timeout, step=0.05):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if condition():
                return True
            await asyncio.sleep(step)
        return condition()

    def workers(self):
        return [machine["worker"] for machine in self.cloud.machines.values()]


class CannotRun(Exception):
    """The case could not be brought about."""


def main(record, capacity, case, limit_s=116.0):
    """Runs a case. `case(world)` returns a text that says how the rule was broken, or None."""
    async def run():
        world = World(record, capacity)
        try:
            await world.start()
            return world, await case(world)
        finally:
            world.stop()
            if os.environ.get("KEEP"):
                print(world.folder)
            else:
                import shutil
                shutil.rmtree(world.folder, ignore_errors=True)

    loop = asyncio.new_event_loop()
    try:
        work = loop.create_task(asyncio.wait_for(run(), limit_s))
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, work.cancel)
        world, broken = loop.run_until_complete(work)
    except BaseException as error:  # Whatever goes wrong here, the case did not run.
        print(f"could not run: {error!r}")
        with open(record, "a") as file:
            file.write(f"could not run: {error!r}\n")
        os._exit(2)
    verdict = f"BROKEN: {broken}" if broken else "held"
    world.note(verdict)
    print(verdict)
    sys.stdout.flush()
    os._exit(11 if broken else 0)
