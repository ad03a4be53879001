"""Maps each stored text to the function that records the current output for it."""

import fleet_control
import peer_frames
import simulator_transcripts
import state_folders
import transcripts
from program import DATA


RECORDINGS = {
    "spool/listing": state_folders.spool_listing,
    "spool/after_its_deadlines": state_folders.spool_after_its_deadlines,
    "spool/soon_after_the_end": state_folders.spool_soon_after_the_end,
    "fleet/member_alone": state_folders.fleet_member_alone,
    "fleet/from_replicated_log": state_folders.fleet_from_replicated_log,
    "fleet/control_replies": fleet_control.control_replies,
    "fleet/control_reply_without_quorum": fleet_control.control_reply_without_quorum,
    "fleet/peer_frames": peer_frames.frames,
    "zone/contents": state_folders.zone_contents,
    "zone/server_replies": state_folders.zone_server_replies,
    "zone/torn_journal": state_folders.zone_with_torn_journal,
    "wire/resp_replies": transcripts.resp_replies,
    "wire/resp_reply_when_full": transcripts.resp_reply_when_full,
    "wire/call_with_one_message": transcripts.call_with_one_message,
    "wire/call_with_several_messages": transcripts.call_with_several_messages,
    "wire/health_check": transcripts.health_check,
    "wire/notice_of_a_deferred_message": transcripts.notice_of_a_deferred_message,
    "wire/notice_of_an_undeliverable_message": (
        transcripts.notice_of_an_undeliverable_message
    ),
    "wire/discovery_watch": transcripts.discovery_watch,
    "simulator/frames": simulator_transcripts.replies_to_stored_frames,
    "simulator/errors": simulator_transcripts.errors_for_bad_scripts,
}


def path_of(name):
    """Returns the path of the stored text."""
    return DATA / "golden" / (name + ".txt")
