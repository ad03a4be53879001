"""A soak: random schedules of faults against real forwarders, judged from outside.

    soak.py --seeds 50 --first 1 --jobs 6     many schedules, some at once
    soak.py --play 17                         one schedule again

Each schedule has clients that use their connections until these break, endpoints,
discovery, operators, and one forwarder at a time that owns the state folder, with
successors that are started beside it. A seed fixes the schedule, not the machine's
timing. What a failed one wrote is kept in the folder of --keep.
"""

import argparse
import concurrent.futures
import io
import pathlib
import random
import signal
import subprocess
import sys
import threading
import time
import unittest

import rig
from rig import Discovery, Endpoint, FaultTable, FaultTest, admin_call

ACTIONS = 12
ONCE, REPEATABLE = "once", "plan-event"  # classes by what a repeat may do
READY_S = 10  # after the end of the process before
DRAIN_GRACE_S = 1.5
SETTLE_S = 4  # behind the last deadline
CROWD = 120  # idle connections
CLIENTS = 4
SIGNALS_TO_END = (signal.SIGTERM, signal.SIGINT, signal.SIGQUIT)
FORBIDDEN_LINES = (
    "fatal signal",
    "do not agree",
    "spool differs",
    "spool damaged",
    "could not be read again",
)


class TimedEndpoint(Endpoint):
    """Notes when each call arrived."""

    def __init__(self):
        super().__init__()
        self.arrivals = []

    def answer_by_mode(self, call):
        self.arrivals.append((time.monotonic(), call["id"]))
        return super().answer_by_mode(call)


