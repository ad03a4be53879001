"""Opens copies of stored state folders with the program under test."""

import contextlib
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import tempfile

import recording_server
import spool_file
from program import (
    DATA,
    LIMIT_SECONDS,
    Forwarder,
    binary,
    encode_command,
    endpoint,
    run,
    wait_until,
)
from recording_server import RecordingServer
from transcripts import mask, show


@contextlib.contextmanager
def copy_of(name):
    """Provides a temporary copy of one folder of the test data."""
    with tempfile.TemporaryDirectory() as parent:
        folder = pathlib.Path(parent) / name
        shutil.copytree(DATA / name, folder)
        yield folder


# ---- the spool ----


def spool_members(address):
    """Returns an endpoint for each destination of the stored spool."""
    return [
        endpoint("at-%d" % destination, address, destination=destination)
        for destination in range(1, 7)
    ]


def spool_listing():
    """Records what `brassfront spool` prints. Checks that the spool does not change."""
    with copy_of("spool") as folder:
        before = (folder / "spool").read_bytes()
        status, text = run("spool", "--state", folder)
        if (folder / "spool").read_bytes() != before:
            raise AssertionError("the command changed the spool")
    return "status %d\n%s" % (status, text)


def _log_lines(forwarder, *starts):
    return "".join(line + "\n" for line in forwarder.log if line.startswith(starts))


def spool_after_its_deadlines():
    """Records the notices that a forwarder sends for a spool after its deadlines."""
    with RecordingServer() as server, copy_of("spool") as folder:
        forwarder = Forwarder(folder, server.address, spool_members(server.address))
        try:
            wait_until(
                "the ends", lambda: "0 owed" in run("spool", "--state", folder)[1]
            )
            lines = b"".join(
                request.split(b"\r\n\r\n", 1)[1]
                for request in server.of(recording_server.NOTICE)
            ).splitlines(keepends=True)
        finally:
            forwarder.end(signal.SIGKILL)
        text = _log_lines(forwarder, "spool tail", "restored")
    return text + "".join(sorted(mask(line).decode() for line in lines))


def spool_soon_after_the_end():
    """Records the calls that a forwarder makes for a spool that was just written."""
    with RecordingServer() as server, copy_of("spool") as folder:
        path = folder / "spool"
        path.write_bytes(spool_file.shift_to_now(path.read_bytes()))
        forwarder = Forwarder(folder, server.address, spool_members(server.address))
        try:
            wait_until(
                "the ends", lambda: "0 owed" in run("spool", "--state", folder)[1]
            )
            calls = server.of(recording_server.SINGLE_CALL)
            notices = server.of(recording_server.NOTICE)
        finally:
            forwarder.end(signal.SIGKILL)
        text = _log_lines(forwarder, "spool tail", "restored")
    text += "".join(show("a call", call) for call in sorted(calls, key=_correlation_id))
    return text + "".join(show("a notice", notice) for notice in notices)


def _correlation_id(call):
    return re.search(rb"\r\nX-Correlation-Id: (.*)\r\n", call)[1]


# ---- a fleet's members ----

FLEET_NAMES = ("n0", "n1", "n2")
FLEET_KEY = "dGhlIGtleSBvZiB0aGVzZSB0ZXN0cw==\n"


class Fleet:
    """Fleet members whose state folders are named after them, in a common folder."""

    def __init__(self, folder, names=FLEET_NAMES):
        self.folder = pathlib.Path(folder)
        self.names = names
        self.server = RecordingServer()
        self.members = {}
        self._write_roster()

    def __enter__(self):
        try:
            for name in self.names:
                self._start(name)
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_):
        for member in self.members.values():
            member.end(signal.SIGKILL)
        self.server.__exit__()

    def _write_roster(self):
        key = self.folder / "fleet.key"
        key.touch(mode=0o600)
        key.write_text(FLEET_KEY)
        ports = free_datagram_ports(len(FLEET_NAMES))
        self.ports = dict(zip(FLEET_NAMES, ports))
        rows = "".join(
            '  {name: "%s", hall: "east", peer: "127.0.0.1:%d"},\n' % row
            for row in self.ports.items()
        )
        text = 'fleet: "tests"\nkey: "fleet.key"\nmembers: [\n%s]\n' % rows
        (self.folder / "roster").write_text(text)

    def _start(self, name):
        (self.folder / name).mkdir(exist_ok=True)
        members = [endpoint("single", self.server.address)]
        self.members[name] = Forwarder(
            self.folder / name,
            self.server.address,
            members,
            name=name,
            options=("--fleet", self.folder / "roster"),
        )

    def ask(self, name, *words):
        """Sends a control request to one member. Returns its exit status and reply."""
        status, text = run("fleet", *words, "--state", self.folder / name)
        return "status %d\n%s" % (status, text)

    def ask_until_done(self, name, *words):
        """Repeats a control request until a quorum has settled it."""
        return wait_until(
            " ".join(words),
            lambda: next(
                (text for text in [self.ask(name, *words)] if "status 0" in text), None
            ),
        )

    def wait_for(self, name, text, *words):
        """Returns the reply of one member once it contains the text."""
        return wait_until(
            "%s at %s" % (text, name),
            lambda: next((r for r in [self.ask(name, *words)] if text in r), None),
        )


