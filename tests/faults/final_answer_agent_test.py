"""A discovery agent that moves, refuses or cuts connections, rejects posts or does not
accept.

Whatever its faults, it eventually reads the notification of each message that was given
up, and confirms each.
"""

import signal
import socket
import unittest

import rig
from agent import Agent
from final_answer_test import FinalAnswerTest
from rig import wait_for

NO_CONTENT = b"HTTP/1.1 204 No Content\r\n\r\n"
MESSAGES = 3
LEFT_MS = 300
MAX_POSTS = 8  # maximum pending posts of a forwarder
CONNECTIONS_BEYOND_THE_BACKLOG = 4


class AgentTest(FinalAnswerTest):
    def put_some(self, count=MESSAGES):
        return [self.put_accepted(left_ms=LEFT_MS) for _ in range(count)]

    def assert_confirmed(self, messages, agent=None):
        agent = agent or self.discovery
        for message in messages:
            wait_for(
                "the notification of " + message,
                lambda: any(line["id"] == message for line in list(agent.notices)),
            )
        self.await_none_in_flight()


class MoveTest(AgentTest):
    def start_and_move(self, forwarder):
        """Moves discovery to a new address; returns the agent there."""
        other = self.new_stand_in(Agent)
        other.members = self.members()
        self.config["discovery"] = other.address
        self.write_config()
        forwarder.send_signal(signal.SIGHUP)
        return other

    # Guards against notifications waiting for the agent at the old discovery address.
    def test_held_notifications_go_to_the_address_that_discovery_moved_to(self):
        self.discovery.on_post = self.discovery.hold
        forwarder = self.start_with_admin()
        messages = [self.give_up_one() for _ in range(MESSAGES)]
        other = self.start_and_move(forwarder)
        messages += self.put_some()
        self.assert_confirmed(messages, other)

    # Guards against the same failure when the old agent refuses connections.
    def test_refused_notifications_go_to_the_address_that_discovery_moved_to(self):
        forwarder = self.start_with_admin()
        self.discovery.refuse()
        messages = self.put_some()
        self.await_overdue(LEFT_MS)
        self.assert_confirmed(messages, self.start_and_move(forwarder))


class CutTest(AgentTest):
    FAULTS = 30  # posts in a row that fail

    # Guards against treating posts that were cut off unread as read.
    def test_notifications_whose_posts_are_cut_unread_are_read_at_last(self):
        cut = []

        def cut_the_first():
            cut.append(None)
            return len(cut) > self.FAULTS

        self.discovery.on_head = cut_the_first
        self.start_with_admin()
        self.assert_confirmed(self.put_some())

    # Guards against a partial answer confirming a post, and against giving up.
    def test_half_an_answer_confirms_nothing(self):
        for length in (1, NO_CONTENT.index(b"4") + 1, len(NO_CONTENT) - 1):
            with self.subTest(length=length):
                self.assert_confirmed_after(NO_CONTENT[:length])

    # Guards against dropping notifications after many errors.
    def test_an_agent_that_answers_with_errors_confirms_at_last(self):
        self.assert_confirmed_after(500)

    def assert_confirmed_after(self, answer):
        self.discovery.posts.clear()
        self.discovery.on_post = lambda post: (
            answer if post.number < self.FAULTS else 204
        )
        forwarder = self.start_with_admin()
        self.assert_confirmed(self.put_some())
        self.assertGreater(len(self.discovery.posts), self.FAULTS)
        forwarder.end()


class ListenerTest(AgentTest):
    # Guards against never calling an agent again after an outage.
    def test_an_agent_that_refused_connections_reads_all_once_it_is_back(self):
        address = rig.free_address()
        self.discovery.refuse()
        self.discovery.listen_at(address)
        self.config["discovery"] = address
        self.start_with_admin()
        self.discovery.refuse()
        messages = self.put_some()
        self.await_overdue(LEFT_MS)
        self.discovery.listen_at(address)
        self.assert_confirmed(messages)

    def fill_the_queue(self):
        """Fills the accept queue, so that no connection is established until the agent
        accepts again."""
        self.discovery.stop_accepting(backlog=0)
        host, port = self.discovery.server_address
        for _ in range(CONNECTIONS_BEYOND_THE_BACKLOG):
            filler = socket.socket()
            self.addCleanup(filler.close)
            filler.setblocking(False)
            filler.connect_ex((host, port))

    # Guards against spreading notifications over more posts than may be pending while
    # no connection can be established.
    def test_an_agent_that_did_not_accept_reads_all_in_the_pending_posts(self):
        self.start_with_admin()
        wait_for("the watch", lambda: self.discovery.connections)
        self.fill_the_queue()
        messages = self.put_some(2 * MAX_POSTS)
        self.await_overdue(LEFT_MS)
        self.assertFalse(self.discovery.posts)
        self.discovery.accept_again()
        self.assert_confirmed(messages)
        first_posts = self.discovery.posts[: MAX_POSTS + 1]
        read = {message for post in first_posts for message in post.ids}
        self.assertEqual(read & set(messages), set(messages))


class AgentThatAnswersTwice(AgentTest):
    """The agent answers one post twice, on a persistent connection."""

    def setUp(self):
        super().setUp()
        self.config["settings"]["limits"].update(probes=False)

    def answer_the_first_by_hand(self, post):
        """Confirms the first post and then reads nothing more from its connection until
        the test ends."""
        if post.number > 0:
            return 204
        post.connection.sendall(NO_CONTENT)
        self.discovery.release.wait(timeout=rig.LIMIT)
        return None

    def confirm_one(self):
        self.discovery.on_post = self.answer_the_first_by_hand
        self.give_up_one()
        self.await_none_in_flight()


class SecondAnswerTest(AgentThatAnswersTwice):
    # Guards against a post being confirmed by an answer that arrived before the post.
    def test_a_second_answer_confirms_no_later_post(self):
        self.start_with_admin()
        self.confirm_one()
        self.discovery.posts[0].connection.sendall(NO_CONTENT)
        self.assert_confirmed([self.give_up_one()])


if __name__ == "__main__":
    unittest.main()
