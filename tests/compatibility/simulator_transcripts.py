"""Records what the policy simulator replies to scripts of frames.

The environment variable POLICY_SIMULATOR names the binary.
"""

import os
import re
import subprocess

from program import DATA, LIMIT_SECONDS

SCRIPT = DATA / "wire" / "simulator_script.txt"
BAD_SCRIPTS = (
    "HELLO\n",
    "FRAME\tmoment=soon\n",
    "FRAME\tmoment=1000\nTIMER\twho=9\tkey-back=1\n",
    "FRAME\tmoment=1000\nREGISTER\tpage=16\trows-in=0\n",
    "FRAME\tmoment=1000\nREGISTER\tpage=1\trows-in=1\nOVER_TO_YOU\n",
    "FRAME\tmoment=1000\nSTART\twho=3\tseed=7\nWHAT\twho=3\n",
    "FRAME\tmoment=1000\nSTART\twho=3\tseed=7\nREQUEST\twho=3\tcall\n",
    "FRAME\tmoment=1000\nSTART\twho=3\tseed=x\n",
    "FRAME\tmoment=1000\nSTART\twho=3\tseed=7\tclasses.count=9999\n",
    "FRAME\tmoment=1000\nSTART\twho=3\tseed=7\tlimits.probes=maybe\n",
    "FRAME\tmoment=1000\n",
)


def reply_to(script):
    """Returns the simulator's output for a script; errors have the program name
    masked."""
    done = subprocess.run(
        [os.environ["POLICY_SIMULATOR"]],
        input=script,
        capture_output=True,
        timeout=LIMIT_SECONDS,
    )
    errors = re.sub(r"^\w+: ", "<program>: ", done.stderr.decode())
    return done.stdout.decode() + errors + "status %d\n" % done.returncode


def replies_to_stored_frames():
    """Returns the actions for the stored frames of several instances."""
    return reply_to(SCRIPT.read_bytes())


def errors_for_bad_scripts():
    """Returns the simulator's output for invalid scripts."""
    return "".join(
        "# %r\n%s\n" % (script, reply_to(script.encode())) for script in BAD_SCRIPTS
    )
