"""Tests of a fleet of several processes through its external interfaces.

Covers the commands and how they report faults, misconfigured members, the roster and
damaged folders. The tests use no fixed ports, and no result depends on speed: each wait
has a long time limit that is reached only on a failure.
"""

import concurrent.futures
import json
import os
import pathlib
import re
import signal
import socket
import stat
import subprocess
import sys
import tempfile
import threading
import time
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "examples"))
import toy_server  # noqa: E402

PROGRAM = os.environ["BRASSFRONT"]
TIMEOUT_SECONDS = 60
KEY = "dGhlIGtleSBvZiB0aGVzZSB0ZXN0cw==\n"
OTHER_KEY = "c29tZSBvdGhlciBrZXkgb2YgdGVzdHM=\n"
DONE, REFUSED, BAD, NO_QUORUM = 0, 1, 2, 3


def free_ports(count):
    sockets = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class Member:
    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.folder = fleet.folder / name
        self.folder.mkdir(exist_ok=True)
        self.log = []
        self.process = None

    def start(self):
        config = json.loads((ROOT / "examples" / "config.json").read_text())
        config["name"] = self.name
        config["listen"] = "127.0.0.1:0"
        config["discovery"] = self.fleet.toy.address
        path = self.folder / "config.json"
        path.write_text(json.dumps(config))
        self.process = subprocess.Popen(
            [
                PROGRAM,
                "serve",
                "--config",
                str(path),
                "--state",
                str(self.folder / "state"),
            ]
            + ["--fleet", str(self.fleet.roster_of(self.name))],
            stderr=subprocess.PIPE,
            text=True,
        )
        self.reader = threading.Thread(
            target=self.read, args=(self.process,), daemon=True
        )
        self.reader.start()
        self.wait_for("serving name=")
        return self

    def read(self, process):
        for line in process.stderr:
            self.log.append(line.rstrip("\n"))

    def wait_for(self, text, since=0):
        end = time.monotonic() + TIMEOUT_SECONDS
        while not any(text in line for line in self.log[since:]):
            if time.monotonic() > end:
                raise AssertionError(
                    "no %r from %s in %s" % (text, self.name, self.log)
                )
            time.sleep(0.02)

    def stop(self, how=signal.SIGKILL):
        if self.process is None:
            return None
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.send_signal(how)
        status = self.process.wait(timeout=TIMEOUT_SECONDS)
        self.reader.join(timeout=TIMEOUT_SECONDS)
        self.process.stderr.close()
        return status

    def run_command(self, *words):
        """Return the exit status and the output."""
        done = subprocess.run(
            [PROGRAM, "fleet", *words, "--state", str(self.folder / "state")],
            capture_output=True,
            text=True,
            timeout=TIMEOUT_SECONDS,
        )
        return done.returncode, done.stdout + done.stderr

    def query(self, *words):
        status, text = self.run_command(*words, "--json")
        if status != DONE:
            raise AssertionError(text)
        return json.loads(text)

    def wait_until(self, what, condition, *words):
        end = time.monotonic() + TIMEOUT_SECONDS
        while True:
            value = self.query(*words)
            if condition(value):
                return value
            if time.monotonic() > end:
                raise AssertionError("timed out waiting for %s: %s" % (what, value))
            time.sleep(0.05)


