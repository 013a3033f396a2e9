"""A stream that a stopping node accepts and then breaks off. Exit code: 1 if the rule was broken, 0
if it held, 2 if the case couldn't run."""
import os, sys, shutil, tempfile, threading, time, signal, traceback
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
sys.dont_write_bytecode = True
import standin_2 as s

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GRACE_S = 8.0
EVENT_S = 0.1
SHORT_EVENTS = 10       # 1 s: the streams that the node has seen before
LONG_EVENTS = 45        # 4.5 s: the stream that is sent after the SIGTERM
SENT_AFTER_S = 3.2      # later than 3 s after the SIGTERM, while callers may still know the address
BUDGET_MS = 10000
SERVICE = "huvo11a"


def main(folder, record):
    ended = {}

    def handle(replica, sock, line, headers, body):
        rid = headers.get("request-id", "-")
        events = int(headers["token-counts"].split(",")[1])
        record("replica %s runs %s, %d events, Deadline-Ms %s" % (replica.name, rid, events, headers.get("deadline-ms")))
        sock.sendall(("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: stamp.%s\r\n"
                      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" % (rid, rid)).encode())
        try:
            for number in range(1, events + 1):
                event = ("id: %d\ndata: token %d\n\n" % (number, number)).encode()
                sock.sendall(b"%x\r\n%s\r\n" % (len(event), event))
                time.sleep(EVENT_S)
            sock.sendall(b"0\r\n\r\n")
        except OSError as error:
            ended[rid] = "the node closed the channel (%s) at event %d" % (error, number)
            record("replica %s: %s: %s" % (replica.name, rid, ended[rid]))
            raise
        ended[rid] = "whole"
        record("replica %s finished %s" % (replica.name, rid))
        return True

    store = s.Store()
    for number in range(2):
        s.Replica(store, SERVICE, "i-%d" % number, "lj-a", handle, slots=12)
    store.put("op", "config", s.config(2, [
        {"Name": "r-chat", "Host": "ficu95.example", "Prefix": "/chat/", "Kind": "streaming", "TimeoutMs": 10000,
         "TargetLatencyMs": 400, "Priority": 0, "Service": SERVICE, "MaxAttempts": 2}],
        [{"Name": SERVICE, "HealthPath": "/health", "MaxConns": 150}]))
    ips = s.free_ips(2)
    nodes = [s.Node(store.address, "edge-lj-a-%d" % n, ip, ips, folder).start() for n, ip in enumerate(ips, 1)]
    if not all(node.wait_ready() for node in nodes):
        record("the nodes did not become ready")
        return 2
    time.sleep(1)
    results = {}

    def send(label, events):
        rid = s.new_id()
        record("caller sends %s (%s, %d events) to %s" % (rid, label, events, nodes[0].name))
        sock = s.connect(nodes[0].front, 20)
        body = s.encode("POST", "/chat/1", {"Host": "ficu95.example", "Request-Id": rid, "Deadline-Ms": BUDGET_MS,
                                            "Token-Counts": "16,%d" % events}, b"prompt")
        sent_at = s.now()
        sock.sendall(body)
        status, headers, data, whole = s.read_answer(sock)
        sock.close()
        record("caller got %s: status %s, %s, %d events, after %.2f s" % (
            rid, status, "complete" if whole else "NOT complete: the channel ended", data.count(b"id: "), s.now() - sent_at))
        results[label] = (status, whole, rid, sent_at, s.now())

    for number in range(5):
        send("before-%d" % number, SHORT_EVENTS)
    if any(result[0] != 200 or not result[1] for result in results.values()):
        record("a stream before the SIGTERM was not served")
        return 2
    stopped_at = s.now()
    if TROUBLE:
        record("SIGTERM to %s; SIGKILL would follow %.0f s later" % (nodes[0].name, GRACE_S))
        nodes[0].kill(signal.SIGTERM)
    time.sleep(SENT_AFTER_S)
    send("late", LONG_EVENTS)
    status, whole, rid, sent_at, ended_at = results["late"]
    if TROUBLE:
        left = stopped_at + GRACE_S - s.now()
        try:
            nodes[0].process.wait(max(left, 0.1))
            record("%s has ended" % nodes[0].name)
        except Exception:
            record("%s runs on after GraceS" % nodes[0].name)
    time.sleep(0.3)
    record("sent %.2f s after the SIGTERM, ended %.2f s after it; at the replica: %s" % (
        sent_at - stopped_at, ended_at - stopped_at, ended.get(rid, "never arrived")))
    if whole:
        record("HELD: the answer %d is complete" % status)
        return 0
    if status is None and rid not in ended:
        record("HELD: the channel ended before the request was passed on")
        return 0
    record("BROKEN (LOST): the request was passed on to a replica and its channel ended without a complete answer")
    return 1


if __name__ == "__main__":
    sys.exit(s.run_case(main, os.path.join(HERE, "record.txt")))
