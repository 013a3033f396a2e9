"""Stand-ins of the platform for the scripts of the second review: the metadata store, replicas,
callers, and the start and end of the project's own processes. Only loopback addresses are used."""
import base64
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import threading
import time
from urllib.parse import urlsplit, parse_qs

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
PROGRAM = os.environ.get("DOGWOODLB", os.path.join(ROOT, "target/release/dogwoodlb"))
T0 = time.monotonic()
# The nodes that were started, to be ended with the case.
NODES = []


def now():
    return time.monotonic() - T0


class Record:
    """Writes record.txt: one line for each thing that was sent, answered or run."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            self.file.write("%8.3f  %s\n" % (now(), text))
            self.file.flush()


def read_head(sock, buffer=b""):
    while b"\r\n\r\n" not in buffer:
        data = sock.recv(65536)
        if not data:
            return None, buffer
        buffer += data
    head, rest = buffer.split(b"\r\n\r\n", 1)
    return head.decode("latin1"), rest


def parse_head(head):
    lines = head.split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


class Truncated(OSError):
    """The channel ended within a body."""

    def __init__(self, body):
        super().__init__("the channel ended within a body")
        self.body = body


def read_body(sock, headers, rest):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            while b"\r\n" not in rest:
                data = sock.recv(65536)
                if not data:
                    raise Truncated(body)
                rest += data
            size, rest = rest.split(b"\r\n", 1)
            size = int(size, 16)
            while len(rest) < size + 2:
                data = sock.recv(65536)
                if not data:
                    raise Truncated(body)
                rest += data
            body += rest[:size]
            rest = rest[size + 2:]
            if size == 0:
                return body, rest
    length = int(headers.get("content-length", "0"))
    parts = [rest]
    have = len(rest)
    while have < length:
        data = sock.recv(1 << 20)
        if not data:
            raise Truncated(b"".join(parts))
        parts.append(data)
        have += len(data)
    whole = b"".join(parts)
    return whole[:length], whole[length:]


class Server:
    """A TCP server with one thread for each channel."""

    def __init__(self, address):
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind(address)
        self.socket.listen(512)
        self.address = "%s:%d" % self.socket.getsockname()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                sock, peer = self.socket.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.guard, args=(sock, peer), daemon=True).start()

    def guard(self, sock, peer):
        try:
            self.serve(sock, peer)
        except OSError:
            pass
        finally:
            sock.close()


class Store(Server):
    """The platform's metadata store, as PROTOCOL.md tells it (rows only)."""

    TX_S = 0.003

    def __init__(self, ip="127.0.0.1"):
        self.rows = {}
        self.version = 0
        self.change = threading.Condition()
        super().__init__((ip, 0))

    def put(self, table, key, value):
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        with self.change:
            self.version += 1
            self.rows[(table, key)] = [self.version, base64.b64encode(value).decode(), False]
            self.change.notify_all()

    def remove(self, table, key):
        with self.change:
            self.version += 1
            if (table, key) in self.rows:
                self.rows[(table, key)] = [self.version, "", True]
            self.change.notify_all()

    def value(self, table, key):
        with self.change:
            row = self.rows.get((table, key))
            return None if row is None or row[2] else base64.b64decode(row[1])

    def wire(self, key):
        version, value, removed = self.rows[key]
        row = {"Table": key[0], "part": "", "Key": key[1], "RowVersion": version}
        row.update({"Deleted": True} if removed else {"Value": value})
        return row

    def serve(self, sock, peer):
        rest = b""
        while True:
            head, rest = read_head(sock, rest)
            if head is None:
                return
            line, headers = parse_head(head)
            body, rest = read_body(sock, headers, rest)
            method, target, _ = line.split(" ")
            status, answer = self.answer(method, target, body)
            data = json.dumps(answer).encode()
            sock.sendall(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                         % (status, len(data)) + data)

    def answer(self, method, target, body):
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
        if url.path == "/api/rows-tx":
            return self.transact(json.loads(body))
        if url.path == "/api/rows-get":
            return 200, self.read(query)
        if url.path == "/api/rows-feed":
            return 200, self.feed(query)
        return 404, {}

    def transact(self, txn):
        time.sleep(self.TX_S)
        with self.change:
            checks = txn.get("ExpectedRev", [])
            for row in checks:
                known = self.rows.get((row["Table"], row["Key"]))
                version = 0 if known is None or known[2] else known[0]
                if version != row["RowVersion"]:
                    keys = [(r["Table"], r["Key"]) for r in checks]
                    rows = [self.wire(k) for k in keys if k in self.rows and not self.rows[k][2]]
                    return 412, {"Rows": rows, "RowVersion": self.version, "NowMs": int(now() * 1000) + 50000}
            self.version += 1
            for row in txn.get("SetKeys", []):
                self.rows[(row["Table"], row["Key"])] = [self.version, row["Value"], False]
            for row in txn.get("Remove", []):
                if (row["Table"], row["Key"]) in self.rows:
                    self.rows[(row["Table"], row["Key"])] = [self.version, "", True]
            self.change.notify_all()
            return 200, {"RowVersion": self.version, "NowMs": int(now() * 1000) + 50000}

    def read(self, query):
        with self.change:
            low, high = query.get("From", ""), query.get("To", "")
            keys = sorted(k for k, row in self.rows.items() if k[0] == query["Table"] and not row[2]
                          and k[1] >= low and (not high or k[1] < high))
            limit = int(query.get("Limit", 500))
            page, size = [], 0
            for key in keys[:limit]:
                row = self.wire(key)
                size += len(row["Value"]) + 200
                if page and size > 1000000:
                    break
                page.append(row)
            return {"Rows": page, "MorePages": len(page) < len(keys), "RowVersion": self.version,
                    "NowMs": int(now() * 1000) + 50000}

    def feed(self, query):
        until = time.monotonic() + float(query.get("WaitMs", 0)) / 1000
        after, table = int(query["After"]), query["Table"]
        with self.change:
            while True:
                keys = sorted((k for k, row in self.rows.items() if k[0] == table and row[0] > after),
                              key=lambda k: self.rows[k][0])
                left = until - time.monotonic()
                if keys or left <= 0:
                    return {"Rows": [self.wire(k) for k in keys], "RowVersion": self.version,
                            "NowMs": int(now() * 1000) + 50000}
                self.change.wait(left)


