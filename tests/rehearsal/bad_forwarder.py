#!/usr/bin/env python3
"""A small forwarder that breaks the rule named by $BAD on purpose, or none.

Started like the real one: `bad_forwarder.py serve --config FILE --state DIR`, with
`--sources FILE`, which it ignores. It shows that the auditor of the rehearsal kit
detects each kind of violation.
"""

import argparse
import http.client
import json
import os
import queue
import signal
import socketserver
import sys
import threading
import time

BAD = os.environ.get("BAD", "none")
WARM_UP_S = 4  # warm-up time of the scenarios


class State:
    def __init__(self, config):
        self.config = config
        self.lock = threading.Lock()
        self.members = {m["id"]: m for m in config["known"]["members"]}
        self.waits = {}  # by destination: end of the wait
        self.failed = {}  # by destination: time of the last failed call
        # By destination: allows one call at a time during the warm-up.
        self.warm_up_locks = {}
        self.slots = threading.Semaphore(200)
        self.count = 0
        self.notices = queue.Queue()

    def endpoint_of(self, dest, turn):
        with self.lock:
            if BAD == "own" and self.count % 7 == 0:
                dest = next(
                    (m["cell"] for m in self.members.values() if m["cell"] != dest),
                    dest,
                )
            candidates = [
                m
                for m in self.members.values()
                if m["cell"] == dest and m["phase"] == "Ready"
            ]
            if BAD == "drain":
                candidates = [
                    m for m in self.config["known"]["members"] if m["cell"] == dest
                ]
            if not candidates:
                return None
            return candidates[turn % len(candidates)]["host_port"]


def watch_members(state):
    while True:
        try:
            host, port = state.config["discovery"].split(":")
            connection = http.client.HTTPConnection(host, int(port))
            connection.request("GET", "/api/targets?watch=1&from=0")
            response = connection.getresponse()
            for line in response:
                if not line.strip():
                    continue
                update = json.loads(line)
                with state.lock:
                    if update["complete"]:
                        state.members = {}
                    for member in update["members"]:
                        state.members[member["id"]] = member
        except (OSError, ValueError, http.client.HTTPException):
            pass
        time.sleep(0.1)


def post_notices(state):
    host, port = state.config["discovery"].split(":")
    while True:
        notice = state.notices.get()
        try:
            connection = http.client.HTTPConnection(host, int(port), timeout=2)
            connection.request("POST", "/v2/finals", json.dumps(notice) + "\n")
            connection.getresponse().read()
            connection.close()
        except OSError:
            state.notices.put(notice)
            time.sleep(0.05)


