"""Two processes on one state folder, with forced interleavings of real processes.

A process that is started while another one still runs or shuts down must neither lose
nor repeat the messages that the other one has accepted, whatever either is doing at
that moment. The environment variable OWNERSHIP_ROUNDS sets how often each interleaving
is repeated.
"""

import os
import signal
import socket
import subprocess
import threading
import time
import unittest

import rig
from rig import Endpoint, FaultTable, FaultTest, wait_for

ROUNDS = int(os.environ.get("OWNERSHIP_ROUNDS", "1"))
WAITING = "waiting for the state folder"
LARGE_BODY = "x" * 40_000  # four such delivered messages trigger a compaction


class OwnershipTest(FaultTest):
    CLASS = {"effect": "side_effect"}  # may not run twice

    def setUp(self):
        super().setUp()
        self.successor_faults = FaultTable(self.folder / "successor-faults")

    def waits(self, forwarder):
        return any(WAITING in line for line in forwarder.log)

    def start_successor(self):
        """Starts a process that has read its files and is held before it listens, or
        that waits for the other process."""
        held = self.successor_faults.fail("bind", rig.HOLD_BEFORE)
        successor = self.launch(faults=self.successor_faults)
        wait_for(
            "a second process",
            lambda: self.successor_faults.hits(held) > 0 or self.waits(successor),
        )
        return successor

    def start_without_address(self):
        """Starts a successor that has failed more than once to bind the address. The
        rule `address_rule` counts its attempts to bind."""
        self.address_rule = self.successor_faults.fail("bind", rig.OBSERVE)
        successor = self.launch(faults=self.successor_faults)
        wait_for(
            "a successor without the address",
            lambda: self.successor_faults.hits(self.address_rule) > 1,
        )
        return successor

    def read_owner_file(self):
        """Returns what the owner of the folder has written into the owner file."""
        return (self.state / "owner").read_text()

    def assert_reads_owner_file(self, successor, process, open_messages):
        """Checks that the successor has read its predecessor's last owner file."""
        expected = "predecessor=%d predecessor_open=%s" % (process.pid, open_messages)
        wait_for(
            "the owner file", lambda: any(expected in line for line in successor.log)
        )

    def release(self, successor):
        self.successor_faults.end()
        self.await_serving(successor)

    def accept(self, count=3):
        for _ in range(count):
            self.put_accepted()

    def assert_all_end_once(self):
        self.set_mode(Endpoint.TAKE)
        self.assert_all_end()
        for message in self.accepted:
            self.assertLessEqual(len(self.calls_of(message)), 1, message)

    def hand_over(self, predecessor, successor):
        """The predecessor accepts more messages and dies; the successor serves and
        dies."""
        self.accept()
        predecessor.end()
        self.release(successor)
        self.accept()
        successor.end()
        last = self.start()
        self.assert_all_end_once()
        self.assertEqual([], [line for line in last.log if "unreadable" in line])
        last.end()

    def play(self, scenario):
        for number in range(ROUNDS):
            with self.subTest(round=number):
                self.set_mode(Endpoint.REJECT)  # accepted messages stay undelivered
                predecessor = self.start()
                self.accept()
                scenario(predecessor)
                self.faults.end()
                self.successor_faults.end()


