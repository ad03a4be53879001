"""Starts the program under test on loopback and talks to it.

The environment variable BRASSFRONT names the binary. No ports are fixed. Every wait is
for a condition, with a time limit that is only reached on failure.
"""

import json
import os
import pathlib
import queue
import re
import signal
import socket
import subprocess
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
DATA = pathlib.Path(__file__).resolve().parent / "data"
LIMIT_SECONDS = 60
# Timestamp of a log line in text format; `log` holds lines without it.
TIME = re.compile(r"^\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z \+\d+ms ")

# Messages of this class are not repeated once an attempt may have run.
UNKEYED_CLASS = {
    "name": "unkeyed-event",
    "effect": "side_effect",
    "goal-time": 2500000000,
    "hard-limit": 20000000000,
    "late-worth": 0.3,
    "worth": 1.0,
}


def binary():
    return os.environ["BRASSFRONT"]


def run(*arguments):
    """Runs one command. Returns its exit status and output."""
    done = subprocess.run(
        [binary(), *map(str, arguments)],
        capture_output=True,
        text=True,
        timeout=LIMIT_SECONDS,
    )
    return done.returncode, done.stdout + done.stderr


def wait_until(what, condition):
    """Returns the first true value of the condition; fails after the time limit."""
    end = time.monotonic() + LIMIT_SECONDS
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > end:
            raise AssertionError("timed out waiting for " + what)
        time.sleep(0.02)


def closed_address():
    """Returns an address on which nothing listens, and the socket that reserves it."""
    reserved = socket.socket()
    reserved.bind(("127.0.0.1", 0))
    return "127.0.0.1:%d" % reserved.getsockname()[1], reserved


def endpoint(name, address, kind="single", destination=1, phase="Ready"):
    """Returns one member of a discovery list."""
    return {
        "id": name,
        "host_port": address,
        "locality": "here",
        "flavor": kind,
        "cell": destination,
        "phase": phase,
        "size": 50.0,
        "up_since_ms": 0,
    }


class Forwarder:
    """One `brassfront serve` process with its state folder."""

    def __init__(
        self, folder, discovery, members, name="n0", workers=8, options=(), **limits
    ):
        config = json.loads((ROOT / "examples" / "config.json").read_text())
        config["name"] = name
        config["listen"] = "127.0.0.1:0"
        config["discovery"] = discovery
        config["known"]["members"] = members
        config["settings"]["family-info"]["workers"] = workers
        config["settings"]["classes"].append(UNKEYED_CLASS)
        config["settings"]["limits"].update(limits)
        self.folder = pathlib.Path(folder)
        path = self.folder / "config.json"
        path.write_text(json.dumps(config))
        command = [binary(), "serve", "--config", str(path), "--state", str(folder)]
        self.process = subprocess.Popen(
            command + [str(option) for option in options],
            stderr=subprocess.PIPE,
            text=True,
        )
        self.log = []
        lines = queue.Queue()
        self.reader = threading.Thread(target=self._read, args=(lines,), daemon=True)
        self.reader.start()
        self.address = self._await_address(lines)

    def _read(self, lines):
        for line in self.process.stderr:
            self.log.append(TIME.sub("", line.rstrip("\n")))
            lines.put(line)
        lines.put(None)

    def _await_address(self, lines):
        while True:
            line = lines.get(timeout=LIMIT_SECONDS)
            if line is None:
                self.process.wait()
                raise AssertionError("did not start: %s" % self.log)
            if "serving" in line:
                return re.search(r'listen"?[=:]"?([\d.:]+)', line)[1]

    def connect(self):
        return RespConnection(self.address)

    def end(self, how=signal.SIGKILL):
        """Ends the process. Returns its exit status."""
        if self.process.poll() is None:
            self.process.send_signal(how)
        status = self.process.wait(timeout=LIMIT_SECONDS)
        self.reader.join(timeout=LIMIT_SECONDS)
        self.process.stderr.close()
        reports = [line for line in self.log if "Sanitizer" in line]
        if reports:
            raise AssertionError("\n".join(self.log))
        return status


def encode_command(*words):
    """Encodes a RESP command of bulk strings."""
    out = b"*%d\r\n" % len(words)
    for word in words:
        data = word if isinstance(word, bytes) else word.encode()
        out += b"$%d\r\n%s\r\n" % (len(data), data)
    return out


def encode_put(message, destination, body, time_left_ms=20000, keyed=True):
    """Encodes the command that submits one message."""
    message_class = "plan-event" if keyed else UNKEYED_CLASS["name"]
    fields = "c=%s,t=acme,d=%d" % (message_class, time_left_ms)
    if keyed:
        fields += ",k=key-of-" + message
    fields += ",dest=%d" % destination
    return encode_command("MSG.PUT", "0" * 16, message, fields, body)


class RespConnection:
    """A client's connection; replies are returned as raw bytes."""

    def __init__(self, address):
        host, port = address.rsplit(":", 1)
        self.socket = socket.create_connection((host, int(port)), LIMIT_SECONDS)
        self.file = self.socket.makefile("rb")

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.file.close()
        self.socket.close()

    def exchange(self, data):
        self.socket.sendall(data)
        return self.read_reply()

    def read_reply(self):
        """Returns one reply, or an empty one if the connection was closed."""
        try:
            line = self.file.readline()
            if line.startswith(b"$"):
                line += self.file.read(int(line[1:]) + 2)
            return line
        except ConnectionResetError:
            return b""
