"""Stand-ins for the review's cases: clients, endpoints, the platform, and a forwarder.

They follow the operators' pages (protocol, deployment) and use loopback addresses and
the standard library alone. All times are of the monotonic clock, in seconds.
"""

import collections
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
MS = 1_000_000  # nanoseconds; the unit of times in the settings

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
LONGEST_PLAY = 110  # seconds


class CannotRun(Exception):
    """The case could not be played; this says nothing about the rule."""


def trouble():
    """False if the case is to be played without its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port():
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


def wait_until(condition, seconds, what):
    """Waits for the condition; raises CannotRun if it does not come true."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.01)
    raise CannotRun(f"{what}: not within {seconds} s")


class Record:
    """record.txt of a case: what was sent, answered and run, with times in ms."""

    def __init__(self, path):
        self.started = time.monotonic()
        self._lock = threading.Lock()
        self._file = open(path, "w", encoding="utf-8")

    def __call__(self, event, **fields):
        now = (time.monotonic() - self.started) * 1000
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        with self._lock:
            if self._file.closed:
                return
            self._file.write(f"{now:9.1f} {event} {text}".rstrip() + "\n")
            self._file.flush()

    def close(self):
        with self._lock:
            self._file.close()


class Server:
    """Accepts connections until stopped; `serve` runs in a thread for each of them."""

    def __init__(self, serve, address=(HOST, 0)):
        self._serve = serve
        self._lock = threading.Lock()
        self._open = set()
        self._listener = socket.create_server(address, backlog=128)
        self.address = "%s:%d" % self._listener.getsockname()[:2]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self._lock:
                self._open.add(connection)
            threading.Thread(target=self._run, args=(connection,), daemon=True).start()

    def _run(self, connection):
        try:
            self._serve(connection)
        except (OSError, ValueError):
            pass
        finally:
            with self._lock:
                self._open.discard(connection)
            connection.close()

    def stop_accepting(self):
        try:
            self._listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self._listener.close()

    def close_connections(self):
        with self._lock:
            for connection in self._open:
                try:
                    connection.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass

    def stop(self):
        self.stop_accepting()
        self.close_connections()


class HttpInput:
    """Reads HTTP requests from a connection."""

    def __init__(self, connection):
        self._connection = connection
        self._bytes = b""

    def _more(self):
        received = self._connection.recv(65536)
        if not received:
            raise OSError("ended")
        self._bytes += received

    def next(self):
        """Returns method, path, headers with lower-case names, and body."""
        while b"\r\n\r\n" not in self._bytes:
            self._more()
        head, self._bytes = self._bytes.split(b"\r\n\r\n", 1)
        lines = head.decode("latin-1").split("\r\n")
        method, path, _ = lines[0].split(" ", 2)
        headers = {}
        for line in lines[1:]:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
        size = int(headers.get("content-length", "0"))
        while len(self._bytes) < size:
            self._more()
        body, self._bytes = self._bytes[:size], self._bytes[size:]
        return method, path, headers, body