def free_datagram_ports(count):
    """Returns free ports. All are reserved until the last one is known."""
    with contextlib.ExitStack() as stack:
        ports = []
        for _ in range(count):
            reserved = stack.enter_context(socket.socket(type=socket.SOCK_DGRAM))
            reserved.bind(("127.0.0.1", 0))
            ports.append(reserved.getsockname()[1])
        return ports


# ---- zones ----

ZONE = "example."
ZONE_KEY = "key.records"


class NameServer:
    """One `brassfront zone serve` process that stores the zone in a folder."""

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.process = subprocess.Popen(
            [binary(), "zone", "serve", str(self.folder / "server.records")],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
        )
        first = self.process.stdout.readline()
        if not first.startswith("serving on "):
            self.end()
            raise AssertionError("did not start: " + first)
        self.address = first.split()[-1]

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.end()

    def end(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
        self.process.wait(timeout=LIMIT_SECONDS)
        self.process.stdout.close()

    def query(self, *words):
        key = self.folder / ZONE_KEY
        return _command("zone", "query", self.address, *words, "--key", key)

    def update(self, *steps):
        options = ("--origin", ZONE, "--key", self.folder / ZONE_KEY)
        return _command("zone", "update", self.address, *steps, *options)


def _command(*words):
    status, text = run(*words)
    return "status %d\n%s" % (status, text)


def zone_contents():
    """Records the zone in a stored journal and snapshot, and its endpoints."""
    with copy_of("zone") as folder:
        show_zone = ("zone", "show", folder / "kept", "--origin", ZONE)
        return _command(*show_zone) + _command(*show_zone, "--endpoints")


def zone_server_replies():
    """Records a name server's replies on a stored zone: records, history, an update."""
    with copy_of("zone") as folder, NameServer(folder) as server:
        return (
            server.query(ZONE, "SOA")
            + server.query("www.example.", "A")
            + server.query(ZONE, "AXFR")
            + server.query(ZONE, "IXFR=2")
            + server.update("add new.example. 60 A 192.0.2.77")
            + server.query(ZONE, "AXFR")
        )


def zone_with_torn_journal():
    """Records the zone whose journal ends in an incomplete entry."""
    with copy_of("zone") as folder:
        journal = folder / "kept" / "journal"
        os.truncate(journal, journal.stat().st_size - 5)
        return _command("zone", "show", folder / "kept", "--origin", ZONE)


# ---- fleet replies ----


def member_identity(folder):
    """Returns the identity and the start count stored in a member's folder."""
    _, identity, starts, _ = (folder / "fleet" / "member").read_text().split()
    return identity, int(starts)


def _mask_term(text):
    return re.sub(
        r"term=\d+", "term=<term>", re.sub(r"leader=\w*", "leader=<name>", text)
    )


def fleet_member_alone():
    """Records what one member knows from its folder without a quorum."""
    with copy_of("fleet") as folder:
        identity, starts = member_identity(folder / "n0")
        with Fleet(folder, names=("n0",)) as fleet:
            text = fleet.ask("n0", "maintenance", "list")
            text += _mask_term(fleet.ask("n0", "status"))
            with fleet.members["n0"].connect() as client:
                text += show("a ping", client.exchange(encode_command("PING")))
            if member_identity(folder / "n0") != (identity, starts + 1):
                raise AssertionError("the member's identity was not read")
    return text


def fleet_from_replicated_log():
    """Records what all members agree on when only their replicated logs are left."""
    with copy_of("fleet") as folder:
        for name in FLEET_NAMES:
            (folder / name / "fleet" / "known").unlink()
        with Fleet(folder) as fleet:
            text = ""
            for name in FLEET_NAMES:
                fleet.wait_for(name, "votes=yes", "status")
                text += "# %s\n" % name
                text += fleet.wait_for(name, "over:\n", "maintenance", "list")
            text += fleet.ask_until_done("n1", "maintenance", "hold", "no")
            text += fleet.ask_until_done("n1", "maintenance", "back", "n0")
    return text
