"""Reads state folders from commit 052a23f with the program under test.

The program opens copies of the stored folders, and what it reads in them is compared
with what the program of that commit read. The environment variable BRASSFRONT names the
binary.
"""

import unittest

from golden_case import GoldenCase


class SpoolTest(GoldenCase):
    def test_a_stored_spool_lists_the_same_messages_and_attempts(self):
        self.check("spool/listing")

    def test_stored_messages_whose_deadline_passed_end_with_the_same_notices(self):
        self.check("spool/after_its_deadlines")

    def test_stored_messages_in_time_are_delivered_with_the_same_calls(self):
        self.check("spool/soon_after_the_end")


class FleetTest(GoldenCase):
    def test_a_member_alone_knows_the_same_from_its_stored_folder(self):
        self.check("fleet/member_alone")

    def test_members_agree_on_the_same_from_their_stored_replicated_logs(self):
        self.check("fleet/from_replicated_log")

    def test_each_control_request_gets_the_same_reply(self):
        self.check("fleet/control_replies")

    def test_a_control_request_without_a_quorum_gets_the_same_reply(self):
        self.check("fleet/control_reply_without_quorum")

    def test_a_member_sends_its_peers_the_same_frames(self):
        self.check("fleet/peer_frames")


class ZoneTest(GoldenCase):
    def test_a_stored_zone_has_the_same_records_and_endpoints(self):
        self.check("zone/contents")

    def test_a_stored_zone_is_served_and_changed_alike(self):
        self.check("zone/server_replies")

    def test_a_stored_zone_with_a_torn_journal_is_read_up_to_the_last_whole_entry(self):
        self.check("zone/torn_journal")


if __name__ == "__main__":
    unittest.main()
