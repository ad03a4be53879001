"""The incident of 3 December 2026 on real processes: docs/incidents.

Whatever happens to one post of notifications, the notification of every other message
that was given up reaches the agent, and each is eventually confirmed.
"""

import time
import unittest
import uuid

import rig
from agent import Agent
from rig import Endpoint, FaultTest, wait_for

NOTICE_LIMIT_S = 0.3  # after a message's deadline, by the protocol


class FinalAnswerTest(FaultTest):
    def setUp(self):
        super().setUp()
        self.discovery = self.new_stand_in(Agent)
        self.discovery.members = self.members()
        self.config["discovery"] = self.discovery.address
        self.addCleanup(self.discovery.release.set)
        self.set_mode(Endpoint.REJECT)  # so that every message ends by its deadline

    def await_overdue(self, left_ms):
        """Waits until notifications of messages submitted now with this time are
        due."""
        due = time.monotonic() + left_ms / 1000 + NOTICE_LIMIT_S
        wait_for("the messages' time", lambda: time.monotonic() > due)

    def give_up_one(self):
        """Submits a message and waits until its notification reaches the agent."""
        message = self.put_accepted(left_ms=300)
        wait_for(
            "the notification of " + message, lambda: self.discovery.has_read(message)
        )
        return message

    def start_with_admin(self):
        self.config["admin"] = rig.free_address()
        return self.start()


class HeldPostTest(FinalAnswerTest):
    # Guards against one post that the agent does not answer blocking all others.
    def test_a_post_that_is_not_answered_holds_no_other_notification_back(self):
        self.discovery.on_post = self.discovery.hold
        self.start()
        for _ in range(3):
            self.give_up_one()

    # Guards against endless posts to an agent that answers later than a time limit of
    # the forwarder.
    def test_an_agent_that_always_answers_late_confirms_at_last(self):
        def answer_late(post):
            self.discovery.release.wait(timeout=0.3)
            return 204

        self.discovery.on_post = answer_late
        self.start_with_admin()
        for _ in range(3):
            self.give_up_one()
        self.await_none_in_flight()


class RejectedPostTest(FinalAnswerTest):
    # Guards against one line that the agent cannot read blocking all notifications in
    # its post.
    def test_a_line_that_the_agent_rejects_holds_no_other_notification_back(self):
        rejected = "f" * 16

        def reject_the_first(post):
            return 400 if rejected in post.ids else 204

        self.discovery.on_post = reject_the_first
        self.start()
        self.put_accepted(left_ms=300, message=rejected)
        wait_for("the rejected post", lambda: self.discovery.has_read(rejected))
        for _ in range(3):
            self.give_up_one()


class UndecidedTest(FinalAnswerTest):
    # Guards against a restored message without a decision outliving its deadline.
    def test_restored_messages_end_while_the_exclusions_cannot_be_read(self):
        forwarder = self.start()
        undelivered = [self.put_accepted(left_ms=1500) for _ in range(3)]
        forwarder.end()
        (self.state / "exclusions").mkdir()  # can be opened but not read
        self.start_with_admin()
        for message in undelivered:
            wait_for("its notification", lambda: self.discovery.has_read(message))
        self.await_none_in_flight()


class SharedCallTest(FinalAnswerTest):
    SHORT_MS, LONG_MS = 1000, 20000
    ANSWER_AFTER_S = 0.64  # after the call, which waits 0.2 s for other messages

    def members(self, **phases):
        """Returns one endpoint, which accepts several messages in a call."""
        return [dict(m, flavor="bundle") for m in super().members(**phases)][:1]

    # Guards against a call ending its other messages without a notification when the
    # platform does not count it because it may have outlasted one of its messages.
    def test_all_messages_of_a_call_that_ends_near_one_deadline_are_notified(self):
        endpoint = self.endpoints["a"]
        forwarder = self.start()
        pair = []

        def answer_late(call):
            if call["id"] == pair[0]:  # the first of its call
                time.sleep(self.ANSWER_AFTER_S)
            endpoint.delivered.append(call["id"])
            return 200, {}

        def short_was_late():
            pair[:] = [uuid.uuid4().hex[:16] for _ in range(2)]
            client = rig.toy_server.Client(self.listen)
            for message, left_ms in zip(pair, (self.LONG_MS, self.SHORT_MS)):
                client.put(rig.DESTINATION, "body", left_ms=left_ms, message=message)
            client.close()
            wait_for("the answers", lambda: all(map(self.is_over, pair)))
            sizes = [call["bundle"] for call in endpoint.calls if call["id"] == pair[1]]
            late = "id=%s reason=delivered-late" % pair[1]
            return sizes == [2] and any(late in line for line in forwarder.log)

        endpoint.answer = answer_late
        wait_for("a call that ends near its short message's deadline", short_was_late)
        wait_for("the other's notification", lambda: self.discovery.has_read(pair[0]))


if __name__ == "__main__":
    unittest.main()