class Replica(Server):
    """A replica that follows PROTOCOL.md. `handle(sock, line, headers, body)` writes the answer and
    returns whether the channel goes on."""

    def __init__(self, store, service, name, zone, handle, ip="127.0.0.1", slots=6, models=()):
        self.store, self.service, self.name, self.zone = store, service, name, zone
        self.handle, self.slots, self.models = handle, slots, list(models)
        self.born = int(time.time() * 1000)
        super().__init__((ip, 0))
        self.register("ready")

    def register(self, state):
        self.store.put("servers", self.name, {
            "Service": self.service, "Address": self.address, "Zone": self.zone, "Version": "v1",
            "Slots": self.slots, "State": state, "ColdLeftMs": 0, "Stage": "hybrid",
            "Models": [{"Name": m, "Version": v, "Adapters": []} for m, v in self.models],
            "Seq": 1, "born": self.born})

    def serve(self, sock, peer):
        rest = b""
        while True:
            head, rest = read_head(sock, rest)
            if head is None:
                return
            line, headers = parse_head(head)
            if headers.get("expect-instance", self.name) != self.name:
                body, rest = read_body(sock, headers, rest)
                sock.sendall(("HTTP/1.1 421 X\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n" % self.name).encode())
                continue
            body, rest = read_body(sock, headers, rest)
            if not self.handle(self, sock, line, headers, body):
                return


