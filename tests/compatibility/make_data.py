#!/usr/bin/env python3
"""Generates the data that the compatibility tests read, with a given binary.

The stored data was made by the program at commit 052a23f:

    git checkout 052a23f && cmake -B build-tests && cmake --build build-tests -j3
    python3 tests/compatibility/make_data.py build-tests/brassfront \\
        build-tests/policy_simulator [PART ...]

Parts are spool, fleet, zone, simulator and golden; without PART all are generated.
`golden` records what the given program reads in the stored data and sends on the wire.
The data shows what earlier programs did. Regenerate it only where a later program is
meant to differ; the commit then explains the difference.
"""

import argparse
import base64
import json
import os
import pathlib
import re
import shutil
import signal
import tempfile
import time

import golden
import simulator_script
import simulator_transcripts
import spool_file
import state_folders
from program import (
    DATA,
    Forwarder,
    closed_address,
    encode_put,
    run,
    wait_until,
)
from recording_server import FULL, NOTICE, OK, SINGLE_CALL, RecordingServer

FLEET_FILES = ("member", "known", "settled", "settled.snapshot")
TORN_BYTES = 20  # length of the torn record at the end of the spool


def replace_folder(name):
    folder = DATA / name
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    return folder


# ---- the spool ----


def make_spool():
    """Generates a spool with delivered, retried, given-up and open messages.

    The last record is torn.
    """
    with RecordingServer() as server, tempfile.TemporaryDirectory() as folder:
        _leave_spool(server, folder)
        data = (pathlib.Path(folder) / "spool").read_bytes()
    payloads, rest = spool_file.records(data)
    if rest:
        raise AssertionError("the program itself left a torn record")
    last = len(payloads[-1]) + spool_file.FRAME.size
    torn = data[-last:][:TORN_BYTES]
    folder = replace_folder("spool")
    (folder / "spool").write_bytes(data + torn)
    _wait_for_deadlines(folder)


def _wait_for_deadlines(folder):
    """Waits for all deadlines, so that the time of reading the spool does not
    matter."""
    _, listing = run("spool", "--state", folder)
    latest = max(map(int, re.findall(r"deadline_unix_ms=(\d+)", listing)))
    wait_until("the deadlines", lambda: time.time() * 1000 > latest)


def _leave_spool(server, folder):
    closed, reserved = closed_address()
    members = state_folders.spool_members(server.address)
    for member in members:
        if member["cell"] in (3, 4, 5):
            member["host_port"] = closed
    retried_calls = []
    release = []

    def answer(request):
        if b"X-Correlation-Id: doubtful\r\n" in request:
            wait_until("the end", lambda: release)
            return None
        if b"X-Correlation-Id: retried\r\n" not in request:
            return OK
        retried_calls.append(request)
        if len(retried_calls) == 1:
            return FULL % 50
        wait_until("the end", lambda: release)
        return None

    server.answer = answer
    server.refuse_notices_with = b'"given-up"'
    forwarder = Forwarder(folder, server.address, members)
    try:
        with reserved, forwarder.connect() as client:
            for put in (
                encode_put("delivered", 1, "a body"),
                encode_put("given-up-and-heard", 3, "late", time_left_ms=300),
                encode_put("given-up", 4, "late too", time_left_ms=300),
                encode_put("retried", 2, bytes(range(256))),
                encode_put("doubtful", 6, "may have run", keyed=False),
                encode_put("open", 5, "not yet sent"),
            ):
                if client.exchange(put) != b"+OK\r\n":
                    raise AssertionError("not accepted")
            server.wait_for(NOTICE, containing=b'"given-up"')
            wait_until("a retry", lambda: len(retried_calls) == 2)
            server.wait_for(SINGLE_CALL, containing=b"doubtful")
            wait_until(
                "the ends", lambda: "4 owed" in run("spool", "--state", folder)[1]
            )
    finally:
        forwarder.end(signal.SIGKILL)
        release.append(True)


# ---- a fleet's folders ----


