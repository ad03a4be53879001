"""Stand-ins for the platform's agent, endpoints and clients, and the process under
test. All addresses are loopback addresses; all ports are free ones."""

import http.client
import json
import os
import re
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
SECOND = 1_000_000_000
LONGEST_PLAY = 110  # seconds


STARTED = []  # all processes that a case has started


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


class Record:
    """The record of a play: one line an event, with the time in seconds."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f} {text}\n")
            self.file.flush()

    def now(self):
        return time.monotonic() - self.start


def listen(address=(HOST, 0)):
    server = socket.socket()
    server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    server.bind(address)
    server.listen(256)
    return server


def free_address():
    with listen() as server:
        return f"{HOST}:{server.getsockname()[1]}"


def split(address):
    host, port = address.rsplit(":", 1)
    return host, int(port)


class HttpServer:
    """A threaded HTTP/1.1 server: one thread a connection. `handle` gets the
    connection, the method, the path, the headers (lower case) and the body, and
    returns False to close the connection."""

    def __init__(self, address=None):
        self.server = listen(split(address) if address else (HOST, 0))
        self.address = f"{HOST}:{self.server.getsockname()[1]}"
        self.connections = set()
        self.lock = threading.Lock()
        self.closed = False
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.server.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                if self.closed:
                    connection.close()
                    return
                self.connections.add(connection)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        try:
            stream = connection.makefile("rb")
            while True:
                line = stream.readline()
                if not line:
                    break
                method, path, _ = line.decode("latin-1").split()
                headers = {}
                while (field := stream.readline().strip()) != b"":
                    name, value = field.decode("latin-1").split(":", 1)
                    headers[name.lower()] = value.strip()
                body = stream.read(int(headers.get("content-length", "0")))
                if self.handle(connection, method, path, headers, body) is False:
                    break
        except (OSError, ValueError):
            pass
        with self.lock:
            self.connections.discard(connection)
        connection.close()

    def handle(self, connection, method, path, headers, body):
        raise NotImplementedError

    def close(self):
        """Ends the server and resets its connections, as a process that dies."""
        with self.lock:
            self.closed = True
            connections = list(self.connections)
        try:
            self.server.shutdown(socket.SHUT_RDWR)  # wakes the thread that accepts
        except OSError:
            pass
        self.server.close()
        for connection in connections:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


def answer(connection, status, headers=(), body=b""):
    head = f"HTTP/1.1 {status} Answer\r\nContent-Length: {len(body)}\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in headers)
    connection.sendall(head.encode() + b"\r\n" + body)


class Agent(HttpServer):
    """The platform's agent: the endpoint list with watches, and notices. While it is
    down it stays silent about the list, and answers notices as always."""

    def __init__(self, record, members, revision, address=None):
        self.record = record
        self.members = {member["id"]: dict(member) for member in members}
        self.changes = []  # (revision, entry)
        self.revision = revision
        self.down = False
        self.notices = {}
        self.watches_answered = 0
        self.condition = threading.Condition()
        super().__init__(address)

    def push(self, entries):
        """The agent has been sent a change of the list."""
        with self.condition:
            self.revision += 1
            for entry in entries:
                self.changes.append((self.revision, dict(entry)))
                if entry["phase"] == "Gone":
                    self.members.pop(entry["id"], None)
                else:
                    self.members[entry["id"]] = dict(entry)
            phases = [f"{entry['id']} {entry['phase']}" for entry in entries]
            self.record(f"agent: revision {self.revision}: {', '.join(phases)}")
            self.condition.notify_all()

    def go_down(self):
        with self.condition:
            self.down = True
            self.record("agent: discovery is down, the agent is silent")
            self.condition.notify_all()

    def come_back(self):
        with self.condition:
            self.down = False
            self.record("agent: discovery is back")
            self.condition.notify_all()

    def handle(self, connection, method, path, headers, body):
        if method == "POST" and path == "/v2/finals":
            return self.take_notices(connection, body)
        if method != "GET" or not path.startswith("/api/targets"):
            return answer(connection, 404)
        known = re.search(r"from=(\d+)", path)
        if "watch=1" in path:
            return self.watch(connection, int(known.group(1)) if known else 0)
        with self.condition:
            self.condition.wait_for(lambda: not self.down)
            text = self.whole_list()
        return answer(connection, 200, (), text)

    def whole_list(self):
        members = list(self.members.values())
        value = {"revision": self.revision, "complete": True, "members": members}
        return (json.dumps(value) + "\n").encode()

    def watch(self, connection, known):
        with self.condition:
            self.condition.wait_for(lambda: not self.down)
        connection.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        told = None
        last = 0.0
        while True:
            with self.condition:
                text = b""
                if not self.down:
                    if told is None and known != self.revision:
                        text = self.whole_list()
                    elif told is not None and told != self.revision:
                        entries = [e for r, e in self.changes if r > told]
                        value = {"revision": self.revision, "complete": False}
                        value["members"] = entries
                        text = (json.dumps(value) + "\n").encode()
                    elif time.monotonic() - last >= 2:
                        text = b"\n"
                    told = self.revision
            if text:
                connection.sendall(b"%x\r\n%s\r\n" % (len(text), text))
                last = time.monotonic()
                if len(text) > 1:
                    self.watches_answered += 1
                    self.record(f"agent: told revision {told} on a watch")
            with self.condition:
                self.condition.wait(0.05)
            if self.closed:
                return False

    def take_notices(self, connection, body):
        try:
            notices = [json.loads(line) for line in body.splitlines() if line.strip()]
        except ValueError:
            return answer(connection, 400)
        with self.condition:
            for notice in notices:
                first = notice["id"] not in self.notices
                self.notices.setdefault(notice["id"], (time.monotonic(), notice))
                if first:
                    self.record(f"agent: notice {json.dumps(notice)}")
        connection.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")
        return True


class Endpoint(HttpServer):
    """An endpoint of a partner. Answers 200 to each call, after `pace` seconds."""

    def __init__(self, record, name, cell, pace=0.12, address=None):
        self.record = record
        self.name = name
        self.cell = cell
        self.pace = pace
        self.calls = []  # (time, id)
        self.answered = []  # (time, id), with 200
        super().__init__(address)

    def member(self, phase="Ready", flavor="shop"):
        return member(self.name, self.address, self.cell, phase, flavor)

    def handle(self, connection, method, path, headers, body):
        if method != "POST":
            return answer(connection, 404)
        begun = time.monotonic()
        message = headers.get("x-correlation-id", "")
        self.calls.append((begun, message))
        self.record(f"endpoint {self.name} (dest {self.cell}): call {message}")
        return self.run(connection, message, headers, body)

    def run(self, connection, message, headers, body):
        time.sleep(self.pace)
        answer(connection, 200)
        self.answered.append((time.monotonic(), message))


def member(name, address, cell, phase="Ready", flavor="shop", size=20.0):
    return {
        "id": name,
        "host_port": address,
        "locality": "z1",
        "flavor": flavor,
        "cell": cell,
        "phase": phase,
        "size": size,
        "up_since_ms": 0,
    }


def settings(**changes):
    """Settings of a small deployment, in the form of the simulator's first message."""
    value = {
        "service-type": "deliver",
        "tick": 5_000_000,
        "discovery": "push",
        "group-size": 1,
        "me": 0,
        "weight-source": "rough",
        "worth-by": "request",
        "over-share-worth": 0.05,
        "shapes": ["shop"],
        "zones": ["z1"],
        "classes": [
            {
                "name": "event",
                "effect": "token",
                "key-scope": "all",
                "dedup-window": 5 * SECOND,
                "goal-time": 5 * SECOND // 2,
                "hard-limit": 12 * SECOND,
                "late-worth": 0.3,
                "stream": False,
                "worth": 1.0,
            }
        ],
        "realms": [{"name": "t1", "fraction": 1.0, "quota-rps": 100.0}],
        "family-info": {
            "bundle-max": [1],
            "own-limits": [False],
            "loses-worth": "line",
            "workers": 16,
        },
        "limits": {
            "open-cap": 237,
            "max-attempts": 12,
            "parallel-tries": False,
            "probes": False,
            "retry-after": True,
            "max-retry-after": 2 * SECOND,
            "may-cancel": True,
            "conn-idle": 15 * SECOND,
            "connect-timeout": 3 * SECOND // 2,
            "multiplex": 1,
        },
        "rules": {
            "answer-slack": 20_000_000,
            "cold": 14 * SECOND,
            "cold-share": 0.31,
            "drain-grace": 2 * SECOND,
            "fall": 3 * SECOND,
            "fall-multiple": 1.5,
        },
    }
    value.update(changes)
    return value