class Node:
    """A process of the deploy file's role on a loopback address of its own."""

    def __init__(self, store, name, ip, seeds, folder, zone="lj-a", region="ljubljana", zones=None,
                 cpu_share=0.5, log="info"):
        self.name, self.ip = name, ip
        self.front, self.ready = "%s:8161" % ip, "%s:8167" % ip
        self.directory = "%s:8164" % ip
        self.path = os.path.join(folder, name + ".json")
        self.logpath = os.path.join(folder, name + ".log")
        settings = {
            "node": name, "region": region, "centre": zone, "front": self.front, "ready": self.ready,
            "directory": self.directory, "peer": "%s:7720" % ip, "metrics": "%s:9100" % ip,
            "seeds": ["%s:8166" % seed for seed in seeds], "store": store,
            "centres": zones or {"lj-a": "ljubljana", "mb-a": "maribor", "lj-b": "ljubljana"},
            "cpu_share": cpu_share, "address_ttl_s": 5, "grace_s": 8, "order_lease_ms": 3000,
            "results_s": 120, "log": log}
        with open(self.path, "w") as file:
            json.dump(settings, file)
        self.process = None
        NODES.append(self)

    def start(self):
        env = {"DOGWOODLB_SETTINGS": self.path, "PATH": os.environ.get("PATH", "")}
        self.log = open(self.logpath, "ab")
        self.process = subprocess.Popen([PROGRAM, "edge"], cwd=ROOT, env=env, stdout=self.log,
                                        stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL)
        return self

    def kill(self, number=signal.SIGKILL):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def is_ready(self):
        try:
            return request(self.ready, "GET", "/api/readiness", {"Host": "ready"}, timeout=1)[0] == 200
        except OSError:
            return False

    def wait_ready(self, limit=10):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            if self.is_ready():
                return True
            time.sleep(0.05)
        return False

    def rss_mb(self):
        try:
            with open("/proc/%d/status" % self.process.pid) as file:
                for line in file:
                    if line.startswith("VmRSS"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0


def connect(address, timeout=10):
    ip, port = address.rsplit(":", 1)
    sock = socket.create_connection((ip, int(port)), timeout=timeout)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def encode(method, path, headers, body=b""):
    lines = ["%s %s HTTP/1.1" % (method, path)]
    lines += ["%s: %s" % item for item in headers.items()]
    if body or method in ("POST", "PUT"):
        lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def read_answer(sock):
    """Returns the status, the headers, the body, and whether the answer was complete."""
    head, rest = read_head(sock)
    if head is None:
        return None, {}, b"", False
    line, headers = parse_head(head)
    status = int(line.split(" ")[1])
    try:
        body, _ = read_body(sock, headers, rest)
    except Truncated as error:
        return status, headers, error.body, False
    except OSError:
        return status, headers, b"", False
    return status, headers, body, True


def request(address, method, path, headers, body=b"", timeout=10):
    sock = connect(address, timeout)
    try:
        sock.sendall(encode(method, path, headers, body))
        return read_answer(sock)
    finally:
        sock.close()


def config(version, routes, services, limits=None):
    return {"Version": version, "Routes": routes, "Services": services,
            "Limits": limits or {"MaxHeaderBytes": 16384, "MaxBodyBytes": 33554432,
                                 "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 10000}}


def new_id():
    return "%016x" % random.getrandbits(64)


def free_ips(count):
    """Returns loopback addresses on which the fixed ports of a node are free."""
    base = random.randrange(20, 200)
    found = []
    for last in range(1, 250):
        ip = "127.%d.%d.%d" % (base, os.getpid() % 250 + 1, last)
        try:
            for port in (7720, 8161, 8164, 8166, 8167, 9100):
                sock = socket.socket()
                sock.bind((ip, port))
                sock.close()
        except OSError:
            continue
        found.append(ip)
        if len(found) == count:
            return found
    raise OSError("no free loopback addresses")


def end_all():
    for node in NODES:
        node.kill()
    for node in NODES:
        if node.process:
            node.process.wait()


def run_case(main, path):
    """Runs a case and ends all processes that it started. Returns its exit code."""
    import shutil
    import traceback
    if not os.access(PROGRAM, os.X_OK):
        print("%s is missing: build it as the deploy file does" % PROGRAM)
        return 2
    record = Record(path)
    folder = tempfile.mkdtemp(prefix="dogwoodlb-review-")
    try:
        code = main(folder, record)
    except (Exception, KeyboardInterrupt):
        record("the case couldn't run: " + traceback.format_exc().replace("\n", " | "))
        code = 2
    finally:
        end_all()
        shutil.rmtree(folder, ignore_errors=True)
    record("exit code %d" % code)
    return code
