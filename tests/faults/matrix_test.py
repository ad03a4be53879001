"""Fails each system call with each of its errnos, in each phase of a forwarder's life.

    matrix_test.py [--write FILE] [--jobs N] [--only CALL] [--phases PHASE ...]

A cell fails one call with one errno for a while, in one phase. It checks that the
process stays alive, that every accepted message ends, that the next message is accepted
soon after the fault, and that no message that may not be repeated runs twice. `--write`
writes the table, with the time to the next accepted message, to a page.
"""

import argparse
import concurrent.futures
import dataclasses
import multiprocessing
import pathlib
import signal
import sys
import threading
import time
import uuid

import rig
from rig import FaultTest, toy_server

PAIRS = [
    ("accept", "ECONNABORTED ENFILE EMFILE ENOBUFS EINTR"),
    ("socket", "ENFILE EMFILE ENOBUFS"),
    ("connect", "EADDRNOTAVAIL ENETUNREACH EHOSTUNREACH ETIMEDOUT EINTR"),
    ("send", "ENOBUFS EPIPE ETIMEDOUT SHORT"),
    ("recv", "EINTR ENOMEM ETIMEDOUT EHOSTUNREACH SHORT"),
    ("poll", "EINTR ENOMEM"),
    ("epoll_wait", "EINTR"),
    ("epoll_ctl", "ENOMEM"),
    ("thread", "EAGAIN"),
    ("getsockopt", "ENOBUFS"),
    ("setsockopt", "ENOMEM"),
    ("open", "EIO EMFILE"),
    ("pread", "EIO EINTR SHORT"),
    ("pwrite", "ENOSPC EIO EINTR SHORT"),
    ("ftruncate", "EIO"),
    ("rename", "EIO"),
    ("fstat", "EIO"),
    ("write", "EPIPE ENOSPC"),
]
PHASES = ("start", "idle", "load", "reload", "shutdown", "restart")
IDLE_S = 30
FAULT_S = 1.0
SERVED_LIMIT_S = 1.0
END_LIMIT_S = 25  # messages live at most 20 s
ONCE = "c=once,t=acme"
DEADLINE_MS = 8000
PAGE_HEAD = """# Faults by call, errno and phase

Written by `tests/faults/matrix_test.py --write docs/design/faults.md` on real
processes, %d at once. The cells are all pairs of a call and an errno in all phases;
nothing in them is drawn at random, so there is no seed.

A fault lasts %.0f s (in `shutdown`: until the process has ended), on every call of
that name, for file calls only on files below the state folder. `SHORT` transfers 7
bytes at a time. `idle` is after %d s without a client, `load` under a constant load of
new messages, `reload` with SIGHUP, `shutdown` with SIGTERM, `restart` after SIGKILL.

A cell passes if the process stays alive (`shutdown`: exits with 0), the first message
after the fault is accepted within %.0f s, every accepted message is delivered or ends
with a notice, and none runs twice, though its class may not be repeated. A number is
the seconds to the first accepted message; `-` after it: the call was not made.

"""


@dataclasses.dataclass
class Cell:
    call: str
    error: str
    phase: str


@dataclasses.dataclass
class Verdict:
    cell: Cell
    failures: list
    hits: int
    served_after_s: float


