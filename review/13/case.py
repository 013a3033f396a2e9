"""A replica leaves while two of ten machines are cut off from the store, each for 1.25 s."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
sys.dont_write_bytecode = True
from standin_3 import Link, Node, Replica, Store, call, free_ports, main, serve_http, until

ZONES = {"lj-a": "ljubljana", "lj-b": "ljubljana", "mb-a": "maribor"}
BEAT_S = 1.2
CUT_S = 1.25
DRAIN_S = 2.5
STABLE_S = 4.0
LINGER_S = 9.0
ROUNDS = 14
LAST_ROUND_AT_S = 102
MACHINES = 10
CUT_OFFSETS_S = [0.0, 0.4]  # one machine is cut off after the other


async def case(record, folder, trouble):
    subnet = "127.%d.%d" % (random.randint(20, 200), random.randint(1, 250))
    ips = ["%s.%d" % (subnet, 11 + n) for n in range(MACHINES)]
    store_ip = subnet + ".2"
    replica_ips = ["%s.%d" % (subnet, n) for n in range(100, 100 + ROUNDS + 4)]
    ports = free_ports(ips, 5)
    store_port, *link_ports = free_ports([store_ip], 1 + len(CUT_OFFSETS_S))
    (server_port,) = free_ports(replica_ips, 1)
    store = Store(record)
    await serve_http((store_ip, store_port), store.handle)
    links = [Link((store_ip, store_port)) for _ in link_ports]
    for link, port in zip(links, link_ports):
        await link.serve((store_ip, port))
    await store.write("op", "config", {
        "Version": 3,
        "Routes": [{"Name": "r-quote", "Host": "tok.example", "Prefix": "/quote/", "Kind": "safe",
                    "TimeoutMs": 1200, "TargetLatencyMs": 200, "Priority": 2,
                    "Service": "tok-portal", "MaxAttempts": 2}],
        "Services": [{"Name": "tok-portal", "HealthPath": "/health", "MaxConns": 100,
                      "Protocol": "h1", "Tls": False}],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 33554432, "HeaderTimeoutMs": 3000,
                   "IdleTimeoutMs": 15000}})
    replicas = []

    async def add_replica():
        number = len(replicas)
        replica = Replica(store, record, "tok-portal", "i-%06x" % random.getrandbits(24),
                          (replica_ips[number], server_port), list(ZONES)[number % 3], BEAT_S)
        replicas.append(replica)
        await replica.start()
        return replica

    nodes = []
    broken = []
    try:
        for _ in range(3):
            await add_replica()
            await asyncio.sleep(random.uniform(0, BEAT_S))
        for number, ip in enumerate(ips):
            zone = list(ZONES)[number % 3]
            store_address = (store_ip, (link_ports + [store_port] * MACHINES)[number])
            node = Node(record, folder, "edge-%s-%d" % (zone, number // 3 + 1), ip, zone, ZONES,
                        ports, ips[-3:], store_address)
            nodes.append(node)
            await node.start()
        for node in nodes:
            if not await until(node.is_ready, 10):
                raise RuntimeError("%s is not ready" % node.name)
        cut_nodes = nodes[:len(links)]

        async def cut(node, link, offset):
            await asyncio.sleep(offset)
            if trouble:
                link.open.clear()
                record.line("%s is cut off from the store" % node.name)
            await asyncio.sleep(CUT_S)
            if trouble:
                link.open.set()
                record.line("%s reaches the store again" % node.name)

        await asyncio.sleep(5)
        sent = {}  # request id -> time

        async def request(node):
            request_id = "%016x" % random.getrandbits(64)
            sent[request_id] = record.now()
            headers = {"Host": "tok.example", "Request-Id": request_id, "Deadline-Ms": "1200"}
            answer = await call(node.front, "POST", "/quote/" + request_id[:4], headers, b"q" * 600)
            status = answer[0] if answer else None
            record.line("request %s by way of %s: %s" % (request_id, node.name, status))

        exits = []

        async def exit_later(replica):
            await asyncio.sleep(LINGER_S)
            await replica.exit()
            record.line("replica %s exits" % replica.name)

        for number in range(ROUNDS):
            if record.now() > LAST_ROUND_AT_S:
                break
            leaving = replicas[number]
            rounds = number + 1
            await asyncio.sleep(random.uniform(0.1, 1.3))
            cuts = [asyncio.create_task(cut(*one)) for one in zip(cut_nodes, links, CUT_OFFSETS_S)]
            await asyncio.sleep(random.uniform(0.7, 1.0))
            await leaving.remove_entry()
            exits.append(asyncio.create_task(exit_later(leaving)))
            await asyncio.gather(*cuts)
            await asyncio.sleep(0.5)
            await add_replica()
            await asyncio.sleep(STABLE_S - 0.3)
            # The machines are in touch again, and DrainMs has passed since the acknowledgement.
            began = record.now()
            for _ in range(3):
                # Enough at once that replicas of all zones get some.
                await asyncio.gather(*[request(node) for node in cut_nodes for _ in range(10)])
            late = [(at, one) for at, one in leaving.ran if at >= began
                    and sent.get(one, 0) > leaving.removed_at + DRAIN_S]
            if late:
                broken.append((leaving.name, len(late)))
                record.line("DRAIN: %d requests reached %s, the first %.1f s after its entry was "
                            "removed" % (len(late), leaving.name, late[0][0] - leaving.removed_at))
                break
        record.line("rounds: %d, rounds with a request to a replica that is gone: %d"
                    % (rounds, len(broken)))
        return not broken
    finally:
        for node in nodes:
            await node.stop()

main(case)