def make_fleet():
    """Generates three members: n0 is out, n1 waits for n0, one request has ended."""
    with tempfile.TemporaryDirectory() as folder:
        with state_folders.Fleet(folder) as fleet:
            _settle_requests(fleet)
        target = replace_folder("fleet")
        for name in state_folders.FLEET_NAMES:
            kept = target / name / "fleet"
            kept.mkdir(parents=True)
            for file in FLEET_FILES:
                source = pathlib.Path(folder) / name / "fleet" / file
                if source.exists():
                    shutil.copy(source, kept)


def _settle_requests(fleet):
    for name in state_folders.FLEET_NAMES:
        fleet.wait_for(name, "votes=yes", "status")
        fleet.wait_for(name, "places=1", "status")
    fleet.ask_until_done("n0", "maintenance", "ask", "n0", "--urgency", "high")
    fleet.wait_for("n1", "state=out", "maintenance", "list")
    fleet.ask_until_done("n1", "maintenance", "ask", "n1", "--token", "4711")
    fleet.ask_until_done("n2", "maintenance", "ask", "n2", "--urgency", "low")
    fleet.ask_until_done("n2", "maintenance", "ask", "single", "--endpoint")
    fleet.ask_until_done("n2", "maintenance", "hold", "yes")
    listing = fleet.ask("n2", "maintenance", "list", "--json")
    requests = json.loads(listing.split("\n", 1)[1])["open"]
    number = next(each["request"] for each in requests if each["name"] == "n2")
    fleet.ask_until_done("n2", "maintenance", "cancel", str(number))
    for name in state_folders.FLEET_NAMES:
        fleet.wait_for(name, "over:", "maintenance", "list")
        fleet.wait_for(name, "held=yes", "status")


# ---- a zone ----

ZONE_TEXT = """$TTL 60
@ SOA ns host 1 2 1 30 5
@ NS ns
ns A 192.0.2.1
www A 192.0.2.2
www A 192.0.2.3
text TXT "some text" more
alias CNAME www
big HTTPS 1 . alpn=h2 port=8443
s SRV 0 1 8080 www
s TXT destination=1 kind=single zone=here
"""
ZONE_KEY_TEXT = '{name: "writer.", secret: "%s"}' % base64.b64encode(bytes(32)).decode()
NAME_SERVER = """listen: "127.0.0.1:0"
zones: [{name: "example.", file: "example.zone", folder: "kept"}]
keys: [%s]
grants: [{key: "writer.", top: "example.", update: true, transfer: true}]
"""
ZONE_UPDATES = (
    ("add www.example. 60 A 192.0.2.4", "delete text.example. TXT"),
    ("add host.example. 30 AAAA 2001:db8::1",),
    ("delete www.example. A 192.0.2.2", "require alias.example. CNAME"),
    ("add t.example. 60 SRV 0 5 8081 ns", "add t.example. 60 TXT destination=2"),
)


def make_zone():
    """Generates a zone that was read from a file and then changed by updates."""
    folder = replace_folder("zone")
    (folder / "example.zone").write_text(ZONE_TEXT)
    (folder / "server.records").write_text(NAME_SERVER % ZONE_KEY_TEXT)
    (folder / state_folders.ZONE_KEY).write_text("key: " + ZONE_KEY_TEXT + "\n")
    with state_folders.NameServer(folder) as server:
        for steps in ZONE_UPDATES:
            reply = server.update(*steps)
            if reply != "status 0\nNOERROR\n":
                raise AssertionError(reply)
    (folder / "kept" / "lock").unlink()


# ---- everything ----


def make_simulator():
    path = simulator_transcripts.SCRIPT
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(simulator_script.make(os.environ["POLICY_SIMULATOR"]))


def make_golden():
    for name, record in golden.RECORDINGS.items():
        print(name, flush=True)
        path = golden.path_of(name)
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(record())


PARTS = {
    "spool": make_spool,
    "fleet": make_fleet,
    "zone": make_zone,
    "simulator": make_simulator,
    "golden": make_golden,
}


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("brassfront", type=os.path.abspath)
    parser.add_argument("simulator", type=os.path.abspath)
    parser.add_argument("parts", nargs="*", metavar="PART")
    arguments = parser.parse_args()
    os.environ["BRASSFRONT"] = arguments.brassfront
    os.environ["POLICY_SIMULATOR"] = arguments.simulator
    for name in arguments.parts or PARTS:
        PARTS[name]()


if __name__ == "__main__":
    main()