class MatrixRig(FaultTest):
    """Runs the processes of one cell, without a test runner."""

    def runTest(self):
        """Needed to create an instance without a test method."""

    def setUp(self):
        super().setUp()
        self.config["admin"] = self.admin
        classes = self.config["settings"]["classes"]
        once = dict(classes[0], name="once", effect="side_effect")
        classes.append(once)
        self.lock = threading.Lock()
        self.stopped = threading.Event()

    def submit_once(self, timeout=2):
        """Submits one message that may not be repeated. Returns its id if accepted."""
        message = uuid.uuid4().hex[:16]
        fields = ONCE + ",d=%d,k=%s,dest=%d" % (DEADLINE_MS, message, rig.DESTINATION)
        try:
            client = toy_server.Client(self.listen, timeout=timeout)
        except OSError:
            return None
        try:
            reply = client.call("MSG.PUT", "0" * 16, message, fields, "body")
        except OSError:
            return None
        finally:
            client.close()
        if reply != "+OK":
            return None
        with self.lock:
            self.accepted.append(message)
        return message

    def load(self):
        """Submits messages until `stopped` is set."""
        while not self.stopped.is_set():
            self.submit_once()
            time.sleep(0.02)

    def under_load(self, seconds):
        self.stopped.clear()
        loader = threading.Thread(target=self.load)
        loader.start()
        time.sleep(seconds)
        self.stopped.set()
        loader.join()

    def await_service(self, limit):
        """Returns the seconds until a message is accepted; None after `limit`."""
        begun = time.monotonic()
        while time.monotonic() - begun < limit:
            if self.submit_once():
                return time.monotonic() - begun
            time.sleep(0.01)
        return None

    def switch_on(self, cell):
        error = rig.SHORT if cell.error == "SHORT" else cell.error
        return self.faults.fail(cell.call, error, bytes_moved=7)

    def play(self, cell, served_within):
        failures = []
        forwarder = None
        if cell.phase != "start":
            forwarder = self.start()
            self.under_load(0.3)
        if cell.phase == "idle":
            time.sleep(IDLE_S)
        if cell.phase == "restart":
            forwarder.end(signal.SIGKILL)
        rule = self.switch_on(cell)
        if cell.phase in ("start", "restart"):
            forwarder = self.launch()
        if cell.phase == "reload":
            self.config["settings"]["tick"] += 1
            self.write_config()
            forwarder.send_signal(signal.SIGHUP)
        if cell.phase == "shutdown":
            self.stopped.clear()
            loader = threading.Thread(target=self.load)
            loader.start()
            forwarder.send_signal(signal.SIGTERM)
            status = forwarder.process.wait(timeout=rig.LIMIT)
            self.stopped.set()
            loader.join()
            if status != 0:
                failures.append("exit status %d" % status)
            self.faults.end()
            forwarder = self.launch()
            while not self.ping() and forwarder.alive():
                time.sleep(0.01)
        elif cell.phase == "idle":
            time.sleep(FAULT_S)
        else:
            self.under_load(FAULT_S)
        self.faults.end()
        served = self.await_service(limit=10)
        if not forwarder.alive():
            failures.append("ended with %s" % forwarder.process.returncode)
        if served is None:
            failures.append("no service")
        elif served > served_within:
            failures.append("served after %.1f s" % served)
        failures += self.message_failures()
        return Verdict(cell, failures, self.faults.hits(rule), served or 0)

    def message_failures(self):
        end = time.monotonic() + END_LIMIT_S
        left = list(self.accepted)
        while left and time.monotonic() < end:
            left = [message for message in left if not self.is_over(message)]
            time.sleep(0.05)
        failures = ["%d accepted messages never ended" % len(left)] if left else []
        twice = [m for m in self.accepted if len(self.calls_of(m)) > 1]
        if twice:
            failures.append("%d messages ran twice" % len(twice))
        both = [m for m in self.accepted if self.calls_of(m) and self.notices_of(m)]
        undeliverable = [
            message
            for message in both
            if any(n["status"] == "deferred" for n in self.notices_of(message))
        ]
        if undeliverable:
            failures.append("%d ran and were deferred" % len(undeliverable))
        return failures


def play(cell, served_within=SERVED_LIMIT_S):
    matrix_rig = MatrixRig()
    matrix_rig.setUp()
    try:
        return matrix_rig.play(cell, served_within)
    except Exception as error:  # a cell that cannot be played has failed
        return Verdict(cell, ["not played: %r" % error], 0, 0)
    finally:
        matrix_rig.doCleanups()


def all_cells(only, phases):
    return [
        Cell(call, error, phase)
        for phase in phases
        for call, errors in PAIRS
        for error in errors.split()
        if only is None or call == only
    ]


def format_page(verdicts, jobs):
    lines = (PAGE_HEAD % (jobs, FAULT_S, IDLE_S, SERVED_LIMIT_S)).splitlines()
    lines.append("| call | errno | " + " | ".join(PHASES) + " |")
    lines.append("| --- | --- |" + " --- |" * len(PHASES))
    by_cell = {(v.cell.call, v.cell.error, v.cell.phase): v for v in verdicts}
    for call, errors in PAIRS:
        for error in errors.split():
            row = []
            for phase in PHASES:
                verdict = by_cell.get((call, error, phase))
                if verdict is None:
                    row.append("not played")
                elif verdict.failures:
                    row.append("**" + "; ".join(verdict.failures) + "**")
                else:
                    mark = "" if verdict.hits else " -"
                    row.append("%.2f%s" % (verdict.served_after_s, mark))
            lines.append("| `%s` | %s | %s |" % (call, error, " | ".join(row)))
    bad = sum(1 for v in verdicts if v.failures)
    hit = sum(1 for v in verdicts if v.hits)
    lines += [
        "",
        "%d cells, %d failed, %d with at least one failed call."
        % (len(verdicts), bad, hit),
    ]
    return "\n".join(lines) + "\n"


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--write")
    parser.add_argument("--jobs", type=int, default=12)
    parser.add_argument("--only")
    parser.add_argument("--served-within", type=float, default=SERVED_LIMIT_S)
    parser.add_argument("--phases", nargs="+", choices=PHASES, default=PHASES)
    parser.add_argument(
        "-v", action="store_true", help="ignored; for compatibility with unittest"
    )
    arguments = parser.parse_args()
    cells = all_cells(arguments.only, arguments.phases)
    verdicts = []
    with concurrent.futures.ProcessPoolExecutor(
        arguments.jobs, mp_context=multiprocessing.get_context("spawn")
    ) as pool:
        for played in concurrent.futures.as_completed(
            [pool.submit(play, cell, arguments.served_within) for cell in cells]
        ):
            verdicts.append(played.result())
            if verdicts[-1].failures:
                print(verdicts[-1], flush=True)
    if arguments.write:
        pathlib.Path(arguments.write).write_text(format_page(verdicts, arguments.jobs))
    failed = sum(1 for verdict in verdicts if verdict.failures)
    print("%d passed, %d failed" % (len(verdicts) - failed, failed))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