def http_answer(status, headers=(), body=b""):
    lines = [f"HTTP/1.1 {status} Answer", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Platform:
    """Discovery's agent, which also takes the notices, at one or more addresses."""

    def __init__(self, record, members):
        self.record = record
        self.notices = collections.defaultdict(list)  # id: [(time, status)]
        self._changed = threading.Condition()
        self._revision = 1
        self._members = list(members)
        self._silent = False
        self._stopped = False
        self._servers = []

    def listing(self):
        with self._changed:
            return {
                "revision": self._revision,
                "complete": True,
                "members": list(self._members),
            }

    def open_address(self):
        server = Server(self._serve)
        self._servers.append(server)
        return server

    def set_members(self, members):
        """The agent is told a new list, and passes it on at once."""
        with self._changed:
            self._revision += 1
            self._members = list(members)
            self._changed.notify_all()
        self.record("list-told", revision=self._revision, members=len(members))

    def stop(self):
        with self._changed:
            self._stopped = True
            self._changed.notify_all()
        for server in self._servers:
            server.stop()

    def _serve(self, connection):
        requests = HttpInput(connection)
        while True:
            method, path, _, body = requests.next()
            if method == "POST" and path == "/v2/finals":
                self._take_notices(body)
                connection.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")
            elif path.startswith("/api/targets?watch=1"):
                self._watch(connection)
                return
            elif path == "/api/targets":
                text = json.dumps(self.listing()).encode()
                connection.sendall(http_answer(200, body=text))
            else:
                connection.sendall(http_answer(404))

    def _take_notices(self, body):
        now = time.monotonic()
        for line in body.decode().splitlines():
            notice = json.loads(line)
            self.notices[notice["id"]].append((now, notice["status"]))
            self.record("notice", id=notice["id"], status=notice["status"])

    def _watch(self, connection):
        connection.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        told = None
        while not self._stopped:
            listing = self.listing()
            line = b"\n"
            if listing["revision"] != told:
                line = json.dumps(listing).encode() + b"\n"
                told = listing["revision"]
            connection.sendall(b"%x\r\n" % len(line) + line + b"\r\n")
            with self._changed:
                self._changed.wait_for(
                    lambda: self._stopped or self._revision != told, timeout=2
                )


Call = collections.namedtuple("Call", "id arrived connection number")


class Endpoint:
    """Serves POST /events. `decide(call)` returns an Answer for each call.

    `delay` is the time that the network takes one way; calls and answers take it.
    """

    Answer = collections.namedtuple(
        "Answer", "status after extra extra_later", defaults=(200, 0.1, b"", 0.0)
    )

    def __init__(self, record, name, cell, decide, delay=0.0, locality="here"):
        self.record = record
        self.name = name
        self.cell = cell
        self.locality = locality
        self.calls = []  # (Call, Answer or None)
        self.answered = {}  # id: [(time of writing, status)]
        self._decide = decide
        self._delay = delay
        self._lock = threading.Lock()
        self._connections = 0
        self._server = Server(self._serve)

    def member(self, phase="Ready"):
        return {
            "id": self.name,
            "host_port": self._server.address,
            "locality": self.locality,
            "flavor": "plain",
            "cell": self.cell,
            "phase": phase,
            "size": 50.0,
            "up_since_ms": 0,
        }

    def stop(self):
        self._server.stop()

    def runs(self, message):
        """The numbers of the calls with the message that ran or may have run."""
        return [
            call
            for call, answer in self.calls
            if call.id == message
            and (answer is None or answer.status not in (429, 503))
        ]

    def delivered_at(self, message):
        times = [at for at, status in self.answered.get(message, []) if status == 200]
        return min(times, default=None)

    def _serve(self, connection):
        requests = HttpInput(connection)
        with self._lock:
            self._connections += 1
            number = self._connections
        count = 0
        while True:
            method, path, headers, _ = requests.next()
            time.sleep(self._delay)
            if method != "POST" or path != "/events":
                connection.sendall(http_answer(404))
                continue
            count += 1
            call = Call(headers["x-correlation-id"], time.monotonic(), number, count)
            self.record(
                "call", endpoint=self.name, id=call.id, connection=f"{number}/{count}"
            )
            with self._lock:
                answer = self._decide(call)
                self.calls.append((call, answer))
            if answer is None:
                self.record("silent", endpoint=self.name, id=call.id)
                continue
            time.sleep(answer.after)
            self._write(connection, call, answer)

    def _write(self, connection, call, answer):
        written = time.monotonic()
        with self._lock:
            self.answered.setdefault(call.id, []).append((written, answer.status))
        self.record(
            "answer",
            endpoint=self.name,
            id=call.id,
            status=answer.status,
            connection=f"{call.connection}/{call.number}",
            extra=len(answer.extra),
        )
        later = threading.Timer(
            self._delay, self._arrive, (connection, http_answer(answer.status))
        )
        later.daemon = True
        later.start()
        if answer.extra:
            extra = threading.Timer(
                self._delay + answer.extra_later,
                self._arrive,
                (connection, answer.extra),
            )
            extra.daemon = True
            extra.start()

    @staticmethod
    def _arrive(connection, text):
        try:
            connection.sendall(text)
        except OSError:
            pass


def resp(*words):
    out = b"*%d\r\n" % len(words)
    for word in words:
        word = word.encode() if isinstance(word, str) else word
        out += b"$%d\r\n" % len(word) + word + b"\r\n"
    return out


def put(message, cell, seconds, message_class, key=None, tenant="acme"):
    fields = f"c={message_class},t={tenant},d={int(seconds * 1000)}"
    fields += f",k={key}" if key else ""
    return resp("MSG.PUT", "0" * 16, message, f"{fields},dest={cell}", b"body")


class Client:
    """One connection to the forwarder's address for clients."""

    def __init__(self, address):
        host, port = address.split(":")
        self._socket = socket.create_connection((host, int(port)), timeout=0.4)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._bytes = b""

    def send(self, request):
        self._socket.sendall(request)

    def read_line(self, seconds=0.4):
        """Returns the next line, or None if the connection has ended or is silent."""
        end = time.monotonic() + seconds
        while b"\r\n" not in self._bytes:
            left = end - time.monotonic()
            if left <= 0:
                return None
            self._socket.settimeout(left)
            try:
                received = self._socket.recv(65536)
            except OSError:
                return None
            if not received:
                return None
            self._bytes += received
        line, self._bytes = self._bytes.split(b"\r\n", 1)
        return line.decode()

    def ask(self, request, seconds=0.4):
        try:
            self.send(request)
        except OSError:
            return None
        return self.read_line(seconds)

    def close(self):
        self._socket.close()


def ping(address):
    """Returns the answer to PING on a new connection, or None."""
    try:
        client = Client(address)
    except OSError:
        return None
    try:
        return client.ask(resp("PING"))
    finally:
        client.close()


def settings(classes, workers=4, probes=False, zones=("here",)):
    """The settings of a small deployment of two forwarders."""
    return {
        "classes": classes,
        "realms": [{"name": "acme", "fraction": 1.0, "quota-rps": 50.0}],
        "shapes": ["plain"],
        "zones": list(zones),
        "family-info": {
            "workers": workers,
            "bundle-max": [1],
            "own-limits": [False],
            "loses-worth": "line",
        },
        "limits": {
            "open-cap": 100,
            "max-attempts": 12,
            "may-cancel": True,
            "parallel-tries": False,
            "probes": probes,
            "retry-after": True,
            "max-retry-after": 2000 * MS,
            "conn-idle": 15000 * MS,
            "connect-timeout": 1500 * MS,
        },
        "rules": {
            "answer-slack": 20 * MS,
            "drain-grace": 2000 * MS,
            "cold": 14000 * MS,
            "cold-share": 0.31,
            "fall": 3000 * MS,
            "fall-multiple": 1.5,
        },
        "discovery": "push",
        "group-size": 2,
        "tick": 5 * MS,
        "weight-source": "rough",
    }


def message_class(name, effect, seconds, window=5.0):
    return {
        "name": name,
        "effect": effect,
        "key-scope": "all",
        "goal-time": int(2500 * MS),
        "hard-limit": int(seconds * 1000 * MS),
        "dedup-window": int(window * 1000 * MS),
        "late-worth": 0.3,
        "worth": 1.0,
    }


class Forwarder:
    """The forwarder's folder, configuration and processes.

    A process is started by the command `run` of the deploy file, by /bin/sh from the
    root of the repository, as the deploy page says.
    """

    def __init__(self, record, known, its_settings, admin=False):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="brassfront-review-"))
        self.state = self.folder / "state"
        self.state.mkdir()
        self.config = self.folder / "config.json"
        self.listen = f"{HOST}:{free_port()}"
        self.known = known
        self.settings = its_settings
        self.processes = []
        self._has_admin = admin
        self.admin = None
        with open(ROOT / "deploy" / "balancer.toml", "rb") as file:
            self._run = tomllib.load(file)["run"]

    def new_admin(self):
        self.admin = f"{HOST}:{free_port()}"
        return self.admin

    def write_config(self, discovery):
        """Replaces the configuration file as a whole."""
        config = {
            "name": "n1",
            "listen": self.listen,
            "discovery": discovery,
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
            "known": self.known,
            "settings": self.settings,
        }
        if self.admin:
            config["admin"] = self.admin
        self._discovery = discovery
        new = self.config.with_suffix(".new")
        new.write_text(json.dumps(config))
        new.rename(self.config)
        self.record("configuration", discovery=discovery, admin=self.admin)

    def start(self):
        """Starts one process."""
        temporary = tempfile.mkdtemp(prefix="tmp-", dir=self.folder)
        environment = {
            "PATH": os.environ["PATH"],
            "TMPDIR": temporary,
            "NODE_NAME": "n1",
            "NODE_LISTEN": self.listen,
            "NODE_DISCOVERY": self._discovery,
            "NODE_STATE": str(self.state),
            "NODE_CONFIG": str(self.config),
        }
        if self.admin:
            environment["NODE_ADMIN"] = self.admin
        log = open(self.folder / f"log-{len(self.processes)}.txt", "wb")
        process = subprocess.Popen(
            ["/bin/sh", "-c", self._run],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        log.close()
        self.processes.append(process)
        self.record("process-started", number=len(self.processes), pid=process.pid)
        return process

    def signal(self, process, number):
        self.record("signal", pid=process.pid, signal=signal.Signals(number).name)
        process.send_signal(number)

    def is_ready(self):
        return ping(self.listen) == "+PONG"

    def start_and_wait(self, seconds=30):
        process = self.start()
        wait_until(self.is_ready, seconds, "the forwarder's first +PONG")
        self.record("ready", pid=process.pid)
        return process

    def stop(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def admin_call(address, method, path):
    """Returns the status of a call to the second address, or None without an answer."""
    host, port = address.split(":")
    try:
        with socket.create_connection((host, int(port)), timeout=1) as connection:
            connection.sendall(f"{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            return int(connection.recv(4096).split(b" ")[1])
    except (OSError, IndexError, ValueError):
        return None


def _give_up(number, _):
    raise CannotRun(f"{signal.Signals(number).name} before the end")


def play(path, scenario):
    """Plays a case, writes its record to the path, and returns the exit status.

    `scenario(record, cleanup)` returns a list of the ways in which the rule was
    broken. It adds functions that end what it started to `cleanup`. A play that is
    asked to end, takes too long or fails by itself could not run.
    """
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
        signal.signal(number, _give_up)
    signal.alarm(LONGEST_PLAY)
    record = Record(path)
    cleanup = []
    record("case", name=path.parent.name, trouble=int(trouble()))
    try:
        if not (ROOT / "build" / "brassfront").exists():
            raise CannotRun("build the deploy file first: no build/brassfront")
        broken = scenario(record, cleanup)
    except Exception as error:  # a fault of the case says nothing about the rule
        record("verdict", status=COULD_NOT_RUN, why=f"{error!r}")
        print(f"could not run: {error!r}")
        return COULD_NOT_RUN
    finally:
        signal.alarm(0)
        for end in reversed(cleanup):
            end()
    for fault in broken:
        record("broken", what=fault)
        print(f"broken: {fault}")
    status = BROKEN if broken else HELD
    record("verdict", status=status)
    record.close()
    print("rule broken" if broken else "rule held")
    return status