class InterleavingTest(OwnershipTest):
    def test_predecessor_accepts_after_the_successor_has_read(self):
        def scenario(predecessor):
            self.hand_over(predecessor, self.start_successor())

        self.play(scenario)

    def overlap_write(self, how, **options):
        def scenario(predecessor):
            held = self.faults.fail("pwrite", how, **options)
            wait_for("a write", lambda: self.faults.hits(held) > 0)
            successor = self.start_successor()
            self.faults.end()
            self.hand_over(predecessor, successor)

        self.play(scenario)

    def test_predecessor_is_held_within_a_write(self):
        self.overlap_write(rig.HOLD_HALFWAY, bytes_moved=11)

    def test_predecessor_is_held_before_a_write(self):
        self.overlap_write(rig.HOLD_BEFORE)

    def compact(self, seen):
        """Submits messages until the spool is compacted. The spool records the end of a
        message some time after its delivery."""
        self.set_mode(Endpoint.TAKE)

        def compacted():
            self.put(body=LARGE_BODY)
            return self.faults.hits(seen) > 0

        wait_for("a compaction", compacted)
        self.assert_all_end()
        self.set_mode(Endpoint.REJECT)

    def overlap_compaction(self, how):
        def scenario(predecessor):
            held = self.faults.fail("rename", how)
            self.set_mode(Endpoint.TAKE)

            def put_until_held():
                while not self.faults.hits(held):
                    self.put(body=LARGE_BODY)

            client = threading.Thread(target=put_until_held)
            client.start()
            wait_for("a compaction", lambda: self.faults.hits(held) > 0)
            successor = self.start_successor()
            self.faults.end()
            client.join()
            self.set_mode(Endpoint.REJECT)
            self.hand_over(predecessor, successor)

        self.play(scenario)

    def test_predecessor_is_held_before_the_rename_of_a_compaction(self):
        self.overlap_compaction(rig.HOLD_BEFORE)

    def test_predecessor_is_held_after_the_rename_of_a_compaction(self):
        self.overlap_compaction(rig.HOLD_AFTER)

    def test_predecessor_compacts_after_the_successor_has_read(self):
        def scenario(predecessor):
            seen = self.faults.fail("rename", rig.OBSERVE)
            successor = self.start_successor()
            self.compact(seen)
            self.accept()
            self.assertGreater(self.faults.hits(seen), 0)
            self.hand_over(predecessor, successor)

        self.play(scenario)


class WaitTest(OwnershipTest):
    """How long a process waits for the folder, and how the wait ends."""

    READY_S = 10  # after its predecessor's end

    def start_waiting_successor(self):
        successor = self.launch(faults=self.successor_faults)
        wait_for("a process that waits", lambda: self.waits(successor))
        return successor

    def assert_ready(self, successor, since):
        self.await_serving(successor)
        self.assertLess(time.monotonic() - since, self.READY_S)

    def files(self):
        """Returns the contents of all files in the folder except the owner file."""
        return {
            path.name: path.read_bytes()
            for path in self.state.iterdir()
            if path.name != "owner"
        }

    def test_a_successor_takes_over_when_its_predecessor_is_killed(self):
        def scenario(predecessor):
            successor = self.start_waiting_successor()
            self.accept()
            predecessor.end()
            self.assert_ready(successor, time.monotonic())
            self.assert_all_end_once()
            successor.end()

        self.play(scenario)

    def test_a_successor_takes_over_when_its_predecessor_has_shut_down(self):
        def scenario(predecessor):
            successor = self.start_waiting_successor()
            self.accept()
            self.assertEqual(predecessor.end(signal.SIGTERM), 0)
            self.assert_ready(successor, time.monotonic())
            self.assert_all_end_once()
            self.assertEqual(successor.end(signal.SIGTERM), 0)
            for forwarder in (predecessor, successor):
                wrong = [line for line in forwarder.log if "spool differs" in line]
                wrong += [line for line in forwarder.log if "do not agree" in line]
                self.assertEqual(wrong, [])

        self.play(scenario)

    def test_a_predecessor_that_is_stopped_keeps_what_it_owns(self):
        def scenario(predecessor):
            successor = self.start_waiting_successor()
            before = self.files()
            predecessor.send_signal(signal.SIGSTOP)
            second = self.start_waiting_successor()
            second.end()
            self.assertEqual(self.files().keys(), before.keys())
            self.assertTrue(successor.alive())
            predecessor.send_signal(signal.SIGCONT)
            self.accept()
            predecessor.end()
            self.assert_ready(successor, time.monotonic())
            self.assert_all_end_once()
            successor.end()

        self.play(scenario)

    def test_a_process_that_waits_ends_on_a_signal_and_has_touched_nothing(self):
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGQUIT):
            with self.subTest(number):
                predecessor = self.start()
                self.set_mode(Endpoint.TAKE)
                self.accept()
                self.assert_all_end()
                predecessor.send_signal(signal.SIGSTOP)
                before = self.files()
                successor = self.start_waiting_successor()
                successor.send_signal(signal.SIGHUP)
                self.assertEqual(successor.end(number), 0)
                self.assertEqual(self.files(), before)
                predecessor.send_signal(signal.SIGCONT)
                self.accept()
                self.assert_all_end_once()
                predecessor.end()

    def test_a_process_whose_wait_times_out_logs_who_owns_the_folder(self):
        predecessor = self.start()
        successor = self.start_waiting_successor()
        self.successor_faults.step_monotonic_clock(60)
        self.assertEqual(successor.process.wait(timeout=rig.LIMIT), os.EX_UNAVAILABLE)
        owned = "is owned by process %d" % predecessor.process.pid
        wait_for("the reason", lambda: any(owned in line for line in successor.log))
        self.set_mode(Endpoint.TAKE)
        self.accept()
        self.assert_all_end_once()