class Soak(FaultTest):
    def __init__(self, seed=0, keep=None):
        super().__init__()
        self.seed = seed
        self.keep = keep
        self.random = random.Random(seed)
        self.events = []
        self.began = time.monotonic()

    # ---- the stage ----

    def setUp(self):
        super().setUp()
        self.endpoints["c"] = self.new_stand_in(TimedEndpoint)
        for name in "ab":
            self.endpoints[name] = self.new_stand_in(TimedEndpoint)
        self.config["known"]["members"] = self.members()
        self.discovery.members = self.members()
        self.discoveries = [self.discovery]
        token = self.config["settings"]["classes"][0]
        once = dict(token, name=ONCE, effect="side_effect")
        self.config["settings"]["classes"].append(once)
        self.config["settings"]["realms"][0]["quota-rps"] = 500.0
        self.deadlines = {}  # of accepted messages, by id
        self.once = set()
        self.lock = threading.Lock()
        self.stopping = threading.Event()
        self.processes = []
        self.current = None
        self.successor = None
        self.out = {}  # endpoints that operators took out, and since when
        self.drain_spans = []  # name, begin, end

    def note(self, text, *values):
        self.events.append(
            (time.monotonic() - self.began, " ".join([text, *map(str, values)]))
        )

    def new_process(self):
        self.config["admin"] = rig.free_address()
        table = FaultTable(self.folder / ("faults-%d" % len(self.processes)))
        forwarder = self.launch(faults=table)
        forwarder.faults = table
        forwarder.admin = self.config["admin"]
        self.processes.append(forwarder)
        self.note("started", forwarder.process.pid)
        return forwarder

    def put_one(self, client, chance):
        """One message on an open connection; its reply."""
        name = ONCE if chance.random() < 0.5 else REPEATABLE
        left_ms = chance.choice((1500, 3000, 5000))
        fields = "c=%s,t=acme" % name
        body = "x" * chance.choice((10, 900, 900, 20000))
        message, reply = client.put(
            rig.DESTINATION, body, left_ms=left_ms, fields=fields
        )
        if reply == "+OK":
            with self.lock:
                self.deadlines[message] = time.monotonic() + left_ms / 1000
                if name == ONCE:
                    self.once.add(message)
        return reply

    def run_client(self, seed):
        chance = random.Random(seed)
        while not self.stopping.is_set():
            try:
                client = rig.toy_server.Client(self.listen, timeout=3)
            except OSError:
                time.sleep(0.02)
                continue
            try:
                while not self.stopping.is_set() and self.put_one(client, chance):
                    time.sleep(chance.random() * 0.04)
            except OSError:
                pass
            finally:
                client.close()

    # ---- what happens ----

    def hand_over(self, ended_at):
        """The current process has ended: another one serves within the limit."""
        status = self.current.process.wait(timeout=rig.LIMIT)
        self.note("ended", self.current.process.pid, status)
        if self.successor is None:
            time.sleep(self.random.choice((0, 0.02, 0.2)))
            self.successor = self.new_process()
        self.current, self.successor = self.successor, None
        self.await_ready(ended_at)

    def await_ready(self, since):
        self.await_serving(self.current)
        took = time.monotonic() - since
        self.note("ready", self.current.process.pid, "%.2f" % took)
        self.assertLess(took, READY_S, "not ready in time")

    def act_start_beside(self):
        if self.successor is None:
            self.successor = self.new_process()
            time.sleep(self.random.choice((0, 0.05, 0.4)))

    def act_end_successor(self):
        if self.successor is None:
            return self.act_start_beside()
        self.note("end the one that waits")
        how = self.random.choice((signal.SIGKILL, *SIGNALS_TO_END))
        self.successor.end(how)
        self.successor = None

    def act_shut_down(self):
        for _ in range(self.random.choice((1, 1, 3))):
            number = self.random.choice(SIGNALS_TO_END)
            self.note("signal", number.name)
            self.current.send_signal(number)
        if self.successor is None and self.random.random() < 0.6:
            time.sleep(self.random.choice((0.02, 0.3, 1)))
            self.successor = self.new_process()
        killed_after = self.random.choice((0.2, 3.7, 3.7))
        end = time.monotonic() + killed_after
        while self.current.alive() and time.monotonic() < end:
            time.sleep(0.005)
        self.current.send_signal(signal.SIGKILL)
        self.hand_over(time.monotonic())

    def act_kill(self):
        self.note("SIGKILL")
        self.current.end()
        self.hand_over(time.monotonic())

    def act_kill_behind_ok(self):
        try:
            client = rig.toy_server.Client(self.listen, timeout=3)
            reply = self.put_one(client, self.random)
        except OSError:
            reply = "none"
        self.note("SIGKILL behind", reply)
        self.current.end()
        self.hand_over(time.monotonic())

    def act_kill_in_write(self):
        how = self.random.choice(
            (rig.KILL_BEFORE, rig.KILL_HALFWAY, rig.KILL_AFTER, rig.KILL_HALFWAY)
        )
        skip = self.random.randrange(40)
        self.note("kill in a write", how, skip)
        self.current.faults.fail("pwrite", how, skip=skip, bytes_moved=11)
        end = time.monotonic() + 2
        while self.current.alive() and time.monotonic() < end:
            time.sleep(0.01)
        self.current.end()
        self.hand_over(time.monotonic())

    def act_stop_and_continue(self):
        self.note("SIGSTOP")
        self.current.send_signal(signal.SIGSTOP)
        if self.random.random() < 0.5:
            self.act_start_beside()
        time.sleep(self.random.choice((0.05, 0.15, 1.5)))
        self.current.send_signal(signal.SIGCONT)
        self.note("SIGCONT")

    def act_reload(self):
        move = self.random.random() < 0.5
        if move:
            other = self.new_stand_in(Discovery)
            other.revision = self.discovery.revision + 1
            other.members = self.discovery.members
            self.discovery = other
            self.discoveries.append(other)
            self.config["discovery"] = other.address
        self.write_config()
        self.note("SIGHUP", "discovery moved" if move else "")
        for _ in range(self.random.choice((1, 4))):
            self.current.send_signal(signal.SIGHUP)

    def act_folder_fault(self):
        call = self.random.choice("pwrite pread open rename ftruncate fsync".split())
        error = self.random.choice(("EIO", "ENOSPC"))
        self.note("folder fails", call, error)
        self.current.faults.fail(call, error)
        time.sleep(self.random.choice((0.05, 0.5)))
        self.current.faults.end()

    def act_clock(self):
        step = self.random.choice((-3600, -2, 2, 3600))
        self.note("clock", step)
        self.current.faults.step_clock(step)

    def act_endpoints(self):
        for name, endpoint in self.endpoints.items():
            endpoint.mode = self.random.choice(
                (Endpoint.TAKE, Endpoint.TAKE, Endpoint.REJECT, Endpoint.HANG)
            )
            self.note("endpoint", name, endpoint.mode)

    def act_list(self):
        phase = self.random.choice(("Ready", "Terminating", "Gone"))
        self.note("list: b", phase)
        self.discovery.announce(self.members(b=phase))

    def act_notices(self):
        self.note("notices refused")
        self.discovery.refused_notices = 20

    def act_operators(self):
        name = "c"
        entering = name not in self.out
        path = "/maintenance/%s?id=%s" % ("enter" if entering else "exit", name)
        asked_at = time.monotonic()
        try:
            status, _ = admin_call(self.current.admin, "POST", path)
        except OSError as error:
            status = str(error)
        self.note("operator", path, status)
        if entering and status == 200:
            self.out[name] = time.monotonic()
        elif not entering:  # back, or nobody knows
            self.drain_spans.append((name, self.out.pop(name), asked_at))

    def act_crowd(self):
        self.note("crowd")
        crowd = []
        for _ in range(CROWD):
            try:
                crowd.append(rig.toy_server.Client(self.listen, timeout=1))
            except OSError:
                break
        time.sleep(0.3)
        for client in crowd:
            client.close()

    # ---- the play ----

    def runTest(self):
        try:
            self.play()
        except BaseException:
            self.keep_timeline()
            raise

    def play(self):
        actions = [getattr(self, name) for name in dir(self) if name[:4] == "act_"]
        self.current = self.new_process()
        self.await_ready(time.monotonic())
        clients = [
            threading.Thread(target=self.run_client, args=(self.seed * 100 + i,))
            for i in range(CLIENTS)
        ]
        for client in clients:
            client.start()
        try:
            for _ in range(ACTIONS):
                time.sleep(self.random.random() * 0.4)
                self.random.choice(actions)()
            self.calm()
        finally:
            self.stopping.set()
            for client in clients:
                client.join()
        self.judge()

    def calm(self):
        """All faults are over, and one process serves."""
        for endpoint in self.endpoints.values():
            endpoint.mode = Endpoint.TAKE
        self.discovery.announce(self.members())
        for process in self.processes:
            process.faults.end()
        if self.successor is not None:
            self.act_end_successor()
        self.await_ready(time.monotonic())

    def notices_of(self, message):
        return [
            notice
            for discovery in self.discoveries
            for notice in list(discovery.notices)
            if notice["id"] == message
        ]

    def judge(self):
        end = max([time.monotonic(), *self.deadlines.values()]) + SETTLE_S
        open_ids = set(self.deadlines)

        def all_over():
            ended = {i for e in self.endpoints.values() for i in list(e.delivered)}
            ended |= {n["id"] for d in self.discoveries for n in list(d.notices)}
            open_ids.difference_update(ended)
            return not open_ids

        while not all_over() and time.monotonic() < end:
            time.sleep(0.05)
        self.note("accepted", len(self.deadlines), "open", len(open_ids))
        self.assertEqual(open_ids, set(), "lost")
        self.judge_repeats()
        self.judge_drains()
        self.assertEqual(self.current.end(signal.SIGTERM), 0)
        self.judge_processes()

    def judge_repeats(self):
        counts = {}
        for endpoint in self.endpoints.values():
            for message in endpoint.delivered:
                counts[message] = counts.get(message, 0) + 1
        repeated = {i for i in self.once if counts.get(i, 0) > 1}
        self.assertEqual(repeated, set(), "run more than once")

    def judge_drains(self):
        now = time.monotonic()
        spans = self.drain_spans + [(n, begin, now) for n, begin in self.out.items()]
        for name, begin, end in spans:
            late = [
                "%.2f" % (at - begin)
                for at, _ in self.endpoints[name].arrivals
                if begin + DRAIN_GRACE_S < at < end
            ]
            self.assertEqual(late, [], "sent to an endpoint that is out")

    def judge_processes(self):
        for forwarder in self.processes:
            status = forwarder.process.poll()
            forwarder.reader.join(timeout=rig.LIMIT)
            # A signal may come before the program's first instruction.
            not_begun = not forwarder.log and -status in SIGNALS_TO_END
            expected = status in (0, -signal.SIGKILL) or not_begun
            self.assertTrue(expected, (status, forwarder.log[-3:]))
            wrong = [x for x in forwarder.log if any(f in x for f in FORBIDDEN_LINES)]
            self.assertEqual(wrong, [])

    def keep_timeline(self):
        if self.keep is None:
            return
        folder = pathlib.Path(self.keep)
        folder.mkdir(parents=True, exist_ok=True)
        with open(folder / ("seed-%d.txt" % self.seed), "w") as out:
            for at, text in self.events:
                out.write("%8.3f %s\n" % (at, text))
            for forwarder in self.processes:
                out.write("\n== process %d\n" % forwarder.process.pid)
                out.writelines(line + "\n" for line in forwarder.log)


