"""Runs a forwarder on loopback with test servers whose faults the test controls.

Discovery and each endpoint are separate stand-ins (test servers). Every wait is for a
condition, with a time limit that is only reached on failure.
"""

import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "examples"))
sys.path.insert(0, str(ROOT / "tests" / "faults"))
import toy_server  # noqa: E402
from fault_table import (  # noqa: E402,F401
    HOLD_AFTER,
    HOLD_BEFORE,
    HOLD_HALFWAY,
    KILL_AFTER,
    KILL_BEFORE,
    KILL_HALFWAY,
    OBSERVE,
    FAKE_SUCCESS,
    SHORT,
    FaultTable,
)

PROGRAM = os.environ["BRASSFRONT"]
SHIM = os.environ["FAULT_SHIM"]
LIMIT = float(os.environ.get("FAULT_LIMIT_SECONDS", "20"))
DESTINATION = 1
STAND_IN_POLL_S = 0.02  # interval at which a stand-in checks for shutdown


def wait_for(what, condition):
    end = time.monotonic() + LIMIT
    while not condition():
        if time.monotonic() > end:
            raise AssertionError("timed out waiting for " + what)
        time.sleep(0.01)


def free_address():
    """Returns an address that is free now. The host is a random loopback address, so
    that no other test takes the port while nobody listens there."""
    host = "127.%d.%d.%d" % tuple(random.SystemRandom().randint(1, 254) for _ in "abc")
    with socket.socket() as probe:
        probe.bind((host, 0))
        return "%s:%d" % (host, probe.getsockname()[1])


def member(name, address, phase="Ready", up_since_ms=0):
    return {
        "id": name,
        "host_port": address,
        "locality": "here",
        "flavor": "single",
        "cell": DESTINATION,
        "phase": phase,
        "size": 50.0,
        "up_since_ms": up_since_ms,
    }