def call(address, message, timeout):
    """Returns the status, or None if the call may have run, and the wait in seconds."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=max(0.05, timeout))
    try:
        connection.request(
            "POST",
            "/events",
            message["body"],
            {"X-Correlation-Id": message["id"], "Idempotency-Key": message["key"]},
        )
        response = connection.getresponse()
        response.read()
        return response.status, int(response.headers.get("Wait-Ms", 0)) / 1000
    except ConnectionRefusedError:
        return 503, 0
    except (OSError, http.client.HTTPException):
        return None, 0
    finally:
        connection.close()


def paced_call(state, dest, address, message, end, timeout):
    """Makes a call; returns its status and the Retry-After that came with it.

    During the warm-up after a failure of the destination, calls go out one at a time,
    after any Retry-After and a tenth of a second apart, so that the backlog does not
    overload a recovering partner: timing alone must not decide whether a forwarder that
    keeps the rules passes.
    """
    now = time.monotonic()
    if (
        BAD in ("fail-back", "attempts")
        or now - state.failed.get(dest, -WARM_UP_S) >= WARM_UP_S
    ):
        return recorded_call(state, dest, address, message, timeout)
    with state.lock:
        warm_up_lock = state.warm_up_locks.setdefault(dest, threading.Lock())
    if not warm_up_lock.acquire(timeout=max(0.0, end - now)):
        return 503, 0  # not sent
    try:
        while BAD != "wait" and state.waits.get(dest, 0) > time.monotonic():
            time.sleep(state.waits[dest] - time.monotonic() + 0.02)
        if time.monotonic() >= end:
            return 503, 0
        status, wait_s = recorded_call(
            state, dest, address, message, min(timeout, end - time.monotonic())
        )
        time.sleep(0.1)
        return status, wait_s
    finally:
        warm_up_lock.release()


def recorded_call(state, dest, address, message, timeout):
    status, wait_s = call(address, message, timeout)
    if wait_s > 0:
        until = time.monotonic() + wait_s
        state.waits[dest] = max(until, state.waits.get(dest, 0))
    if status not in (200, 410):
        state.failed[dest] = time.monotonic()
    return status, wait_s


def deliver(state, message, number):
    dest = message["dest"]
    end = message["until"] - 0.3
    if BAD == "lost" and number % 5 == 0:
        return
    if BAD == "after-end" and number % 5 == 0:
        state.notices.put({"id": message["id"], "status": "undeliverable"})
        time.sleep(0.3)
    tries = 0
    ran_since = None
    while True:
        now = time.monotonic()
        wait = state.waits.get(dest, 0) - now
        # The partner drops duplicates only within its window.
        too_old = ran_since is not None and now - ran_since > 0.4
        if (
            now >= end
            or too_old
            or (tries >= 12 and BAD not in ("attempts", "fail-back"))
        ):
            break
        if wait > 0 and BAD not in ("wait", "fail-back"):
            time.sleep(min(wait + 0.02, max(0.01, end - now)))
            continue
        address = state.endpoint_of(dest, number + tries)
        if address is None:
            time.sleep(0.05)
            continue
        tries += 1
        if BAD == "overlap":
            threading.Thread(
                target=call, args=(address, message, end - now), daemon=True
            ).start()
        status, wait_s = paced_call(
            state, dest, address, message, end, 5 if ran_since is None else 0.2
        )
        if status == 200:
            if BAD == "resend":
                time.sleep(0.8)
                call(address, message, 1)
            return
        if status == 410:
            return
        if status not in (429, 503, 504):
            ran_since = ran_since or now
        time.sleep(0.15 if BAD not in ("attempts", "fail-back") else 0.03)
    state.notices.put({"id": message["id"], "status": "undeliverable"})


class Client(socketserver.StreamRequestHandler):
    def handle(self):
        while True:
            line = self.rfile.readline()
            if not line:
                return
            words = []
            for _ in range(int(line[1:])):
                size = int(self.rfile.readline()[1:])
                words.append(self.rfile.read(size))
                self.rfile.read(2)
            if words[0] == b"PING":
                self.wfile.write(b"+PONG\r\n")
                continue
            self.wfile.write(self.server.state.put(words))


def put(state, words):
    fields = dict(f.split("=", 1) for f in words[3].decode().split(","))
    message = {
        "id": words[2].decode(),
        "key": fields["k"],
        "dest": int(fields["dest"]),
        "until": time.monotonic() + int(fields["d"]) / 1000,
        "body": words[4],
    }
    with state.lock:
        state.count += 1
        number = state.count
    if BAD == "crash" and number == 30:
        os._exit(1)
    threading.Thread(target=deliver, args=(state, message, number), daemon=True).start()
    return b"+OK\r\n"


class Server(socketserver.ThreadingTCPServer):
    allow_reuse_address = True
    daemon_threads = True
    request_queue_size = 256


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("command")
    parser.add_argument("--config")
    parser.add_argument("--state")
    parser.add_argument("--sources")
    given = parser.parse_args()
    with open(given.config) as file:
        config = json.load(file)
    state = State(config)
    state.put = lambda words: put(state, words)
    threading.Thread(target=watch_members, args=(state,), daemon=True).start()
    threading.Thread(target=post_notices, args=(state,), daemon=True).start()
    host, port = config["listen"].split(":")
    server = Server((host, int(port)), Client)
    server.state = state
    signal.signal(signal.SIGTERM, lambda *_: os._exit(0))
    signal.signal(signal.SIGHUP, lambda *_: None)
    print(
        "serving name=%s listen=%s:%d"
        % (config["name"], host, server.server_address[1]),
        file=sys.stderr,
        flush=True,
    )
    server.serve_forever()


if __name__ == "__main__":
    main()
