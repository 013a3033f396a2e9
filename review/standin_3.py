"""Stand-ins for the scripts of the third review, on loopback: the platform's store, its replicas,
a proxy for the link between one machine and the store, and the start of the real nodes.

Written from PROTOCOL.md and DEPLOY.md. Everything runs in one process with one event loop.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

REPOSITORY = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(REPOSITORY, "target", "release", "dogwoodlb")

REASONS = {200: "OK", 202: "Accepted", 404: "Not Found", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 500: "Internal Server Error", 503: "Service Unavailable"}


class Record:
    """The record of a run: one line for each event, with the time since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1)
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def line(self, text):
        self.file.write("%8.3f %s\n" % (self.now(), text))


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        url = urllib.parse.urlsplit(target)
        self.path = url.path
        self.query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))


async def read_head(reader):
    """Reads the lines of a head. Returns None at the end of the channel."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += data[:-2]
    length = int(headers.get("content-length", "0"))
    return await reader.readexactly(length) if length else b""


async def serve_http(address, handler):
    """Serves HTTP/1.1 with kept channels. `handler(request)` returns status, headers and body."""

    async def on_channel(reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                method, target, _ = head[0].split(" ", 2)
                body = await read_body(reader, head[1])
                status, headers, body = await handler(Request(method, target, head[1], body))
                lines = ["HTTP/1.1 %d %s" % (status, REASONS.get(status, "Status"))]
                lines += ["%s: %s" % pair for pair in headers.items()]
                lines += ["Content-Length: %d" % len(body), "", ""]
                writer.write("\r\n".join(lines).encode() + body)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(on_channel, address[0], address[1], limit=1 << 20)


class Store:
    """The platform's metadata store: rows, transactions and the feed of changes."""

    def __init__(self, record):
        self.record = record
        self.rows = {}  # (table, key) -> (value in base64, version, deleted)
        self.version = 100
        self.changed = asyncio.Condition()

    def now_ms(self):
        return int(5_000_000 + self.record.now() * 1000)

    def get(self, table, key):
        row = self.rows.get((table, key))
        return None if row is None or row[2] else row

    async def write(self, table, key, value):
        """A write of the operator or of a replica; None removes the row. Returns the version."""
        self.version += 1
        if value is None:
            if self.get(table, key) is not None:
                self.rows[(table, key)] = ("", self.version, True)
        else:
            text = base64.b64encode(json.dumps(value).encode()).decode()
            self.rows[(table, key)] = (text, self.version, False)
        async with self.changed:
            self.changed.notify_all()
        return self.version

    def wire(self, table, key):
        value, version, deleted = self.rows[(table, key)]
        row = {"Table": table, "part": "", "Key": key, "Value": value, "RowVersion": version}
        if deleted:
            row["Deleted"] = True
        return row

    def reply(self, status, **fields):
        fields.setdefault("RowVersion", self.version)
        fields["NowMs"] = self.now_ms()
        return status, {"Content-Type": "application/json"}, json.dumps(fields).encode()

    async def handle(self, request):
        await asyncio.sleep(0.004)
        if request.path == "/api/rows-tx":
            return await self.commit(json.loads(request.body))
        table = request.query.get("Table", "")
        if request.path == "/api/rows-get":
            low, high = request.query.get("From", ""), request.query.get("To", "")
            keys = sorted(k for t, k in self.rows
                          if t == table and k >= low and (not high or k < high)
                          and not self.rows[(t, k)][2])
            page, size = [], 0
            for key in keys:
                size += len(self.rows[(table, key)][0])
                if page and (len(page) >= 500 or size > 1_000_000):
                    break
                page.append(key)
            rows = [self.wire(table, key) for key in page]
            return self.reply(200, Rows=rows, MorePages=len(page) < len(keys))
        if request.path == "/api/rows-feed":
            after, wait = int(request.query["After"]), float(request.query["WaitMs"]) / 1000
            until = time.monotonic() + wait
            while True:
                keys = [(row[1], k) for (t, k), row in self.rows.items()
                        if t == table and row[1] > after]
                left = until - time.monotonic()
                if keys or left <= 0:
                    rows = [self.wire(table, key) for _, key in sorted(keys)]
                    return self.reply(200, Rows=rows)
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), left)
                    except asyncio.TimeoutError:
                        pass
        return 404, {}, b""

    async def commit(self, txn):
        checks = txn.get("ExpectedRev", [])
        for check in checks:
            row = self.get(check["Table"], check["Key"])
            if (row[1] if row else 0) != check["RowVersion"]:
                rows = [self.wire(c["Table"], c["Key"]) for c in checks
                        if self.get(c["Table"], c["Key"])]
                return self.reply(412, Rows=rows)
        self.version += 1
        for put in txn.get("SetKeys", []):
            self.rows[(put["Table"], put["Key"])] = (put["Value"], self.version, False)
        for gone in txn.get("Remove", []):
            if self.get(gone["Table"], gone["Key"]):
                self.rows[(gone["Table"], gone["Key"])] = ("", self.version, True)
        async with self.changed:
            self.changed.notify_all()
        return self.reply(200)


