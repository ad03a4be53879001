"""State folder failures, kills during writes, and steps of the wall clock.

Every accepted message must still be delivered or end with a notice, exactly once, and a
message that may not be repeated must not run twice.
"""

import signal
import time
import unittest

import rig
from rig import Endpoint, FaultTest, wait_for

RETRY_S = 5  # s; longest time until a recovered folder is used again


class StateTest(FaultTest):
    def accept_undelivered(self, count=3, **options):
        """Returns accepted messages that a killed process left; none of them has
        run."""
        self.set_mode(Endpoint.REJECT)
        forwarder = self.start()
        undelivered = [self.put_accepted(**options) for _ in range(count)]
        forwarder.end()
        self.set_mode(Endpoint.TAKE)
        return undelivered


class FolderTest(StateTest):
    def test_undelivered_messages_survive_a_start_while_the_folder_fails(self):
        for call, error in (
            ("open", "EIO"),
            ("open", "EMFILE"),
            ("pread", "EIO"),
            ("fstat", "EIO"),
        ):
            for skip in (0, 1, 2, 5):
                with self.subTest(call=call, error=error, skip=skip):
                    undelivered = self.accept_undelivered()
                    self.faults.fail(call, error, skip=skip)
                    forwarder = self.start()
                    self.put()
                    self.faults.end()
                    for message in undelivered:
                        wait_for("the call", lambda: self.calls_of(message))
                    self.put_accepted()  # the folder is in use again
                    self.assert_all_end()
                    forwarder.end()

    def test_a_start_on_a_folder_that_takes_no_writes_serves_later(self):
        for call in ("pwrite", "ftruncate"):
            for error in ("ENOSPC", "EIO", "EROFS"):
                with self.subTest(call=call, error=error):
                    (self.state / "spool").unlink(missing_ok=True)
                    self.faults.fail(call, error)
                    forwarder = self.start()
                    self.put()
                    self.faults.end()
                    self.put_accepted()
                    self.assert_all_end()
                    forwarder.end()

    def test_a_torn_tail_is_cut_off_and_saved_in_another_file(self):
        undelivered = self.accept_undelivered()
        with open(self.state / "spool", "ab") as spool:
            spool.write(b"\x20\x00\x00\x00torn")
        self.start()
        for message in undelivered:
            wait_for("the call", lambda: self.calls_of(message))
        self.assertIn(b"torn", (self.state / "spool.cut").read_bytes())

    def test_a_flipped_bit_loses_at_most_one_message(self):
        for quarter in (1, 2, 3):
            with self.subTest(quarter=quarter):
                undelivered = self.accept_undelivered(8)
                path = self.state / "spool"
                stored = bytearray(path.read_bytes())
                stored[len(stored) * quarter // 4] ^= 1
                path.write_bytes(stored)
                forwarder = self.start()
                wait_for(
                    "the damaged place",
                    lambda: any("spool damaged" in line for line in forwarder.log),
                )
                wait_for(
                    "all but one to end",
                    lambda: sum(map(self.is_over, undelivered)) >= 7,
                )
                forwarder.end(signal.SIGTERM)
                self.accepted.clear()

    def bodies_of(self, message):
        """Returns the bodies that any process sent to the endpoints for the message."""
        calls = [call for e in self.endpoints.values() for call in list(e.calls)]
        return {call["body"] for call in calls if call["id"] == message}

    # Guards against an accepted message that never ends: its record was intact when the
    # file was read, but is damaged when the message is restored.
    def test_a_record_that_changes_after_the_read_ends_with_a_notice(self):
        # With an operator address the exclusions file is opened after the read.
        self.config["admin"] = rig.free_address()
        path = self.state / "spool"
        for opens in range(20):
            others = self.accept_undelivered()
            (message,) = self.accept_undelivered(1, body="before")
            held = self.faults.fail("open", rig.HOLD_BEFORE, skip=opens)
            forwarder = self.launch()
            wait_for("a held open", lambda: self.faults.hits(held) > 0)
            path.write_bytes(path.read_bytes().replace(b"before", b"behind"))
            self.faults.end()
            self.await_serving(forwarder)
            for other in others:
                wait_for("the call", lambda: self.calls_of(other))
            again = "could not be read again: id=" + message
            if any(again in line for line in forwarder.log):
                break
            self.assertTrue(any("spool damaged" in line for line in forwarder.log))
            forwarder.end()  # held before the spool was read: try a later open
        wait_for("the notice", lambda: self.notices_of(message))
        # An endpoint may still accept the unchanged body that the killed process had
        # sent.
        self.assertLessEqual(self.bodies_of(message), {b"before"})
        self.assertIn(b"behind", (self.state / "spool.cut").read_bytes())
        self.put_accepted()
        forwarder.end(signal.SIGTERM)
        totals = "notified=1 cancelled=0 open=0"
        wait_for("the totals", lambda: any(totals in line for line in forwarder.log))
        self.assertFalse(any("do not agree" in line for line in forwarder.log))
        second = self.start()
        self.assertFalse(any("spool differs" in line for line in second.log))
        self.assertFalse(any("spool damaged" in line for line in second.log))

    def test_a_file_that_is_not_a_spool_is_saved_in_another_file(self):
        (self.state / "spool").write_bytes(b"something else of the operators'")
        self.start()
        self.put_accepted()
        self.assert_all_end()
        kept = (self.state / "spool.cut").read_bytes()
        self.assertIn(b"something else", kept)

    def test_an_end_that_could_not_be_written_is_written_later(self):
        """Otherwise the next process would deliver the message again."""
        for error in ("ENOSPC", "EIO"):
            with self.subTest(error):
                self.set_mode(Endpoint.HOLD)
                for endpoint in self.endpoints.values():
                    endpoint.released.clear()
                forwarder = self.start()
                message = self.put_accepted()
                wait_for("the call", lambda: self.hangs(message))
                rule = self.faults.fail("pwrite", error)
                for endpoint in self.endpoints.values():
                    endpoint.released.set()
                wait_for("the delivery", lambda: self.calls_of(message))
                wait_for("the failed write", lambda: self.faults.hits(rule) > 0)
                self.faults.end()
                self.put_accepted()
                self.assert_all_end()
                # The delayed write cannot be observed from outside.
                time.sleep(RETRY_S / 2)
                forwarder.end()
                calls = len(self.calls_of(message))
                second = self.start()
                self.put_accepted()
                self.assert_all_end()
                self.assertEqual(len(self.calls_of(message)), calls)
                second.end()

    def test_messages_are_rejected_while_the_disk_fails_and_accepted_again_later(self):
        for call, error in (("pwrite", "ENOSPC"), ("rename", "EIO"), ("open", "EIO")):
            with self.subTest(call=call, error=error):
                forwarder = self.start()
                self.put_accepted()
                self.faults.fail(call, error)
                for _ in range(20):
                    self.put()
                self.assertTrue(forwarder.alive())
                self.faults.end()
                self.put_accepted()
                self.assert_all_end()
                forwarder.end()

    def test_short_transfers_are_completed(self):
        for call in ("pread", "pwrite"):
            with self.subTest(call):
                undelivered = self.accept_undelivered()
                self.faults.fail(call, rig.SHORT, bytes_moved=3)
                forwarder = self.start()
                for message in undelivered:
                    wait_for("the call", lambda: self.calls_of(message))
                self.put_accepted()
                self.assert_all_end()
                self.faults.end()
                forwarder.end()


class KillTest(StateTest):
    CLASS = {"effect": "side_effect"}  # may not run twice

    def test_a_kill_in_each_write_loses_nothing_and_repeats_nothing(self):
        for how in (rig.KILL_BEFORE, rig.KILL_HALFWAY, rig.KILL_AFTER):
            for skip in range(4):
                with self.subTest(how=how, skip=skip):
                    forwarder = self.start()
                    self.faults.fail("pwrite", how, skip=skip, bytes_moved=11)
                    while forwarder.alive():
                        self.put()
                    self.faults.end()
                    second = self.start()
                    self.put_accepted()
                    self.assert_all_end()
                    for message in self.accepted:
                        self.assertLessEqual(len(self.calls_of(message)), 1)
                    second.end()


class ClockTest(StateTest):
    CLASS = {"dedup-window": 1_000_000_000}  # ns

    def test_undelivered_messages_survive_a_step_of_the_wall_clock(self):
        for step in (2, -2, 3600, -3600):
            with self.subTest(step):
                self.faults.step_clock(0)
                undelivered = self.accept_undelivered(left_ms=20000)
                self.faults.step_clock(step)
                forwarder = self.start()
                for message in undelivered:
                    wait_for("the call", lambda: self.calls_of(message))
                    self.assertEqual(self.notices_of(message), [])
                forwarder.end()

    def test_a_step_while_running_changes_nothing_for_the_next_process(self):
        for step in (2, -2, 3600, -3600):
            with self.subTest(step):
                self.faults.step_clock(0)
                self.set_mode(Endpoint.REJECT)
                forwarder = self.start()
                before = self.put_accepted()
                self.faults.step_clock(step)
                after = self.put_accepted()
                forwarder.end()
                self.set_mode(Endpoint.TAKE)
                forwarder = self.start()
                for message in (before, after):
                    wait_for("the call", lambda: self.calls_of(message))
                    self.assertEqual(self.notices_of(message), [])
                forwarder.end()

    def test_a_step_does_not_reopen_the_dedup_window(self):
        """An attempt that may have run is not repeated after its idempotency key has
        expired, whatever step the wall clock made meanwhile."""
        for step in (-2, -3600):
            with self.subTest(step):
                self.faults.step_clock(0)
                self.set_mode(Endpoint.HANG)
                forwarder = self.start()
                message = self.put_accepted(left_ms=20000)
                wait_for("a call", lambda: self.hangs(message))
                forwarder.end()
                time.sleep(1.1)  # longer than the dedup window, in real time
                self.faults.step_clock(step)
                self.set_mode(Endpoint.TAKE)
                forwarder = self.start()
                wait_for("the notice", lambda: self.notices_of(message))
                self.assertEqual(self.calls_of(message), [])
                forwarder.end()


if __name__ == "__main__":
    unittest.main()