class Forwarder:
    """The program under test, started with the line `run` of the deploy file."""

    def __init__(self, record, folder, known, agent_address, **config):
        self.record = record
        self.folder = Path(folder)
        self.state = self.folder / "state"
        self.state.mkdir(exist_ok=True)
        self.listen = free_address()
        self.processes = []
        self.prepare = None  # called in the new process, before it becomes the program
        self.config = {
            "name": "n0",
            "listen": self.listen,
            "discovery": agent_address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
            "known": known,
            "settings": settings(),
        }
        self.config.update(config)

    def run_line(self):
        text = (ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8")
        line = re.search(r'^run = "(.*)"', text, re.MULTILINE)
        if line is None:
            raise CannotRun("no line run in the deploy file")
        return line.group(1)

    def start(self, what="start", **changes):
        if not (ROOT / "build" / "brassfront").exists():
            raise CannotRun(
                "build/brassfront is missing: build as the deploy file says"
            )
        config = dict(self.config, **changes)
        number = len(self.processes)
        path = self.folder / f"config-{number}.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        temporary = self.folder / f"tmp-{number}"
        temporary.mkdir()
        environment = dict(
            os.environ,
            NODE_NAME=config["name"],
            NODE_LISTEN=config["listen"],
            NODE_DISCOVERY=config["discovery"],
            NODE_STATE=str(self.state),
            NODE_CONFIG=str(path),
            TMPDIR=str(temporary),
        )
        if "admin" in config:
            environment["NODE_ADMIN"] = config["admin"]
        with open(self.folder / f"log-{number}.txt", "wb") as log:
            process = subprocess.Popen(
                ["/bin/sh", "-c", self.run_line()],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=self.prepare,
            )
        self.processes.append(process)
        STARTED.append(process)
        self.record(f"forwarder: {what}, process {number}")
        return process

    def ping(self):
        """The answer to PING at the clients' address; None if there is none."""
        try:
            with socket.create_connection(split(self.listen), 0.5) as client:
                client.sendall(b"*1\r\n$4\r\nPING\r\n")
                return client.recv(100).decode("latin-1").strip() or None
        except OSError:
            return None

    def await_ready(self, limit=10):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            if self.ping() == "+PONG":
                self.record("forwarder: ready")
                return
            time.sleep(0.02)
        raise CannotRun("the forwarder does not become ready")

    def kill(self):
        self.record("forwarder: SIGKILL")
        self.processes[-1].kill()
        self.processes[-1].wait()

    def restart_after_kill(self):
        self.kill()
        time.sleep(0.6)
        self.start("started again")

    def log(self):
        logs = sorted(self.folder.glob("log-*.txt"))
        return "".join(log.read_text(errors="replace") for log in logs)

    def end(self):
        end_all()


def end_all():
    for process in STARTED:
        if process.poll() is None:
            process.kill()
            process.wait()


def words(*values):
    """A command of RESP2."""
    encoded = [v.encode() if isinstance(v, str) else v for v in values]
    text = b"*%d\r\n" % len(encoded)
    return text + b"".join(b"$%d\r\n%s\r\n" % (len(v), v) for v in encoded)


class Client:
    """Hands in messages, one at a time, on a connection that it keeps."""

    def __init__(self, record, address):
        self.record = record
        self.address = address
        self.connection = None

    def command(self, *values, limit=0.4):
        """Returns the first line of the answer; None without one in time."""
        for _ in range(2):
            try:
                fresh = self.connection is None
                if fresh:
                    self.connection = socket.create_connection(
                        split(self.address), limit
                    )
                self.connection.settimeout(limit)
                self.connection.sendall(words(*values))
                self.written()
                text = self.connection.recv(4096)
                if text:
                    return text.decode("latin-1").split("\r\n")[0]
            except socket.timeout:
                self.close()
                return None
            except OSError:
                pass
            self.close()
            if fresh:
                return None
        return None

    def written(self):
        """Called when the last byte of a command was written."""

    def put(self, message, fields, body=b"hello"):
        reply = self.command("MSG.PUT", "0" * 16, message, fields, body)
        self.record(f"client: {message} {fields}: {reply}")
        return reply

    def close(self):
        if self.connection is not None:
            self.connection.close()
        self.connection = None


def operator_call(record, address, method, path):
    """One call at the second address; returns the status, None without an answer."""
    try:
        connection = http.client.HTTPConnection(*split(address), timeout=1)
        connection.request(method, path)
        status = connection.getresponse().status
        connection.close()
    except OSError:
        status = None
    record(f"operator: {method} {path}: {status}")
    return status


def give_up():
    end_all()
    os._exit(2)


def play(case, record_path):
    """Runs case(record, folder, trouble), which returns the list of what broke the
    rule. Exits with 1 if there is any, 0 if there is none, 2 if it could not run."""
    record = Record(record_path)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"trouble: {'yes' if trouble else 'no'}")
    watchdog = threading.Timer(LONGEST_PLAY, give_up)
    watchdog.daemon = True
    watchdog.start()
    with tempfile.TemporaryDirectory(prefix="brassfront-review-") as temporary:
        try:
            broken = case(record, Path(temporary), trouble)
        except Exception as error:  # an error of the script is no broken rule
            end_all()
            record(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
            sys.exit(2)
    for line in broken:
        record(f"BROKEN: {line}")
        print(f"BROKEN: {line}")
    verdict = "broken" if broken else "held"
    record(f"the rule was {verdict}")
    print(f"the rule was {verdict}")
    sys.exit(1 if broken else 0)
