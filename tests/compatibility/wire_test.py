"""Compares the program's wire output byte by byte with that of commit 052a23f.

Fields that differ from run to run are masked by name; see transcripts.py. The
environment variables BRASSFRONT and POLICY_SIMULATOR name the binaries.
"""

import unittest

from golden_case import GoldenCase


class WireTest(GoldenCase):
    # ---- RESP ----

    def test_each_resp_command_gets_the_same_reply(self):
        self.check("wire/resp_replies")

    def test_a_full_forwarder_gives_the_same_reply(self):
        self.check("wire/resp_reply_when_full")

    # ---- HTTP ----

    def test_a_call_with_one_message_has_the_same_bytes(self):
        self.check("wire/call_with_one_message")

    def test_a_call_with_several_messages_has_the_same_bytes(self):
        self.check("wire/call_with_several_messages")

    def test_a_health_check_has_the_same_bytes(self):
        self.check("wire/health_check")

    def test_a_notice_of_a_deferred_message_has_the_same_bytes(self):
        self.check("wire/notice_of_a_deferred_message")

    def test_a_notice_of_an_undeliverable_message_has_the_same_bytes(self):
        self.check("wire/notice_of_an_undeliverable_message")

    def test_discovery_is_watched_with_the_same_requests(self):
        self.check("wire/discovery_watch")


class SimulatorTest(GoldenCase):
    def test_stored_frames_get_the_same_actions(self):
        self.check("simulator/frames")

    def test_bad_frames_get_the_same_errors(self):
        self.check("simulator/errors")


if __name__ == "__main__":
    unittest.main()