def admin_call(address, method, path, timeout=2):
    """Sends a request to a forwarder's operator address; returns status and body."""
    request = urllib.request.Request("http://%s%s" % (address, path), method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, answer.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()


class LayoutHandler(toy_server.Handler):
    """Writes endpoint lists in chunks of the stand-in's `chunk_bytes`."""

    def chunk(self, text):
        step = self.server.chunk_bytes or len(text)
        for at in range(0, len(text), step):
            super().chunk(text[at : at + step])


class Discovery(toy_server.Toy):
    """A discovery server that can split its lists over several lines and chunks."""

    def __init__(self):
        super().__init__(revision=1)
        self.RequestHandlerClass = LayoutHandler
        self.indent = None
        self.chunk_bytes = 0

    def list_line(self):
        body = {"revision": self.revision, "complete": True, "members": self.members}
        return json.dumps(body, indent=self.indent) + "\n"


class Endpoint(toy_server.Toy):
    """An endpoint that accepts, rejects, never answers or delays each call."""

    TAKE, REJECT, HANG, HOLD = range(4)

    def __init__(self):
        super().__init__()
        self.mode = self.TAKE
        self.delivered = []  # message ids, one entry for each accepted call
        self.hung = []  # ids of calls that were not answered or are delayed
        self.released = threading.Event()  # set: delayed calls (HOLD) are accepted
        self.answer = self.answer_by_mode

    def answer_by_mode(self, call):
        if self.mode == self.REJECT:
            return 503, {}
        if self.mode == self.HANG:
            self.hung.append(call["id"])
            return b""
        if self.mode == self.HOLD:
            self.hung.append(call["id"])
            self.released.wait(timeout=LIMIT)
        self.delivered.append(call["id"])
        return 200, {}


class Forwarder:
    """One process of the program; `log` collects its log lines while they are read."""

    def __init__(self, config_path, state, environment, options=(), stderr=None):
        """`stderr`: a descriptor of the caller, used instead of the pipe for `log`."""
        command = [
            PROGRAM,
            "serve",
            "--config",
            str(config_path),
            "--state",
            str(state),
        ]
        self.log = []
        self.reader = None
        self.write_end = None
        if stderr is None:
            self.read_end, self.write_end = os.pipe()
        self.process = subprocess.Popen(
            command + list(options),
            stderr=self.write_end if stderr is None else stderr,
            env=dict(os.environ, **environment),
        )
        if stderr is not None:
            return
        os.close(self.write_end)
        self.reader = threading.Thread(target=self._read_log, daemon=True)
        self.reader.start()

    def _read_log(self):
        with open(self.read_end, "rb", buffering=0, closefd=False) as lines:
            rest = b""
            while True:
                part = lines.read(65536)
                if not part:
                    return
                *whole, rest = (rest + part).split(b"\n")
                self.log += [line.decode(errors="replace") for line in whole]

    def close_log_reader(self):
        """Closes the read end of the log pipe, as if the log reader had exited."""
        nowhere = os.open(os.devnull, os.O_RDONLY)
        os.dup2(nowhere, self.read_end)
        os.close(nowhere)

    def alive(self):
        return self.process.poll() is None

    def send_signal(self, number):
        if self.alive():
            self.process.send_signal(number)

    def end(self, how=signal.SIGKILL):
        self.send_signal(how)
        return self.process.wait(timeout=LIMIT)


class FaultTest(unittest.TestCase):
    """Sets up a forwarder, discovery and endpoints `a` and `b` of one destination."""

    CLASS = {}  # overrides of the message class in examples/config.json

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.state = self.folder / "state"
        self.state.mkdir()
        self.faults = FaultTable(self.folder / "faults")
        self.discovery = self.new_stand_in(Discovery)
        self.endpoints = {name: self.new_stand_in(Endpoint) for name in "ab"}
        self.listen = free_address()
        self.admin = free_address()
        self.config = json.loads((ROOT / "examples" / "config.json").read_text())
        self.config["listen"] = self.listen
        self.config["discovery"] = self.discovery.address
        self.config["known"]["members"] = self.members()
        self.config["settings"]["classes"][0].update(self.CLASS)
        self.discovery.members = self.members()
        self.accepted = []

    def new_stand_in(self, kind=toy_server.Toy):
        stand_in = kind().start(STAND_IN_POLL_S)
        self.addCleanup(stand_in.server_close)
        self.addCleanup(stand_in.shutdown)
        return stand_in

    def announce_members(self, **phases):
        """Makes discovery send a new list. `phases` gives the phase of some endpoints,
        such as `a="Terminating"`; the others are ready."""
        self.discovery.announce(self.members(**phases))

    def members(self, **phases):
        return [
            member(name, stand_in.address, phases.get(name, "Ready"))
            for name, stand_in in self.endpoints.items()
            if phases.get(name) != "Gone"
        ]

    # ---- the forwarder ----

    def write_config(self):
        path = self.folder / "config.json"
        path.write_text(json.dumps(self.config))
        return path

    def launch(self, shim=True, environment=None, options=(), stderr=None, faults=None):
        """Starts a process without waiting for it. `faults`: the fault table to use
        instead of the common one."""
        variables = {"NODE_ADMIN": ""}
        if shim:
            variables.update(
                LD_PRELOAD=SHIM,
                FAULT_TABLE=str((faults or self.faults).path),
                FAULT_FOLDER=str(self.state),
                ASAN_OPTIONS="verify_asan_link_order=0",
            )
        variables.update(environment or {})
        forwarder = Forwarder(
            self.write_config(), self.state, variables, options, stderr
        )
        self.addCleanup(forwarder.end)
        return forwarder

    def start(self, **options):
        """Starts a process and waits until it serves clients."""
        forwarder = self.launch(**options)
        self.await_serving(forwarder)
        return forwarder

    def await_serving(self, forwarder):
        def answers():
            self.assertTrue(forwarder.alive(), forwarder.log)
            return self.ping() == "+PONG"

        wait_for("a forwarder that serves", answers)

    def ping(self):
        try:
            client = toy_server.Client(self.listen, timeout=2)
        except OSError:
            return ""
        try:
            return client.call("PING")
        except OSError:
            return ""
        finally:
            client.close()

    # ---- messages ----

    def put(self, body="body", **options):
        """Submits one message on a new connection. Returns its id, or None if it was
        rejected."""
        try:
            client = toy_server.Client(self.listen, timeout=5)
        except OSError:
            return None
        try:
            message, reply = client.put(DESTINATION, body, **options)
        except OSError:
            return None
        finally:
            client.close()
        if reply != "+OK":
            return None
        self.accepted.append(message)
        return message

    def put_accepted(self, **options):
        """Submits messages until one is accepted, and returns its id."""
        ids = []

        def accepted():
            message = self.put(**options)
            ids.extend([message] if message else [])
            return ids

        wait_for("a message to be accepted", accepted)
        return ids[0]

    def set_mode(self, mode):
        for endpoint in self.endpoints.values():
            endpoint.mode = mode

    def hangs(self, message):
        return any(message in endpoint.hung for endpoint in self.endpoints.values())

    def calls_of(self, message):
        """Returns the names of the endpoints that accepted the message, one entry for
        each delivery."""
        return [
            name
            for name, stand_in in self.endpoints.items()
            for taken in list(stand_in.delivered)
            if taken == message
        ]

    def calls_to(self, name):
        return len(self.endpoints[name].delivered)

    def notices_of(self, message):
        return [n for n in list(self.discovery.notices) if n["id"] == message]

    def is_over(self, message):
        return bool(self.calls_of(message) or self.notices_of(message))

    def assert_all_end(self):
        """Checks that every accepted message is delivered or ends with a notice."""
        for message in self.accepted:
            wait_for("the end of " + message, lambda: self.is_over(message))

    def await_none_in_flight(self):
        """Waits until no message is in flight. Compares the counters, which are exact;
        the gauge is only updated once a second. Needs `admin` in the configuration."""

        def count(metrics, name):
            series = re.compile("brassfront_" + name + r"(?:\{.*\})? (\d+)$")
            found = [series.match(line) for line in metrics.splitlines()]
            return sum(int(match[1]) for match in found if match)

        def none():
            try:
                _, metrics = admin_call(self.config["admin"], "GET", "/metrics")
            except OSError:  # the operator address opens later than the client one
                return False
            begun = count(metrics, "messages_accepted_total")
            begun += count(metrics, "messages_restored_total")
            return begun > 0 and begun == count(metrics, "messages_ended_total")

        wait_for("all messages to end", none)

    def settle(self, name):
        """Waits until the endpoint has received a call and all accepted messages
        ended."""
        before = self.calls_to(name)

        def called():
            self.put()
            return self.calls_to(name) > before

        wait_for("a call to " + name, called)
        self.assert_all_end()