class Link:
    """The link between one machine and the store. While it is cut, no byte gets through; what is
    held up is delivered afterwards, unless an end has closed its channel."""

    def __init__(self, target):
        self.target = target
        self.open = asyncio.Event()
        self.open.set()

    async def on_channel(self, reader, writer):
        await self.open.wait()
        try:
            other_reader, other_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.close()
            return

        async def copy(source, sink):
            try:
                while True:
                    data = await source.read(65536)
                    await self.open.wait()
                    if not data:
                        break
                    sink.write(data)
                    await sink.drain()
            except (ConnectionError, asyncio.CancelledError):
                pass
            finally:
                sink.close()

        await asyncio.gather(copy(reader, other_writer), copy(other_reader, writer))

    async def serve(self, address):
        return await asyncio.start_server(self.on_channel, *address)


class Replica:
    """A replica of a plain service. It beats in the store until its entry is removed, and serves
    until it exits."""

    def __init__(self, store, record, service, name, address, zone, beat_s, work_s=0.02):
        self.store, self.record, self.service = store, record, service
        self.name, self.address, self.zone = name, address, zone
        self.beat_s, self.work_s = beat_s, work_s
        self.seq, self.born = 0, int(time.time() * 1000)
        self.removed_at = None
        self.ran = []  # (time, request id)
        self.beating = None
        self.server = None
        self.keep_alive = "timeout=5"

    def entry(self):
        return {"Service": self.service, "Address": "%s:%d" % self.address, "Zone": self.zone,
                "Version": "v1", "Slots": 6, "State": "ready", "ColdLeftMs": 0, "Seq": self.seq,
                "born": self.born}

    async def start(self):
        self.server = await serve_http(self.address, self.handle)
        self.beating = asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            self.seq += 1
            await self.store.write("servers", self.name, self.entry())
            await asyncio.sleep(self.beat_s * random.uniform(0.97, 1.03))

    async def remove_entry(self):
        """Leaves without reporting `draining`: the entry is removed, the replica serves on."""
        self.beating.cancel()
        version = await self.store.write("servers", self.name, None)
        self.removed_at = self.record.now()
        self.record.line("store: entry of %s removed, acknowledged, row version %d"
                         % (self.name, version))

    async def exit(self):
        if self.beating:
            self.beating.cancel()
        self.server.close()

    async def handle(self, request):
        if request.path == "/health":
            return 200, {"Instance-Id": self.name}, b""
        wanted = request.headers.get("expect-instance")
        if wanted not in (None, self.name):
            return 421, {"Instance-Id": self.name}, b""
        request_id = request.headers.get("request-id", "")
        self.ran.append((self.record.now(), request_id))
        self.record.line("replica %s runs %s" % (self.name, request_id))
        await asyncio.sleep(self.work_s)
        headers = {"Request-Id": request_id, "Server-Stamp": "%s.%s" % (self.name, request_id),
                   "Keep-Alive": self.keep_alive}
        return 200, headers, b"x" * 800