class FleetTest(unittest.TestCase):
    def setUp(self):
        self.toy = toy_server.Toy().start()
        self.addCleanup(self.toy.server_close)
        self.addCleanup(self.toy.shutdown)
        folder = tempfile.TemporaryDirectory(ignore_cleanup_errors=True)
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.names = ["n0", "n1", "n2"]
        self.ports = dict(zip(self.names, free_ports(3)))
        self.roster = {name: {} for name in self.names}
        self.members = {}

    def roster_of(self, name, key=KEY, fleet="tests", more="", halls=None):
        own = self.roster.get(name, {})
        path = self.folder / (name + ".fleet")
        key_path = self.folder / (name + ".key")
        key_path.touch(mode=0o600)
        key_path.write_text(own.get("key", key))
        rows = "".join(
            '  {name: "%s", hall: "%s", peer: "127.0.0.1:%d"},\n'
            % (each, (halls or {}).get(each, "east"), self.ports[each])
            for each in self.ports
        )
        path.write_text(
            'fleet: "%s"\nkey: "%s.key"\n%s\nmembers: [\n%s]\n'
            % (own.get("fleet", fleet), name, more, rows)
        )
        return path

    def start(self, *names):
        for name in names or self.names:
            member = Member(self, name)
            self.members[name] = member
            self.addCleanup(member.stop)
            member.start()
        return [self.members[name] for name in names or self.names]

    def start_fleet(self):
        """Start three members and wait until their replicated log has the roster."""
        members = self.start()
        for member in members:
            member.wait_until(
                "a leader", lambda s: s["leader"] and s["alive"] == 3, "status"
            )
            member.wait_until("its vote", lambda s: s["votes"], "status")
            member.wait_until("the roster", lambda s: s["places"] == 1, "status")
        return members

    # ---- commands ----

    def test_a_request_made_at_any_member_is_carried_out_and_listed_by_all(self):
        n0, n1, n2 = self.start_fleet()
        self.assertEqual(n2.run_command("maintenance", "ask", "n0")[0], DONE)
        again = n1.run_command("maintenance", "ask", "n0")
        self.assertEqual(again[0], DONE)
        self.assertIn("already asked", again[1])
        self.assertEqual(n1.run_command("maintenance", "ask", "n1")[0], DONE)

        def n0_is_out(view):
            return any(r["name"] == "n0" and r["state"] == "out" for r in view["open"])

        def n1_waits_for_n0(view):
            return any(
                (r["name"], r["state"], r["waits_for"]) == ("n1", "waiting", "n0 (out)")
                for r in view["open"]
            )

        n1.wait_until("n0 to be out", n0_is_out, "maintenance", "list")
        n2.wait_until("n1 to wait for n0", n1_waits_for_n0, "maintenance", "list")
        self.assertTrue(n0.query("status")["standing_by"])
        client = toy_server.Client(self.address_of(n0), timeout=TIMEOUT_SECONDS)
        self.addCleanup(client.close)
        self.assertIn("STANDBY", client.call("PING"))
        # n0 stays out after a restart and serves again only after it is brought back.
        n0.stop()
        since = len(n0.log)
        n0.start()
        n0.wait_for("standby", since)
        self.assertEqual(n1.run_command("maintenance", "back", "n0")[0], DONE)
        n0.wait_until("n0 to serve", lambda s: not s["standing_by"], "status")
        n0.wait_until(
            "n1's turn",
            lambda v: all(r["name"] != "n0" for r in v["open"]),
            "maintenance",
            "list",
        )
        n2.wait_until(
            "n1 to be out",
            lambda v: any(r["name"] == "n1" and r["state"] == "out" for r in v["open"]),
            "maintenance",
            "list",
        )

    def address_of(self, member):
        for line in reversed(member.log):
            found = re.search(r" serving name=.*listen=([\d.:]+)", line)
            if found:
                return found[1]
        raise AssertionError(member.log)

    def test_an_invalid_request_is_refused_with_its_reason(self):
        n0, n1, _ = self.start_fleet()
        for words, status, text in [
            (("ask", "n9"), REFUSED, "no machine n9; there are n0 n1 n2"),
            (("ask", "hall:north"), REFUSED, "no machine is in hall north"),
            (("back", "n1"), REFUSED, "not out"),
            (("cancel", "77"), REFUSED, "no request 77"),
            (("cancel", "x"), REFUSED, "number of a request"),
            (("hold", "perhaps"), REFUSED, "on=yes or on=no"),
            (("ended", "n1"), REFUSED, "it has not ended"),
            (("ask", "n1", "--urgency", "great"), REFUSED, "low, normal or high"),
            (("dance", "n1"), BAD, "no such thing"),
        ]:
            found = n0.run_command("maintenance", *words)
            self.assertEqual(
                (found[0], text in found[1]), (status, True), (words, found)
            )
        self.assertEqual(n0.run_command("maintenance", "hold", "yes")[0], DONE)
        self.assertEqual(n1.run_command("maintenance", "ask", "n1")[0], DONE)

        def is_paused(view):
            return view["open"] and "held" in view["open"][0]["waits_for"]

        row = n0.wait_until("the held request", is_paused, "maintenance", "list")[
            "open"
        ][0]
        self.assertEqual(
            n1.run_command("maintenance", "cancel", str(row["request"]))[0], DONE
        )

    def test_without_a_quorum_a_command_fails_with_a_reason_and_a_retry_is_done_once(
        self,
    ):
        n0, n1, n2 = self.start_fleet()
        for member in (n1, n2):
            member.process.send_signal(signal.SIGSTOP)
        status, text = n0.run_command("maintenance", "ask", "n1", "--token", "4711")
        self.assertEqual(status, NO_QUORUM, text)
        self.assertIn("ask again", text)
        self.assertEqual(n0.run_command("members")[0], DONE)
        for member in (n1, n2):
            member.process.send_signal(signal.SIGCONT)
        end = time.monotonic() + TIMEOUT_SECONDS
        while n0.run_command("maintenance", "ask", "n1", "--token", "4711")[0] != DONE:
            self.assertLess(time.monotonic(), end)
        value = n0.query("maintenance", "list")
        self.assertEqual(len(value["open"]) + len(value["over"]), 1, value)

    def test_the_control_socket_is_refused_if_other_users_may_open_it(self):
        n0, _, _ = self.start_fleet()
        control = n0.folder / "state" / "fleet" / "control"
        self.assertEqual(stat.S_IMODE(control.stat().st_mode), 0o600)
        self.assertEqual(stat.S_IMODE(control.parent.stat().st_mode), 0o700)
        control.chmod(0o666)
        status, text = n0.run_command("status")
        self.assertEqual((status, "open to other users" in text), (REFUSED, True), text)
        empty = Member(self, "n8")
        status, text = empty.run_command("status")
        self.assertEqual(
            (status, "no forwarder of a fleet" in text), (REFUSED, True), text
        )

    def test_malformed_requests_on_the_control_socket_get_a_client_error(self):
        n0, _, _ = self.start_fleet()
        path = str(n0.folder / "state" / "fleet" / "control")
        for noise in [
            b"\r\n\r\n",
            b"\0" * 9000,
            b"GET /nothing HTTP/1.1\r\n\r\n",
            b"PUT / HTTP/1.1\r\n\r\n",
            b"",
            b"POST /fleet/maintenance/ask?name=n1&token=99999999999999999999999"
            b" HTTP/1.1\r\n\r\n",
            b"POST /fleet/maintenance/ask?name=n1&token=x HTTP/1.1\r\n\r\n",
            b"POST /fleet/maintenance/ask?name=%%%&kind=%zz HTTP/1.1\r\n\r\n",
        ]:
            with socket.socket(socket.AF_UNIX) as client:
                client.settimeout(TIMEOUT_SECONDS)
                client.connect(path)
                try:
                    client.sendall(noise)
                    self.assertTrue(client.recv(4096).startswith(b"HTTP/1.1 40"), noise)
                except ConnectionError:
                    pass  # the server closed the connection before it read everything
        self.assertEqual(n0.run_command("status")[0], DONE)

    # ---- misconfigured members, and the roster ----

    def test_frames_with_another_key_or_fleet_are_dropped_and_logged_once(self):
        self.roster["n2"] = {"key": OTHER_KEY}
        n0, n1, n2 = self.start()
        n0.wait_for("frame dropped from=n2 reason=wrong signature")
        time.sleep(1)
        lines = [line for line in n0.log if "frame dropped" in line and "n2" in line]
        self.assertEqual(len(lines), 1, lines)
        states = {m["name"]: m["state"] for m in n0.query("members")["members"]}
        self.assertNotEqual(states["n2"], "alive")
        n2.stop()
        self.roster["n2"] = {"fleet": "others"}
        n2.start()
        n2.wait_for("reason=other fleet")

    def test_two_members_with_one_name_are_logged_as_duplicates(self):
        n0, n1, n2 = self.start_fleet()
        duplicate = Member(self, "n1")
        duplicate.folder = self.folder / "duplicate"
        duplicate.folder.mkdir()
        ports = dict(self.ports)
        self.ports["n1"] = free_ports(1)[0]
        duplicate.start()
        self.addCleanup(duplicate.stop)
        self.ports = ports
        n0.wait_for("name given twice name=n1")

    def test_a_roster_reload_accepts_one_change_and_rejects_several(self):
        n0, n1, n2 = self.start_fleet()
        self.roster_of("n0", more="out: {all: 2, hall: 2}", halls={"n1": "west"})
        since = len(n0.log)
        n0.process.send_signal(signal.SIGHUP)
        n0.wait_for("roster not taken up", since)
        for member in (n0, n1, n2):
            self.roster_of(member.name, halls={"n1": "west"})
            member.process.send_signal(signal.SIGHUP)

        def n1_has_moved(view):
            return all(
                m["hall"] == "west" for m in view["members"] if m["name"] == "n1"
            )

        n0.wait_until("the new hall", n1_has_moved, "members")
        self.assertEqual(n2.run_command("maintenance", "ask", "hall:west")[0], DONE)

    def test_a_member_that_is_terminated_counts_as_left_and_not_as_dead(self):
        n0, n1, n2 = self.start_fleet()
        self.assertEqual(n1.stop(signal.SIGTERM), 0)
        n0.wait_for("peer name=n1 state=left")
        self.assertFalse([line for line in n0.log if "name=n1 state=dead" in line])

    def test_a_member_with_a_pending_command_still_terminates(self):
        n0, n1, n2 = self.start_fleet()
        for member in (n1, n2):
            member.process.send_signal(signal.SIGSTOP)
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            pending = pool.submit(n0.run_command, "maintenance", "ask", "n1")
            time.sleep(0.5)
            n0.process.send_signal(signal.SIGTERM)
            # The process would never end if it waited for its own answer.
            status = n0.process.wait(timeout=TIMEOUT_SECONDS)
            self.assertEqual(status, 0)
            self.assertNotEqual(pending.result()[0], DONE)

    # ---- folders ----

    def test_a_member_with_a_damaged_log_rejoins_and_votes_again(self):
        n0, n1, n2 = self.start_fleet()
        n1.stop()
        path = n1.folder / "state" / "fleet" / "settled"
        content = bytearray(path.read_bytes())
        content[len(content) // 2] ^= 4
        path.write_bytes(content)
        since = len(n1.log)
        n1.start()
        n1.wait_for("settled log damaged", since)
        self.assertEqual(n0.run_command("maintenance", "hold", "yes")[0], DONE)
        last_status = n1.wait_until(
            "n1 to vote again", lambda s: s["held"] and s["votes"], "status"
        )
        # Without n2, a quorum needs n1's vote: a command succeeds only if n1 votes.
        end = time.monotonic() + TIMEOUT_SECONDS
        n2.stop()
        while n0.run_command("maintenance", "hold", "no")[0] != DONE:
            self.assertLess(time.monotonic(), end, last_status)

    def test_a_second_process_cannot_use_a_locked_state_folder(self):
        n0, _, _ = self.start_fleet()
        done = subprocess.run(
            [PROGRAM, "serve", "--config", str(n0.folder / "config.json")]
            + [
                "--state",
                str(n0.folder / "state"),
                "--fleet",
                str(self.folder / "n0.fleet"),
            ],
            capture_output=True,
            text=True,
            timeout=TIMEOUT_SECONDS,
        )
        self.assertEqual(done.returncode, os.EX_UNAVAILABLE)
        owned = "is owned by process %d" % n0.process.pid
        self.assertIn(owned, done.stderr)


if __name__ == "__main__":
    unittest.main()
