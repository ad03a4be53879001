"""A second answer that comes between the look at a kept connection and the writing.

HTTP/1.1 has nothing by which such an answer could be told from the one to the next call
or post.
"""

import unittest

import final_answer_agent_test
import final_answer_delivery_test
from final_answer_agent_test import NO_CONTENT
from final_answer_delivery_test import OK
from rig import HOLD_BEFORE, Endpoint, wait_for


class UnaskedAnswerOfAgentTest(final_answer_agent_test.AgentThatAnswersTwice):
    # Guards against a post being confirmed by an answer that was there before it.
    def test_an_answer_that_comes_before_a_post_is_written_does_not_confirm_it(self):
        self.start_with_admin()
        self.confirm_one()
        self.set_mode(Endpoint.HANG)  # nothing but the post is sent behind the call
        message = self.put_accepted(left_ms=800)
        wait_for("its call", lambda: self.hangs(message))
        rule = self.faults.fail("send", HOLD_BEFORE, times=1)
        wait_for("the post", lambda: self.faults.hits(rule) == 1)
        self.discovery.posts[0].connection.sendall(NO_CONTENT)
        self.faults.end()
        self.assert_confirmed([message])


class UnaskedAnswerOfEndpointTest(final_answer_delivery_test.EndpointThatAnswersTwice):
    # Guards against a call being ended by an answer that was there before it was
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


if __name__ == "__main__":
    unittest.main()
