"""Some replicas send a refusal a second time, late, and requests must not run twice."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
sys.dont_write_bytecode = True
from standin_3 import (Node, Replica, Request, Store, call, free_ports, main, read_body, read_head,
                       serve_http, until)

ZONES = {"lj-a": "ljubljana", "lj-b": "ljubljana", "mb-a": "maribor"}
HOST = "tok.example"
SLOTS, QUEUE = 6, 2
WORK_S = 0.12
FAULTY_REPLICAS = 2  # of three: a share of 0.6, rounded
EXTRA_SHARE = 0.03
LENGTH_S = 75
CONSUMERS = 40


class FaultyReplica(Replica):
    """A replica that refuses requests while it is full, as the wire's example shows: 503 with
    `Not-Executed` and without an id. After a part of its answers, it sends the same bytes once
    more, when the next response is expected on the channel."""

    extra_share = 0.0
    busy = refused = extras = 0

    async def start(self):
        self.server = await asyncio.start_server(self.on_channel, *self.address, limit=1 << 20)
        self.beating = asyncio.create_task(self.beat())

    async def on_channel(self, reader, writer):
        extra = None
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                method, target, _ = head[0].split(" ", 2)
                body = await read_body(reader, head[1])
                if extra is not None:
                    self.extras += 1
                    self.record.line("replica %s sends an answer once more: %s"
                                     % (self.name, extra.split(b"\r\n")[0].decode()))
                    writer.write(extra)
                    await writer.drain()
                    extra = None
                answer = await self.answer(Request(method, target, head[1], body))
                writer.write(answer)
                await writer.drain()
                if random.random() < self.extra_share:
                    extra = answer
        except (ConnectionError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, request):
        wanted = request.headers.get("expect-instance")
        if wanted not in (None, self.name):
            return (b"HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\n"
                    b"Content-Length: 0\r\n\r\n" % self.name.encode())
        if self.busy >= SLOTS + QUEUE:
            self.refused += 1
            return (b"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n"
                    b"Content-Length: 0\r\n\r\n")
        request_id = request.headers.get("request-id", "")
        self.ran.append((self.record.now(), request_id))
        self.record.line("replica %s runs %s" % (self.name, request_id))
        self.busy += 1
        try:
            await asyncio.sleep(WORK_S)
        finally:
            self.busy -= 1
        head = ("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: %s.%s\r\n"
                "Keep-Alive: timeout=5\r\nContent-Length: 800\r\n\r\n"
                % (request_id, self.name, request_id))
        return head.encode() + b"x" * 800


async def case(record, folder, trouble):
    subnet = "127.%d.%d" % (random.randint(20, 200), random.randint(1, 250))
    ips = ["%s.%d" % (subnet, 11 + n) for n in range(4)]
    store_ip = subnet + ".2"
    server_ips = ["%s.%d" % (subnet, 100 + n) for n in range(3)]
    ports = free_ports(ips, 5)
    (store_port,) = free_ports([store_ip], 1)
    (server_port,) = free_ports(server_ips, 1)
    store = Store(record)
    await serve_http((store_ip, store_port), store.handle)
    await store.write("op", "config", {
        "Version": 3,
        "Routes": [{"Name": "r-buy", "Host": HOST, "Prefix": "/buy/", "Kind": "unsafe",
                    "TimeoutMs": 1500, "TargetLatencyMs": 400, "Priority": 2,
                    "Service": "tok-portal", "MaxAttempts": 2}],
        "Services": [{"Name": "tok-portal", "HealthPath": "/health", "MaxConns": 100,
                      "Protocol": "h1", "Tls": False}],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 33554432, "HeaderTimeoutMs": 3000,
                   "IdleTimeoutMs": 15000}})
    servers = []
    for number, zone in enumerate(ZONES):
        server = FaultyReplica(store, record, "tok-portal", "i-%06x" % random.getrandbits(24),
                               (server_ips[number], server_port), zone, 1.2)
        servers.append(server)
        await server.start()
    nodes, answers = [], {}
    is_over = False

    async def buy(number):
        """A consumer that sends one request after the other, each with an id of its own."""
        while not is_over:
            request_id = "%016x" % random.getrandbits(64)
            headers = {"Host": HOST, "Request-Id": request_id, "Deadline-Ms": "1500"}
            node = random.choice(nodes)
            answer = await call(node.front, "POST", "/buy/%d" % number, headers, b"q" * 600)
            answers[request_id] = answer[0] if answer else None
            record.line("request %s by way of %s: %s" % (request_id, node.name,
                                                         answers[request_id]))
            await asyncio.sleep(random.uniform(0.05, 0.25))

    tasks = []
    try:
        for number, ip in enumerate(ips):
            zone = list(ZONES)[number % 3]
            node = Node(record, folder, "edge-%s-%d" % (zone, number // 3 + 1), ip, zone, ZONES,
                        ports, ips[:3], (store_ip, store_port))
            nodes.append(node)
            await node.start()
        for node in nodes:
            if not await until(node.is_ready, 10):
                raise RuntimeError("%s is not ready" % node.name)
        await asyncio.sleep(5)
        if trouble:
            for server in servers[:FAULTY_REPLICAS]:
                server.extra_share = EXTRA_SHARE
        tasks = [asyncio.create_task(buy(number)) for number in range(CONSUMERS)]
        await asyncio.sleep(LENGTH_S)
        is_over = True
        await asyncio.gather(*tasks)
        runs = {}
        for server in servers:
            for _, request_id in server.ran:
                runs[request_id] = runs.get(request_id, 0) + 1
        twice = [one for one, count in runs.items() if count > 1]
        refused = [one for one in runs if answers.get(one) in (408, 421, 429, 503)]
        for one in twice:
            record.line("TWICE: request %s ran %d times and was answered %s"
                        % (one, runs[one], answers.get(one)))
        for one in refused:
            record.line("REFUSED: request %s ran and was answered %s" % (one, answers[one]))
        statuses = {}
        for status in answers.values():
            statuses[status] = statuses.get(status, 0) + 1
        record.line("requests: %d, answers %s; refused by replicas: %d; answers sent once more: %d; "
                    "ran twice: %d; ran though refused: %d"
                    % (len(answers), statuses, sum(one.refused for one in servers),
                       sum(one.extras for one in servers), len(twice), len(refused)))
        return not twice and not refused
    finally:
        is_over = True
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for node in nodes:
            await node.stop()

main(case)