class HistoryTest(OwnershipTest):
    def history(self, message):
        command = [rig.PROGRAM, "spool", "--state", str(self.state)]
        done = subprocess.run(
            command + ["--history", message], capture_output=True, text=True
        )
        return done.returncode, done.stdout

    def test_a_message_is_followed_through_two_processes(self):
        self.set_mode(Endpoint.REJECT)
        predecessor = self.start()
        message, other = self.put_accepted(), self.put_accepted()
        wait_for(
            "a first attempt", lambda: "attempt-started" in self.history(message)[1]
        )
        predecessor.end()
        self.set_mode(Endpoint.TAKE)
        successor = self.start()
        self.assert_all_end_once()
        wait_for("the end", lambda: "finished" in self.history(message)[1])
        successor.end()
        status, text = self.history(message)
        self.assertEqual(status, 0)
        kinds = [line.split()[1] for line in text.splitlines()]
        self.assertEqual((kinds[0], kinds[-1]), ("accepted", "finished"))
        self.assertGreaterEqual(kinds.count("attempt-started"), 2)
        self.assertNotEqual(self.history(other)[1], text)
        self.assertEqual(self.history("nobody's")[0], 1)


class LockFailureTest(OwnershipTest):
    def test_a_lock_that_fails_for_a_while_keeps_the_folder_untouched(self):
        for error in ("ENOLCK", "EIO", "ENOMEM"):
            with self.subTest(error):
                self.set_mode(Endpoint.REJECT)
                predecessor = self.start()
                self.accept()
                predecessor.end()
                rule = self.faults.fail("flock", error)
                successor = self.start()
                self.assertIsNone(self.put())  # rejected: no process owns the spool
                self.assertGreater(self.faults.hits(rule), 1)
                self.faults.end()
                self.put_accepted()
                self.assert_all_end_once()
                successor.end()

    def test_a_file_system_without_locks_is_used_by_the_address_owner(self):
        for error in ("EOPNOTSUPP", "ENOSYS"):
            with self.subTest(error):
                self.set_mode(Endpoint.REJECT)
                self.faults.fail("flock", error)
                self.successor_faults.fail("flock", error)
                predecessor = self.start()
                self.accept()
                before = self.read_owner_file()
                successor = self.start_without_address()
                self.assertEqual(self.read_owner_file(), before)
                self.accept()
                predecessor.end()
                self.await_serving(successor)
                self.accept()
                self.assert_all_end_once()
                self.assertTrue(any("has no locks" in x for x in successor.log))
                successor.end()
                self.faults.end()
                self.successor_faults.end()

    def test_a_lock_that_is_interrupted_is_retried(self):
        self.faults.fail("flock", "EINTR", times=5)
        forwarder = self.start()
        self.set_mode(Endpoint.TAKE)
        self.put_accepted()
        self.assert_all_end_once()
        forwarder.end()

    def test_a_folder_that_could_not_be_locked_is_not_shared_later(self):
        """The first process has no lock when the second one gets it."""
        rule = self.faults.fail("flock", "ENOLCK")
        self.start()
        wait_for("a second try", lambda: self.faults.hits(rule) > 1)
        self.listen, first_address = rig.free_address(), self.listen
        self.config["listen"] = self.listen
        second = self.start(faults=self.successor_faults)
        self.faults.end()
        self.accept()
        second_address, self.listen = self.listen, first_address
        self.assertIsNone(self.put())
        self.listen = second_address
        self.assert_all_end_once()
        second.end()