def play(seed, keep):
    """Whether the schedule held, and what to say of it."""
    text = io.StringIO()
    soak = Soak(seed, keep)
    held = unittest.TextTestRunner(stream=text).run(soak).wasSuccessful()
    summary = [line for _, line in soak.events if line.startswith("accepted")]
    return held, " ".join(summary) if held else text.getvalue()


def play_in_process(seed, keep):
    command = [sys.executable, __file__, "--play", str(seed), "--keep", keep]
    done = subprocess.run(command, capture_output=True, text=True)
    return seed, done.returncode == 0, done.stdout + done.stderr


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=6)
    parser.add_argument("--keep", default="soak-failures")
    parser.add_argument("--play", type=int, help="one seed alone")
    given = parser.parse_args()
    if given.play is not None:
        held, text = play(given.play, given.keep)
        print(text)
        return 0 if held else 1
    failed = []
    with concurrent.futures.ThreadPoolExecutor(given.jobs) as pool:
        seeds = range(given.first, given.first + given.seeds)
        for seed, held, text in pool.map(
            lambda seed: play_in_process(seed, given.keep), seeds
        ):
            print("seed %d %s %s" % (seed, "held" if held else "FAILED", text.strip()))
            sys.stdout.flush()
            if not held:
                failed.append(seed)
    print(
        "%d of %d held; failed: %s" % (given.seeds - len(failed), given.seeds, failed)
    )
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
