"""A second, unsolicited answer on a persistent connection.

It arrives between the check of the connection and the write of the next request, or
after that request and before its answer. HTTP/1.1 offers no way to distinguish such an
answer from the answer to the next call or post.
"""

import socket
import unittest

import final_answer_agent_test
import final_answer_delivery_test
from final_answer_agent_test import NO_CONTENT
from final_answer_delivery_test import OK
from rig import HOLD_AFTER, HOLD_BEFORE, Endpoint, wait_for

BUSY = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"


class UnaskedAnswerOfAgentTest(final_answer_agent_test.AgentThatAnswersTwice):
    # Guards against a post being confirmed by an answer that arrived before the post.
    def test_an_answer_that_comes_before_a_post_is_written_does_not_confirm_it(self):
        self.start_with_admin()
        self.confirm_one()
        self.set_mode(Endpoint.HANG)  # after the call only the post is sent
        message = self.put_accepted(left_ms=800)
        wait_for("its call", lambda: self.hangs(message))
        rule = self.faults.fail("send", HOLD_BEFORE, times=1)
        wait_for("the post", lambda: self.faults.hits(rule) == 1)
        self.discovery.posts[0].connection.sendall(NO_CONTENT)
        self.faults.end()
        self.assert_confirmed([message])


class UnaskedAnswerOfEndpointTest(final_answer_delivery_test.EndpointThatAnswersTwice):
    # Guards against a call being ended by an answer that arrived before the call was
    # written.
    def test_an_answer_that_comes_before_a_call_is_written_does_not_end_it(self):
        self.start_with_admin()
        self.deliver_first()
        # The reply to the client is sent, then the call.
        rule = self.faults.fail("send", HOLD_BEFORE, skip=1, times=1)
        message = self.put_accepted(left_ms=3000)
        wait_for("the call", lambda: self.faults.hits(rule) == 1)
        self.accepting[0].sendall(OK)
        self.faults.end()
        self.assert_final(message)

    def await_second_call(self):
        """Returns a message whose call waits on the persistent connection, and that
        connection."""
        self.start_with_admin()
        self.deliver_first()
        message = self.put_accepted(left_ms=3000)
        connection = self.accepting[0]
        self.assertTrue(connection.recv(1, socket.MSG_PEEK))
        return message, connection

    # Guards against an unsolicited answer ending a call that was sent before it
    # arrived.
    def test_the_real_answer_after_an_unsolicited_one_is_read(self):
        message, connection = self.await_second_call()
        rule = self.faults.fail("recv", HOLD_AFTER)
        connection.sendall(OK)
        wait_for(
            "the call's and discovery's threads", lambda: self.faults.hits(rule) >= 2
        )
        connection.sendall(BUSY)
        self.faults.end()
        self.assert_final(message)

    # Guards against the same failure when both answers are read at once.
    def test_the_real_answer_together_with_an_unsolicited_one_is_read(self):
        message, connection = self.await_second_call()
        connection.sendall(OK + BUSY)
        self.assert_final(message)


if __name__ == "__main__":
    unittest.main()
