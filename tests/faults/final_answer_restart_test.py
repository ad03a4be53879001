"""Restarts while notifications are not confirmed.

A process ends within its time limit even if the agent answers no post, and its
successor sends the remaining notifications.
"""

import signal
import time
import unittest

import rig
from final_answer_test import FinalAnswerTest
from rig import KILL_AFTER, KILL_BEFORE, Endpoint, wait_for

SIGKILL_AFTER_SIGTERM_S = 3.7  # earliest time, by the protocol


class RestartTest(FinalAnswerTest):
    def posts_since(self, first):
        return {
            message for post in self.discovery.posts[first:] for message in post.ids
        }

    def assert_confirmed_by_a_successor(self, messages):
        """Makes the agent answer, and starts a successor that posts the
        notifications."""
        first = len(self.discovery.posts)
        self.discovery.on_post = lambda post: 204
        successor = self.start()
        for message in messages:
            wait_for(
                "the notification of " + message,
                lambda: message in self.posts_since(first),
            )
        self.await_none_in_flight()
        successor.end()


class TerminatedTest(RestartTest):
    # Guards against unanswered posts keeping a process alive beyond its time limit.
    def test_a_process_whose_posts_are_held_ends_in_its_time(self):
        self.discovery.on_post = self.discovery.hold
        forwarder = self.start_with_admin()
        messages = [self.give_up_one() for _ in range(3)]
        started = time.monotonic()
        self.assertEqual(forwarder.end(signal.SIGTERM), 0)
        self.assertLess(time.monotonic() - started, SIGKILL_AFTER_SIGTERM_S)
        self.assert_confirmed_by_a_successor(messages)


class DeferredTest(RestartTest):
    CLASS = {"effect": "side_effect"}  # messages may not be repeated

    def lines_of(self, message):
        """Returns the notifications of the message that the agent has read."""
        return [
            line
            for post in self.discovery.posts
            for line in post.lines
            if line["id"] == message
        ]

    # Guards against a message running, or getting another status, after its client was
    # told to submit it again.
    def test_a_deferral_outlives_a_kill_before_its_confirmation(self):
        for left_ms in (300, 800, 2000):
            with self.subTest(left_ms=left_ms):
                forwarder = self.start_with_admin()
                self.discovery.on_post = lambda post: forwarder.send_signal(
                    signal.SIGKILL
                )
                message = self.put_accepted(left_ms=left_ms)
                forwarder.process.wait(timeout=rig.LIMIT)
                posted = self.lines_of(message)
                self.assertEqual(posted[0]["status"], "deferred")
                self.set_mode(Endpoint.TAKE)
                self.assert_confirmed_by_a_successor([message])
                self.set_mode(Endpoint.REJECT)
                self.assertEqual(self.calls_of(message), [])
                for line in self.lines_of(message):
                    self.assertEqual(line, posted[0])


class KilledTest(RestartTest):
    # Guards against dropping a notification that was read but not confirmed.
    def test_a_kill_after_the_first_post_leaves_its_notification_to_the_successor(
        self,
    ):
        forwarder = self.start_with_admin()

        def kill(post):
            forwarder.send_signal(signal.SIGKILL)

        self.discovery.on_post = kill
        message = self.put_accepted(left_ms=300)
        forwarder.process.wait(timeout=rig.LIMIT)
        self.assertTrue(self.discovery.has_read(message))
        self.assert_confirmed_by_a_successor([message])

    # Guards against dropping the notification of a message that was given up, but not
    # posted yet.
    def test_a_kill_before_the_first_post_leaves_its_notification_to_the_successor(
        self,
    ):
        self.config["settings"]["limits"].update(probes=False)
        self.set_mode(Endpoint.HANG)
        for call, moment in (
            ("connect", KILL_BEFORE),
            ("connect", KILL_AFTER),
            ("send", KILL_BEFORE),
            ("send", KILL_AFTER),
        ):
            with self.subTest(call=call, moment=moment):
                forwarder = self.start_with_admin()
                message = self.put_accepted(left_ms=800)
                wait_for("its call", lambda: self.hangs(message))
                # From now on only the post opens a connection or sends.
                self.faults.fail(call, moment)
                forwarder.process.wait(timeout=rig.LIMIT)
                self.faults.end()
                self.assert_confirmed_by_a_successor([message])


if __name__ == "__main__":
    unittest.main()