class Engine(Replica):
    """A model replica that streams `events` events for each request, and takes orders."""

    def __init__(self, store, record, service, name, address, zone, beat_s, models, events=5,
                 pause_s=0.03):
        super().__init__(store, record, service, name, address, zone, beat_s)
        self.versions = {model: 1 for model in models}
        self.events, self.pause_s = events, pause_s
        self.orders = 0

    def entry(self):
        entry = super().entry()
        models = [{"Name": name, "Version": version, "Adapters": []}
                  for name, version in self.versions.items()]
        entry.update(Stage="hybrid", Slots=16, Models=models)
        return entry

    async def start(self):
        self.server = await asyncio.start_server(self.on_channel, *self.address, limit=1 << 20)
        self.beating = asyncio.create_task(self.beat())

    async def on_channel(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                method, target, _ = head[0].split(" ", 2)
                body = await read_body(reader, head[1])
                await self.answer(Request(method, target, head[1], body), writer)
        except (ConnectionError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, request, writer):
        def reply(status, headers, body):
            headers.setdefault("Keep-Alive", self.keep_alive)
            lines = ["HTTP/1.1 %d %s" % (status, REASONS.get(status, "Status"))]
            lines += ["%s: %s" % pair for pair in headers.items()]
            lines += ["Content-Length: %d" % len(body), "", ""]
            writer.write("\r\n".join(lines).encode() + body)

        wanted = request.headers.get("expect-instance")
        if wanted not in (None, self.name):
            return reply(421, {"Instance-Id": self.name}, b"")
        if request.path == "/health":
            return reply(200, {"Instance-Id": self.name}, b"")
        if request.path == "/api/report":
            report = {"Stage": "hybrid", "Models": self.entry()["Models"], "Busy": False,
                      "Seq": self.orders, "Queued": 0, "Running": 0, "KvUsed": 0,
                      "KvTotal": 95290, "Handles": 0}
            return reply(200, {"Content-Type": "application/json"}, json.dumps(report).encode())
        if request.path == "/api/order":
            order = json.loads(request.body)
            if order.get("ExpectedRev", self.orders) != self.orders:
                return reply(409, {}, b"")
            self.orders += 1
            self.versions[order["Model"]] = order["Version"]
            return reply(202, {}, b"")
        request_id = request.headers.get("request-id", "")
        self.ran.append((self.record.now(), request_id))
        self.record.line("replica %s runs %s" % (self.name, request_id))
        writer.write(("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: %s.%s\r\n"
                      "Keep-Alive: %s\r\nWeight-Versions: %d\r\nContent-Type: text/event-stream\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n"
                      % (request_id, self.name, request_id, self.keep_alive,
                         self.versions.get(request.headers.get("model"), 1))).encode())
        for number in range(int(request.headers.get("last-event-id", "0")) + 1, self.events + 1):
            await asyncio.sleep(self.pause_s)
            event = ("id: %d\ndata: %s-%d\n\n" % (number, request_id, number)).encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


async def call(address, method, target, headers, body=b"", timeout=3.0):
    """One request on a new channel. Returns status, headers and body, or None."""

    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            lines = ["%s %s HTTP/1.1" % (method, target)]
            lines += ["%s: %s" % pair for pair in headers.items()]
            lines += ["Content-Length: %d" % len(body), "", ""]
            writer.write("\r\n".join(lines).encode() + body)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                return None
            data = await read_body(reader, head[1])
            return int(head[0].split(" ")[1]), head[1], data
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None


def free_ports(addresses, count):
    """Returns ports that are free on all the addresses, for TCP and UDP."""
    ports = []
    while len(ports) < count:
        port = random.randint(20000, 32000)
        try:
            for address in addresses:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((address, port))
        except OSError:
            continue
        if port not in ports:
            ports.append(port)
    return ports


class Node:
    """A machine that runs the program with the command of the deploy file."""

    def __init__(self, record, folder, name, ip, zone, zones, ports, seeds, store, extra=None):
        self.record, self.name, self.ip = record, name, ip
        front, ready, directory, peer, metrics = ports
        self.front, self.ready, self.directory = (ip, front), (ip, ready), (ip, directory)
        settings = {
            "node": name, "region": zones[zone], "centre": zone,
            "front": "%s:%d" % (ip, front), "ready": "%s:%d" % (ip, ready),
            "directory": "%s:%d" % (ip, directory), "peer": "%s:%d" % (ip, peer),
            "metrics": "%s:%d" % (ip, metrics), "seeds": ["%s:%d" % (s, ready) for s in seeds],
            "store": "%s:%d" % store, "centres": zones, "cpu_share": 0.5, "address_ttl_s": 5,
            "grace_s": 8, "order_lease_ms": 3000, "results_s": 120,
        }
        settings.update(extra or {})
        self.settings = os.path.join(folder, name + ".json")
        with open(self.settings, "w") as file:
            json.dump(settings, file)
        self.log = open(os.path.join(folder, name + ".log"), "ab")
        self.process = None
        self.starts = 0

    async def start(self):
        environment = {"PATH": os.environ.get("PATH", ""), "DOGWOODLB_SETTINGS": self.settings}
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, "edge", cwd=REPOSITORY, env=environment, stdin=asyncio.subprocess.DEVNULL,
            stdout=self.log, stderr=self.log)
        self.starts += 1
        self.record.line("node %s started" % self.name)

    def peak_mb(self):
        """The largest memory that the process has had, in MB, or None if it has ended."""
        try:
            with open("/proc/%d/status" % self.process.pid) as status:
                for line in status:
                    if line.startswith("VmHWM:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return None

    def running_mb(self):
        try:
            with open("/proc/%d/status" % self.process.pid) as status:
                for line in status:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return None

    async def is_ready(self):
        answer = await call(self.ready, "GET", "/api/readiness", {"Host": "x"}, timeout=1.0)
        return answer is not None and answer[0] == 200

    async def stop(self):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()
        self.log.close()


async def until(condition, seconds):
    """Waits until an asynchronous condition holds. Returns whether it did in time."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if await condition():
            return True
        await asyncio.sleep(0.1)
    return False


async def run_case(case):
    """Runs a case so that SIGTERM ends its processes too."""
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    return await case


def main(case):
    """Runs `case(record, folder, trouble)`, which returns whether the rule held, and exits with 0,
    1 or, if it could not run, 2."""
    record = Record(os.path.dirname(os.path.abspath(sys.argv[0])))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    if not os.access(PROGRAM, os.X_OK):
        record.line("could not run: the program is not built")
        sys.exit(2)
    with tempfile.TemporaryDirectory() as folder:
        try:
            held = asyncio.run(run_case(case(record, folder, trouble)))
        except (Exception, asyncio.CancelledError) as error:  # It could not be carried out.
            record.line("could not run: %r" % error)
            sys.exit(2)
        if os.environ.get("KEEP_LOGS"):
            import shutil
            shutil.copytree(folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
    record.line("the rule %s" % ("held" if held else "was broken"))
    sys.exit(0 if held else 1)