class UnlockedPredecessorTest(OwnershipTest):
    """The predecessor is of a version without locks: it only owns the address."""

    def start_unlocked(self):
        rule = self.faults.fail("flock", rig.FAKE_SUCCESS)
        predecessor = self.start()
        self.assertGreater(self.faults.hits(rule), 0)
        return predecessor

    def test_a_successor_touches_nothing_until_it_has_the_address(self):
        for number in range(ROUNDS):
            with self.subTest(round=number):
                self.set_mode(Endpoint.REJECT)
                predecessor = self.start_unlocked()
                self.accept()
                successor = self.start_without_address()
                self.accept()
                predecessor.end()
                self.faults.end()
                self.successor_faults.end()
                self.await_serving(successor)
                self.accept()
                successor.end()
                last = self.start()
                self.assert_all_end_once()
                last.end()

    # Guards against a successor that overwrites the owner file of a living predecessor,
    # and so never learns how many messages the predecessor left open.
    def test_a_successor_does_not_overwrite_a_living_predecessors_owner_file(self):
        for number in range(ROUNDS):
            with self.subTest(round=number):
                self.set_mode(Endpoint.REJECT)
                predecessor = self.start_unlocked()
                self.accept()
                before = self.read_owner_file()
                self.assertIn("pid %d\n" % predecessor.process.pid, before)
                successor = self.start_without_address()
                self.assertEqual(self.read_owner_file(), before)
                self.assertEqual(predecessor.end(signal.SIGTERM), 0)
                self.faults.end()
                self.successor_faults.end()
                self.await_serving(successor)
                self.assert_reads_owner_file(successor, predecessor.process, 3)
                self.assert_all_end_once()
                successor.end()
                self.accepted.clear()

    # Guards against a start that locks the folder, does not get the address, and
    # destroys the last owner file of its predecessor.
    def test_a_start_without_the_address_does_not_overwrite_the_owner_file(self):
        self.set_mode(Endpoint.REJECT)
        predecessor = self.start()
        self.accept()
        self.assertEqual(predecessor.end(signal.SIGTERM), 0)
        before = self.read_owner_file()
        self.assertIn("open 3\n", before)
        host, port = self.listen.split(":")
        with socket.create_server((host, int(port))):
            stopped = self.start_without_address()
            self.assertEqual(self.read_owner_file(), before)
            self.assertEqual(stopped.end(signal.SIGTERM), 0)
            self.successor_faults.end()
            late = self.start_without_address()
            self.successor_faults.step_monotonic_clock(60)
            status = late.process.wait(timeout=rig.LIMIT)
            self.assertEqual(status, os.EX_UNAVAILABLE)
            self.assertEqual(self.read_owner_file(), before)
        successor = self.start()
        self.assert_reads_owner_file(successor, predecessor.process, 3)
        self.assert_all_end_once()
        successor.end()

    def test_a_successor_that_waits_for_the_address_ends_on_a_signal(self):
        predecessor = self.start_unlocked()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGQUIT):
            with self.subTest(number):
                successor = self.start_without_address()
                self.assertEqual(successor.end(number), 0)
                self.successor_faults.end()
        self.accept()
        self.set_mode(Endpoint.TAKE)
        self.assert_all_end_once()
        predecessor.end()

    def test_the_address_is_waited_for_as_long_as_a_shutdown_takes(self):
        predecessor = self.start_unlocked()
        successor = self.start_without_address()
        for seconds in (10, 20):  # as if that time had passed
            self.successor_faults.step_monotonic_clock(seconds)
            seen = self.successor_faults.hits(self.address_rule)
            wait_for(
                "a further try",
                lambda: self.successor_faults.hits(self.address_rule) > seen + 1
                or not successor.alive(),
            )
            self.assertTrue(successor.alive(), successor.log)
        self.successor_faults.step_monotonic_clock(60)
        self.assertEqual(successor.process.wait(timeout=rig.LIMIT), os.EX_UNAVAILABLE)
        predecessor.end()


class SecondProcessTest(OwnershipTest):
    def test_a_second_process_started_by_mistake_changes_nothing(self):
        def scenario(predecessor):
            successor = self.start_successor()
            self.successor_faults.end()
            self.accept()
            successor.end()
            self.accept()
            predecessor.end()
            last = self.start()
            self.assert_all_end_once()
            last.end()

        self.play(scenario)


if __name__ == "__main__":
    unittest.main()
